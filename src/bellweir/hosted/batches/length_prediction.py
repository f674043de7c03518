"""How many events an item's text will have, as far as anything tells.

Three sources, the best first: what an earlier run of the same item made (an item that comes again
makes as much again), what the caller guesses, and the mean of the texts that ended. Callers guess
in tokens; how many tokens make an event is learnt from the texts that ended.

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

SMOOTHING = 0.05
"""Weight of the newest text."""
MAXIMUM_ITEMS = 4_096
"""Items whose events are remembered; the oldest goes first."""


class LengthPredictor:
    """Expected lengths of texts. Safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: OrderedDict[str, int] = OrderedDict()
        self._log_tokens: float | None = None
        """Logarithm of the tokens guessed for one event that was made, smoothed."""
        self._mean_events = 1.0
        self._texts = 0

    def record_events(self, item_id: str, events: int) -> None:
        """Note the events that a run of an item has made."""
        with self._lock:
            self._seen[item_id] = max(events, self._seen.pop(item_id, 0))
            while len(self._seen) > MAXIMUM_ITEMS:
                self._seen.popitem(last=False)

    def record_completed(self, item_id: str, guessed_tokens: float | None, events: int) -> None:
        """Note a whole text and what its caller had guessed."""
        self.record_events(item_id, events)
        if events <= 0:
            return
        with self._lock:
            weight = max(SMOOTHING, 1 / (self._texts + 1))
            self._texts += 1
            self._mean_events += weight * (events - self._mean_events)
            if guessed_tokens is not None and guessed_tokens > 0:
                found = math.log(guessed_tokens / events)
                known = found if self._log_tokens is None else self._log_tokens
                self._log_tokens = known + weight * (found - known)

    @property
    def is_calibrated(self) -> bool:
        """Whether a text has ended, so that expectations are in events; before, they only rank."""
        with self._lock:
            return self._texts > 0

    def predict_events(self, item_id: str, guessed_tokens: float | None) -> float:
        """Return the events that an item's text is expected to have."""
        with self._lock:
            seen = float(self._seen.get(item_id, 0))
            if guessed_tokens is None or guessed_tokens <= 0:
                return seen or self._mean_events
            # Before the first text has ended only the order of the guesses counts.
            log_tokens = self._log_tokens if self._log_tokens is not None else 0.0
            return max(seen, guessed_tokens / math.exp(log_tokens))
