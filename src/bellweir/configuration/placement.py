"""Who reads the store for a zone, and along which tree a zone's nodes pass changes on.

Every node works this out from its own view of the members. Views that differ for a while cost
a repeated or a missing push, which anti-entropy makes good.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from bellweir.membership.interface import Member, Membership, MemberState

_CLUSTER = "cluster"
"""Scope of the choice of the reporter; no zone's name changes it."""
_REACHABLE = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


def _weight(scope: str, node: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{scope}\0{node}".encode()), node


def zone_order(members: Iterable[Member], zone: str) -> tuple[Member, ...]:
    """The zone's members in rendezvous order, leaving ones last.

    The first one is the zone's reader. A member that comes or goes moves no other member past
    its neighbours, so that the reader changes only when it goes or a heavier one comes.
    """
    inside = [member for member in members if member.zone == zone and member.state in _REACHABLE]
    inside.sort(key=lambda member: _weight(zone, member.node), reverse=True)
    inside.sort(key=lambda member: member.state is MemberState.LEAVING)
    return tuple(inside)


def reader_of(members: Iterable[Member], zone: str) -> Member | None:
    """The one member of the zone that reads the store; None when all are leaving."""
    for member in zone_order(members, zone):
        if member.state is not MemberState.LEAVING:
            return member
    return None


def children(order: tuple[Member, ...], node: str, fanout: int) -> tuple[Member, ...]:
    """The members to which `node` passes changes on, in a tree `fanout` wide.

    The children of a suspect are added, so that a silent node cuts nobody off.
    """
    rank = next((index for index, member in enumerate(order) if member.node == node), None)
    if rank is None:
        return ()
    found: list[Member] = []
    ranks = [rank]
    while ranks:
        parent = ranks.pop()
        for index in range(parent * fanout + 1, min(parent * fanout + 1 + fanout, len(order))):
            found.append(order[index])
            if order[index].state is MemberState.SUSPECT:
                ranks.append(index)
    return tuple(found)


def readers_to_tell(members: Iterable[Member], reader: Member) -> tuple[Member, ...]:
    """The other zones' readers that a reader tells of a new revision.

    All of its own region, and one of each other region.
    """
    members = tuple(members)
    zones: dict[str, set[str]] = {}
    for member in members:
        zones.setdefault(member.region, set()).add(member.zone)
    told: list[Member] = []
    for region, names in zones.items():
        candidates = [reader_of(members, zone) for zone in names if zone != reader.zone]
        others = [candidate for candidate in candidates if candidate is not None]
        if region != reader.region:
            others = sorted(others, key=lambda other: _weight(region, other.node))[:1]
        told.extend(others)
    return tuple(told)


def reporter_of(members: Iterable[Member]) -> Member | None:
    """The one reader that reports for the whole cluster; None when all members are leaving."""
    members = tuple(members)
    readers = [reader_of(members, zone) for zone in {member.zone for member in members}]
    found = [reader for reader in readers if reader is not None]
    return max(found, key=lambda reader: _weight(_CLUSTER, reader.node), default=None)


@dataclass(frozen=True)
class Placement:
    """Everything that follows for one node from one view of the members."""

    own: Member
    order: tuple[Member, ...]
    """The own zone's members in rendezvous order."""
    reader: Member | None
    """The own zone's reader."""
    reporter: Member | None
    """The one reader that reports for the cluster."""
    children: tuple[Member, ...]
    """To whom this node passes changes on."""
    readers_told: tuple[Member, ...]
    """Whom this node tells of a new revision, as its zone's reader."""

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its zone."""
        return self.reader is not None and self.reader.node == self.own.node

    @property
    def is_reporter(self) -> bool:
        """Whether this node reports for the cluster."""
        return self.reporter is not None and self.reporter.node == self.own.node


def place(members: tuple[Member, ...], own: Member, fanout: int) -> Placement:
    """Work out a node's placement; costs a hash for each member."""
    order = zone_order(members, own.zone)
    return Placement(
        own=own,
        order=order,
        reader=reader_of(members, own.zone),
        reporter=reporter_of(members),
        children=children(order, own.node, fanout),
        readers_told=readers_to_tell(members, own),
    )


class Placements:
    """The newest placement, worked out again only when the members have changed.

    Any thread may ask; two that ask at once after a change both work it out, and get the same.
    """

    def __init__(self, membership: Membership, fanout: int) -> None:
        self._membership = membership
        self._fanout = fanout
        self._latest: tuple[tuple[Member, ...], Placement] | None = None

    def current(self) -> Placement:
        """The placement by the members as they are now."""
        members = self._membership.members()
        latest = self._latest
        if latest is not None and latest[0] is members:
            return latest[1]
        placement = place(members, self._membership.self_member(), self._fanout)
        self._latest = (members, placement)
        return placement
