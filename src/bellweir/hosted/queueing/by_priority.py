"""What every order has in common: the requests, and the priorities among them."""

from collections.abc import Sequence

from bellweir.hosted.queueing.interface import QueueDiscipline, QueuedRequest


class PriorityDiscipline(QueueDiscipline):
    """Keeps requests in the order of their arrival.

    The queue is bounded and short, so that a look at all of it costs little.
    """

    def __init__(self) -> None:
        self._queue: list[QueuedRequest] = []

    def __len__(self) -> int:
        """How many wait."""
        return len(self._queue)

    def all(self) -> Sequence[QueuedRequest]:
        """All that wait, oldest first."""
        return tuple(self._queue)

    def _first_class(self) -> list[QueuedRequest]:
        """Those of the most urgent priority that waits, oldest first."""
        first = min((each.priority for each in self._queue), default=0)
        return [each for each in self._queue if each.priority == first]

    def _take_out(self, request: QueuedRequest) -> bool:
        for number, each in enumerate(self._queue):
            if each is request:
                del self._queue[number]
                return True
        return False


def displaced_request(queue: Sequence[QueuedRequest], newcomer: QueuedRequest) -> QueuedRequest:
    """Which request makes room for a newcomer in a full queue; the newcomer itself, mostly.

    The least urgent goes first, among these the newest one of the tenant that has most of them; a
    tenant is not displaced by one that has as many, so that a flood displaces only itself.

    >>> old = [QueuedRequest(f"r{n}", "large", 5, n, 9, 9) for n in range(3)]
    >>> displaced_request(old, QueuedRequest("s", "small", 5, 3, 9, 9))
    QueuedRequest('r2', tenant='large', priority=5)
    >>> displaced_request(old, QueuedRequest("r3", "large", 5, 3, 9, 9))
    QueuedRequest('r3', tenant='large', priority=5)
    """
    all_of_them = [*queue, newcomer]
    last = max(each.priority for each in all_of_them)
    least_urgent = [each for each in all_of_them if each.priority == last]
    held: dict[str, int] = {}
    for each in least_urgent:
        held[each.tenant] = held.get(each.tenant, 0) + 1
    most = max(held.values())
    if held.get(newcomer.tenant) == most and newcomer.priority == last:
        return newcomer
    return [each for each in least_urgent if held[each.tenant] == most][-1]
