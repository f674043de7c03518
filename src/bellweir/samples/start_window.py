"""How many generations a node may start: about as many as the engines can run now.

More would only queue at the engines, where no coordinator can put a longer sample before them,
and where one engine's queue waits while another engine has a place. The engines' capacity is
learnt: an attempt that waits long for its first token shows that they are full, and the number of
attempts that have begun is then what they hold; without such a sign the limit grows again.
"""

from collections.abc import Sequence

SMALLEST_LIMIT = 4
FIRST_TOKEN_PATIENCE_S = 0.5
"""An attempt without a token for longer queues at its engine."""
PROBE_PERIOD_S = 2.0
"""Time between steps of one beyond what the engines are known to hold."""
GROWTH_PERIOD_S = 0.5
GROWTH_SHARE = 0.1
"""Growth in each period back to what the engines held before, as after an engine's restart."""
QUEUE_SHARE = 0.25
"""Attempts that may wait for their first token, as a share of those that have begun."""


class StartWindow:
    """The limit of one node; used under its runner's lock."""

    def __init__(self, concurrency: int) -> None:
        self._concurrency = concurrency
        self._limit = float(concurrency)
        self._most_held = 0
        self._changed_s = 0.0

    def places(self, now_s: float, generating: int, waits_s: Sequence[float]) -> int:
        """Generations that may be started, given how long some wait for their first token."""
        begun = generating - len(waits_s)
        self._most_held = max(self._most_held, begun)
        if any(wait_s > FIRST_TOKEN_PATIENCE_S for wait_s in waits_s):
            self._limit = float(max(SMALLEST_LIMIT, begun))
            self._changed_s = now_s
        elif generating >= int(self._limit):
            self._grow(now_s)
        queue = max(SMALLEST_LIMIT, int(begun * QUEUE_SHARE)) - len(waits_s)
        return max(0, min(int(self._limit) - generating, queue))

    def _grow(self, now_s: float) -> None:
        since_s = now_s - self._changed_s
        if self._limit < self._most_held and since_s >= GROWTH_PERIOD_S:
            growth = max(1.0, self._limit * GROWTH_SHARE)
            self._limit = min(self._limit + growth, float(self._most_held))
            self._changed_s = now_s
        elif since_s >= PROBE_PERIOD_S:
            self._limit = min(self._limit + 1.0, float(self._concurrency))
            self._changed_s = now_s
