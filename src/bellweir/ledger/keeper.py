"""Keeps the placement on a node with a data folder: finds it, and mends its shards.

Nothing here waits for the platform's store, so that mending goes on while the store hangs; see
`store_sync` for the store's side.
"""

import random
import threading
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.entries import ReplicaId, ReplicaSet
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
DISK_TIMEOUT_S = 0.3
"""Time for a node to tell its disk, which takes some milliseconds; a mend waits for each one."""
YOUNG_S = 10.0
"""A node that was first seen so shortly before a voter fell silent, or since, is its successor."""
PLANNED_S = 5.0
"""A planned replacement's process stops within this time from the start of its successor."""
ASKED_AT_ONCE = 3
"""Nodes that are asked for the placement in one step; whoever has it spreads it the same way."""
MOST_RELEASED = 16
"""Released replicas that a shard's log goes on naming, the newest; their disks are gone soon."""
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
        generator: random.Random | None = None,
    ) -> None:
        """Whom to ask is drawn from `generator`, one of its own without it."""
        self._random = generator or random.Random()
        self._node = node
        self._has_store = has_store
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._folder = folder
        self._settings = settings
        self._missing_since_s: float | None = None
        self._silent_since_s: dict[ReplicaId, float] = {}
        self._gone: set[ReplicaId] = set()
        """Silent replicas that are being replaced: they stay lost while they are silent."""
        self._first_seen_s: dict[str, float] = {}
        self._disks: dict[str, ReplicaId | None] = {}
        self._refresh_due_s = 0.0
        self._adopting = threading.Lock()
        self.retiring: frozenset[str] = frozenset()
        """Nodes that are to hold no replicas any more, as soon as others hold enough."""
        self._released: frozenset[str] = frozenset()
        self._mending = threading.Lock()
        """Held over a change of replicas, so that no node is released and brought in at once."""
        self.placement = load_placement(folder)
        transport.register(PlacementRequest, self.handle_placement_request)

    def handle_placement_request(
        self, sender: Sender, request: PlacementRequest
    ) -> PlacementAnswer:
        """Tell a peer this node's disk and the placement as known here."""
        return PlacementAnswer(self._node.own.disk, self.placement)

    def step(self) -> bool:
        """Find the placement, hold what it names, and mend the shards led here.

        Returns whether a shard's replicas are being changed, so that the next step is due soon.
        """
        self._note_nodes()
        if self.placement is None:
            self._find_placement()
        if self.placement is None:
            return False
        self._refresh(self.placement)
        self._create_first_replicas(self.placement)
        self._obey_recovery(self.placement)
        led = self.led()
        self._note_silence(led)
        # Asked once in a step: one that does not answer must not hold the mend up again and again.
        self._disks = {}
        with self._mending:
            changing = [self._mend(replica) for replica in led]
        return any(changing)

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
        for member in self._random.sample(members, min(ASKED_AT_ONCE, len(members))):
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
        self._disks = {}
        candidates = self._candidates()
        waited = now_s - self._missing_since_s >= settings.creation_wait_s
        if len(candidates) < settings.replicas and not waited:
            return None
        # Those that don't answer may be well, behind a cut: what fewer acknowledge goes with them.
        if len(candidates) < settings.creation_least:
            return None
        return first_placement(settings.shards, candidates, settings.replicas)

    def _refresh(self, known: Placement) -> None:
        """Now and then take over what another keeper knows better."""
        now_s = self._clock.monotonic_s()
        if now_s < self._refresh_due_s:
            return
        self._refresh_due_s = now_s + REFRESH_PERIOD_S
        members = self._data_members()
        answer = self._ask(self._random.choice(members)) if members else None
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
        self._gone &= silent

    def _note_nodes(self) -> None:
        """Note when each node with a data folder was seen first.

        For a node that starts, all others have just come: everyone may have been restarted in the
        middle of a replacement.
        """
        now_s = self._clock.monotonic_s()
        since_s = self._first_seen_s
        nodes = [member.node for member in self._data_members()]
        # One that is away for a moment is no new one when it is back.
        self._first_seen_s = since_s | {node: since_s.get(node, now_s) for node in nodes}

    def _mend(self, replica: Replica) -> bool:
        """Begin the next change of a shard's replicas; whether one was begun."""
        replicas = replica.log.replicas
        wanted = self._settings.replicas
        is_whole = len(replicas.voters) == wanted and not replicas.learners
        is_whole = is_whole and not any(one.node in self.retiring for one in replicas.voters)
        going = self._silent_since_s
        if is_whole and not any(
            one in going or self._is_leaving(one.node) for one in replicas.voters
        ):
            return False
        view = self._view(replica, replicas)
        changed = next_replica_set(view, wanted)
        if changed is not None:
            changed = msgspec.structs.replace(changed, released=replicas.released)
        if changed is None or changed == replicas:
            return bool(replicas.learners)
        if replica.change_replicas(changed) is not None:
            self._node.wake()
            emit(
                REPLICAS_CHANGED,
                shard=replica.shard,
                voters=shown(changed.voters),
                learners=shown(changed.learners),
                lost=shown(sorted(view.lost)),
            )
        return True

    def _view(self, replica: Replica, replicas: ReplicaSet) -> ShardView:
        released = replicas.released
        candidates = tuple(one for one in self._candidates() if one.replica not in released)
        known = {*replicas.everyone, *(one.replica for one in candidates)}
        return ShardView(
            shard=replica.shard,
            replicas=replicas,
            own=self._node.own,
            caught_up=replica.caught_up(),
            lost=self._lost(replicas, candidates),
            candidates=candidates,
            silent=frozenset(self._silent_since_s),
            retiring=frozenset(one for one in known if one.node in self.retiring),
            leaving=self._leaving(replicas, candidates),
            doubtful=frozenset(one for one in replicas.voters if self._is_doubtful(one)),
            young=frozenset(one for one in replicas.everyone if self._is_young(one, PLANNED_S)),
        )

    def _lost(
        self, replicas: ReplicaSet, candidates: Iterable[PlacementCandidate]
    ) -> frozenset[ReplicaId]:
        """Replicas to be replaced: their disk is another one now, or they won't come back.

        A silent one is taken for gone after some seconds, or at once where a machine without
        replicas has come just before or since: the time within which the next loss must be borne
        runs from its start.
        """
        now_s = self._clock.monotonic_s()
        voting = {one.node for one in replicas.voters}
        spare = [one.replica.node for one in candidates if one.replica.node not in voting]
        newest_s = max((self._first_seen_s.get(node, now_s) for node in spare), default=None)
        for replica in replicas.everyone:
            since_s = self._silent_since_s.get(replica)
            if since_s is None or replica in self._gone:
                continue
            # A learner stays silent while it installs a large state, and is no successor of itself.
            has_successor = (
                replica in replicas.voters
                and newest_s is not None
                and newest_s >= since_s - YOUNG_S
            )
            is_gone = has_successor or now_s - since_s >= self._settings.replace_after_s
            if is_gone or self._has_new_disk(replica):
                self._gone.add(replica)
        return frozenset(self._gone.intersection(replicas.everyone))

    def _is_young(self, replica: ReplicaId, within_s: float) -> bool:
        """Whether a replica's node was first seen within so many seconds."""
        first_s = self._first_seen_s.get(replica.node, float("-inf"))
        return self._clock.monotonic_s() - first_s < within_s

    def _leaving(
        self, replicas: ReplicaSet, candidates: Collection[PlacementCandidate]
    ) -> frozenset[ReplicaId]:
        """Voters that stop as planned while a machine is there that has just come."""
        known = {*replicas.everyone, *(one.replica for one in candidates)}
        if not any(self._is_young(one, YOUNG_S) for one in known):
            return frozenset()
        return frozenset(one for one in replicas.voters if self._is_leaving(one.node))

    def _is_leaving(self, node: str) -> bool:
        member = self._membership.member(node)
        return member is not None and member.state is MemberState.LEAVING

    def _is_doubtful(self, replica: ReplicaId) -> bool:
        """Whether membership does not show a replica's node as alive."""
        member = self._membership.member(replica.node)
        return member is None or member.state is not MemberState.ALIVE

    def _has_new_disk(self, replica: ReplicaId) -> bool:
        member = self._membership.member(replica.node)
        if member is None or member.state is MemberState.DEAD:
            return False
        found = self._replica_on(member)
        return found is not None and found != replica

    def release(self, node: str) -> bool:
        """Whether a node may be taken away; if so, it is brought in no more while it is to go.

        The word of it may arrive late, after another loss: a replica that were brought back to
        that node meanwhile would go with it. So it is in the log first, for later leaders, too: the
        first call begins that, and a later one finds it committed.
        """
        with self._mending:
            if not self.is_emptied(node):
                return False
            if not all(self._has_noted_release(replica, node) for replica in self.led()):
                return False
            self._released = self._released & self.retiring | {node}
            return True

    def _has_noted_release(self, replica: Replica, node: str) -> bool:
        """Whether a shard's log names a node's replica as released; if not, this is begun."""
        member = self._membership.member(node)
        answer = self._ask(member, DISK_TIMEOUT_S) if member is not None else None
        if answer is None:
            # Of one that is gone nothing can be noted, and it is no candidate.
            return member is None or member.state in (MemberState.DEAD, MemberState.LEAVING)
        found = ReplicaId(node, answer.disk)
        replicas = replica.log.replicas
        if found in replicas.released:
            return True
        released = (*replicas.released, found)[-MOST_RELEASED:]
        replica.change_replicas(msgspec.structs.replace(replicas, released=released))
        self._node.wake()
        return False

    def is_emptied(self, node: str) -> bool:
        """Whether a node surely holds no replica that counts, and enough others that answer do.

        Whoever is told so takes the node away with its disk, so that one that is silent now must
        not count among the others.
        """
        placement = self.placement
        led = {replica.shard: replica for replica in self.led()}
        if placement is None or not led:
            return False
        for shard, home in enumerate(placement.shards):
            replica = led.get(shard)
            if replica is not None and not self._is_whole(replica):
                return False
            replicas = replica.log.replicas if replica is not None else home.replicas
            short = len(replicas.voters) < self._settings.replicas
            if short or any(one.node == node for one in replicas.everyone):
                return False
        return True

    def _is_whole(self, replica: Replica) -> bool:
        """Whether a shard led here has all its voters, each of which answers and has caught up."""
        silent = replica.silent_replicas(self._clock.monotonic_s())
        sound = (replica.caught_up() | {self._node.own}) - silent
        return replica.is_settled() and all(
            one in sound and not self._is_doubtful(one) and not self._is_young(one, PLANNED_S)
            for one in replica.log.replicas.voters
        )

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
        found = [self._candidate(self._node.own, self._membership.self_member())]
        for member in self._data_members():
            is_released = member.node in self._released & self.retiring
            replica = self._replica_on(member) if not is_released else None
            if replica is not None:
                found.append(self._candidate(replica, member))
        return tuple(found)

    def _candidate(self, replica: ReplicaId, member: Member) -> PlacementCandidate:
        region = member.region if self._settings.one_region else ""
        return PlacementCandidate(replica, member.zone, region)

    def _replica_on(self, member: Member) -> ReplicaId | None:
        """Identity of a node's replicas, by its own word; None where it does not answer."""
        if member.node not in self._disks:
            answer = self._ask(member, DISK_TIMEOUT_S)
            found = ReplicaId(member.node, answer.disk) if answer is not None else None
            self._disks[member.node] = found
        return self._disks[member.node]

    def _ask(
        self, member: Member, timeout_s: float = PLACEMENT_TIMEOUT_S
    ) -> PlacementAnswer | None:
        answer = self._transport.request(member.peer_address, PlacementRequest(), timeout_s)
        match answer:
            case Success(PlacementAnswer() as found):
                return found
        return None

    def led(self) -> list[Replica]:
        """Replicas that lead here."""
        return [replica for replica in self._node.replicas() if replica.leader == self._node.own]
