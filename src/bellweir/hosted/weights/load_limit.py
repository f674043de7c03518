"""How many workers may load weights at the same time.

Workers that load draw on one source of weights, so beyond some number each load takes longer.
Nobody tells that number. It is guessed as a share of the workers and then corrected by what
loads really take: when they become much slower than the fastest one seen, fewer are begun at
once, and when they are as fast as ever, one more, up to the guess.

>>> limit = LoadLimit()
>>> limit.at_once(18)
7
>>> limit.finished(1.0, 18)
>>> for _ in range(7):
...     limit.finished(2.5, 18)
>>> limit.at_once(18)
6
"""

SHARE_OF_WORKERS = 0.4
"""Guess of the share of a service's workers that load at once without slowing each other."""
FEWEST_AT_ONCE = 2
SLOW_FACTOR = 1.6
"""A load that takes this many times the fastest one's time is slow."""
FAST_FACTOR = 1.3


class LoadLimit:
    """The limit of one service's workers; not safe for threads.

    Loads are counted in rounds of as many as the limit. At the end of a round in which most
    loads were slow the limit falls by one, after one in which all were fast it rises by one.
    """

    __slots__ = ("_fast", "_fastest_s", "_seen", "_slow", "_taken_off")

    def __init__(self) -> None:
        self._fastest_s = float("inf")
        self._taken_off = 0
        self._seen = 0
        self._slow = 0
        self._fast = 0

    def at_once(self, workers: int) -> int:
        """Return how many of a service's `workers` may load at the same time."""
        guess = max(FEWEST_AT_ONCE, round(SHARE_OF_WORKERS * workers))
        return max(FEWEST_AT_ONCE, guess - self._taken_off)

    def finished(self, seconds: float, workers: int) -> None:
        """Note a load that was accepted at once and took `seconds` to be reported as done."""
        self._fastest_s = min(self._fastest_s, seconds)
        self._seen += 1
        self._slow += seconds >= SLOW_FACTOR * self._fastest_s
        self._fast += seconds <= FAST_FACTOR * self._fastest_s
        if self._seen < self.at_once(workers):
            return
        if 2 * self._slow > self._seen and self.at_once(workers) > FEWEST_AT_ONCE:
            self._taken_off += 1
        elif self._fast == self._seen and self._taken_off:
            self._taken_off -= 1
        self._seen = self._slow = self._fast = 0
