"""Threads that outlive the scenario that began them, which makes later ones depend on it.

They are looked for when the next scenario begins, since a context's own clean-ups run behind the
hooks of its scenario.
"""

import threading
import time
from collections import Counter

GRACE_S = 0.5
"""Time for threads that were told to end."""


class Leftovers:
    """Whoever begins a scenario calls `note`, and whoever ends the run `report`."""

    def __init__(self):
        self._known = set(threading.enumerate())
        self._scenario = None
        self._found = Counter()

    def note(self, scenario):
        """Count what the scenario before this one left; None at the end of the run."""
        left = self._left()
        deadline_s = time.monotonic() + GRACE_S
        while left and time.monotonic() < deadline_s:
            time.sleep(0.01)
            left = self._left()
        if left and self._scenario is not None:
            self._found[self._scenario.filename] += len(left)
        self._known |= left
        self._scenario = scenario

    def _left(self):
        return set(threading.enumerate()) - self._known

    def report(self):
        """Lines that name the features whose scenarios left threads behind."""
        self.note(None)
        return [f"{file}: {count} threads left behind" for file, count in self._found.most_common()]
