"""Selects further relay sources for a node that is cut off from the store.

The first two nodes of each zone are candidates first, since they read the store in a large zone;
then all other nodes, as any may be the only one that the store serves. Each node has its own
order, which spreads the load when many are cut off at once.
"""

from collections.abc import Collection, Sequence

from bellweir.hosted.zone_ranking import first_of_zone
from bellweir.membership.hashing import ranked
from bellweir.membership.interface import Member

CANDIDATES_PER_ZONE = 2
"""The number of readers of a large zone."""
ADDED_PER_RENEWAL = 2
"""Sources added with each renewal while no source is up to date."""
MAX_SOURCES = 4
"""Sources kept at a time; the oldest ones are dropped first."""


class FallbackSources:
    """Fallback sources of one node; `choose` is called with each renewal of its subscriptions."""

    __slots__ = ("_chosen", "_next_index")

    def __init__(self) -> None:
        self._chosen: list[str] = []
        self._next_index = 0

    def choose(
        self, members: Sequence[Member], own: Member, known: Collection[str], *, is_fresh: bool
    ) -> list[str]:
        """Return the addresses of the sources besides the `known` ones.

        Unless the relayed state `is_fresh`, more are added with each call.
        """
        candidates = [one for one in fallback_candidates(members, own) if one not in known]
        self._chosen = [one for one in self._chosen if one in candidates]
        count = 0 if is_fresh else min(ADDED_PER_RENEWAL, len(candidates))
        for _ in range(count):
            added = candidates[self._next_index % len(candidates)]
            self._next_index += 1
            if added not in self._chosen:
                self._chosen.append(added)
        del self._chosen[:-MAX_SOURCES]
        return list(self._chosen)

    def clear(self) -> None:
        """Drop all sources."""
        self._chosen.clear()


def fallback_candidates(members: Sequence[Member], own: Member) -> list[str]:
    """Return the addresses of all other nodes, starting with the first nodes of each zone."""
    address_of = {one.node: one.peer_address for one in members if one.node != own.node}
    first = {
        one.node
        for zone in {one.zone for one in members}
        for one in first_of_zone(members, zone, CANDIDATES_PER_ZONE)
        if one.node != own.node
    }
    nodes = [*ranked(own.node, first), *ranked(own.node, address_of.keys() - first)]
    return [address_of[node] for node in nodes]
