"""The membership protocol of one node: SWIM with a ring of probes, run by one task.

The task calls `receive` for each datagram and `tick` when `next_wake_s` has come; other
threads read members and hand in state exchanges. One process may hold many such nodes.
"""

import random
import threading
from collections import deque
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from bellweir.events.log import emit
from bellweir.membership import pace
from bellweir.membership.broadcasts import Broadcasts
from bellweir.membership.datagrams import (
    MAXIMUM_DATAGRAM_BYTES,
    Ack,
    AnyDatagram,
    Gossip,
    Ping,
    PingRequest,
    decode_datagram,
    decode_record,
    encode_datagram,
)
from bellweir.membership.interface import Member
from bellweir.membership.lateness import Lateness
from bellweir.membership.log_events import (
    DATAGRAM_REFUSED,
    LOOP_STALLED,
    NAME_CONFLICT,
    SUSPICION_REFUTED,
)
from bellweir.membership.outbox import DatagramChannel, Outbox
from bellweir.membership.partners import Partners
from bellweir.membership.probing import RELAY_KEPT_S, Probe, ProbeBook, Relay
from bellweir.membership.records import MemberRecord, MemberStatus
from bellweir.membership.table import MemberTable, MergeOutcome
from bellweir.membership.targets import ProbeTargets
from bellweir.wire.faults import NetworkFaults, Place
from bellweir.wire.frames import FrameError, encode_struct
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.traffic import TrafficCounter

if TYPE_CHECKING:
    from bellweir.settings.models import MembershipSettings


