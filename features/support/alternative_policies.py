"""A queue discipline and a Retry-After policy to compare with those in use."""

from bellweir.hosted.queueing.by_priority import PriorityDiscipline
from bellweir.hosted.queueing.interface import CapacityEstimate, QueuedRequest, RetryAfterPolicy
from bellweir.hosted.queueing.retry_after import (
    MAX_REMAINING_SHARE,
    UNKNOWN_RATE_S,
    until_capacity_s,
)


class DeficitRoundRobin(PriorityDiscipline):
    """Gives each waiting tenant a quantum per round, kept until its last request."""

    def __init__(self, quantum_s: float = 0.05) -> None:
        """`quantum_s`: seconds of a slot per round."""
        super().__init__()
        self._quantum_s = quantum_s
        self._credit_s: dict[tuple[int, str], float] = {}
        self._turns: list[tuple[int, str]] = []
        """Waiting tenants with their priorities, in round-robin order."""

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        self._queue.append(request)
        key = (request.priority, request.tenant)
        if key not in self._credit_s:
            self._credit_s[key] = 0.0
            self._turns.append(key)

    def peek(self) -> QueuedRequest | None:
        """The oldest request of the next tenant with enough credit.

        Adds quanta until there is one.
        """
        oldest: dict[tuple[int, str], QueuedRequest] = {}
        for each in self._most_urgent():
            oldest.setdefault((each.priority, each.tenant), each)
        if not oldest:
            return None
        while True:
            for key in self._turns:
                if key in oldest and self._credit_s[key] >= oldest[key].cost_s:
                    return oldest[key]
            for key in oldest:
                self._credit_s[key] += self._quantum_s

    def remove(self, request: QueuedRequest, *, served: bool) -> bool:
        """Remove a request; a served one uses its tenant's credit.

        The tenant moves to the end of the round.
        """
        if not self._remove(request):
            return False
        key = (request.priority, request.tenant)
        if served:
            self._credit_s[key] = max(0.0, self._credit_s[key] - request.cost_s)
            self._turns.remove(key)
            self._turns.append(key)
        if not any((each.priority, each.tenant) == key for each in self._queue):
            del self._credit_s[key]
            self._turns.remove(key)
        return True

    def charge(self, request: QueuedRequest) -> None:
        """Does nothing: only waiting requests take turns."""


class AppointmentRetryAfter(RetryAfterPolicy):
    """Gives each refused client its own time: the first when there is capacity, then one by one.

    Consecutive times are apart by the time in which a slot is freed for this gateway's share.
    """

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}

    def retry_after_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        remaining_s: float,
        remaining_share: float,
        now_s: float,
    ) -> float:
        """Retry-After in seconds; clients with the least time left up to half a gap early."""
        first_s = now_s + until_capacity_s(estimate)
        at_s = max(first_s, self._next_s.get(service, 0.0))
        rate = estimate.service_rate_per_s * estimate.own_share
        gap_s = 1 / rate if rate > 0 else UNKNOWN_RATE_S / 10
        self._next_s[service] = at_s + gap_s
        return min(MAX_REMAINING_SHARE * remaining_s, at_s - now_s + gap_s * remaining_share / 2)
