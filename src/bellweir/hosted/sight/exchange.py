"""Tells other gateways what was seen of workers, and hears them.

Twice in `GOSSIP_INTERVAL_S` at most a gateway sends one message: to a fellow of its zone and to a gateway of
another zone, as `fellows` says, and only while there is something to tell. With Z zones of n
gateways that together see R changes a second of their W workers, a gateway sends

    messages a second <= 2 / PERIOD_S
    records a second <= min(MOST_RECORDS_OF_MESSAGE * 2 / PERIOD_S, R * (log2 n + 1))

whatever W is, keeps `log2 n + Z - 1` connections for it, and holds `min(n * Z * W, MOST_RECORDS)`
records. What one saw has reached its zone after `log2 n` rounds;
it tells each other zone once itself, and each that relays it in its zone tells one other zone.

A peer gets a first message as a request. One that answers knows such messages and gets one-way
ones from then on; one that refuses is left out of the ring for a while. To an older build the
transport sends nothing of it and says the same.
"""

import threading
import time
from collections.abc import Callable, Sequence

from returns.result import Failure, Success

from bellweir.hosted.sight.gossip_ring import (
    GatewayPeer,
    in_other_zone,
    in_zone,
    place_of,
    rings,
    rounds_to_all,
)
from bellweir.hosted.sight.messages import SightHeard, SightNews
from bellweir.hosted.sight.table import ObservationTable
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Sender, Transport, WireErrorKind

GOSSIP_INTERVAL_S = 0.5
"""What one of 25 gateways of a zone saw is known to all of them 2.5 s later."""
ASK_TIMEOUT_S = 0.25
REFUSED_FOR_S = 30.0
"""Time for which a peer that does not know the messages is left out; it may be replaced."""
NO_ANSWER_FOR_S = 2.0
ISOLATED_AFTER_S = 5.0
"""Time without a word in which this node had something to tell: others have then, too."""


class ObservationExchange:
    """One node's part."""

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        table: ObservationTable,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._table = table
        self._now_s = now_s
        self._lock = threading.Lock()
        self._speakers: set[str] = set()
        """Addresses of peers that know the messages."""
        self._left_out_until_s: dict[str, float] = {}
        self._round = 0
        self._heard_s = now_s()
        self._silence_s = 0.0
        """Time in which this node had something to tell and heard nothing."""
        self._looked_s = now_s()
        transport.register(SightNews, self._on_news)

    @property
    def is_isolated(self) -> bool:
        """Whether others are there, and none was heard while this node had something to tell."""
        return self._silence_s >= ISOLATED_AFTER_S

    def run(self, stopping: threading.Event) -> None:
        """Tell what is new until `stopping`. One task."""
        while not stopping.wait(GOSSIP_INTERVAL_S):
            self.run_round()

    def run_round(self) -> None:
        """One round: a message to a fellow of the zone and to one of another zone."""
        own = self._membership.self_member()
        found = rings(self._membership.members())
        self._forget_gone({one.address for ring in found.values() for one in ring})
        willing = {zone: self._willing(ring, own.node) for zone, ring in found.items()}
        ring = willing.pop(own.zone, [])
        others = {zone: each for zone, each in willing.items() if each}
        place = place_of(ring, own.node)
        number, self._round = self._round, self._round + 1
        # A lone gateway of a zone has nobody there to tell, and each other zone still counts once.
        tells = rounds_to_all(len(ring)) if len(ring) > 1 else 0
        crosses = len(others)
        has_told = self._tell_one(in_zone(ring, own.node, number), tells, crosses, False)
        has_told |= self._tell_one(in_other_zone(others, place, number), tells, crosses, True)
        self._note_silence(has_told)

    def _tell_one(
        self, fellow: GatewayPeer | None, tells: int, crosses: int, to_other_zone: bool
    ) -> bool:
        if fellow is None:
            return False
        records = self._table.next_records(
            self._now_s(), tells, crosses, to_other_zone=to_other_zone
        )
        if not records:
            return False
        news = SightNews(records)
        if fellow.address in self._speakers:
            self._transport.send(fellow.address, news)
        else:
            self._ask(fellow.address, news)
        return True

    def _ask(self, address: str, news: SightNews) -> None:
        """Send a first message to a peer, and learn whether it knows such messages."""
        match self._transport.request(address, news, ASK_TIMEOUT_S):
            case Success(SightHeard()):
                self._speakers.add(address)
            case Failure(error) if error.kind is WireErrorKind.REFUSED:
                self._leave_out(address, REFUSED_FOR_S)
            case _:
                self._leave_out(address, NO_ANSWER_FOR_S)

    def _leave_out(self, address: str, for_s: float) -> None:
        with self._lock:
            self._left_out_until_s[address] = self._now_s() + for_s

    def _willing(self, ring: Sequence[GatewayPeer], own: str) -> list[GatewayPeer]:
        """Those of a ring that are not left out now, this node always among its own."""
        now_s = self._now_s()
        with self._lock:
            until_s = self._left_out_until_s
            return [
                one for one in ring if one.node == own or until_s.get(one.address, 0.0) <= now_s
            ]

    def _forget_gone(self, addresses: set[str]) -> None:
        """A peer that was gone may be another build when it is back."""
        with self._lock:
            self._speakers &= addresses
            for address in [one for one in self._left_out_until_s if one not in addresses]:
                del self._left_out_until_s[address]

    def _note_silence(self, has_told: bool) -> None:
        now_s = self._now_s()
        passed_s, self._looked_s = now_s - self._looked_s, now_s
        with self._lock:
            if has_told:
                self._silence_s += min(passed_s, 2 * GOSSIP_INTERVAL_S)

    def _on_news(self, sender: Sender, news: SightNews) -> SightHeard:
        now_s = self._now_s()
        ring = rings(self._membership.members()).get(self._membership.self_member().zone, [])
        tells = rounds_to_all(len(ring)) if len(ring) > 1 else 0
        with self._lock:
            self._silence_s = 0.0
            self._left_out_until_s.pop(sender.address, None)
            self._speakers.add(sender.address)
        for record in news.records:
            origin = self._membership.member(record.origin)
            zone = origin.zone if origin is not None else None
            self._table.receive(record, zone, now_s, tells)
        return SightHeard()
