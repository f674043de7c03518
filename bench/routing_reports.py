"""Bytes, messages and processor time of back-end reports for each node.

Run: `PYTHONPATH=src python bench/routing_reports.py [nodes] [workers] [subset] [seconds]`.
All nodes are hollow: publisher and subscriber only, with messages encoded as on the wire. The
load of every worker changes at each probe, which is the dearest case.
"""

import random
import sys
import time
from collections import Counter

from bellweir.resources.models import BackendKind
from bellweir.routing.backend import Backend, BackendReport
from bellweir.routing.circuit import Circuit
from bellweir.routing.messages import PushReports, SubscribeReports
from bellweir.routing.pool_workers import Location, PoolWorker, select_subset
from bellweir.routing.rendezvous import score
from bellweir.routing.report_publisher import ReportPublisher
from bellweir.routing.report_subscriber import ReportSubscriber
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, encode_struct, with_length
from bellweir.wire.interface import Message

PERIOD_S = 0.5
ZONES = 8
CODEC = MessageCodec()


class HollowNode:
    """One node's publisher and subscriber."""

    def __init__(self, name: str, run: "Run") -> None:
        self.name = name
        self._run = run
        self.publisher = ReportPublisher(self._send, PERIOD_S)
        self.subscriber = ReportSubscriber(self._send)
        self.by_owner: dict[str, list[Backend]] = {}
        self.used_s = 0.0

    def _send(self, address: str, message: Message) -> bool:
        data = with_length(encode_struct(OneWay(0, CODEC.to_plain(message))))
        self._run.count(self.name, address, message, len(data))
        target = self._run.nodes[address]
        match message:
            case SubscribeReports():
                target.publisher.subscribe(self.name, message, self._run.now_s)
            case PushReports():
                target.subscriber.apply(message, self._run.now_s)
        return True

    def tick(self) -> None:
        """One round, as the service does it, without the probes themselves."""
        began_s = time.process_time()
        now_s = self._run.now_s
        self.subscriber.renew(self.by_owner, now_s)
        for worker in self.publisher.workers(now_s):
            report = BackendReport(True, False, random.randrange(64), now_s, maximum_batch=64)
            self.publisher.publish(worker, report, now_s)
        self.publisher.push(now_s)
        self.used_s += time.process_time() - began_s


class Run:
    """All nodes and what they have sent."""

    def __init__(self, nodes: int, workers: int, subset: int) -> None:
        self.now_s = 0.0
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.messages = 0
        self.entries = 0
        self.entry_bytes = 0
        self.nodes = {f"node-{n}": HollowNode(f"node-{n}", self) for n in range(nodes)}
        names = list(self.nodes)
        pool = [
            PoolWorker(
                f"worker-{n}", "", "pool", BackendKind.ENGINE, f"zone-{n % ZONES}", "r", False
            )
            for n in range(workers)
        ]
        owners = {w.name: max(names, key=lambda node: score(w.name, node)) for w in pool}
        for number, node in enumerate(self.nodes.values()):
            location = Location(node.name, f"zone-{number % ZONES}", "r")
            for worker in select_subset(pool, location, subset):
                backend = Backend(worker, 0, Circuit(3, 2.0))
                if owners[worker.name] != node.name:
                    node.by_owner.setdefault(owners[worker.name], []).append(backend)

    def count(self, source: str, target: str, message: Message, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.sent_bytes[source] += size
        self.received_bytes[target] += size
        if isinstance(message, PushReports):
            self.entries += len(message.entries)
            self.entry_bytes += size

    def reset(self) -> None:
        """Forget what was sent so far."""
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.messages = self.entries = self.entry_bytes = 0
        for node in self.nodes.values():
            node.used_s = 0.0


def main() -> None:
    """Run and print figures for each node and second."""
    given = [int(argument) for argument in sys.argv[1:]]
    nodes, workers, subset, seconds = given + [340, 3800, 24, 20][len(given) :]
    run = Run(nodes, workers, subset)
    for round_number in range(int((seconds + 5) / PERIOD_S)):
        if round_number == int(5 / PERIOD_S):
            run.reset()
        run.now_s += PERIOD_S
        for node in run.nodes.values():
            node.tick()
    both = sorted((run.sent_bytes[name] + run.received_bytes[name]) / seconds for name in run.nodes)
    print(f"{nodes} nodes, {workers} workers, subset {subset}, {seconds} s of model time")
    print(f"bytes/s of a node, both directions: mean {sum(both) / nodes:.0f}, most {both[-1]:.0f}")
    print(f"messages/s sent by a node: {run.messages / nodes / seconds:.1f}")
    print(f"bytes of a report in its message: {run.entry_bytes / run.entries:.1f}")
    cpu = sum(node.used_s for node in run.nodes.values()) / nodes / seconds
    print(f"processor time of a node: {cpu * 100:.3f} % of a core")


if __name__ == "__main__":
    main()
