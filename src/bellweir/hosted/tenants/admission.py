"""Decides by its API key whether a request is served, and for which tenant."""

from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.log_events import KEY_REFUSED
from bellweir.hosted.tenants.interface import Admission, Verdict
from bellweir.hosted.tenants.keys import parse_bearer_key
from bellweir.hosted.views.configuration import RouteTable

MAX_CERTAIN_AGE_S = 2.0
"""Configuration age up to which an unknown key is refused. Nodes must accept a new key 3 s after
the store has acknowledged it; one second of that is reserved for the client's request."""


class KeyCheck:
    """Checks requests against the configuration in force.

    A known key is accepted however old the configuration is, so that an isolated node keeps serving
    its tenants; with strict revocation only up to a maximum age. An unknown key is refused only if
    the configuration is certainly current; otherwise the client should try another node.
    """

    def __init__(
        self,
        configuration_age_s: Callable[[], float] = lambda: 0.0,
        count: Callable[[str], None] = lambda _verdict: None,
        max_age_s: float = float("inf"),
    ) -> None:
        """`configuration_age_s` returns how long the configuration may have been out of date.

        Known keys are accepted up to an age of `max_age_s`.
        `count` is called with the verdict on each request that is not allowed.
        """
        self._configuration_age_s = configuration_age_s
        self._count = count
        self._max_age_s = max_age_s

    def check(
        self, table: RouteTable, authorization: str | None, *, is_public: bool, request_id: str
    ) -> Admission:
        """Check one request by the value of its `Authorization` header."""
        keys = table.keys
        if not keys.are_required:
            return Admission(Verdict.ALLOWED)
        key = parse_bearer_key(authorization)
        tenant = keys.tenant_of(key) if key is not None else None
        if is_public:
            return Admission(Verdict.ALLOWED, tenant)
        age_s = self._configuration_age_s()
        if tenant is not None and age_s < self._max_age_s:
            return Admission(Verdict.ALLOWED, tenant)
        is_certain = key is None or (tenant is None and age_s <= MAX_CERTAIN_AGE_S)
        verdict = Verdict.REFUSED if is_certain else Verdict.UNDECIDED
        self._count(verdict.value)
        emit(
            KEY_REFUSED,
            request_id=request_id,
            configuration=table.version,
            verdict=verdict.value,
            has_key=key is not None,
            age_ms=round(1000 * min(age_s, 1e6)),
        )
        return Admission(verdict)
