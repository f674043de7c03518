"""Selects the nodes that read the store and relay its changes to others.

Nodes with the same membership view select the same readers. A node whose view differs, or whose
sources are gone or stale, follows the store itself.
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
    """Return the nodes that read the store for all others; none in a small deployment.

    They are in different zones if possible.
    """
    zones = sorted({one.zone for one in members})
    first = [first_of_zone(members, zone, MIN_RELAYED_NODES) for zone in zones]
    if sum(len(nodes) for nodes in first) < MIN_RELAYED_NODES:
        return []
    if len(zones) == 1:
        return first[0][:READER_COUNT]
    first_of_zones = sorted((nodes[0] for nodes in first if nodes), key=rank)
    return first_of_zones[:READER_COUNT]


def sources_of(own: Member, members: Sequence[Member]) -> list[Member]:
    """Return the nodes that relay to `own`; if there are none, it follows the store itself.

    The deployment's readers relay to the readers of large zones and to the nodes of small zones, so
    that a change reaches every node in two hops, of which only one crosses zones.
    """
    for readers in (zone_readers(members, own.zone), deployment_readers(members)):
        if readers and all(one.node != own.node for one in readers):
            return readers
    return []
