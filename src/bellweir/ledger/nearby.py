"""Reads from a replica in the reader's own zone, so that bulk does not cross zones.

A follower has only committed commands applied, but it may lack the newest ones. What it answers
is therefore good for state that never changes once it is there, such as a position of a list that
only grows; whatever is missing is asked for from the leader. This holds of a replica that was
removed without learning of it, too, and of one that was wiped and has nothing yet.

While no leader answers, the replicas of all zones are asked alike: one that is left alone can't
agree with anybody on anything new, but it still knows what was agreed on.
"""

from collections.abc import Callable

from returns.result import Success

from bellweir.kernel.clock import elapsed_s
from bellweir.ledger.interface import Query, Reply
from bellweir.ledger.locator import PlacementLocator
from bellweir.ledger.machines import Codec
from bellweir.ledger.messages import PeekAnswer, PeekRequest
from bellweir.ledger.node import LedgerNode
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Sender, Transport

MOST_ASKED = 6
"""Nodes that are asked for one query, so that each has time enough to answer from another zone."""


class PeekServer:
    """Answers peeks from the replicas of a node."""

    def __init__(self, node: LedgerNode, transport: Transport) -> None:
        self._node = node
        transport.register(PeekRequest, self.handle_peek)

    def handle_peek(self, sender: Sender, request: PeekRequest) -> PeekAnswer:
        """Answer from what is applied here."""
        replica = self._node.replica(request.shard)
        if replica is None:
            return PeekAnswer(None)
        reply = replica.peek(self._node.codec.decode(request.payload, Query))
        return PeekAnswer(self._node.codec.encode(reply))


class NearbyReads:
    """Finds the replica of a node's zone and asks it."""

    def __init__(
        self,
        zone: str,
        node: LedgerNode | None,
        codec: Codec,
        transport: Transport,
        membership: Membership,
        locator: PlacementLocator,
        leader_node: Callable[[int], str | None],
    ) -> None:
        """`leader_node` names the node that leads a shard, as last heard."""
        self._zone = zone
        self._node = node
        self._codec = codec
        self._transport = transport
        self._membership = membership
        self._locator = locator
        self._leader_node = leader_node

    def ask(self, shard: int, query: Query, timeout_s: float) -> Reply | None:
        """Answer a query from the zone's replica; None where there is none besides the leader."""
        replica = self._node.replica(shard) if self._node else None
        if replica is not None:
            return replica.peek(query)
        began_s = elapsed_s()
        # Store machines that are silent must not hold up the question to the leader.
        address = self._address(shard, timeout_s / 2)
        left_s = timeout_s - (elapsed_s() - began_s)
        return self._peek(address, shard, query, left_s) if address and left_s > 0 else None

    def ask_all(self, shard: int, query: Query, timeout_s: float) -> tuple[Reply, ...]:
        """Answers of all nodes that may hold a replica, the likeliest first, in any zone.

        Each node has the same share of `timeout_s`; those that don't answer in it, or hold
        nothing, are left out.
        """
        nodes = self._locator.candidates(shard)[:MOST_ASKED]
        replies = [self._ask_node(node, shard, query, timeout_s / len(nodes)) for node in nodes]
        return tuple(reply for reply in replies if reply is not None)

    def _ask_node(self, node: str, shard: int, query: Query, timeout_s: float) -> Reply | None:
        replica = self._node.replica(shard) if self._node and node == self._node.name else None
        if replica is not None:
            return replica.peek(query)
        member = self._membership.member(node)
        return self._peek(member.peer_address, shard, query, timeout_s) if member else None

    def _peek(self, address: str, shard: int, query: Query, timeout_s: float) -> Reply | None:
        request = PeekRequest(shard, self._codec.encode(query))
        match self._transport.request(address, request, timeout_s):
            case Success(PeekAnswer(reply)) if reply is not None:
                return self._codec.decode(reply, Reply)
        return None

    def _address(self, shard: int, patience_s: float) -> str | None:
        """Peer address of a follower in this zone."""
        self._locator.refresh(patience_s)
        leader = self._leader_node(shard)
        for node in self._locator.likely_first(self._locator.replica_nodes(shard)):
            member = self._membership.member(node)
            if member is not None and member.zone == self._zone and node != leader:
                return member.peer_address
        return None
