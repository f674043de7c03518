"""Load that a worker reports about itself in a header of its answers.

>>> load = parse_load("3, 1,8,250")
>>> load.running, load.waiting, load.slots, load.pace
(3, 1, 8, 250)
>>> parse_load("3,1,8").pace, parse_load("3,1"), parse_load("a,b,c"), parse_load("-1,0,8")
(100, None, None, None)
"""

NORMAL_PACE = 100
"""Pace of a worker where work takes the usual time."""
MIN_FIELDS = 3
MAX_VALUE = 1_000_000
"""Larger values are rejected as invalid."""
PACE_HALF_LIFE_S = 0.25
"""Half-life of a deviation from the normal pace, which changes many times per second."""


class WorkerLoad:
    """Load reported by a worker at one moment."""

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, pace: int = NORMAL_PACE) -> None:
        """`pace`: duration of work there, in hundredths of the usual duration."""
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace

    @property
    def requests(self) -> int:
        """Requests running or waiting at the worker."""
        return self.running + self.waiting

    def slowness(self, age_s: float) -> float:
        """Factor by which work takes longer than usual, by a report that is `age_s` old.

        >>> load = WorkerLoad(0, 0, 8, 300)
        >>> load.slowness(0.0), load.slowness(PACE_HALF_LIFE_S)
        (3.0, 2.0)
        """
        return 1.0 + (self.pace / NORMAL_PACE - 1.0) * float(
            0.5 ** (max(0.0, age_s) / PACE_HALF_LIFE_S)
        )


def parse_load(text: str) -> WorkerLoad | None:
    """Parse the header's comma-separated values; None if they are invalid."""
    try:
        values = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(values) < MIN_FIELDS or min(values) < 0 or max(values) > MAX_VALUE:
        return None
    return WorkerLoad(*values[: MIN_FIELDS + 1])
