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

    def __str__(self) -> str:
        return f"{self.instance}@{self.born_ms}" if self.born_ms else self.instance
