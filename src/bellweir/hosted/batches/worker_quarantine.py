"""Quarantines workers that fail every run, as opposed to items that fail on every worker.

A worker that fails at once has free slots at once and would attract item after item.

>>> quarantine = WorkerQuarantine(now_s=lambda: 1.0)
>>> workers = [Incarnation(name) for name in ("i-1", "i-2", "i-3")]
>>> quarantine.record_failure(workers[0], "item-1"), quarantine.record_failure(workers[0], "item-2")
(1, 2)
>>> [quarantine.may_start(worker, workers) for worker in workers]
[False, True, True]
>>> quarantine.has_exhausted_retries([workers[0], workers[1]], 2, workers)
False
"""

import math
import threading
from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.incarnation import Incarnation
from bellweir.kernel.clock import elapsed_s

MIN_FAILED_ITEMS = 2
"""Distinct items in a row; a single one may be an item that fails on every worker."""
UNCONFIRMED_SHARE = 1 / 3
"""Share of a service that may count as failing before another worker has succeeded."""
MAX_QUARANTINED_SHARE = 1 / 2
INITIAL_BACKOFF_S = 0.5
"""Delay between a failure and the first probe; doubled with each failed probe."""
MAX_DOUBLINGS = 8
MAX_BACKOFF_S = 4.0
MAX_SERVER_ERRORS_FACTOR = 3
"""An item gets at most this multiple of its allowed responses of 500, over all leaders and jobs."""
RECORDED_SHARE = 1 / 2
"""Share of them after which an item is given up for good; the others are for responses that leaders
were lost before they recorded."""


class _FailureStreak:
    """Consecutive failures of a worker."""

    __slots__ = ("failures", "items", "probe_from_s", "probe_item", "probes", "since_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.items: set[str] = set()
        self.failures = 0
        self.probes = 0
        self.probe_item: str | None = None
        """The item that probes the worker now."""
        self.probe_from_s = since_s

    @property
    def is_suspect(self) -> bool:
        return len(self.items) >= MIN_FAILED_ITEMS


class WorkerQuarantine:
    """Quarantines failing workers. Thread-safe.

    A worker counts as failing when it failed several items in a row while most workers of its
    service did not, or while another one has succeeded since. It is quarantined with exponential
    backoff and then probed with one run at a time. At most half of a service is quarantined: where
    more of it fails, a failing worker is better than none.

    Every `record_start` must be followed by `record_end`.
    """

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._streaks: dict[Incarnation, _FailureStreak] = {}
        self._last_success_s: dict[Incarnation, float] = {}

    def record_success(self, worker: Incarnation, started_s: float) -> bool:
        """Record output of a run that started at the monotonic time `started_s`.

        A run that started before the first failure doesn't end the streak. Return whether a
        streak ended that could have quarantined the worker.
        """
        with self._lock:
            self._last_success_s[worker] = self._now_s()
            streak = self._streaks.get(worker)
            if streak is None or started_s < streak.since_s:
                return False
            del self._streaks[worker]
            return streak.is_suspect

    def record_failure(self, worker: Incarnation, item_id: str) -> int:
        """Record an error response of a worker; return its number of consecutive failures."""
        with self._lock:
            now_s = self._now_s()
            streak = self._streaks.setdefault(worker, _FailureStreak(now_s))
            if len(streak.items) < MIN_FAILED_ITEMS:
                streak.items.add(item_id)
            streak.failures += 1
            if streak.probe_item == item_id:
                streak.probes += 1
            streak.probe_from_s = now_s + min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(streak.probes, MAX_DOUBLINGS)
            )
            return streak.failures

    def record_start(self, worker: Incarnation, item_id: str) -> None:
        """Record that a run is sent; a suspect worker is probed by one run at a time."""
        with self._lock:
            streak = self._streaks.get(worker)
            if streak is not None and streak.is_suspect and streak.probe_item is None:
                streak.probe_item = item_id

    def record_end(self, worker: Incarnation, item_id: str) -> None:
        """Record that a run has ended, with any outcome."""
        with self._lock:
            streak = self._streaks.get(worker)
            if streak is not None and streak.probe_item == item_id:
                streak.probe_item = None

    def failing_workers(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        """Return the workers of a service that fail all runs while others don't."""
        with self._lock:
            return self._failing_workers(service)

    def may_start(
        self, worker: Incarnation, service: Collection[Incarnation], *, allows_probe: bool = True
    ) -> bool:
        """Return whether a run may be sent to a worker now.

        `allows_probe`: whether the run may probe a quarantined worker.
        """
        with self._lock:
            streak = self._streaks.get(worker)
            if streak is None or worker not in self._quarantined(service):
                return True
            return allows_probe and self._may_probe(streak)

    def quarantined(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        """Return the workers of a service that get no runs but probes."""
        with self._lock:
            return self._quarantined(service)

    def may_probe(self, worker: Incarnation) -> bool:
        """Return whether a quarantined worker may be probed now."""
        with self._lock:
            streak = self._streaks.get(worker)
            return streak is None or self._may_probe(streak)

    def _may_probe(self, streak: "_FailureStreak") -> bool:
        return streak.probe_item is None and self._now_s() >= streak.probe_from_s

    def has_exhausted_retries(
        self,
        failed_at: Sequence[Incarnation],
        allowed: int,
        service: Collection[Incarnation],
        *,
        has_failed_now: bool = True,
    ) -> bool:
        """Return whether an item has failed too often.

        `failed_at` has the worker of each response of 500; `allowed` is the number of such
        responses from workers that are not failing. Without one in its present job
        (`has_failed_now`) an item that used up these runs gets another one, since what failed it
        may have passed.
        """
        if len(failed_at) >= max_server_errors(allowed):
            return True
        failing = self.failing_workers(service)
        counted = sum(worker not in failing for worker in failed_at)
        return has_failed_now and counted >= allowed

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the state of all other workers."""
        with self._lock:
            self._streaks = {
                key: streak for key, streak in self._streaks.items() if key in incarnations
            }
            self._last_success_s = {
                k: at for k, at in self._last_success_s.items() if k in incarnations
            }

    def _failing_workers(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        suspects = {
            one: streak
            for one in service
            if (streak := self._streaks.get(one)) and streak.is_suspect
        }
        if not suspects:
            return frozenset()
        if len(suspects) <= UNCONFIRMED_SHARE * len(service):
            return frozenset(suspects)
        last_success_s = {
            one: at_s for one in service if (at_s := self._last_success_s.get(one)) is not None
        }
        return frozenset(
            one
            for one, streak in suspects.items()
            if any(at_s > streak.since_s for other, at_s in last_success_s.items() if other != one)
        )

    def _quarantined(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        failing = self._failing_workers(service)
        limit = int(MAX_QUARANTINED_SHARE * len(service))
        if len(failing) <= limit:
            return failing
        worst = sorted(failing, key=lambda one: (-self._streaks[one].failures, one))
        return frozenset(worst[:limit])


def max_server_errors(allowed: int) -> int:
    """Return the responses of 500, from any worker, after which an item is given up.

    >>> [max_server_errors(allowed) for allowed in (1, 2, 3, 4)]
    [2, 3, 5, 6]
    """
    return math.ceil(RECORDED_SHARE * MAX_SERVER_ERRORS_FACTOR * allowed)
