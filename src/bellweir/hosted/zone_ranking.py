"""Rendezvous hashing without a key: ranks a zone's nodes equally for all that see the same members.

Duties of a zone go to its first nodes by rank. When one leaves, the next moves up and the relative
order of the others is unchanged.
"""

from collections.abc import Iterable

import xxhash

from bellweir.membership.interface import Member, MemberState


def first_of_zone(members: Iterable[Member], zone: str, count: int) -> list[Member]:
    """Return the first `count` live nodes of a zone, fewer if there are not enough."""
    live = [
        member for member in members if member.zone == zone and member.state is MemberState.ALIVE
    ]
    return sorted(live, key=rank)[:count]


def rank(member: Member) -> int:
    """Hash by which nodes are ordered, lowest first."""
    return xxhash.xxh3_64_intdigest(member.node.encode())
