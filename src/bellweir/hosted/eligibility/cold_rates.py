"""Limits the rate at which all processes together send requests to a cold worker.

Processes that may be cut from each other can't count together, so each has a fixed share of the
rate. Coordinators of jobs have a part of it, of which two may use each its own while one takes over
from the other. The rest is for gateways: a few of them, chosen for each worker by consistent
hashing among those alive, send it one request a second each. A gateway that sees at most half of
the gateways that it saw before sends none, so that one side of a split at most does.

The sum of the shares is at most half of the bound, so two full sets of senders may overlap.

>>> limit = ColdLimit(per_s=7.9, bound=16.85)
>>> limit.total, limit.for_jobs(has_engines=True), limit.for_gateways(has_engines=True)
(7, 5, 2)
>>> limiter = ColdRateLimiter(now_s=lambda: 1.0)
>>> [limiter.try_start(Incarnation("i"), 2) for _ in range(3)]
[True, True, False]
"""

import bisect
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Collection

import xxhash

from bellweir.hosted.incarnation import Incarnation
from bellweir.kernel.clock import elapsed_s
from bellweir.membership.interface import Membership, MemberState

WINDOW_S = 1.0
JOB_SHARE = 0.75
"""Part for jobs at services with engines, where most requests are items of jobs."""
MIN_JOB_SHARE = 0.25
"""Part for jobs at other services: requests that score texts."""
REFRESH_INTERVAL_S = 0.25
"""Interval at which a gateway looks at which gateways are alive."""
SEEN_FOR_S = 30.0
"""Time for which gateways that were seen count as existing."""


class ColdLimit:
    """Request rate of one cold worker."""

    __slots__ = ("bound", "per_s")

    def __init__(self, per_s: float, bound: float) -> None:
        """`per_s`: requests a second that it bears; `bound`: most in any second, never exceeded."""
        self.per_s = per_s
        self.bound = bound

    @property
    def total(self) -> int:
        """Requests in any second by one full set of senders; at least one."""
        return max(1, int(min(self.per_s, self.bound / 2)))

    def for_jobs(self, *, has_engines: bool) -> int:
        """Share of a coordinator of jobs."""
        if self.total == 1:
            return int(has_engines)
        return max(1, int(self.total * (JOB_SHARE if has_engines else MIN_JOB_SHARE)))

    def for_gateways(self, *, has_engines: bool) -> int:
        """Share of all gateways together."""
        return self.total - self.for_jobs(has_engines=has_engines)


class SenderShare(ABC):
    """Share of the rate of a cold worker that belongs to the calling process."""

    @abstractmethod
    def allowed(self, worker: Incarnation, limit: ColdLimit, *, has_engines: bool) -> int:
        """Return how many requests this process may send to a worker in any second."""


class CoordinatorShare(SenderShare):
    """The share of jobs; only their leader uses it, and its successor for a moment."""

    def allowed(self, worker: Incarnation, limit: ColdLimit, *, has_engines: bool) -> int:
        """Return the whole share of jobs."""
        return limit.for_jobs(has_engines=has_engines)


class GatewayShare(SenderShare):
    """One request a second at the workers for which this gateway is chosen."""

    def __init__(self, membership: Membership, now_s: Callable[[], float] = elapsed_s) -> None:
        self._membership = membership
        self._now_s = now_s
        self._lock = threading.Lock()
        self._seen_s: dict[str, float] = {}
        self._ring = SenderRing(())
        """Live gateways; empty if this one sees too few of them."""
        self._refreshed_s = float("-inf")

    def allowed(self, worker: Incarnation, limit: ColdLimit, *, has_engines: bool) -> int:
        """Return 1 for a chosen gateway, otherwise 0."""
        count = limit.for_gateways(has_engines=has_engines)
        with self._lock:
            self._refresh_if_due()
            ring = self._ring
        return int(self._membership.self_member().node in ring.senders(worker, count))

    def _refresh_if_due(self) -> None:
        now_s = self._now_s()
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        live = [
            member.node
            for member in self._membership.members()
            if member.gateway_address and member.state is MemberState.ALIVE
        ]
        self._seen_s |= dict.fromkeys(live, now_s)
        self._seen_s = {
            node: at_s for node, at_s in self._seen_s.items() if now_s - at_s <= SEEN_FOR_S
        }
        self._ring = SenderRing(live if 2 * len(live) > len(self._seen_s) else ())


class SenderRing:
    """Consistent hashing of workers to gateways, equal for equal sets of gateways.

    >>> ring = SenderRing(["a", "b", "c"])
    >>> ring.senders(Incarnation("i-1"), 2) == SenderRing(["c", "b", "a"]).senders(
    ...     Incarnation("i-1"), 2
    ... )
    True
    >>> len(ring.senders(Incarnation("i-1"), 5)), SenderRing(()).senders(Incarnation("i-1"), 1)
    (3, [])
    """

    __slots__ = ("_hashes", "_nodes")

    def __init__(self, nodes: Collection[str]) -> None:
        placed = sorted((xxhash.xxh3_64_intdigest(node.encode()), node) for node in nodes)
        self._hashes = [place for place, _ in placed]
        self._nodes = [node for _, node in placed]

    def senders(self, worker: Incarnation, count: int) -> list[str]:
        """Return the `count` gateways that follow a worker's place, fewer if there are not enough.

        All incarnations of a worker have the same place.
        """
        place = xxhash.xxh3_64_intdigest(worker.instance.encode())
        first = bisect.bisect(self._hashes, place)
        following = [*self._nodes[first : first + count], *self._nodes[:first]]
        return following[:count]


class ColdRateLimiter:
    """Counts this process's requests to cold workers over a sliding second. Safe for threads."""

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._sent_s: dict[Incarnation, deque[float]] = {}

    def may_start(self, worker: Incarnation, allowed: int) -> bool:
        """Whether a worker may get one more of `allowed` requests in the second that ends now."""
        with self._lock:
            return self._count(worker) < allowed

    def try_start(self, worker: Incarnation, allowed: int) -> bool:
        """Count one more request if it is within `allowed`."""
        with self._lock:
            if self._count(worker) >= allowed:
                return False
            self._record(worker)
            return True

    def record(self, worker: Incarnation) -> None:
        """Count a request to a worker that is not limited now; it may turn cold this second."""
        with self._lock:
            self._count(worker)
            self._record(worker)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the counts of workers not listed."""
        with self._lock:
            self._sent_s = {one: sent for one, sent in self._sent_s.items() if one in incarnations}

    def _record(self, worker: Incarnation) -> None:
        self._sent_s.setdefault(worker, deque()).append(self._now_s())

    def _count(self, worker: Incarnation) -> int:
        sent = self._sent_s.get(worker)
        if sent is None:
            return 0
        since_s = self._now_s() - WINDOW_S
        while sent and sent[0] <= since_s:
            sent.popleft()
        return len(sent)
