"""Decides by its API key whether a request is served, and for which tenant."""

from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.log_events import KEY_REFUSED
from bellweir.hosted.settings import BoundSettings
from bellweir.hosted.tenants.interface import Admission, Tenant, Verdict
from bellweir.hosted.tenants.keys import parse_bearer_key
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.current_configuration import max_refusal_age_s


class KeyCheck:
    """Checks requests against the configuration in force.

    A known key is accepted however old the configuration is, so that an isolated node keeps serving
    its tenants; with strict revocation only up to a maximum age. A request without a known key is
    refused only if the configuration is certainly current; otherwise the client should try another
    node.
    """

    def __init__(
        self,
        configuration_age_s: Callable[[], float] = lambda: 0.0,
        count: Callable[[str], None] = lambda _verdict: None,
        max_age_s: float = float("inf"),
        certain_age_s: float = max_refusal_age_s(BoundSettings()),
    ) -> None:
        """`configuration_age_s` returns how long the configuration may have been out of date.

        Known keys are accepted up to an age of `max_age_s`, requests refused up to `certain_age_s`.
        `count` is called with the verdict on each request that is not allowed.
        """
        self._certain_age_s = certain_age_s
        self._configuration_age_s = configuration_age_s
        self._count = count
        self._max_age_s = max_age_s

    def check(
        self, table: RouteTable, authorization: str | None, *, is_public: bool, request_id: str
    ) -> Admission:
        """Judge one request, and log and count it unless it is allowed."""
        admission = self.judge(table, authorization, is_public=is_public)
        if admission.verdict is not Verdict.ALLOWED:
            self.record_refusal(table, admission.verdict, authorization, request_id)
        return admission

    def judge(self, table: RouteTable, authorization: str | None, *, is_public: bool) -> Admission:
        """Judge one request by the value of its `Authorization` header."""
        if not table.keys.are_required:
            return Admission(Verdict.ALLOWED)
        tenant = _tenant_of(table, authorization)
        if is_public:
            return Admission(Verdict.ALLOWED, tenant)
        age_s = self._configuration_age_s()
        if tenant is not None and age_s < self._max_age_s:
            return Admission(Verdict.ALLOWED, tenant)
        is_certain = tenant is None and age_s <= self._certain_age_s
        return Admission(Verdict.REFUSED if is_certain else Verdict.UNDECIDED)

    def record_refusal(
        self, table: RouteTable, verdict: Verdict, authorization: str | None, request_id: str
    ) -> None:
        """Log and count a request that is not allowed."""
        self._count(verdict.value)
        emit(
            KEY_REFUSED,
            request_id=request_id,
            configuration=table.version,
            verdict=verdict.value,
            has_key=parse_bearer_key(authorization) is not None,
            age_ms=round(1000 * min(self._configuration_age_s(), 1e6)),
        )


def _tenant_of(table: RouteTable, authorization: str | None) -> Tenant | None:
    key = parse_bearer_key(authorization)
    return table.keys.tenant_of(key) if key is not None else None
