"""How long this process stood still itself, as told by its own looks.

A process that gets no processor, collects garbage or waits for the interpreter's lock reads no
events meanwhile, and all workers look silent at once. What a look comes later than it should is
such a pause, and is no silence of anybody.

>>> pauses = OwnPauses(longest_step_s=0.1)
>>> for now_s in (1.0, 1.1, 1.7):
...     pauses.note_look(now_s)
>>> round(pauses.since(1.0), 2), round(pauses.since(1.6), 2), pauses.since(1.7)
(0.5, 0.1, 0.0)
"""

from collections import deque

KEPT = 64
"""Pauses that are remembered; the oldest goes first."""


class OwnPauses:
    """Called by one task only. All times are monotonic."""

    def __init__(self, longest_step_s: float) -> None:
        """Looks up to `longest_step_s` apart are no pause."""
        self._longest_step_s = longest_step_s
        self._looked_s: float | None = None
        self._pauses: deque[tuple[float, float]] = deque(maxlen=KEPT)
        """End and length in seconds of each."""

    def note_look(self, now_s: float) -> None:
        """Note that the process looks now."""
        if self._looked_s is not None:
            late_s = now_s - self._looked_s - self._longest_step_s
            if late_s > 0:
                self._pauses.append((now_s, late_s))
        self._looked_s = now_s

    def since(self, from_s: float) -> float:
        """Seconds for which the process stood still since `from_s`."""
        lost_s = [min(late_s, end_s - from_s) for end_s, late_s in self._pauses if end_s > from_s]
        return sum(lost_s, 0.0)
