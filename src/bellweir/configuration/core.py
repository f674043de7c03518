"""Spreading of the configuration among nodes: push along a tree, and anti-entropy against gaps.

A core needs a transport, a membership and a clock only, and runs as one task, so that many of
them fit into one process. Cost for each node, with `f` the fan-out, `c` changes a second of `b`
bytes, `p` the anti-entropy period and `d` the size of a digest:

    sent bytes a second <= f * c * b + c * d + 2 * d / p

and one report of the revision in force to the zone's reader for each change and each refresh
period (`revision_reports`). A zone's reader sends `c * d` more to each reader it tells: the
others of its region and one of each other region. Nothing but the reader's share of reports
grows with the number of nodes; a zone of `n` nodes is reached in `log(n) / log(f)` steps.
"""

import random
import threading
from dataclasses import dataclass

from bellweir.configuration.catch_up import CatchUp
from bellweir.configuration.interface import ConfigurationListener
from bellweir.configuration.messages import (
    NOT_LOADED,
    ConfigurationAnnouncement,
    ConfigurationDigest,
    ConfigurationPull,
    ConfigurationSnapshotChunk,
    ConfigurationSnapshotPull,
    ConfigurationUpdate,
    TableName,
)
from bellweir.configuration.placement import Placement, Placements
from bellweir.configuration.revision_reports import RevisionReports
from bellweir.configuration.snapshots import SnapshotChunks
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.subscription import Subscriptions
from bellweir.configuration.table import ApplyOutcome
from bellweir.kernel.clock import Clock
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.membership.partners import Partners
from bellweir.settings.models import ConfigurationSettings
from bellweir.wire.interface import Message, Sender, Transport

UNLOADED_PERIOD_S = 0.2
"""Time between two attempts to learn a first configuration from a peer, in seconds."""
DIGEST_TIMEOUT_S = 1.0
UPDATE_BYTES = 64 << 10
"""Documents in one pushed update; a larger change is announced and pulled, in bytes."""
LEARNING_GRACE_S = 0.05
"""Time a reader gives its own watch to bring what another reader announced, in seconds."""


@dataclass(frozen=True)
class _Hint:
    """A peer said to be further than this node."""

    address: str
    due_s: float


