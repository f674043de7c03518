"""Whom a member probes: its successor on a ring, all others in turn, helpers near the target."""

import functools
import random
from collections.abc import Sequence

import xxhash

from bellweir.membership.records import MemberRecord

RING_PLACES = 1 << 64


class ProbeTargets:
    """Chooses probe targets from the members that are not dead.

    With random targets alone the time until a dead member is first probed has a long tail
    (e^-k after k periods). So each member is also probed each period by its predecessor on a
    ring ordered by the hash of names; random targets cover a ring with many dead at once.
    """

    def __init__(self, own_name: str, chance: random.Random) -> None:
        self._own_place = _place(own_name)
        self._chance = chance
        self._turn: list[str] = []
        self._others: Sequence[MemberRecord] = ()
        self._by_name: dict[str, MemberRecord] = {}
        self._successor: MemberRecord | None = None

    def see(self, others: Sequence[MemberRecord]) -> None:
        """Take the members to choose from; cheap while the same list is given again."""
        if others is self._others:
            return
        self._others = others
        self._by_name = {record.node: record for record in others}
        self._successor = min(others, key=self._distance, default=None)

    def successor(self) -> MemberRecord | None:
        """Return the next member on the ring."""
        return self._successor

    def next_in_turn(self) -> MemberRecord | None:
        """Return the next of all members in an order that is shuffled for each round."""
        while self._by_name:
            if not self._turn:
                self._turn = list(self._by_name)
                self._chance.shuffle(self._turn)
            found = self._by_name.get(self._turn.pop())
            if found is not None:
                return found
        return None

    def helpers(self, target: MemberRecord, count: int) -> list[MemberRecord]:
        """Return members to probe the target indirectly: one of its own zone first."""
        candidates = [record for record in self._others if record.node != target.node]
        near = [record for record in candidates if record.zone == target.zone]
        chosen = self._chance.sample(near, min(1, len(near)))
        rest = [record for record in candidates if record not in chosen]
        return chosen + self._chance.sample(rest, min(count - len(chosen), len(rest)))

    def some(self, count: int) -> list[MemberRecord]:
        """Return a few random members."""
        return self._chance.sample(self._others, min(count, len(self._others)))

    def _distance(self, record: MemberRecord) -> int:
        return (_place(record.node) - self._own_place) % RING_PLACES


@functools.lru_cache(maxsize=8192)
def _place(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
