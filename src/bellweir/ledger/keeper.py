"""Keeps the placement on a node with a data folder: finds it, and mends its shards.

Nothing here waits for the platform's store, so that mending goes on while the store hangs; see
`store_sync` for the store's side.
"""

import random
import threading
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.log_events import REPLICAS_CHANGED
from bellweir.ledger.messages import PlacementAnswer, PlacementRequest
from bellweir.ledger.node import LedgerNode
from bellweir.ledger.placement import (
    Placement,
    PlacementCandidate,
    first_placement,
    load_placement,
    save_placement,
)
from bellweir.ledger.reconfiguration import ShardView, next_replica_set
from bellweir.ledger.replica import Replica
from bellweir.ledger.replica_state import shown
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.wire.interface import Sender, Transport

if TYPE_CHECKING:
    from bellweir.settings.models import LedgerSettings


PLACEMENT_TIMEOUT_S = 1.0
ASKED_AT_ONCE = 3
"""Nodes that are asked for the placement in one step; whoever has it spreads it the same way."""
REFRESH_PERIOD_S = 10.0
"""Time between two looks at another node's copy of the placement."""


class PlacementKeeper:
    """`step` is called about once a second by one task."""

    def __init__(
        self,
        node: LedgerNode,
        membership: Membership,
        transport: Transport,
        clock: Clock,
        folder: Path,
        settings: "LedgerSettings",
        *,
        has_store: bool,
    ) -> None:
        self._node = node
        self._has_store = has_store
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._folder = folder
        self._settings = settings
        self._missing_since_s: float | None = None
        self._silent_since_s: dict[ReplicaId, float] = {}
        self._refresh_due_s = 0.0
        self._adopting = threading.Lock()
        self.retiring: frozenset[str] = frozenset()
        """Nodes that are to hold no replicas any more, as soon as others hold enough."""
        self.placement = load_placement(folder)
        transport.register(PlacementRequest, self.handle_placement_request)

    def handle_placement_request(
        self, sender: Sender, request: PlacementRequest
    ) -> PlacementAnswer:
        """Tell a peer this node's disk and the placement as known here."""
        return PlacementAnswer(self._node.own.disk, self.placement)

    def step(self) -> None:
        """Find the placement, hold what it names, and mend the shards led here."""
        if self.placement is None:
            self._find_placement()
        if self.placement is None:
            return
        self._refresh(self.placement)
        self._create_first_replicas(self.placement)
        self._obey_recovery(self.placement)
        led = self.led()
        self._note_silence(led)
        for replica in led:
            self._mend(replica)

    def is_leaving(self) -> bool:
        """Whether this node has announced that it leaves."""
        return self._membership.self_member().state is MemberState.LEAVING

    def is_able(self, node: str) -> bool:
        """Whether a node can be asked to lead."""
        member = self._membership.member(node)
        return member is not None and member.state is MemberState.ALIVE

    # --- finding and creating -----------------------------------------------------------------

    def _find_placement(self) -> None:
        found = self._ask_peers()
        if found is None and not self._has_store:
            found = self._create_without_store()
        if found is not None:
            self.adopt(found)

    def _ask_peers(self) -> Placement | None:
        members = self._data_members()
        for member in random.sample(members, min(ASKED_AT_ONCE, len(members))):
            answer = self._ask(member)
            if answer is not None and answer.placement is not None:
                return answer.placement
        return None

    def _create_without_store(self) -> Placement | None:
        """For trials without a platform: the first data node by name creates the ledger.

        Not safe when nodes can't reach each other at the start, so a store is needed otherwise.
        """
        names = [self._node.name, *(member.node for member in self._data_members())]
        return self.new_placement() if min(names) == self._node.name else None

    def new_placement(self) -> Placement | None:
        """The placement of a new ledger; None while more nodes to share it with may come."""
        now_s = self._clock.monotonic_s()
        if self._missing_since_s is None:
            self._missing_since_s = now_s
        settings = self._settings
        # Counted by who answers: a member that is still starting cannot tell its disk yet.
        candidates = self._candidates()
        waited = now_s - self._missing_since_s >= settings.creation_wait_s
        if len(candidates) < settings.replicas and not waited:
            return None
        return first_placement(settings.shards, candidates, settings.replicas)

    def _refresh(self, known: Placement) -> None:
        """Now and then take over what another keeper knows better."""
        now_s = self._clock.monotonic_s()
        if now_s < self._refresh_due_s:
            return
        self._refresh_due_s = now_s + REFRESH_PERIOD_S
        members = self._data_members()
        answer = self._ask(random.choice(members)) if members else None
        found = answer.placement if answer is not None else None
        if found is not None and known.merged(found) != known:
            self.adopt(found)

    def adopt(self, placement: Placement) -> None:
        """Keep a newer copy; two tasks may bring one at once, and neither may undo the other."""
        with self._adopting:
            merged = self.placement.merged(placement) if self.placement else placement
            save_placement(self._folder, merged)
            self.placement = merged

    def _create_first_replicas(self, placement: Placement) -> None:
        for shard, home in enumerate(placement.shards):
            named = home.generation == 1 and self._node.own in home.first_voters
            if named and self._node.replica(shard) is None:
                self._node.create(shard, home.first_replicas)

    # --- an operator's recovery ---------------------------------------------------------------

    def _obey_recovery(self, placement: Placement) -> None:
        """Begin, or make way for, the generation of a shard that an operator has called for."""
        for replica in self._node.replicas():
            home = placement.shards[replica.shard]
            survivor = home.survivor
            if home.generation <= replica.generation or survivor is None:
                continue
            if survivor == self._node.own:
                replica.recover(home.generation, self._clock.wall_s())
                self._node.wake()
            elif survivor.node != self._node.name:
                # Named by node but with another disk, it keeps what it has: see the next command.
                self._node.forget(replica, home.generation)

    # --- mending ------------------------------------------------------------------------------

    def _note_silence(self, led: Iterable[Replica]) -> None:
        now_s = self._clock.monotonic_s()
        silent: set[ReplicaId] = set()
        for replica in led:
            silent |= replica.silent_replicas(now_s)
        since_s = self._silent_since_s
        self._silent_since_s = {one: since_s.get(one, now_s) for one in silent}

    def _mend(self, replica: Replica) -> None:
        replicas = replica.log.replicas
        wanted = self._settings.replicas
        is_whole = len(replicas.voters) == wanted and not replicas.learners
        is_whole = is_whole and not any(one.node in self.retiring for one in replicas.voters)
        if is_whole and not any(one in self._silent_since_s for one in replicas.voters):
            return
        view = ShardView(
            shard=replica.shard,
            replicas=replicas,
            own=self._node.own,
            caught_up=replica.caught_up(),
            lost=self._lost(replicas.everyone),
            candidates=self._candidates(),
        )
        changed = next_replica_set(view, wanted)
        if changed is None or changed == replicas:
            return
        if replica.change_replicas(changed) is not None:
            self._node.wake()
            emit(
                REPLICAS_CHANGED,
                shard=replica.shard,
                voters=shown(changed.voters),
                learners=shown(changed.learners),
                lost=shown(sorted(view.lost)),
            )

    def _lost(self, replicas: Iterable[ReplicaId]) -> frozenset[ReplicaId]:
        """Replicas to be replaced: their disk is another one now, or they are silent for long."""
        now_s = self._clock.monotonic_s()
        lost: set[ReplicaId] = set()
        for replica in replicas:
            if replica.node in self.retiring:
                lost.add(replica)
                continue
            since_s = self._silent_since_s.get(replica)
            if since_s is None:
                continue
            if now_s - since_s >= self._settings.replace_after_s or self._has_new_disk(replica):
                lost.add(replica)
        return frozenset(lost)

    def _has_new_disk(self, replica: ReplicaId) -> bool:
        member = self._membership.member(replica.node)
        if member is None or member.state is MemberState.DEAD:
            return False
        answer = self._ask(member)
        return answer is not None and answer.disk != replica.disk

    def is_emptied(self, node: str) -> bool:
        """Whether a node surely holds no replica that counts, and others hold enough."""
        placement = self.placement
        if placement is None or not self.led():
            return False
        led = {replica.shard: replica for replica in self.led()}
        for shard, home in enumerate(placement.shards):
            replica = led.get(shard)
            if replica is not None and not replica.is_settled():
                return False
            replicas = replica.log.replicas if replica is not None else home.replicas
            short = len(replicas.voters) < self._settings.replicas
            if short or any(one.node == node for one in replicas.everyone):
                return False
        return True

    # --- others -------------------------------------------------------------------------------

    def _data_members(self) -> list[Member]:
        return [
            member
            for member in self._membership.members()
            if member.has_data_folder
            and member.node != self._node.name
            and member.state is MemberState.ALIVE
        ]

    def _candidates(self) -> tuple[PlacementCandidate, ...]:
        found: list[PlacementCandidate] = []
        if self._node.name not in self.retiring:
            own_zone = self._membership.self_member().zone
            found.append(PlacementCandidate(self._node.own, own_zone))
        for member in self._data_members():
            answer = self._ask(member) if member.node not in self.retiring else None
            if answer is not None:
                replica = ReplicaId(member.node, answer.disk)
                found.append(PlacementCandidate(replica, member.zone))
        return tuple(found)

    def _ask(self, member: Member) -> PlacementAnswer | None:
        request = PlacementRequest()
        answer = self._transport.request(member.peer_address, request, PLACEMENT_TIMEOUT_S)
        match answer:
            case Success(PlacementAnswer() as found):
                return found
        return None

    def led(self) -> list[Replica]:
        """Replicas that lead here."""
        return [replica for replica in self._node.replicas() if replica.leader == self._node.own]
