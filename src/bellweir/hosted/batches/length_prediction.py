"""Predicts how many events an item's text will have.

Sources, the best first: events of an earlier run of the item, the caller's estimate in tokens
(converted by a ratio learned from completed texts), and the mean of completed texts.

>>> lengths = LengthPredictor()
>>> lengths.record_completed("a", 100, 20)
>>> round(lengths.predict_events("b", 50)), round(lengths.predict_events("c", None))
(10, 20)
>>> lengths.record_events("d", 160)
>>> lengths.predict_events("d", 50)
160.0
"""

import math
import threading
from collections import OrderedDict

SMOOTHING_FACTOR = 0.05
"""Weight of the newest text in the moving averages."""
MAX_ITEMS = 4_096
"""Items whose event counts are kept; the oldest is evicted first."""


class LengthPredictor:
    """Predicts lengths of texts. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events_by_item: OrderedDict[str, int] = OrderedDict()
        self._log_tokens_per_event: float | None = None
        """Moving average of log(estimated tokens / events)."""
        self._mean_events = 1.0
        self._completed_texts = 0

    def record_events(self, item_id: str, events: int) -> None:
        """Record the events of a run of an item, which may be incomplete."""
        with self._lock:
            self._events_by_item[item_id] = max(events, self._events_by_item.pop(item_id, 0))
            while len(self._events_by_item) > MAX_ITEMS:
                self._events_by_item.popitem(last=False)

    def record_completed(self, item_id: str, estimated_tokens: float | None, events: int) -> None:
        """Record a complete text and the estimate of its caller."""
        self.record_events(item_id, events)
        if events <= 0:
            return
        with self._lock:
            weight = max(SMOOTHING_FACTOR, 1 / (self._completed_texts + 1))
            self._completed_texts += 1
            self._mean_events += weight * (events - self._mean_events)
            if estimated_tokens is not None and estimated_tokens > 0:
                observed = math.log(estimated_tokens / events)
                previous = (
                    observed if self._log_tokens_per_event is None else self._log_tokens_per_event
                )
                self._log_tokens_per_event = previous + weight * (observed - previous)

    @property
    def is_calibrated(self) -> bool:
        """Whether any text is complete; before, predictions are only good for ranking."""
        with self._lock:
            return self._completed_texts > 0

    def predict_events(self, item_id: str, estimated_tokens: float | None) -> float:
        """Return the predicted number of events of an item's text."""
        with self._lock:
            observed_events = float(self._events_by_item.get(item_id, 0))
            if estimated_tokens is None or estimated_tokens <= 0:
                return observed_events or self._mean_events
            # Before the first text is complete only the ranking of the estimates matters.
            log_tokens_per_event = (
                self._log_tokens_per_event if self._log_tokens_per_event is not None else 0.0
            )
            return max(observed_events, estimated_tokens / math.exp(log_tokens_per_event))