class ConfigurationCore:
    """One node's part in spreading the configuration."""

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        clock: Clock,
        settings: ConfigurationSettings,
        random_source: random.Random | None = None,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._random = random_source or random.Random()
        self._node = membership.self_member().node
        self.state = ConfigurationState(self._node)
        self._chunks = SnapshotChunks(self.state)
        self._catch_up = CatchUp(transport, self.state)
        self._partners = Partners(self._random)
        self._told_partners = Partners(self._random)
        """Nodes of the zone that are told of changes besides the tree; guarded by the lock."""
        self.placements = Placements(membership, settings.fanout)
        self.reports = RevisionReports(transport, membership, clock, self.state, self.placements)
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._hint: _Hint | None = None
        self._subscriptions = Subscriptions(self._node)
        self.notifies_in_step = True
        self._forwarded = dict.fromkeys(TableName, NOT_LOADED)
        self._next_exchange_s = 0.0

    def register_handlers(self) -> None:
        """Accept messages from peers; once, before the transport accepts any."""
        self._transport.register(ConfigurationUpdate, self._on_update)
        self._transport.register(ConfigurationAnnouncement, self._on_announcement)
        self._transport.register(ConfigurationDigest, self._on_digest)
        self._transport.register(ConfigurationPull, self._on_pull)
        self._transport.register(ConfigurationSnapshotPull, self._on_snapshot_pull)
        self.reports.register_handlers()
        self.state.on_advance = self._advanced
        self._membership.subscribe(self._on_member)

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call `listener` with each newest snapshot; see `notify`."""
        self._subscriptions.add(listener)

    def run(self, stopping: threading.Event) -> None:
        """The core's one task, until `stopping` is set and `wake` called."""
        while not stopping.is_set():
            delay_s = self.step()
            self._clock.wait(self._wake, delay_s)
            self._wake.clear()

    def wake(self) -> None:
        """Have the task look at once, such as at a stop."""
        self._wake.set()

    def take_wake(self) -> bool:
        """Whether `wake` was called since the last time; for a caller that runs `step` itself."""
        woken = self._wake.is_set()
        self._wake.clear()
        return woken

    def step(self) -> float:
        """Do all that is due; the seconds until the next step."""
        self._forward_all()
        if self.notifies_in_step:
            self.notify()
        self._follow_hint()
        if self._clock.monotonic_s() >= self._next_exchange_s:
            self._exchange_with_partner()
            self._next_exchange_s = self._clock.monotonic_s() + self._exchange_period_s()
        self._forward_all()
        if self.notifies_in_step:
            self.notify()
        self.reports.send_due()
        return self._delay_s()

    def catch_up_with_peers(self) -> bool:
        """Ask a few peers once; whether a configuration is loaded afterwards."""
        others = self._others()
        self._random.shuffle(others)
        for peer in others[: self._settings.fanout]:
            self._exchange_with(peer)
        return self.state.loaded

    # --- what is due -------------------------------------------------------------------------

    def _exchange_period_s(self) -> float:
        if not self.state.loaded:
            return UNLOADED_PERIOD_S
        return self._settings.anti_entropy_period_s * self._random.uniform(0.75, 1.25)

    def _delay_s(self) -> float:
        now_s = self._clock.monotonic_s()
        due_s = min(self._next_exchange_s, self.reports.due_s())
        with self._lock:
            if self._hint is not None:
                due_s = min(due_s, self._hint.due_s)
        return max(0.0, due_s - now_s)

    def _advanced(self) -> None:
        """Pass a change on at once, on the thread that brought it.

        Sending only queues. The core's task may be waiting for a peer that does not answer.
        """
        self._forward_all()
        self._wake.set()

    def _forward_all(self) -> None:
        for table in TableName:
            self._forward(table)

    def _forward(self, table: TableName) -> None:
        """Push what is new since the last time to this node's children in the tree."""
        revision = self.state.position(table).revision
        with self._lock:
            after = self._forwarded[table]
            if revision <= after:
                return
            self._forwarded[table] = revision
        placement = self.placements.current()
        update = self.state.update_after(table, after)
        message: Message = self._announcement()
        if update is not None and _size(update) <= UPDATE_BYTES:
            message = update
        for target in placement.children:
            self._transport.send(target.peer_address, message)
        self._announce(placement)

    def _announce(self, placement: Placement) -> None:
        """Tell other readers (as the zone's reader), and one node of a few chosen at random.

        That one makes news of a change reach a part of the tree that a dead node cut off
        without waiting for the period of anti-entropy.
        """
        told = list(placement.readers_told) if placement.is_reader else []
        others = [member for member in placement.order if member.node != self._node]
        with self._lock:
            chosen = self._told_partners.choose(others, self._clock.monotonic_s())
        if chosen is not None:
            told.append(chosen)
        announcement = self._announcement()
        for target in told:
            self._transport.send(target.peer_address, announcement)

    def _announcement(self) -> ConfigurationAnnouncement:
        return ConfigurationAnnouncement(*self.state.positions())

    def notify(self) -> None:
        """Call the listeners when there is a newer snapshot.

        Part of each step, unless `notifies_in_step` is off because a task of its own does it:
        then no slow listener holds up the spreading of a change.
        """
        if self.state.loaded:
            self._subscriptions.deliver(self.state.current())

    def _follow_hint(self) -> None:
        with self._lock:
            hint = self._hint
            if hint is None or hint.due_s > self._clock.monotonic_s():
                return
            self._hint = None
        self._exchange(hint.address)

    def _exchange_with_partner(self) -> None:
        partner = self._partners.choose(self._others(), self._clock.monotonic_s())
        if partner is not None:
            self._exchange_with(partner)

    def _others(self) -> list[Member]:
        states = (MemberState.ALIVE, MemberState.LEAVING)
        return [
            member
            for member in self._membership.members()
            if member.node != self._node and member.state in states
        ]

    def _exchange_with(self, peer: Member) -> None:
        self._exchange(peer.peer_address)

    def _exchange(self, address: str) -> None:
        """Compare with one peer and pull what it has more; it does likewise by itself."""
        digest = ConfigurationDigest(*self.state.positions())
        answer = self._transport.request(address, digest, DIGEST_TIMEOUT_S).value_or(None)
        if isinstance(answer, ConfigurationDigest):
            self._catch_up.with_peer(address, TableName.RESOURCES, answer.resources)
            self._catch_up.with_peer(address, TableName.MACHINES, answer.machines)

    # --- messages from peers -----------------------------------------------------------------

    def _on_update(self, sender: Sender, update: ConfigurationUpdate) -> None:
        outcome = self.state.apply(update)
        if outcome in (ApplyOutcome.GAP, ApplyOutcome.DIVERGED):
            self._take_hint(sender.address, 0.0)

    def _on_announcement(self, sender: Sender, announcement: ConfigurationAnnouncement) -> None:
        if self._is_behind(announcement):
            self._take_hint(sender.address, LEARNING_GRACE_S)

    def _on_digest(self, sender: Sender, digest: ConfigurationDigest) -> Message:
        if self._is_behind(digest):
            self._take_hint(sender.address, 0.0)
        return ConfigurationDigest(*self.state.positions())

    def _on_pull(self, sender: Sender, pull: ConfigurationPull) -> Message:
        update = None if pull.whole else self.state.update_after(pull.table, pull.after)
        if update is not None and _size(update) <= UPDATE_BYTES:
            return update
        return self._chunks.first(pull.table)

    def _on_snapshot_pull(
        self, sender: Sender, pull: ConfigurationSnapshotPull
    ) -> ConfigurationSnapshotChunk:
        return self._chunks.chunk(pull.table, pull.revision, pull.chunk)

    def _on_member(self, member: Member) -> None:
        """Look at who reads and who is whose child now; a fresh node asks a new member at once."""
        if not self.state.loaded and member.node != self._node:
            self._take_hint(member.peer_address, 0.0)
        self._wake.set()

    def _is_behind(self, theirs: ConfigurationAnnouncement | ConfigurationDigest) -> bool:
        resources, machines = self.state.positions()
        return (
            theirs.resources.revision > resources.revision
            or theirs.machines.revision > machines.revision
        )

    def _take_hint(self, address: str, grace_s: float) -> None:
        """Remember one peer to catch up with; the earliest counts, later ones add nothing."""
        due_s = self._clock.monotonic_s() + grace_s
        with self._lock:
            if self._hint is None or self._hint.due_s > due_s:
                self._hint = _Hint(address, due_s)
        self._wake.set()


def _size(update: ConfigurationUpdate) -> int:
    return sum(len(change.document or b"") for change in update.changes)
