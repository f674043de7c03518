"""Finds the placement, and the nodes that may lead a shard, from any node."""

import random
import threading
from collections.abc import Sequence

from returns.result import Success

from bellweir.kernel.clock import Clock, elapsed_s
from bellweir.ledger.keeper import PLACEMENT_TIMEOUT_S, REFRESH_PERIOD_S, PlacementKeeper
from bellweir.ledger.messages import PlacementAnswer, PlacementRequest
from bellweir.ledger.placement import Placement
from bellweir.membership.interface import Membership, MemberState
from bellweir.wire.interface import Transport

LOOKUP_PAUSE_S = 0.05
"""Pause between two rounds of asking for the placement."""
LOOK_TIMEOUT_S = 0.4
"""Time for the answer to a look, which takes some milliseconds."""


class PlacementLocator:
    """A node with a data folder reads its keeper's placement; others ask such nodes for theirs."""

    def __init__(
        self, membership: Membership, transport: Transport, keeper: PlacementKeeper | None
    ) -> None:
        self._membership = membership
        self._transport = transport
        self._keeper = keeper
        self._placement: Placement | None = None
        self._asked_s = float("-inf")
        self._pause = threading.Event()

    def placement(self) -> Placement | None:
        """The placement as known here."""
        return self._keeper.placement if self._keeper else self._placement

    def shard_count(self) -> int | None:
        """Number of shards, once known; it never changes."""
        placement = self.placement()
        return placement.shard_count if placement else None

    def wait_for_shard_count(self, timeout_s: float, clock: Clock) -> int | None:
        """Number of shards, asked for until known; None when nobody tells in time."""
        deadline_s = clock.monotonic_s() + timeout_s
        while True:
            count = self.shard_count()
            if count is not None:
                return count
            if clock.monotonic_s() >= deadline_s:
                return None
            if self._keeper is None:
                self._ask(deadline_s - clock.monotonic_s())
            clock.wait(self._pause, LOOKUP_PAUSE_S)

    def is_answered(self) -> bool:
        """Ask one of the nodes with a data folder, whichever, whether it answers this node."""
        nodes = self._data_nodes()
        member = self._membership.member(random.choice(nodes)) if nodes else None
        if member is None:
            return False
        answer = self._transport.request(member.peer_address, PlacementRequest(), LOOK_TIMEOUT_S)
        return isinstance(answer, Success)

    def replica_nodes(self, shard: int) -> tuple[str, ...]:
        """Nodes that hold a shard, voters first, as published."""
        placement = self.placement()
        if placement is None:
            return ()
        return tuple(one.node for one in placement.shards[shard].replicas.everyone)

    def refresh(self, patience_s: float) -> None:
        """Ask for the placement again, on a node that keeps none, if it was long ago.

        Takes no longer than `patience_s`: a client's call waits for it.
        """
        if self._keeper is None and elapsed_s() - self._asked_s > REFRESH_PERIOD_S:
            self._ask(patience_s)

    def candidates(self, shard: int) -> list[str]:
        """Nodes that may lead a shard: its replicas as published, then all with a data folder."""
        placement = self.placement()
        named = [one.node for one in placement.shards[shard].replicas.voters] if placement else []
        others = [node for node in self._data_nodes() if node not in named]
        return self.likely_first([*named, *others])

    def likely_first(self, nodes: Sequence[str]) -> list[str]:
        """The nodes that are not known to be dead, those that are alive before suspects."""
        known = [(node, self._membership.member(node)) for node in dict.fromkeys(nodes)]
        living = [
            (node, member.state)
            for node, member in known
            if member is not None and member.state is not MemberState.DEAD
        ]
        return [node for node, _ in sorted(living, key=lambda one: one[1] is MemberState.SUSPECT)]

    def _data_nodes(self) -> list[str]:
        return [
            member.node
            for member in self._membership.members()
            if member.has_data_folder and member.state is not MemberState.DEAD
        ]

    def _ask(self, patience_s: float) -> None:
        """Ask one node after the other until one tells, for `patience_s` in all."""
        began_s = self._asked_s = elapsed_s()
        for node in self.likely_first(self._data_nodes()):
            member = self._membership.member(node)
            left_s = patience_s - (elapsed_s() - began_s)
            if member is None or left_s <= 0:
                continue
            answer = self._transport.request(
                member.peer_address, PlacementRequest(), min(left_s, PLACEMENT_TIMEOUT_S)
            )
            match answer:
                case Success(PlacementAnswer(placement=Placement() as found)):
                    known = self._placement
                    self._placement = known.merged(found) if known else found
                    return
