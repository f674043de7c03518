"""Keeps the placement on a node with a data folder: finds or creates it, and mends its shards."""

import random
import threading
from collections.abc import Iterable
from pathlib import Path

from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.log_events import LEDGER_CREATED, PLACEMENT_WRITE_FAILED, REPLICAS_CHANGED
from bellweir.ledger.messages import PlacementAnswer, PlacementRequest
from bellweir.ledger.node import LedgerNode
from bellweir.ledger.placement import (
    Placement,
    PlacementCandidate,
    PlacementStore,
    first_placement,
    is_missing,
    load_placement,
    save_placement,
)
from bellweir.ledger.reconfiguration import ShardView, next_replica_set
from bellweir.ledger.replica import Replica
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.platform.interface import PlatformError
from bellweir.settings.models import LedgerSettings
from bellweir.wire.interface import Sender, Transport

PLACEMENT_TIMEOUT_S = 1.0
LEADERLESS_LOOK_S = 2.0
"""Time without a leader after which, and period in which, the store is asked for a recovery."""
REFRESH_PERIOD_S = 10.0
"""Time between two looks at another node's copy of the placement."""


class PlacementKeeper:
    """`step` is called about once a second by one task."""

    def __init__(
        self,
        node: LedgerNode,
        store: PlacementStore | None,
        membership: Membership,
        transport: Transport,
        clock: Clock,
        folder: Path,
        settings: LedgerSettings,
    ) -> None:
        self._node = node
        self._store = store
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._folder = folder
        self._settings = settings
        self._missing_since_s: float | None = None
        self._silent_since_s: dict[ReplicaId, float] = {}
        self._refresh_due_s = 0.0
        self._leaderless_since_s: float | None = None
        self._look_due_s = 0.0
        self._looked = False
        self._adopting = threading.Lock()
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
        self._look_for_recovery()
        self._create_first_replicas(self.placement)
        self._obey_recovery(self.placement)
        led = self._led()
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
        if found is None and self._store is not None:
            found = self._read_or_create(self._store)
        elif found is None:
            found = self._create_without_store()
        if found is not None:
            self._adopt(found)

    def _ask_peers(self) -> Placement | None:
        for member in self._data_members():
            answer = self._ask(member)
            if answer is not None and answer.placement is not None:
                return answer.placement
        return None

    def _read_or_create(self, store: PlacementStore) -> Placement | None:
        found = store.read()
        if not isinstance(found, PlatformError):
            return found[0]
        if not is_missing(found) or not self._waited_for_others():
            return None
        placement = self._first_placement()
        if store.write(placement, 0) is not None:
            # Somebody else was first, or the answer was lost: the next step reads it.
            return None
        emit(LEDGER_CREATED, shards=placement.shard_count, replicas=self._settings.replicas)
        return placement

    def _create_without_store(self) -> Placement | None:
        """For trials without a platform: the first data node by name creates the ledger.

        Not safe when nodes can't reach each other at the start, so a store is needed otherwise.
        """
        names = [self._node.name, *(member.node for member in self._data_members())]
        if min(names) != self._node.name or not self._waited_for_others():
            return None
        return self._first_placement()

    def _waited_for_others(self) -> bool:
        now_s = self._clock.monotonic_s()
        if self._missing_since_s is None:
            self._missing_since_s = now_s
        enough = len(self._data_members()) + 1 >= self._settings.replicas
        return enough or now_s - self._missing_since_s >= self._settings.creation_wait_s

    def _first_placement(self) -> Placement:
        settings = self._settings
        return first_placement(settings.shards, self._candidates(), settings.replicas)

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
            self._adopt(found)

    def _adopt(self, placement: Placement) -> None:
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

    def _look_for_recovery(self) -> None:
        """Read the store once at the start, and while a shard here has had no leader for long."""
        now_s = self._clock.monotonic_s()
        leaderless = any(replica.leader is None for replica in self._node.replicas())
        if not leaderless:
            self._leaderless_since_s = None
            return
        if self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        waited = now_s - self._leaderless_since_s >= LEADERLESS_LOOK_S
        if self._store is None or now_s < self._look_due_s or not (waited or not self._looked):
            return
        self._look_due_s = now_s + LEADERLESS_LOOK_S
        found = self._store.read()
        if not isinstance(found, PlatformError):
            self._looked = True
            self._adopt(found[0])

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
            voters = [str(one.node) for one in changed.voters]
            learners = [str(one.node) for one in changed.learners]
            emit(REPLICAS_CHANGED, shard=replica.shard, voters=voters, learners=learners)

    def _lost(self, replicas: Iterable[ReplicaId]) -> frozenset[ReplicaId]:
        """Replicas to be replaced: their disk is another one now, or they are silent for long."""
        now_s = self._clock.monotonic_s()
        lost: set[ReplicaId] = set()
        for replica in replicas:
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
        own = PlacementCandidate(self._node.own, self._membership.self_member().zone)
        found = [own]
        for member in self._data_members():
            answer = self._ask(member)
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

    # --- telling the store --------------------------------------------------------------------

    def _led(self) -> list[Replica]:
        return [replica for replica in self._node.replicas() if replica.leader == self._node.own]

    def publish(self) -> None:
        """Tell the store of settled replica sets; nothing waits for it."""
        if self._store is None or self.placement is None:
            return
        homes = self.placement.shards
        changed = {
            replica.shard: replica.home(homes[replica.shard])
            for replica in self._led()
            if replica.is_settled() and homes[replica.shard].replicas != replica.log.replicas
        }
        if not changed:
            return
        found = self._store.read()
        if isinstance(found, PlatformError):
            emit(PLACEMENT_WRITE_FAILED, detail=found.detail)
            return
        placement, version = found
        updated = placement.merged(self.placement).with_homes(changed)
        failure = self._store.write(updated, version)
        if failure is None:
            self._adopt(updated)
        else:
            emit(PLACEMENT_WRITE_FAILED, detail=failure.detail)
