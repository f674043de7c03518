"""Holds runs back from workers that refuse a model, as they do while they load its weights.

A worker that refused a run is left alone for a moment and then gets one run at a time, until it
takes one. Without that, every free slot of a worker that loads would be tried again and again:
its own requests in hand are few, so it looks like the best choice. Other models of the same
worker are not touched.

Where the node that orders loads tells of them, the worker is left alone before it has refused
anything, for as long as the load is expected to take.

>>> refusals = RefusalGuard(now_s=lambda: 1.0)
>>> worker = Incarnation("i-1")
>>> refusals.refused(worker, "m")
>>> refusals.may_begin(worker, "m"), refusals.may_begin(worker, "other")
(False, True)
>>> refusals.accepted(worker, "m")
>>> refusals.may_begin(worker, "m")
True
"""

import threading
import time
from collections.abc import Callable

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.weights.weight_load_messages import WeightLoadListener

PAUSE_S = 0.12
"""Time after a refusal before the worker is tried again."""
LONGEST_LOAD_S = 5.0
"""A worker is tried again after this time, whatever was told of its load: the word that the load
has ended may be lost."""


class _Refusal:
    __slots__ = ("is_tried", "until_s")

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s
        self.is_tried = False


class RefusalGuard(WeightLoadListener):
    """What refused lately, by worker and model. Safe for threads.

    Every run that `begun` was called for ends with one of `accepted`, `refused` and `ended`.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._refusals: dict[tuple[Incarnation, str], _Refusal] = {}

    def may_begin(self, worker: Incarnation, model: str) -> bool:
        """Tell whether a run of a model may be sent to a worker now."""
        with self._lock:
            found = self._refusals.get((worker, model))
            return found is None or (not found.is_tried and self._now_s() >= found.until_s)

    def left_alone_count(self) -> int:
        """Workers that get no run of some model now."""
        with self._lock:
            now_s = self._now_s()
            return len({key[0] for key, one in self._refusals.items() if now_s < one.until_s})

    def begun(self, worker: Incarnation, model: str) -> None:
        """Note that a run is sent; after a refusal no other one is until it is answered."""
        with self._lock:
            found = self._refusals.get((worker, model))
            if found is not None:
                found.is_tried = True

    def accepted(self, worker: Incarnation, model: str) -> None:
        """Note that the worker took a run: it may get as many as it has room for."""
        with self._lock:
            self._refusals.pop((worker, model), None)

    def refused(self, worker: Incarnation, model: str) -> None:
        """Note that the worker refused a run without running it."""
        with self._lock:
            self._leave_alone(worker, model, PAUSE_S)

    def on_weight_load_update(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Leave a worker alone while it loads; 0: it may get as many runs as it has room for."""
        with self._lock:
            if for_s > 0:
                self._leave_alone(worker, model, min(for_s, LONGEST_LOAD_S))
            else:
                self._refusals.pop((worker, model), None)

    def _leave_alone(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Begin anew with one run at a time, and not before an earlier word allows it."""
        until_s = self._now_s() + for_s
        known = self._refusals.get((worker, model))
        if known is not None:
            until_s = max(until_s, known.until_s)
        self._refusals[worker, model] = _Refusal(until_s)

    def ended(self, worker: Incarnation, model: str) -> None:
        """Note that a run ended without telling whether the worker takes runs."""
        with self._lock:
            found = self._refusals.get((worker, model))
            if found is not None:
                found.is_tried = False

    def forget_others(self, incarnations: set[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        with self._lock:
            kept = {key: one for key, one in self._refusals.items() if key[0] in incarnations}
            self._refusals = kept
