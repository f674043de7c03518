"""Tells workers that fail whatever they get from items that fail wherever they run.

A worker that fails at once has free places at once, so that it looks like the best choice and would
swallow item after item. What tells it apart is the comparison with its fellows: it has failed
several items in a row, with nothing served between them, while most of its fellows have not, or
while one of them has served something since. Such a worker is left alone for a while and then
gets one run at a time. No more than half of a service is left alone: where more of it fails, a
worker that fails is still better than none.

An item's answers of 500 count where they came from workers that are not failing everything.

>>> failing = WorkerQuarantine(now_s=lambda: 1.0)
>>> workers = [Incarnation(name) for name in ("i-1", "i-2", "i-3")]
>>> failing.failed(workers[0], "item-1"), failing.failed(workers[0], "item-2")
(1, 2)
>>> [failing.may_start(worker, workers) for worker in workers]
[False, True, True]
>>> failing.has_exhausted_retries([workers[0], workers[1]], 2, workers)
False
"""

import threading
import time
from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.incarnation import Incarnation

FEWEST_ITEMS = 2
"""Items that a worker fails in a row before it may count as failing everything: one may be an item
that fails wherever it runs."""
UNASKED_SHARE = 1 / 3
"""Share of a service up to which failing workers are told apart before a fellow has served."""
LARGEST_SHARE = 1 / 2
"""Share of a service that is left alone at most."""
PAUSE_S = 0.5
"""Time after a failure before a worker that is left alone is tried; doubled with each try."""
MOST_DOUBLINGS = 8
LONGEST_PAUSE_S = 4.0
MOST_ANSWERS_FACTOR = 3
"""So many times its allowed answers of 500 may an item get of all workers and leaders."""
LEADERS = 2
"""Leaders in turn that keep within that, though the next one knows nothing of earlier answers."""


class _Row:
    """Failures of a worker with nothing served between them."""

    __slots__ = ("failures", "items", "since_s", "trial", "tries", "until_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.items: set[str] = set()
        self.failures = 0
        self.tries = 0
        self.trial: str | None = None
        """The item by which it is tried now."""
        self.until_s = since_s

    @property
    def is_long(self) -> bool:
        return len(self.items) >= FEWEST_ITEMS


class WorkerQuarantine:
    """What failed lately, by worker. Safe for threads.

    Every run that `started` was called for ends with `ended`.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._rows: dict[Incarnation, _Row] = {}
        self._served_s: dict[Incarnation, float] = {}

    def succeeded(self, worker: Incarnation, began_s: float) -> bool:
        """Note that something came of a run that began at the monotonic time `began_s`.

        A run that began before the worker's first failure tells nothing of new ones. Return
        whether it ended a row of failures that the worker could be left alone for.
        """
        with self._lock:
            self._served_s[worker] = self._now_s()
            row = self._rows.get(worker)
            if row is None or began_s < row.since_s:
                return False
            del self._rows[worker]
            return row.is_long

    def failed(self, worker: Incarnation, item_id: str) -> int:
        """Note that a worker failed an item by its own answer; return its failures in a row."""
        with self._lock:
            now_s = self._now_s()
            row = self._rows.setdefault(worker, _Row(now_s))
            if len(row.items) < FEWEST_ITEMS:
                row.items.add(item_id)
            row.failures += 1
            if row.trial == item_id:
                row.tries += 1
            row.until_s = now_s + min(
                LONGEST_PAUSE_S, PAUSE_S * 2 ** min(row.tries, MOST_DOUBLINGS)
            )
            return row.failures

    def started(self, worker: Incarnation, item_id: str) -> None:
        """Note that a run is sent; a worker that is left alone is tried by one at a time."""
        with self._lock:
            row = self._rows.get(worker)
            if row is not None and row.is_long and row.trial is None:
                row.trial = item_id

    def ended(self, worker: Incarnation, item_id: str) -> None:
        """Note that a run has ended, whatever it told."""
        with self._lock:
            row = self._rows.get(worker)
            if row is not None and row.trial == item_id:
                row.trial = None

    def failing_workers(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        """Return those of a service's workers that fail everything while their fellows don't."""
        with self._lock:
            return self._failing_all(service)

    def may_start(
        self, worker: Incarnation, service: Collection[Incarnation], *, is_trial: bool = True
    ) -> bool:
        """Tell whether a run may be sent to one of a service's workers now.

        Without `is_trial` the run is none to try a failing worker by.
        """
        with self._lock:
            row = self._rows.get(worker)
            if row is None or worker not in self._left_alone(service):
                return True
            return is_trial and self._may_try(row)

    def left_alone(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        """Return those of a service's workers that get no more than trials."""
        with self._lock:
            return self._left_alone(service)

    def may_try(self, worker: Incarnation) -> bool:
        """Tell whether a worker that is left alone may be tried by a run now."""
        with self._lock:
            row = self._rows.get(worker)
            return row is None or self._may_try(row)

    def _may_try(self, row: "_Row") -> bool:
        return row.trial is None and self._now_s() >= row.until_s

    def has_exhausted_retries(
        self, failed_at: Sequence[Incarnation], allowed: int, service: Collection[Incarnation]
    ) -> bool:
        """Tell whether an item has failed too often.

        `failed_at` names the worker of each answer of 500; `allowed` is how many of workers that
        serve others an item may get.
        """
        failing = self.failing_workers(service)
        counted = sum(worker not in failing for worker in failed_at)
        return counted >= allowed or len(failed_at) >= max_server_errors(allowed)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        with self._lock:
            self._rows = {key: row for key, row in self._rows.items() if key in incarnations}
            self._served_s = {k: at for k, at in self._served_s.items() if k in incarnations}

    def _failing_all(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        found = {one: row for one in service if (row := self._rows.get(one)) and row.is_long}
        if not found:
            return frozenset()
        if len(found) <= UNASKED_SHARE * len(service):
            return frozenset(found)
        served_s = {one: at_s for one in service if (at_s := self._served_s.get(one)) is not None}
        return frozenset(
            one
            for one, row in found.items()
            if any(at_s > row.since_s for other, at_s in served_s.items() if other != one)
        )

    def _left_alone(self, service: Collection[Incarnation]) -> frozenset[Incarnation]:
        failing = self._failing_all(service)
        most = int(LARGEST_SHARE * len(service))
        if len(failing) <= most:
            return failing
        worst = sorted(failing, key=lambda one: (-self._rows[one].failures, one))
        return frozenset(worst[:most])


def max_server_errors(allowed: int) -> int:
    """Return the answers of 500, whoever gave them, after which one leader gives an item up.

    >>> [max_server_errors(allowed) for allowed in (1, 2, 3, 4)]
    [2, 3, 5, 6]
    """
    return -(-MOST_ANSWERS_FACTOR * allowed // LEADERS)
