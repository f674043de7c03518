"""Whom a gateway tells what it saw, without any message of all to all.

The gateways of a zone stand in a ring in an order on which all agree. In round r each tells the one
that stands `2**(r mod k)` places further, `k` being the ring's length in bits: what one of `n`
saw has reached all after `k` rounds, and each keeps `k` connections of its zone. In each round a
gateway also tells one of another zone, the zones by turns: the one at its own place there.

>>> ring = [GatewayPeer(f"g-{number}", f"h:{number}") for number in range(5)]
>>> [in_zone(ring, "g-3", number).node for number in range(4)]
['g-4', 'g-0', 'g-2', 'g-4']
>>> in_other_zone({"b": ring[:2], "c": ring[2:]}, place=4, number=3).node
'g-3'
>>> in_zone(ring[:1], "g-0", 0) is None, in_other_zone({}, 0, 0) is None
(True, True)
"""

from collections.abc import Iterable, Mapping, Sequence

from bellweir.hosted.zone_ranking import rank
from bellweir.membership.interface import Member, MemberState


class GatewayPeer:
    """Another gateway."""

    __slots__ = ("address", "node")

    def __init__(self, node: str, address: str) -> None:
        """`address` is its `host:port` for peers."""
        self.node = node
        self.address = address


def rings(members: Iterable[Member]) -> dict[str, list[GatewayPeer]]:
    """The live gateways of each zone, in order."""
    found: dict[str, list[GatewayPeer]] = {}
    for member in sorted(members, key=rank):
        if member.gateway_address and member.state is MemberState.ALIVE:
            fellow = GatewayPeer(member.node, member.peer_address)
            found.setdefault(member.zone, []).append(fellow)
    return found


def rounds_to_all(length: int) -> int:
    """Rounds after which what one saw has reached a ring of that length.

    >>> [rounds_to_all(length) for length in (1, 2, 5, 64, 65)]
    [1, 1, 3, 6, 7]
    """
    return max(1, (length - 1).bit_length())


def place_of(ring: Sequence[GatewayPeer], node: str) -> int:
    """The place of a node in its ring; 0 where it is not seen there yet."""
    return next((place for place, one in enumerate(ring) if one.node == node), 0)


def in_zone(ring: Sequence[GatewayPeer], node: str, number: int) -> GatewayPeer | None:
    """Whom to tell of the own zone in a round; None when there is nobody else."""
    step = 1 << (number % rounds_to_all(len(ring)))
    if not ring:
        return None
    chosen = ring[(place_of(ring, node) + step) % len(ring)]
    return None if chosen.node == node else chosen


def in_other_zone(
    others: Mapping[str, Sequence[GatewayPeer]], place: int, number: int
) -> GatewayPeer | None:
    """Whom to tell of another zone in a round; `others` holds no empty ring."""
    if not others:
        return None
    zones = sorted(others)
    ring = others[zones[(number + place) % len(zones)]]
    return ring[place % len(ring)]