class MembershipNode:
    """Membership as one node sees it. Safe for threads; sends outside of its lock."""

    def __init__(
        self,
        own: MemberRecord,
        settings: "MembershipSettings",
        keys: ClusterKeys,
        channel: DatagramChannel,
        faults: NetworkFaults,
        start_s: float,
        chance: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._keys = keys
        self._faults = faults
        self._chance = chance or random.Random()
        self._lock = threading.Lock()
        self._table = MemberTable(own, settings)
        self._targets = ProbeTargets(own.node, self._chance)
        self._partners = Partners(self._chance)
        self._book = ProbeBook()
        self._broadcasts = Broadcasts()
        self.traffic = TrafficCounter()
        """Datagrams sent and received."""
        self._outbox = Outbox(channel, faults, self.traffic)
        self._outgoing: list[tuple[str, bytes]] = []
        self._changes: deque[Member] = deque()
        self._exchange_with: str | None = None
        self._seeds: set[str] = set(settings.seeds)
        self._periods = 0
        self._next_period_s = start_s
        self._next_gossip_s = start_s
        self._lateness = Lateness(settings.probe_period_s, start_s)
        self.refused = 0
        """Datagrams that were malformed or proved no cluster key."""
        self._refused_logged_s = -pace.REFUSED_LOG_PERIOD_S
        self._broadcasts.add(own)
        self.next_wake_s = start_s

    # --- what other services read -------------------------------------------------------------

    def own(self) -> Member:
        """Return the member of this node."""
        with self._lock:
            return self._table.own.to_member()

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not dead, sorted by name."""
        with self._lock:
            return self._table.members()

    def member(self, node: str) -> Member | None:
        """Return a member by name, also a dead one."""
        with self._lock:
            entry = self._table.entries.get(node)
        return entry.member if entry is not None else None

    def take_changes(self) -> list[Member]:
        """Return the changes since the last call, in order."""
        with self._lock:
            changes = list(self._changes)
            self._changes.clear()
        return changes

    # --- what the task calls ------------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Do what is due: probes, suspicions, gossip, delayed datagrams."""
        with self._lock:
            self._notice_stall(now_s)
            self._outbox.send_due(now_s)
            if now_s >= self._next_period_s:
                self._begin_period(now_s)
            for probe in self._book.due_for_helpers(now_s):
                self._ask_helpers(probe)
            for probe in self._book.take_failed(now_s):
                self._suspect(probe, now_s)
                self._probe_more(now_s)
            for node in self._table.expired_suspicions(now_s):
                self._apply(self._table.set_status(node, MemberStatus.DEAD, now_s))
            if now_s >= self._next_gossip_s and self._broadcasts:
                self._gossip(pace.GOSSIP_FANOUT)
                self._next_gossip_s = now_s + pace.GOSSIP_PERIOD_S
            self._plan_wake()
        self._flush(now_s)

    def receive(self, data: bytes, address: str, now_s: float) -> None:
        """Take one datagram from the sender's `host:port`."""
        try:
            datagram = decode_datagram(data, self._keys)
            records = [decode_record(encoded) for encoded in datagram.records]
        except FrameError as failure:
            self._refuse(address, str(failure), now_s)
            return
        self.traffic.count_received(len(data))
        with self._lock:
            for record in records:
                self._apply(self._table.merge(record, now_s))
            self._answer(datagram, address, now_s)
            self._plan_wake()
        self._flush(now_s)

    # --- what other services ask for ----------------------------------------------------------

    def leave(self, now_s: float) -> None:
        """Spread at once that this node is leaving."""
        with self._lock:
            if not self._table.own.leaving:
                self._broadcasts.add(self._table.renew_own(True, MemberStatus.ALIVE, now_s))
                self._gossip(pace.LEAVING_FANOUT)
        self._flush(now_s)

    def end(self, now_s: float) -> None:
        """Spread at once that this node has stopped."""
        with self._lock:
            if self._table.own.status is not MemberStatus.DEAD:
                self._broadcasts.add(self._table.renew_own(True, MemberStatus.DEAD, now_s))
                self._gossip(pace.LEAVING_FANOUT)
        self._flush(now_s)

    def suggest_seeds(self, addresses: Iterable[str]) -> None:
        """Ping these `host:port` now and then while they are no live members."""
        with self._lock:
            self._seeds = set(self._settings.seeds) | set(sorted(addresses)[: pace.MAXIMUM_SEEDS])

    # --- state exchange -----------------------------------------------------------------------

    def wants_exchange_with(self) -> str | None:
        """Return, once, the address of a member newly met with whom to compare lists."""
        with self._lock:
            address, self._exchange_with = self._exchange_with, None
        return address

    def partner_address(self, now_s: float) -> str | None:
        """Return the address of a member with whom to compare lists now."""
        with self._lock:
            others = [m for m in self._table.members() if m.node != self._table.own.node]
            partner = self._partners.choose(others, now_s)
        return partner.peer_address if partner is not None else None

    def digests(self) -> tuple[int, ...]:
        """Return the hash of each bucket of live members."""
        with self._lock:
            return self._table.digests()

    def differing(self, digests: Sequence[int]) -> tuple[list[int], list[MemberRecord]]:
        """Return the buckets that differ from a peer's, and all records held in them."""
        with self._lock:
            own = self._table.digests()
            buckets = [n for n, digest in enumerate(own) if digest != digests[n]]
            return buckets, self._table.records_in(buckets)

    def records_in(self, buckets: Sequence[int]) -> list[MemberRecord]:
        """Return all records of the buckets."""
        with self._lock:
            return self._table.records_in(buckets)

    def merge_exchanged(self, records: Iterable[MemberRecord], now_s: float) -> None:
        """Take records from a state exchange.

        A death heard of here may be the other side's view of a split that has just healed, so
        a member that is held alive becomes a suspect only: it gets its time to refute.
        """
        with self._lock:
            for record in records:
                if record.status is MemberStatus.DEAD and record.node != self._table.own.node:
                    record = record.with_status(MemberStatus.SUSPECT)
                    if self._table.record(record.node) is None:
                        continue
                self._apply(self._table.merge(record, now_s))
            self._plan_wake()
        self._flush(now_s)

    # --- probing ------------------------------------------------------------------------------

    def _begin_period(self, now_s: float) -> None:
        self._periods += 1
        self._lateness.forget_some()
        self._table.patience_s = self._lateness.patience_s()
        self._next_period_s = now_s + self._settings.probe_period_s
        self._targets.see(self._table.live_others())
        successor, in_turn = self._targets.successor(), self._targets.next_in_turn()
        if successor is not None:
            self._probe(successor, now_s)
        if in_turn is not None and in_turn is not successor:
            self._probe(in_turn, now_s)
        if self._periods % pace.DEAD_PROBE_PERIODS == 0:
            self._ping_a_dead_member()
        if self._periods % pace.SEED_PERIODS == 1 or not self._table.live_others():
            self._ping_seeds()
        self._book.forget_relays(now_s)
        self._table.forget_old_dead(now_s)

    def _probe(self, target: MemberRecord, now_s: float) -> None:
        sent_s = now_s + self._lateness.patience_s()
        probe = Probe(
            number=self._book.next_number(),
            target=target.node,
            incarnation=target.incarnation,
            indirect_s=sent_s + self._settings.probe_timeout_s,
            ends_s=sent_s + self._settings.probe_period_s,
        )
        self._book.probes[probe.number] = probe
        self._ping(probe.number, target.node, target.peer_address)

    def _probe_more(self, now_s: float) -> None:
        """After a failed probe, probe further members at once: many may have gone together.

        Not while this node runs late: the failure may then be its own.
        """
        if self._lateness.is_late():
            return
        for _ in range(pace.PROBES_AFTER_FAILURE):
            target = self._targets.next_in_turn()
            if target is not None and len(self._book.probes) < pace.MAXIMUM_PROBES:
                self._probe(target, now_s)

    def _ask_helpers(self, probe: Probe) -> None:
        target = self._table.record(probe.target)
        if target is None:
            return
        for helper in self._targets.helpers(target, self._settings.indirect_probes):
            records = self._records_for(helper.node)
            request = PingRequest(
                probe.number, self._table.own.node, records, target.node, target.peer_address
            )
            self._queue(helper.peer_address, request)

    def _suspect(self, probe: Probe, now_s: float) -> None:
        record = self._table.record(probe.target)
        # A newer incarnation has been heard of meanwhile: the member lives.
        if record is not None and record.incarnation == probe.incarnation:
            self._apply(self._table.set_status(probe.target, MemberStatus.SUSPECT, now_s))

    def _ping_a_dead_member(self) -> None:
        dead = self._table.dead()
        if dead:
            chosen = self._chance.choice(dead)
            self._ping(self._book.next_number(), chosen.node, chosen.peer_address)

    def _ping_seeds(self) -> None:
        known = {record.peer_address for record in self._table.live_others()}
        known.add(self._table.own.peer_address)
        missing = sorted(self._seeds - known)
        # A node that knows nobody yet asks several at once: the first one may be gone.
        count = 1 if self._table.live_others() else pace.JOIN_FANOUT
        for address in self._chance.sample(missing, min(count, len(missing))):
            self._ping(self._book.next_number(), "", address)

    def _ping(self, number: int, target: str, address: str) -> None:
        own = self._table.own.node
        self._queue(address, Ping(number, own, self._records_for(target), target))

    # --- answering ----------------------------------------------------------------------------

    def _answer(self, datagram: AnyDatagram, address: str, now_s: float) -> None:
        if isinstance(datagram, Ping):
            self._answer_ping(datagram, address)
        elif isinstance(datagram, Ack):
            self._take_ack(datagram, address)
        elif isinstance(datagram, PingRequest):
            relay = Relay(address, datagram.number, now_s + RELAY_KEPT_S)
            number = self._book.add_relay(relay)
            if number is not None:
                self._ping(number, datagram.target, datagram.target_address)

    def _answer_ping(self, ping: Ping, address: str) -> None:
        own = self._table.own
        # The name guards against a new process at the address of one that is gone.
        if ping.target not in ("", own.node) or own.status is MemberStatus.DEAD:
            return
        records = self._records_for(ping.sender)
        if not ping.target or self._table.record(ping.sender) is None:
            records.insert(0, encode_struct(own))
        self._queue(address, Ack(ping.number, own.node, records))

    def _take_ack(self, ack: Ack, address: str) -> None:
        relay = self._book.relays.pop(ack.number, None)
        if relay is not None:
            passed_on = Ack(relay.asker_number, ack.sender, self._records_for(ack.sender))
            self._queue(relay.asker_address, passed_on)
            return
        probe = self._book.probes.get(ack.number)
        if probe is None:
            # An answer from a seed or from a member that was held for dead.
            self._exchange_with = self._exchange_with or address
        elif probe.target == ack.sender:
            del self._book.probes[ack.number]

    def _records_for(self, node: str) -> list[bytes]:
        """Choose records for a datagram: first what the receiver must refute about itself."""
        records: list[bytes] = []
        about_receiver = self._table.record(node)
        if about_receiver is not None and about_receiver.status is not MemberStatus.ALIVE:
            records.append(encode_struct(about_receiver))
        budget = MAXIMUM_DATAGRAM_BYTES - pace.HEADER_BYTES - sum(map(len, records))
        return records + self._broadcasts.take(budget, self._table.live_count)

    # --- spreading ----------------------------------------------------------------------------

    def _apply(self, outcome: MergeOutcome) -> None:
        if outcome.changed is None:
            return
        self._broadcasts.add(outcome.changed)
        self._changes.append(outcome.changed.to_member())
        record = outcome.changed
        self._faults.learn(Place(record.node, record.peer_address, record.zone, record.region))
        if outcome.refuted is not None:
            claimed = outcome.refuted.name.lower()
            emit(SUSPICION_REFUTED, claimed=claimed, incarnation=record.incarnation)
        if outcome.name_conflict:
            emit(NAME_CONFLICT, address=record.peer_address)

    def _gossip(self, fanout: int) -> None:
        self._targets.see(self._table.live_others())
        for member in self._targets.some(fanout):
            records = self._records_for(member.node)
            if records:
                self._queue(member.peer_address, Gossip(0, self._table.own.node, records))

    def _notice_stall(self, now_s: float) -> None:
        late_s = self._lateness.notice(now_s, self.next_wake_s)
        if not self._lateness.is_stall(late_s):
            return
        # Answers may wait in the socket's buffer: this node cannot blame anybody for the time
        # in which it did not run.
        self._book.probes.clear()
        self._table.postpone_suspicions(late_s)
        emit(LOOP_STALLED, stalled_s=round(late_s, 3))

    def _plan_wake(self) -> None:
        gossip_s = self._next_gossip_s if self._broadcasts else float("inf")
        self.next_wake_s = min(
            self._next_period_s,
            gossip_s,
            self._book.next_deadline_s(),
            self._outbox.next_due_s(),
        )

    def _queue(self, address: str, datagram: AnyDatagram) -> None:
        self._outgoing.append((address, encode_datagram(datagram, self._keys)))

    def _flush(self, now_s: float) -> None:
        with self._lock:
            outgoing, self._outgoing = self._outgoing, []
        for address, data in outgoing:
            self._outbox.send(address, data, now_s)

    def _refuse(self, address: str, reason: str, now_s: float) -> None:
        self.refused += 1
        if now_s - self._refused_logged_s >= pace.REFUSED_LOG_PERIOD_S:
            self._refused_logged_s = now_s
            emit(DATAGRAM_REFUSED, remote=address, reason=reason, refused_total=self.refused)
