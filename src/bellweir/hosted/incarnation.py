"""One start of a worker.

A worker may start again under the id that it had. It then holds nothing and knows nothing of
before, so whatever is kept of a worker is kept by its incarnation: the id and the time of the
start. A worker that does not tell its start has one incarnation for its whole id.

>>> Incarnation("i-1", 1_700_000_000_000) == Incarnation("i-1", 1_700_000_009_000)
False
>>> str(Incarnation("i-1", 1_700_000_000_000)), str(Incarnation("i-2"))
('i-1@1700000000000', 'i-2')
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """A worker's id and the Unix millisecond of its start; 0 where the worker tells none."""

    instance: str
    born_ms: int = 0

    def matches_start(self, born_ms: int) -> bool:
        """Whether something that tells a worker's start is about this one; 0: it tells none.

        >>> [Incarnation("i-1", 7).matches_start(born_ms) for born_ms in (7, 9, 0)]
        [True, False, True]
        """
        return not born_ms or not self.born_ms or born_ms == self.born_ms

    def __str__(self) -> str:
        return f"{self.instance}@{self.born_ms}" if self.born_ms else self.instance
