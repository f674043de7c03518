"""Incarnation of a worker: its instance id and the time of its start.

A worker that restarts under its former id has lost its state, so state about workers is keyed by
incarnation. A worker that reports no start time has a single incarnation.

>>> Incarnation("i-1", 1_700_000_000_000) == Incarnation("i-1", 1_700_000_009_000)
False
>>> str(Incarnation("i-1", 1_700_000_000_000)), str(Incarnation("i-2"))
('i-1@1700000000000', 'i-2')
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """A worker's id and its start time in Unix milliseconds; 0 if unknown."""

    instance: str
    born_ms: int = 0

    def matches_start(self, born_ms: int) -> bool:
        """Whether a reported start time is compatible with this one; 0 (unknown) always is.

        >>> [Incarnation("i-1", 7).matches_start(born_ms) for born_ms in (7, 9, 0)]
        [True, False, True]
        """
        return not born_ms or not self.born_ms or born_ms == self.born_ms

    def __str__(self) -> str:
        return f"{self.instance}@{self.born_ms}" if self.born_ms else self.instance
