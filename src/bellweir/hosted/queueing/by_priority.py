"""Common base of the queue disciplines: waiting requests and their priority classes."""

from collections.abc import Sequence

from bellweir.hosted.queueing.interface import QueueDiscipline, QueuedRequest


class PriorityDiscipline(QueueDiscipline):
    """Keeps requests in order of arrival.

    Operations are linear scans, since the queue is short and bounded.
    """

    def __init__(self) -> None:
        self._queue: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def all(self) -> Sequence[QueuedRequest]:
        """All waiting requests, oldest first."""
        return tuple(self._queue)

    def _most_urgent(self) -> list[QueuedRequest]:
        """Waiting requests of the most urgent priority present, oldest first."""
        first = min((each.priority for each in self._queue), default=0)
        return [each for each in self._queue if each.priority == first]

    def _remove(self, request: QueuedRequest) -> bool:
        for number, each in enumerate(self._queue):
            if each is request:
                del self._queue[number]
                return True
        return False


def displaced_request(queue: Sequence[QueuedRequest], newcomer: QueuedRequest) -> QueuedRequest:
    """Which request a full queue drops for a new one; possibly the new one itself.

    Drops the newest request of the tenant with the most requests in the least urgent priority. A
    tenant is not displaced by one with as many requests, so that a flood displaces only itself.

    >>> old = [QueuedRequest(f"r{n}", "large", 5, n, 9, 9) for n in range(3)]
    >>> displaced_request(old, QueuedRequest("s", "small", 5, 3, 9, 9))
    QueuedRequest('r2', tenant='large', priority=5)
    >>> displaced_request(old, QueuedRequest("r3", "large", 5, 3, 9, 9))
    QueuedRequest('r3', tenant='large', priority=5)
    """
    requests = [*queue, newcomer]
    last = max(each.priority for each in requests)
    least_urgent = [each for each in requests if each.priority == last]
    counts: dict[str, int] = {}
    for each in least_urgent:
        counts[each.tenant] = counts.get(each.tenant, 0) + 1
    most = max(counts.values())
    if counts.get(newcomer.tenant) == most and newcomer.priority == last:
        return newcomer
    return [each for each in least_urgent if counts[each.tenant] == most][-1]
