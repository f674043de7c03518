"""Holds runs back from workers that refuse a model, as they do while they load its weights.

A worker that refused a run is left alone for a moment and then gets one run at a time, until it
takes one. Without that, every free slot of a worker that loads would be tried again and again:
its own requests in hand are few, so it looks like the best choice. Other models of the same
worker are not touched.

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

PAUSE_S = 0.12
"""Time after a refusal before the worker is tried again."""


class _Refusal:
    __slots__ = ("is_tried", "until_s")

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s
        self.is_tried = False


class RefusalGuard:
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
            self._refusals[worker, model] = _Refusal(self._now_s() + PAUSE_S)

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
