"""The load that a worker tells of itself on its answers.

>>> told = parse_load("3, 1,8,250")
>>> told.running, told.waiting, told.slots, told.pace
(3, 1, 8, 250)
>>> parse_load("3,1,8").pace, parse_load("3,1"), parse_load("a,b,c"), parse_load("-1,0,8")
(100, None, None, None)
"""

AS_USUAL = 100
"""Pace of a worker where work takes as long as usual."""
FEWEST_FIGURES = 3
LARGEST_FIGURE = 1_000_000
"""Beyond it nothing is a worker's load."""
PACE_HALF_S = 0.25
"""Age at which half of an unusual pace is taken to have passed: it changes many times a second."""


class WorkerLoad:
    """What a worker said of itself at one moment."""

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, pace: int = AS_USUAL) -> None:
        """`pace`: how long work takes there now, in hundredths of the usual time."""
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace

    @property
    def requests(self) -> int:
        """Requests at the worker."""
        return self.running + self.waiting

    def slowness(self, age_s: float) -> float:
        """How many times as long work takes, of word that is `age_s` old.

        >>> WorkerLoad(0, 0, 8, 300).slowness(0.0), WorkerLoad(0, 0, 8, 300).slowness(PACE_HALF_S)
        (3.0, 2.0)
        """
        return 1.0 + (self.pace / AS_USUAL - 1.0) * float(0.5 ** (max(0.0, age_s) / PACE_HALF_S))


def parse_load(text: str) -> WorkerLoad | None:
    """Read a header's figures; None when they are not understood."""
    try:
        figures = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(figures) < FEWEST_FIGURES or min(figures) < 0 or max(figures) > LARGEST_FIGURE:
        return None
    return WorkerLoad(*figures[: FEWEST_FIGURES + 1])
