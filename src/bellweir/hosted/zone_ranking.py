"""An order of a zone's nodes on which all agree that see the same members.

Duties that a few nodes of a zone have for all of it go to the first ones by this order. When one
of them goes, the next one moves up, and nobody else's place changes: rendezvous hashing without
a key.
"""

from collections.abc import Iterable

import xxhash

from bellweir.membership.interface import Member, MemberState


def first_of_zone(members: Iterable[Member], zone: str, count: int) -> list[Member]:
    """Return the first `count` live nodes of a zone, fewer in a smaller one."""
    alive = [one for one in members if one.zone == zone and one.state is MemberState.ALIVE]
    return sorted(alive, key=rank)[:count]


def rank(member: Member) -> int:
    """The place of a node in the order; the lowest comes first."""
    return xxhash.xxh3_64_intdigest(member.node.encode())
