"""Start-time fair queueing: requests get start tags in virtual time; the smallest is next.

Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM 1996, with equal weights.
"""

from bellweir.hosted.queueing.by_priority import PriorityDiscipline
from bellweir.hosted.queueing.interface import QueuedRequest

MAX_TENANTS = 4_096
"""Beyond it, tags behind the virtual time are dropped."""


class StartTimeFairQueueing(PriorityDiscipline):
    """Fair queueing that also charges requests which did not wait.

    >>> discipline = StartTimeFairQueueing()
    >>> discipline.charge(QueuedRequest("l0", "large", 5, 0, 9, 9))
    >>> discipline.push(QueuedRequest("l1", "large", 5, 0, 9, 9))
    >>> discipline.push(QueuedRequest("s1", "small", 5, 1, 9, 9))
    >>> discipline.peek()
    QueuedRequest('s1', tenant='small', priority=5)
    """

    def __init__(self) -> None:
        super().__init__()
        self._states: dict[int, _FairQueueState] = {}
        """By priority: urgent requests of a tenant do not use up its share in another priority."""

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        self._queue.append(request)

    def peek(self) -> QueuedRequest | None:
        """The oldest request of the tenant with the smallest start tag."""
        return min(
            self._most_urgent(),
            key=lambda each: (self._state(each).start(each.tenant), each.arrived_s),
            default=None,
        )

    def remove(self, request: QueuedRequest, *, served: bool) -> bool:
        """Remove a request; a served one advances its tenant's finish tag."""
        if not self._remove(request):
            return False
        if served:
            self.charge(request)
        return True

    def charge(self, request: QueuedRequest) -> None:
        """Advance a tenant's finish tag by the cost of a request."""
        self._state(request).serve(request.tenant, request.cost_s)

    def _state(self, request: QueuedRequest) -> "_FairQueueState":
        return self._states.setdefault(request.priority, _FairQueueState())


class _FairQueueState:
    """Virtual time and the tenants' finish tags of one priority."""

    __slots__ = ("_finish", "_virtual")

    def __init__(self) -> None:
        self._finish: dict[str, float] = {}
        self._virtual = 0.0

    def start(self, tenant: str) -> float:
        """Start tag of a tenant's next request."""
        return max(self._virtual, self._finish.get(tenant, 0.0))

    def serve(self, tenant: str, cost: float) -> None:
        """Serve a request; virtual time becomes its start tag."""
        start = self.start(tenant)
        self._virtual = start
        self._finish[tenant] = start + cost
        if len(self._finish) > MAX_TENANTS:
            self._finish = {one: end for one, end in self._finish.items() if end > start}
