"""Start-time fair queueing: a tenant's requests get start tags; the smallest goes first.

Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM 1996, with equal weights.
"""

from bellweir.hosted.queueing.by_priority import PriorityDiscipline
from bellweir.hosted.queueing.interface import QueuedRequest

MOST_TENANTS = 4_096
"""Tenants whose tags are kept; beyond it those that fell behind the virtual time go."""


class StartTimeFairQueueing(PriorityDiscipline):
    """Counts what each tenant is given, that of requests that did not wait included.

    >>> discipline = StartTimeFairQueueing()
    >>> discipline.charge(QueuedRequest("l0", "large", 5, 0, 9, 9))
    >>> discipline.push(QueuedRequest("l1", "large", 5, 0, 9, 9))
    >>> discipline.push(QueuedRequest("s1", "small", 5, 1, 9, 9))
    >>> discipline.peek()
    QueuedRequest('s1', tenant='small', priority=5)
    """

    def __init__(self) -> None:
        super().__init__()
        self._tags: dict[int, _Tags] = {}
        """By priority: a more urgent tenant's requests do not use up another one's share."""

    def push(self, request: QueuedRequest) -> None:
        """Add one."""
        self._queue.append(request)

    def peek(self) -> QueuedRequest | None:
        """The oldest request of the tenant with the smallest start tag."""
        return min(
            self._first_class(),
            key=lambda each: (self._of(each).start(each.tenant), each.arrived_s),
            default=None,
        )

    def remove(self, request: QueuedRequest, *, served: bool) -> bool:
        """Take one out; one that is served moves its tenant's tag on."""
        if not self._take_out(request):
            return False
        if served:
            self.charge(request)
        return True

    def charge(self, request: QueuedRequest) -> None:
        """Move a tenant's tag on by what one request costs."""
        self._of(request).serve(request.tenant, request.cost_s)

    def _of(self, request: QueuedRequest) -> "_Tags":
        return self._tags.setdefault(request.priority, _Tags())


class _Tags:
    """Virtual time of one priority, and where what each tenant was given ends in it."""

    __slots__ = ("_finish", "_virtual")

    def __init__(self) -> None:
        self._finish: dict[str, float] = {}
        self._virtual = 0.0

    def start(self, tenant: str) -> float:
        """Start tag of a tenant's next request."""
        return max(self._virtual, self._finish.get(tenant, 0.0))

    def serve(self, tenant: str, cost: float) -> None:
        """Give a tenant one request's cost; virtual time is the start tag of the one served."""
        start = self.start(tenant)
        self._virtual = start
        self._finish[tenant] = start + cost
        if len(self._finish) > MOST_TENANTS:
            self._finish = {one: end for one, end in self._finish.items() if end > start}
