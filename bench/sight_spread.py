"""What shared sight costs a gateway, and how fast it spreads, with hollow gateways in one process.

`PYTHONPATH=src:. python -m bench.sight_spread [--gateways 60 200 340] [--rate 6] [--workers 4]`
from the repository's root. Time is stepped; messages are encoded, handed over and decoded, without
sockets and threads. Prints for each size bytes and messages a second and the processor time of a
gateway, its most connections, and after how long half of the gateways, and all, had heard of a
worker's first failure.
"""

import argparse
import random
import statistics
import time
from collections.abc import Callable
from typing import Any

from returns.result import Result, Success

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S, ObservationExchange
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.monitor import SharedWorkerMonitor
from bellweir.hosted.sight.table import ObservationTable
from bellweir.membership.interface import Member, Membership, MembershipListener, MemberState
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, decode_struct, encode_struct
from bellweir.wire.interface import AnyMessage, Handler, Message, Sender, Transport, WireError

SERVICE = "app"
ZONES = 8
USUAL_S = 0.03
STEPS_OF_ROUND = 5


class Hall:
    """All gateways, the time, and what is on its way."""

    def __init__(self, gateways: int, workers: int) -> None:
        self.now_s = 1_000.0
        self.workers = [
            Incarnation(f"i-{number:010x}", 1_790_000_000_000) for number in range(workers)
        ]
        names = [f"front-zone-{number % ZONES}-{number}" for number in range(gateways)]
        self.members = {
            name: Member(name, name, "h:1", f"z-{number % ZONES}", "r", False, MemberState.ALIVE, 1)
            for number, name in enumerate(names)
        }
        self.codec = MessageCodec()
        self.gateways = {name: Gateway(name, self) for name in names}


class HollowTransport(Transport):
    """Encodes, counts and hands over."""

    def __init__(self, node: str, hall: Hall) -> None:
        self._node = node
        self._hall = hall
        self.handlers: dict[type[Message], Handler] = {}
        self.sent_bytes = 0
        self.messages = 0
        self.peers: set[str] = set()

    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        """See the interface."""
        self.handlers[message_type] = handler

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        """See the interface."""
        codec = self._hall.codec
        data = encode_struct(OneWay(0, codec.to_plain(message)))
        self.sent_bytes += len(data)
        self.messages += 1
        self.peers.add(address)
        heard = codec.from_plain(decode_struct(data, OneWay).body)
        handler = self._hall.gateways[address].transport.handlers[type(heard)]
        answer = handler(Sender(self._node, self._node), heard)
        assert answer is not None
        return Success(answer)

    def send(self, address: str, message: Message) -> bool:
        """See the interface."""
        self.request(address, message, 0.0)
        return True


class HollowMembership(Membership):
    """Everybody is alive."""

    def __init__(self, node: str, hall: Hall) -> None:
        self._node = node
        self._hall = hall

    def self_member(self) -> Member:
        """See the interface."""
        return self._hall.members[self._node]

    def members(self) -> tuple[Member, ...]:
        """See the interface."""
        return tuple(self._hall.members.values())

    def member(self, node: str) -> Member | None:
        """See the interface."""
        return self._hall.members.get(node)

    def subscribe(self, listener: MembershipListener) -> None:
        """Nothing changes."""

    def announce_leaving(self) -> None:
        """Nobody leaves."""


class Gateway:
    """A gateway without anything but its sight."""

    def __init__(self, node: str, hall: Hall) -> None:
        def now_s() -> float:
            return hall.now_s

        self.transport = HollowTransport(node, hall)
        self.table = ObservationTable(node, hall.members[node].zone, round(1000 * time.time()))
        membership = HollowMembership(node, hall)
        self.exchange = ObservationExchange(self.transport, membership, self.table, now_s)
        self.monitor = SharedWorkerMonitor(self.table, lambda: {SERVICE: hall.workers}, now_s=now_s)


def timed(costs: dict[str, float], what: str, run: Callable[[], Any]) -> None:
    """Add the processor time of a call to a cost."""
    began_s = time.process_time()
    run()
    costs[what] = costs.get(what, 0.0) + time.process_time() - began_s


def play(count: int, rate: float, workers: int, seconds: float) -> str:
    """Play one size; a line of its figures."""
    drawn = random.Random(1)
    hall = Hall(count, workers)
    gateways = list(hall.gateways.values())
    failed, failed_s = hall.workers[0], 0.0
    heard: dict[int, float] = {}
    costs: dict[str, float] = {}
    step_s = GOSSIP_INTERVAL_S / STEPS_OF_ROUND
    owed = 0.0
    warm_s = seconds / 2
    next_look_s = dict.fromkeys(range(count), hall.now_s)
    began_s = hall.now_s
    for step in range(round(seconds / step_s)):
        hall.now_s = began_s + step * step_s
        owed += rate * step_s
        while owed >= 1.0:
            owed -= 1.0
            one = drawn.choice(gateways)
            worker = drawn.choice(hall.workers[1:])
            one.monitor.record_start(SERVICE, worker)
            one.monitor.record_end(
                worker, ObservedOutcome.SERVED, USUAL_S * drawn.uniform(0.5, 2.0)
            )
        if not failed_s and hall.now_s - began_s >= warm_s:
            failed_s = hall.now_s
            gateways[0].monitor.record_start(SERVICE, failed)
            gateways[0].monitor.record_end(failed, ObservedOutcome.FAILED, 0.001)
        for number, one in enumerate(gateways):
            if number % STEPS_OF_ROUND == step % STEPS_OF_ROUND:
                timed(costs, "exchange", one.exchange.run_round)
            if hall.now_s >= next_look_s[number]:
                timed(costs, "look", one.monitor.refresh)
                next_look_s[number] = hall.now_s + one.monitor.refresh_pause_s
            if failed_s and number not in heard and one.table.merged(failed, hall.now_s).failed:
                heard[number] = hall.now_s - failed_s
    total_s = count * seconds
    sent = sum(one.transport.sent_bytes for one in gateways) / total_s
    messages = sum(one.transport.messages for one in gateways) / total_s
    peers = max(len(one.transport.peers) for one in gateways)
    lags = sorted(heard.values())
    all_s = f"{lags[-1]:.1f}" if len(lags) == count else f"{len(lags)} of {count} only"
    shares = ", ".join(f"{what} {100 * cost / total_s:.2f}%" for what, cost in costs.items())
    return (
        f"{count} gateways, {rate:g} requests/s, {workers} workers: sent {sent / 1000:.2f} KB/s in "
        f"{messages:.1f} messages/s, of a core: {shares}; {peers} connections at most; heard by "
        f"half after {statistics.median(lags):.1f} s, by all after {all_s} s"
    )


def main() -> None:
    """Play each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="+", default=[60, 200, 340])
    parser.add_argument("--rate", type=float, default=6.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20.0)
    asked = parser.parse_args()
    for count in asked.gateways:
        print(play(count, asked.rate, asked.workers, asked.seconds), flush=True)


if __name__ == "__main__":
    main()
