"""Holds runs back from workers that refuse a model, as they do while loading its weights.

Otherwise the free slots of such a worker would attract runs that it refuses again. Other models on
the same worker are not affected.

>>> refusals = RefusalBackoff(now_s=lambda: 1.0)
>>> worker = Incarnation("i-1")
>>> refusals.record_refusal(worker, "m")
>>> refusals.may_start(worker, "m"), refusals.may_start(worker, "other")
(False, True)
>>> refusals.record_accepted(worker, "m")
>>> refusals.may_start(worker, "m")
True
"""

import threading
from collections.abc import Callable

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.weights.weight_load_messages import WeightLoadListener
from bellweir.kernel.clock import elapsed_s

REFUSAL_BACKOFF_S = 0.12
MAX_WEIGHT_LOAD_S = 5.0
"""Upper bound of an announced backoff: the message that a load has ended may be lost."""


class _Backoff:
    __slots__ = ("is_probing", "until_s")

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s
        self.is_probing = False


class RefusalBackoff(WeightLoadListener):
    """Backoff by worker and model. Thread-safe.

    After the backoff a worker gets one run at a time until it accepts one. Where a weight load is
    announced, the backoff starts before the first refusal and lasts for the expected load time.

    Every `record_start` must be followed by one of `record_accepted`, `record_refusal` and
    `record_end`.
    """

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._backoffs: dict[tuple[Incarnation, str], _Backoff] = {}

    def may_start(self, worker: Incarnation, model: str) -> bool:
        """Return whether a run of a model may be sent to a worker now."""
        with self._lock:
            backoff = self._backoffs.get((worker, model))
            return backoff is None or (not backoff.is_probing and self._now_s() >= backoff.until_s)

    def paused_worker_count(self) -> int:
        """Number of workers that get no runs of some model now."""
        with self._lock:
            now_s = self._now_s()
            return len({key[0] for key, one in self._backoffs.items() if now_s < one.until_s})

    def record_start(self, worker: Incarnation, model: str) -> None:
        """Record that a run is sent; after a refusal no other run is sent until it is answered."""
        with self._lock:
            backoff = self._backoffs.get((worker, model))
            if backoff is not None:
                backoff.is_probing = True

    def record_accepted(self, worker: Incarnation, model: str) -> None:
        """Record that the worker accepted a run, which ends the backoff."""
        with self._lock:
            self._backoffs.pop((worker, model), None)

    def record_refusal(self, worker: Incarnation, model: str) -> None:
        """Record that the worker refused a run without starting it."""
        with self._lock:
            self._back_off(worker, model, REFUSAL_BACKOFF_S)

    def on_weight_load_update(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Back off while a worker loads a model's weights; 0 ends the backoff."""
        with self._lock:
            if for_s > 0:
                self._back_off(worker, model, min(for_s, MAX_WEIGHT_LOAD_S))
            else:
                self._backoffs.pop((worker, model), None)

    def _back_off(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Restart the backoff; it never ends before an earlier one would have."""
        until_s = self._now_s() + for_s
        known = self._backoffs.get((worker, model))
        if known is not None:
            until_s = max(until_s, known.until_s)
        self._backoffs[worker, model] = _Backoff(until_s)

    def record_end(self, worker: Incarnation, model: str) -> None:
        """Record that a run ended without showing whether the worker accepts runs."""
        with self._lock:
            backoff = self._backoffs.get((worker, model))
            if backoff is not None:
                backoff.is_probing = False

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Drop the state of all other workers."""
        with self._lock:
            kept = {key: one for key, one in self._backoffs.items() if key[0] in incarnations}
            self._backoffs = kept
