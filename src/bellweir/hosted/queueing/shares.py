"""Who lately got more of a service than its fair share, and who is less urgent than others.

The load it answers: one tenant, or less urgent requests, so many that they take each place as it
gets free. Most requests never wait in the queue, so that its order alone protects nobody. Those
beyond their share leave a reserve to the others; it costs nothing while there is room.
"""

from bellweir.hosted.queueing.interface import QueuedRequest

HALF_LIFE_S = 1.0
"""Requests count half after this time: long enough that a share is not one request's chance, short
enough that a burst's end is known within a few answers."""
BEYOND = 1.5
"""Times an equal share that a tenant may have before it counts as beyond it."""
LEAST_COUNT = 0.05
"""A tenant or priority whose decayed count is below does not take part any more."""
MOST_TENANTS = 4_096


class RecentShares:
    """Decayed counts of the requests that came, by priority and tenant. Its owner's lock guards it.

    >>> shares = RecentShares()
    >>> large, small = QueuedRequest("l", "large", 5, 0, 9, 9), QueuedRequest("s", "small", 5, 0, 9, 9)
    >>> for one in (large, large, large, large, small):
    ...     shares.record(one, 0.0)
    >>> shares.exceeds_share(large), shares.exceeds_share(small)
    (True, False)
    """

    __slots__ = ("_as_of_s", "_counts")

    def __init__(self) -> None:
        self._counts: dict[tuple[int, str], float] = {}
        self._as_of_s = 0.0

    def record(self, request: QueuedRequest, now_s: float) -> None:
        """Count a request."""
        self._decay(now_s)
        key = (request.priority, request.tenant)
        self._counts[key] = self._counts.get(key, 0.0) + 1.0

    def exceeds_share(self, request: QueuedRequest) -> bool:
        """Whether more urgent requests come, too, or its tenant has more than its share."""
        equals = [n for (priority, _), n in self._counts.items() if priority == request.priority]
        if any(priority < request.priority for priority, _ in self._counts):
            return True
        own = self._counts.get((request.priority, request.tenant), 0.0)
        return bool(equals) and own > BEYOND * sum(equals) / len(equals)

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._as_of_s
        if passed_s < HALF_LIFE_S / 10 and len(self._counts) <= MOST_TENANTS:
            return
        factor = 0.5 ** (passed_s / HALF_LIFE_S)
        kept = {key: factor * n for key, n in self._counts.items() if factor * n >= LEAST_COUNT}
        self._counts = kept
        self._as_of_s = now_s
