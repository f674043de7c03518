"""Spreads records of requests that crash workers among all nodes.

News travels at once: a node passes what is new to it on to the peers at powers of two in its zone's
ring and to one node of each other zone. Besides, a node with records sends some of them to one peer
each second, so that nodes which missed news get it, and one that may have missed some asks.
Nothing is sent while no request is suspected, except the question at a start, which is asked before
the node serves. It also asks the gateway that grants the trials of a service.
"""

import itertools
import threading
from collections.abc import Callable, Mapping, Sequence

import xxhash
from returns.result import Result, Success

from bellweir.events.log import emit
from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.messages import (
    CrashAnswer,
    CrashNews,
    CrashQuestion,
    CrashRecord,
    TrialAnswer,
    TrialRequest,
)
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.crashes.trials import Trials
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import CRASH_RECORDS_LEARNT
from bellweir.hosted.sight.gossip_ring import (
    GatewayPeer,
    position_of,
    remote_peer,
    rounds_to_reach_all,
    zone_peer,
    zone_rings,
)
from bellweir.kernel.clock import elapsed_s
from bellweir.membership.interface import Member, Membership
from bellweir.wire.interface import Message, Sender, Transport, WireError

ROUND_S = 1.0
"""Time between two messages that repeat records."""
MAX_REPEATED = 16
"""Records in a repeating message; about 1.3 KB."""
QUESTION_TIMEOUT_S = 0.3
QUESTION_PAUSE_S = 0.3
ASKING_S = 10.0
"""Time after a start for which peers are asked until one that is informed answers."""
START_WAIT_S = 0.5
"""Longest part of it for which a start waits."""
START_PAUSE_S = 0.05
"""Pause between two rounds of questions in that time: a question may fail at once."""
STALLED_S = 2.5
"""Time between two rounds from which this node may have missed news."""
TRIAL_TIMEOUT_S = 0.25
MAX_ASKED = 2
"""Gateways that are asked for a trial before this node decides by itself."""
MS_PER_S = 1000


