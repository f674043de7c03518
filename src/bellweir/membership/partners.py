"""Peers with whom a node compares state again and again.

Comparing with a new random peer each time needs a new connection each time: at 340 nodes nearly
every comparison pays a handshake and four threads. A few partners that change slowly keep
connections in use, and as each node chooses its own at random, the graph of partners still
joins all nodes and changes under any failure.
"""

import random
from collections.abc import Sequence

from bellweir.membership.interface import Member

PARTNERS = 4
ROTATION_S = 60.0
"""Time after which one partner, the oldest, is replaced by a random member."""


class Partners:
    """Chooses a partner for the next comparison. Used by one thread at a time."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._partners: list[str] = []
        self._next_rotation_s = 0.0

    def choose(self, others: Sequence[Member], now_s: float) -> Member | None:
        """Return one of the partners among the members given; None without members."""
        by_name = {member.node: member for member in others}
        self._partners = [node for node in self._partners if node in by_name]
        if now_s >= self._next_rotation_s:
            self._next_rotation_s = now_s + ROTATION_S
            self._partners = self._partners[1:]
        strangers = [node for node in by_name if node not in self._partners]
        missing = min(PARTNERS - len(self._partners), len(strangers))
        self._partners += self._chance.sample(strangers, missing)
        return by_name[self._chance.choice(self._partners)] if self._partners else None
