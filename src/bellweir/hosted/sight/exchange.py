"""Gossips observations of workers among gateways.

Each round a gateway sends at most one message to a peer of its own zone and one to a peer of
another zone (see `gossip_ring`), and none without new records.
"""

import threading
from collections.abc import Callable, Sequence

from returns.result import Failure, Success

from bellweir.hosted.sight.gossip_ring import (
    GatewayPeer,
    position_of,
    remote_peer,
    rounds_to_reach_all,
    zone_peer,
    zone_rings,
)
from bellweir.hosted.sight.messages import SightHeard, SightNews
from bellweir.hosted.sight.table import ObservationTable
from bellweir.kernel.clock import elapsed_s
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Sender, Transport, WireErrorKind

GOSSIP_INTERVAL_S = 0.5
"""What one of 25 gateways of a zone observed is known to all of them 2.5 s later."""
HANDSHAKE_TIMEOUT_S = 0.25
UNSUPPORTED_BACKOFF_S = 30.0
"""How long a peer that does not support the messages is skipped; it may be upgraded meanwhile."""
NO_ANSWER_BACKOFF_S = 2.0
ISOLATED_AFTER_S = 5.0
"""Silence while this node had records to send, which means that peers had some, too."""


class ObservationExchange:
    """Sends and receives the observations of one gateway.

    The first message to a peer is a request. Peers that answer get one-way messages from then on;
    peers that refuse, as older builds do, are skipped for `UNSUPPORTED_BACKOFF_S`. For builds known
    not to support the message, the transport reports a refusal without sending.
    """

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        table: ObservationTable,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._table = table
        self._now_s = now_s
        self._lock = threading.Lock()
        self._supporting: set[str] = set()
        """Addresses of peers that support the messages."""
        self._backoff_until_s: dict[str, float] = {}
        self._round = 0
        self._silence_s = 0.0
        """Time in which this node sent records and received none."""
        self._last_round_s = now_s()
        transport.register(SightNews, self._on_records)

    @property
    def is_isolated(self) -> bool:
        """Whether this node sent records for `ISOLATED_AFTER_S` without receiving any."""
        return self._silence_s >= ISOLATED_AFTER_S

    def run(self, stopping: threading.Event) -> None:
        """Run gossip rounds until `stopping` is set."""
        while not stopping.wait(GOSSIP_INTERVAL_S):
            self.run_round()

    def run_round(self) -> None:
        """Send pending records to one peer of the own zone and one of another zone."""
        own = self._membership.self_member()
        found = zone_rings(self._membership.members())
        self._retain({one.address for ring in found.values() for one in ring})
        available = {zone: self._available(ring, own.node) for zone, ring in found.items()}
        ring = available.pop(own.zone, [])
        others = {zone: each for zone, each in available.items() if each}
        position = position_of(ring, own.node)
        round_number, self._round = self._round, self._round + 1
        # A gateway alone in its zone has no local peer, but sends to each other zone once.
        local_rounds = rounds_to_reach_all(len(ring)) if len(ring) > 1 else 0
        remote_sends = len(others)
        has_sent = self._send_records(
            zone_peer(ring, own.node, round_number), local_rounds, remote_sends, False
        )
        has_sent |= self._send_records(
            remote_peer(others, position, round_number), local_rounds, remote_sends, True
        )
        self._update_silence(has_sent)

    def _send_records(
        self, peer: GatewayPeer | None, local_rounds: int, remote_sends: int, to_other_zone: bool
    ) -> bool:
        if peer is None:
            return False
        records = self._table.next_records(
            self._now_s(), local_rounds, remote_sends, to_other_zone=to_other_zone
        )
        if not records:
            return False
        message = SightNews(records)
        if peer.address in self._supporting:
            self._transport.send(peer.address, message)
        else:
            self._handshake(peer.address, message)
        return True

    def _handshake(self, address: str, message: SightNews) -> None:
        """Send the first message to a peer as a request, to learn whether it supports them."""
        match self._transport.request(address, message, HANDSHAKE_TIMEOUT_S):
            case Success(SightHeard()):
                with self._lock:
                    self._supporting.add(address)
            case Failure(error) if error.kind is WireErrorKind.REFUSED:
                self._back_off(address, UNSUPPORTED_BACKOFF_S)
            case _:
                self._back_off(address, NO_ANSWER_BACKOFF_S)

    def _back_off(self, address: str, for_s: float) -> None:
        with self._lock:
            self._backoff_until_s[address] = self._now_s() + for_s

    def _available(self, ring: Sequence[GatewayPeer], own: str) -> list[GatewayPeer]:
        """Peers of a ring that are not in backoff, and this node in its own ring."""
        now_s = self._now_s()
        with self._lock:
            until_s = self._backoff_until_s
            return [
                one for one in ring if one.node == own or until_s.get(one.address, 0.0) <= now_s
            ]

    def _retain(self, addresses: set[str]) -> None:
        """Forget peers that left: they may come back with another build."""
        with self._lock:
            self._supporting &= addresses
            for address in [one for one in self._backoff_until_s if one not in addresses]:
                del self._backoff_until_s[address]

    def _update_silence(self, has_sent: bool) -> None:
        now_s = self._now_s()
        elapsed_s, self._last_round_s = now_s - self._last_round_s, now_s
        with self._lock:
            if has_sent:
                self._silence_s += min(elapsed_s, 2 * GOSSIP_INTERVAL_S)

    def _on_records(self, sender: Sender, message: SightNews) -> SightHeard:
        now_s = self._now_s()
        ring = zone_rings(self._membership.members()).get(self._membership.self_member().zone, [])
        local_rounds = rounds_to_reach_all(len(ring)) if len(ring) > 1 else 0
        with self._lock:
            self._silence_s = 0.0
            self._backoff_until_s.pop(sender.address, None)
            self._supporting.add(sender.address)
        for record in message.records:
            origin = self._membership.member(record.origin)
            zone = origin.zone if origin is not None else None
            self._table.receive(record, zone, now_s, local_rounds)
        return SightHeard()
