"""Selects the nodes that read the store and relay its changes to others.

Two nodes of a deployment, in different zones if possible, read the store. They relay to the two
readers of each large zone, which relay to the other nodes of their zone, and directly to the nodes
of small zones. So the number of calls to the store is independent of the size of the deployment,
and a change reaches every node in two hops, of which only one crosses zones.

Nodes with the same membership view choose the same readers. Nodes whose views differ for a while,
or whose sources are gone or stale, follow the store themselves; nothing else depends on the choice.
"""

from collections.abc import Sequence

from bellweir.hosted.zone_ranking import first_of_zone, rank
from bellweir.membership.interface import Member

READER_COUNT = 2
"""Readers of a large zone and of the deployment."""
MIN_RELAYED_NODES = 7
"""Smallest zone or deployment that has readers; in smaller ones every node follows the store."""


def zone_readers(members: Sequence[Member], zone: str) -> list[Member]:
    """Return the nodes that relay to the others of a zone; none in a small zone."""
    first = first_of_zone(members, zone, MIN_RELAYED_NODES)
    return first[:READER_COUNT] if len(first) == MIN_RELAYED_NODES else []


def deployment_readers(members: Sequence[Member]) -> list[Member]:
    """Return the nodes that read the store for all others; none in a small deployment."""
    zones = sorted({one.zone for one in members})
    first = [first_of_zone(members, zone, MIN_RELAYED_NODES) for zone in zones]
    if sum(len(nodes) for nodes in first) < MIN_RELAYED_NODES:
        return []
    if len(zones) == 1:
        return first[0][:READER_COUNT]
    first_of_zones = sorted((nodes[0] for nodes in first if nodes), key=rank)
    return first_of_zones[:READER_COUNT]


def sources_of(own: Member, members: Sequence[Member]) -> list[Member]:
    """Return the nodes that relay to `own`; if there are none, it follows the store itself."""
    for readers in (zone_readers(members, own.zone), deployment_readers(members)):
        if readers and all(one.node != own.node for one in readers):
            return readers
    return []
