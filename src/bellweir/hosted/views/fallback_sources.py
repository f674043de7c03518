"""Whom a node asks for news of the store that the store itself does not tell it.

The first two nodes of each zone come first, since in a large zone they follow the store anyway;
then every other node, as any may be the only one that the store serves. Each node goes through
them in an order of its own, so that those that are turned away together do not all ask the same.
"""

from collections.abc import Collection, Sequence

from bellweir.hosted.zone_ranking import first_of_zone
from bellweir.membership.hashing import ranked
from bellweir.membership.interface import Member

CANDIDATES_IN_ZONE = 2
"""As many as a large zone has readers."""
ADDED_AT_ONCE = 2
"""Sources that are added with each renewal while nobody tells fresh news."""
MOST_AT_ONCE = 4
"""Sources that are kept at a time; the one that was added first goes first."""


class SpareSources:
    """The sources of one node; `choose` is called with each renewal of its subscriptions."""

    __slots__ = ("_chosen", "_turn")

    def __init__(self) -> None:
        self._chosen: list[str] = []
        self._turn = 0

    def choose(
        self, members: Sequence[Member], own: Member, known: Collection[str], *, is_told: bool
    ) -> list[str]:
        """Return the addresses to rely on besides the `known` ones.

        While nobody tells fresh news (`is_told`), more are added with each call.
        """
        candidates = [one for one in spare_candidates(members, own) if one not in known]
        self._chosen = [one for one in self._chosen if one in candidates]
        wanted = 0 if is_told else min(ADDED_AT_ONCE, len(candidates))
        for _ in range(wanted):
            added = candidates[self._turn % len(candidates)]
            self._turn += 1
            if added not in self._chosen:
                self._chosen.append(added)
        del self._chosen[:-MOST_AT_ONCE]
        return list(self._chosen)

    def forget(self) -> None:
        """Rely on none any more."""
        self._chosen.clear()


def spare_candidates(members: Sequence[Member], own: Member) -> list[str]:
    """Return the addresses of all other nodes, the first ones of each zone first."""
    address_of = {one.node: one.peer_address for one in members if one.node != own.node}
    first = {
        one.node
        for zone in {one.zone for one in members}
        for one in first_of_zone(members, zone, CANDIDATES_IN_ZONE)
        if one.node != own.node
    }
    nodes = [*ranked(own.node, first), *ranked(own.node, address_of.keys() - first)]
    return [address_of[node] for node in nodes]
