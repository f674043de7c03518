"""Detects tenants and priorities that recently used more than their fair share of a service.

Most requests start without queueing, so that a queue discipline alone cannot protect tenants.
"""

from bellweir.hosted.queueing.interface import QueuedRequest

HALF_LIFE_S = 1.0
"""Long enough to average over single requests, short enough to notice the end of a burst quickly.
"""
MAX_SHARE_FACTOR = 1.5
"""Multiple of an equal share up to which a tenant counts as within its share."""
MIN_COUNT = 0.05
"""Lower decayed counts are dropped."""
MAX_TENANTS = 4_096


class RecentShares:
    """Decayed request counts by priority and tenant. Guarded by the owner's lock.

    >>> shares = RecentShares()
    >>> large = QueuedRequest("l", "large", 5, 0, 9, 9)
    >>> small = QueuedRequest("s", "small", 5, 0, 9, 9)
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
        """Whether more urgent requests are present or the tenant is beyond its share."""
        equals = [n for (priority, _), n in self._counts.items() if priority == request.priority]
        if any(priority < request.priority for priority, _ in self._counts):
            return True
        own = self._counts.get((request.priority, request.tenant), 0.0)
        return bool(equals) and own > MAX_SHARE_FACTOR * sum(equals) / len(equals)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._as_of_s
        if elapsed_s < HALF_LIFE_S / 10 and len(self._counts) <= MAX_TENANTS:
            return
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        kept = {key: factor * n for key, n in self._counts.items() if factor * n >= MIN_COUNT}
        self._counts = kept
        self._as_of_s = now_s
