"""Decides by its key whether a request is served, and for which tenant."""

from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.log_events import KEY_REFUSED
from bellweir.hosted.tenants.interface import Admission, Verdict
from bellweir.hosted.tenants.keys import key_of
from bellweir.hosted.views.configuration import RouteTable

CERTAIN_S = 2.0
"""Age of the configuration up to which an unknown key is refused for good. A node must know a new
key 3 s after the store has acknowledged it; a second of that is left for the client's way."""


class KeyCheck:
    """Checks requests against the configuration in force.

    A key that is known is accepted however old the configuration is: a node that nobody tells
    anything goes on serving its tenants. Where keys are to be revoked strictly, it is accepted only
    up to an agreed age. A key that is not known is refused for good only while the configuration
    is surely the newest one; otherwise the client is to ask another node.
    """

    def __init__(
        self,
        configuration_age_s: Callable[[], float] = lambda: 0.0,
        count: Callable[[str], None] = lambda _verdict: None,
        maximum_age_s: float = float("inf"),
    ) -> None:
        """`configuration_age_s` tells since when the configuration may have changed.

        A known key counts up to `maximum_age_s` of it.
        `count` is called with the verdict on each request that is not allowed.
        """
        self._configuration_age_s = configuration_age_s
        self._count = count
        self._maximum_age_s = maximum_age_s

    def check(
        self, table: RouteTable, authorization: str | None, *, is_public: bool, request_id: str
    ) -> Admission:
        """Judge one request by the value of its `Authorization` header."""
        keys = table.keys
        if not keys.are_required:
            return Admission(Verdict.ALLOWED)
        key = key_of(authorization)
        tenant = keys.tenant_of(key) if key is not None else None
        if is_public:
            return Admission(Verdict.ALLOWED, tenant)
        age_s = self._configuration_age_s()
        if tenant is not None and age_s < self._maximum_age_s:
            return Admission(Verdict.ALLOWED, tenant)
        is_certain = key is None or (tenant is None and age_s <= CERTAIN_S)
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
