"""Marks of checkpoints: numbers of events that also tell the texts of two runs apart.

The ledger joins a checkpoint, or the rest of a text, to the checkpoints whose marks add up to the
one that it names. Bare numbers of events agree by chance, since runs make events at one pace.
Replicas of earlier builds only add up, so they join the same ones.

>>> marks = [new_mark(events) for events in (7, 3)]
>>> events_of(marks[0]), events_of(sum(marks))
(7, 10)
"""

import random

EVENTS_BITS = 20
"""Low bits of a mark, and of a sum of marks, that hold the number of events."""
RANDOM_BITS = 32
"""Random bits above them; the marks of a text add up to less than 64 bits."""


def new_mark(events: int) -> int:
    """Return a random mark of a checkpoint that holds a number of events."""
    return random.getrandbits(RANDOM_BITS) << EVENTS_BITS | events


def events_of(mark: int) -> int:
    """Return the number of events of a mark or of a sum of marks."""
    return mark & ((1 << EVENTS_BITS) - 1)
