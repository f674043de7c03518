"""Who reads the store for whom.

Two nodes of a deployment follow the store, in two zones where it has two. The two readers of each
large zone rely on them, every other node of a large zone on its zone's readers, and the nodes of
small zones on the two themselves. So the calls to the store do not grow with the deployment, and
what is new reaches every node in two steps of which only one crosses zones.

Everyone who sees the same members chooses the same ones. Nodes that see others for a while, or
whose sources are gone or old, follow the store themselves; nothing else depends on the choice.
"""

from collections.abc import Sequence

from bellweir.hosted.zone_ranking import first_of_zone, rank
from bellweir.membership.interface import Member

READERS = 2
"""Readers of a zone, and of the deployment: the loss of one is not noticed."""
SMALLEST_RELAYED = 7
"""Nodes of a zone, or of a deployment, from which on it has readers; fewer follow the store."""


def zone_readers(members: Sequence[Member], zone: str) -> list[Member]:
    """Return the nodes that tell the others of a zone what is new; none in a small zone."""
    first = first_of_zone(members, zone, SMALLEST_RELAYED)
    return first[:READERS] if len(first) == SMALLEST_RELAYED else []


def deployment_readers(members: Sequence[Member]) -> list[Member]:
    """Return the nodes that follow the store for all; none in a small deployment."""
    zones = sorted({one.zone for one in members})
    first = [first_of_zone(members, zone, SMALLEST_RELAYED) for zone in zones]
    if sum(len(nodes) for nodes in first) < SMALLEST_RELAYED:
        return []
    if len(zones) == 1:
        return first[0][:READERS]
    foremost = sorted((nodes[0] for nodes in first if nodes), key=rank)
    return foremost[:READERS]


def sources_of(own: Member, members: Sequence[Member]) -> list[Member]:
    """Return the nodes that `own` relies on; without any it follows the store itself."""
    for readers in (zone_readers(members, own.zone), deployment_readers(members)):
        if readers and all(one.node != own.node for one in readers):
            return readers
    return []
