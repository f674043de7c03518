"""Gateways that gossip over an in-memory network, round by round."""

from returns.result import Failure, Success

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S, ObservationExchange
from bellweir.hosted.sight.monitor import SharedWorkerMonitor
from bellweir.hosted.sight.table import ObservationTable
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.wire.interface import Sender, Transport, WireError, WireErrorKind

SERVICE = "app"
DEFAULT_LATENCY_S = 0.001


class _Transport(Transport):
    """Delivers messages immediately."""

    def __init__(self, node, network):
        self.node = node
        self.network = network
        self.handlers = {}
        self.sent = []
        """Address and type of each message."""

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def _deliver(self, address, message):
        self.sent.append((address, type(message)))
        network = self.network
        if address in network.isolated or self.node in network.isolated:
            return Failure(WireError(WireErrorKind.NO_ANSWER, "cut off"))
        if address in network.unsupporting:
            return Failure(WireError(WireErrorKind.REFUSED, "unknown message"))
        handler = network.gateways[address].transport.handlers[type(message)]
        return Success(handler(Sender(self.node, self.node), message))

    def request(self, address, message, timeout_s):
        return self._deliver(address, message)

    def send(self, address, message):
        self._deliver(address, message)
        return True


class _Membership(Membership):
    def __init__(self, node, network):
        self._node = node
        self._network = network

    def self_member(self):
        return self._network.members[self._node]

    def members(self):
        return tuple(self._network.members.values())

    def member(self, node):
        return self._network.members.get(node)

    def subscribe(self, listener): ...
    def announce_leaving(self): ...


class GossipGateway:
    """Observation table, gossip and monitor of one gateway."""

    def __init__(self, node, network):
        def now_s():
            return network.now_s

        zone = network.members[node].zone
        self.transport = _Transport(node, network)
        self.table = ObservationTable(node, zone, 1_000)
        membership = _Membership(node, network)
        self.exchange = ObservationExchange(self.transport, membership, self.table, now_s)
        self.monitor = SharedWorkerMonitor(
            self.table,
            lambda: {SERVICE: network.workers},
            lambda: self.exchange.is_isolated,
            now_s,
            retry_share=network.retry_share,
        )

    def observe(self, worker, outcome, seconds=DEFAULT_LATENCY_S):
        self.monitor.record_start(SERVICE, worker)
        self.monitor.record_end(worker, outcome, seconds)


class GossipNetwork:
    """Gateways `g-0`, `g-1` and so on, distributed evenly over zones."""

    def __init__(self, gateways, zones, workers=4, retry_share=0.0):
        self.retry_share = retry_share
        self.now_s = 100.0
        self.isolated = set()
        self.unsupporting = set()
        self.workers = [Incarnation(f"i-{number}") for number in range(workers)]
        names = [f"g-{number}" for number in range(gateways)]
        self.members = {
            name: Member(name, name, "h:1", f"z-{number % zones}", "r", False, MemberState.ALIVE, 1)
            for number, name in enumerate(names)
        }
        self.gateways = {name: GossipGateway(name, self) for name in names}

    def all(self):
        return list(self.gateways.values())

    def run(self, rounds):
        for _ in range(rounds):
            self.now_s += GOSSIP_INTERVAL_S
            for gateway in self.all():
                if gateway.transport.node not in self.unsupporting:
                    gateway.exchange.run_round()
            for gateway in self.all():
                gateway.monitor.refresh()
