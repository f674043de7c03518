"""Chooses the peers to gossip with, without all-to-all messages.

The gateways of a zone form a ring, in an order on which all agree.

>>> ring = [GatewayPeer(f"g-{round_number}", f"h:{round_number}") for round_number in range(5)]
>>> [zone_peer(ring, "g-3", round_number).node for round_number in range(4)]
['g-4', 'g-0', 'g-2', 'g-4']
>>> remote_peer({"b": ring[:2], "c": ring[2:]}, position=4, round_number=3).node
'g-3'
>>> zone_peer(ring[:1], "g-0", 0) is None, remote_peer({}, 0, 0) is None
(True, True)
"""

from collections.abc import Iterable, Mapping, Sequence

from bellweir.hosted.zone_ranking import rank
from bellweir.membership.interface import Member, MemberState


class GatewayPeer:
    """Another gateway."""

    __slots__ = ("address", "node")

    def __init__(self, node: str, address: str) -> None:
        """`address` is the `host:port` for messages between nodes."""
        self.node = node
        self.address = address


def zone_rings(
    members: Iterable[Member], *, only_gateways: bool = True
) -> dict[str, list[GatewayPeer]]:
    """The live gateways, or all live nodes, of each zone in ring order."""
    found: dict[str, list[GatewayPeer]] = {}
    for member in sorted(members, key=rank):
        is_included = bool(member.gateway_address) or not only_gateways
        if is_included and member.state is MemberState.ALIVE:
            peer = GatewayPeer(member.node, member.peer_address)
            found.setdefault(member.zone, []).append(peer)
    return found


def rounds_to_reach_all(length: int) -> int:
    """Rounds until a record has reached a whole ring.

    >>> [rounds_to_reach_all(length) for length in (1, 2, 5, 64, 65)]
    [1, 1, 3, 6, 7]
    """
    return max(1, (length - 1).bit_length())


def position_of(ring: Sequence[GatewayPeer], node: str) -> int:
    """Position of a node in a ring; 0 while the node is not in it."""
    return next((position for position, one in enumerate(ring) if one.node == node), 0)


def zone_peer(ring: Sequence[GatewayPeer], node: str, round_number: int) -> GatewayPeer | None:
    """The peer of the own zone in a round; None if there is no other gateway.

    In round r it is `2**(r mod k)` positions ahead, `k` being the bit length of the ring size less
    one. A record thus reaches the whole ring in `k` rounds, over `k` connections of each gateway.
    """
    step = 1 << (round_number % rounds_to_reach_all(len(ring)))
    if not ring:
        return None
    chosen = ring[(position_of(ring, node) + step) % len(ring)]
    return None if chosen.node == node else chosen


def remote_peer(
    others: Mapping[str, Sequence[GatewayPeer]], position: int, round_number: int
) -> GatewayPeer | None:
    """The peer in another zone in a round; `others` holds no empty ring.

    Zones take turns; the peer is at the sender's own position in its ring.
    """
    if not others:
        return None
    zones = sorted(others)
    ring = others[zones[(round_number + position) % len(zones)]]
    return ring[position % len(ring)]