class CrashExchange:
    """One node's part in the exchange."""

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        table: CrashTable,
        now_s: Callable[[], float] = elapsed_s,
        trials: Trials | None = None,
    ) -> None:
        """`trials` grants trials here; without it this node grants none to others."""
        self._trials = trials if trials is not None else Trials(table, lambda _service: 0, now_s)
        self._transport = transport
        self._membership = membership
        self._table = table
        self._now_s = now_s
        self._lock = threading.Lock()
        self._changed: set[Fingerprint] = set()
        self._wake = threading.Event()
        self._round = 0
        self._last_round_s = now_s()
        self._ask_until_s = now_s() + ASKING_S
        self._is_informed = False
        transport.register(CrashNews, self._on_news)
        transport.register(CrashQuestion, self._on_question)
        transport.register(TrialRequest, self._on_trial_request)

    def announce(self, request: Fingerprint) -> None:
        """Tell the other nodes what is known of a request; returns at once."""
        with self._lock:
            self._changed.add(request)
        self._wake.set()

    def learn(self) -> None:
        """Ask what others know before this node serves; returns after `START_WAIT_S` at the latest.

        Returns at once where there is nobody to ask.
        """
        began_s = self._now_s()
        until_s = began_s + START_WAIT_S
        peers = self._partners()
        while peers and not self._is_informed and self._now_s() < until_s:
            self.ask(until_s)
            if not self._is_informed:
                self._wake.wait(START_PAUSE_S)
            peers = self._partners()
        emit(
            CRASH_RECORDS_LEARNT,
            peers=len(peers),
            informed=self._is_informed,
            records=len(self._table.records()),
            ms=round(MS_PER_S * (self._now_s() - began_s)),
        )

    def run(self, stopping: threading.Event) -> None:
        """Send news and repeat records until `stopping`. Runs as one task."""
        while not stopping.is_set():
            is_asking = self._now_s() < self._ask_until_s
            self._wake.wait(QUESTION_PAUSE_S if is_asking else ROUND_S)
            self._wake.clear()
            self.send_news()
            self._note_stall()
            if self._now_s() < self._ask_until_s:
                self.ask()
            if self._now_s() - self._last_round_s >= ROUND_S:
                self._last_round_s = self._now_s()
                self.repeat()

    def send_news(self) -> None:
        """Pass on what is new to this node."""
        with self._lock:
            changed, self._changed = self._changed, set()
        if not changed:
            return
        records = self._table.records(changed)
        for address in self._partners():
            self._transport.send(address, CrashNews(records))

    def repeat(self) -> None:
        """Send records to one peer, the most dangerous ones first."""
        if self._table.is_empty:
            return
        own, rings = self._rings()
        number, self._round = self._round, self._round + 1
        ring = rings.pop(own.zone, [])
        is_remote = bool(rings) and number % 2 == 1
        peer = (
            remote_peer(rings, position_of(ring, own.node), number // 2)
            if is_remote
            else zone_peer(ring, own.node, number // 2)
        )
        if peer is not None:
            records = self._table.records(most=MAX_REPEATED)
            self._transport.send(peer.address, CrashNews(records))

    def ask(self, until_s: float = float("inf")) -> None:
        """Ask peers for all records until one that is informed has answered.

        Where all answer and none is, they have started together: there is nothing else to learn.
        """
        peers = self._partners()
        answered = 0
        for address in peers:
            timeout_s = min(QUESTION_TIMEOUT_S, until_s - self._now_s())
            if timeout_s <= 0:
                return
            match self._transport.request(address, CrashQuestion(), timeout_s):
                case Success(CrashAnswer(records, is_informed)):
                    answered += 1
                    self._merge(records)
                    if is_informed or answered == len(peers):
                        self._is_informed = True
                        self._ask_until_s = self._now_s()
                        return

    def begin_trial(self, request: Fingerprint, service: str, worker: Incarnation) -> float:
        """Take a trial at a worker; return 0, or the seconds after which to ask again.

        Of all gateways the first by rank grants the trials of a service; the next one and then this
        node take its place while it does not answer. Other nodes run what nobody else runs, and
        grant their trials themselves.
        """
        for peer in self._granting_peers(service):
            match self._ask_for_trial(peer, request, service, worker):
                case Success(TrialAnswer(wait_ms)):
                    if wait_ms == 0:
                        self._table.add_trial(request, worker)
                    return wait_ms / MS_PER_S
        return self._trials.begin(request, service, worker)

    def _ask_for_trial(
        self, peer: GatewayPeer, request: Fingerprint, service: str, worker: Incarnation
    ) -> Result[Message, WireError]:
        records = self._table.records([request])
        message = TrialRequest(request, service, worker.instance, worker.born_ms, records)
        return self._transport.request(peer.address, message, TRIAL_TIMEOUT_S)

    def _granting_peers(self, service: str) -> list[GatewayPeer]:
        """Return the gateways to ask for trials of a service, up to this node by rank."""
        own = self._membership.self_member()
        if not own.gateway_address:
            return []
        rings = zone_rings(self._membership.members())
        peers = [peer for ring in rings.values() for peer in ring]
        peers.sort(key=lambda peer: _rank(service, peer.node))
        before = list(itertools.takewhile(lambda peer: peer.node != own.node, peers))
        known = [peer for peer in before if self._transport.knows(peer.address, TrialRequest)]
        unknown = [
            peer for peer in before if self._transport.knows(peer.address, TrialRequest) is None
        ]
        return (known + unknown)[:MAX_ASKED]

    def _on_trial_request(self, sender: Sender, message: TrialRequest) -> TrialAnswer:
        self._merge(message.records)
        worker = Incarnation(message.instance, message.born_ms)
        wait_s = self._trials.begin(message.fingerprint, message.service, worker)
        if wait_s > 0:
            return TrialAnswer(max(1, round(MS_PER_S * wait_s)))
        self.announce(message.fingerprint)
        return TrialAnswer(0)

    def _note_stall(self) -> None:
        """Ask again after a time in which this node may have been halted or suspended."""
        if self._now_s() - self._last_round_s > STALLED_S:
            self._is_informed = False
            self._ask_until_s = self._now_s() + ASKING_S

    def _on_news(self, sender: Sender, message: CrashNews) -> None:
        self._merge(message.records)

    def _on_question(self, sender: Sender, message: CrashQuestion) -> CrashAnswer:
        is_informed = self._is_informed or self._now_s() >= self._ask_until_s
        return CrashAnswer(self._table.records(), is_informed)

    def _merge(self, records: Sequence[CrashRecord]) -> None:
        for record in records:
            if self._table.receive(record):
                self.announce(record.fingerprint)

    def _rings(self) -> tuple[Member, dict[str, list[GatewayPeer]]]:
        """Return this node and the rings of all zones."""
        rings = zone_rings(self._membership.members(), only_gateways=False)
        return self._membership.self_member(), rings

    def _partners(self) -> list[str]:
        """Return the addresses of the peers that news is passed on to, those of the zone first."""
        own, rings = self._rings()
        ring = rings.pop(own.zone, [])
        near = [zone_peer(ring, own.node, step) for step in range(rounds_to_reach_all(len(ring)))]
        far = _one_of_each(rings, position_of(ring, own.node))
        found = [peer.address for peer in (*near, *far) if peer is not None]
        return list(dict.fromkeys(found))


def _rank(service: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}/{node}".encode())


def _one_of_each(rings: Mapping[str, Sequence[GatewayPeer]], position: int) -> list[GatewayPeer]:
    return [ring[position % len(ring)] for ring in rings.values() if ring]
