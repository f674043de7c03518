"""Simulated nodes that aggregate per-arm results, with injected message and store faults."""

import itertools
from collections import Counter
from concurrent.futures import Future
from dataclasses import dataclass, field, replace

from returns.result import Failure, Success

from bellweir.configuration.placement import place
from bellweir.kernel.clock import ManualClock
from bellweir.membership.interface import Member, MemberState
from bellweir.resources.interface import ResourceDocument, ResourceError, ResourceErrorKind
from bellweir.resources.status import merged_status
from bellweir.routing.arm_counters import ArmCounters, ArmKey
from bellweir.routing.arm_reports import ArmReports
from bellweir.routing.arm_results import ArmResults
from bellweir.routing.arm_status import ArmStatusWriter
from bellweir.routing.counters import COMPLETED
from bellweir.wire.codec import MessageCodec
from bellweir.wire.interface import Sender, WireError, WireErrorKind

COMPARISON = "trial"
CODEC = MessageCodec()


@dataclass
class StoredStatus:
    """Stored status of one comparison; `write_fault` applies to the next write."""

    version: int = 1
    status: dict = field(default_factory=dict)
    exists: bool = True
    write_fault: str = ""
    writes_s: list = field(default_factory=list)
    clock: ManualClock = field(default_factory=ManualClock)

    def document(self):
        return ResourceDocument("Comparison", COMPARISON, self.version, {"status": self.status})


class NodeResources:
    """One node's view of the store, which may lag behind."""

    def __init__(self, stored):
        self.stored = stored
        self.lags = False
        self._in_force = stored.document()

    def get(self, kind, name):
        if not self.lags:
            self._in_force = self.stored.document()
        if not self.stored.exists:
            return Failure(ResourceError(ResourceErrorKind.NOT_FOUND, "gone"))
        return Success(self._in_force)

    def report_status(self, kind, name, status, *, version=None):
        stored, fault = self.stored, self.stored.write_fault
        stored.write_fault = ""
        if fault == "down":
            return Failure(ResourceError(ResourceErrorKind.UNAVAILABLE, "down"))
        if fault == "request lost":
            return Failure(ResourceError(ResourceErrorKind.UNKNOWN, "lost"))
        if version != stored.version:
            return Failure(ResourceError(ResourceErrorKind.CONFLICT, "newer"))
        stored.status = merged_status(stored.status, status, 0.0)
        stored.version += 1
        stored.writes_s.append(stored.clock.monotonic_s())
        if fault == "answer lost":
            return Failure(ResourceError(ResourceErrorKind.UNKNOWN, "lost"))
        return Success(stored.document())


class ResultsNode:
    """A node with its counters, report forwarding and status writer."""

    def __init__(self, network, number, zone):
        self.network = network
        self.name = f"node-{number}"
        self.member = Member(
            self.name, f"peer-{number}", "", zone, "region", False, MemberState.ALIVE, 0
        )
        self.counters = ArmCounters()
        self.handlers = {}
        self.fault = ""
        self.counted = Counter()
        clock = network.clock
        self.reports = ArmReports(self.name, self.counters, self, self.placement, clock)
        self.reports.register_handlers()
        self.resources = NodeResources(network.stored)
        self.writer = ArmStatusWriter(self.name, self.reports, self.resources, clock)
        self.results = ArmResults(self.reports, lambda: self.writer, clock)

    def placement(self):
        return place(self.network.members(), self.member, 4)

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def request(self, address, message, timeout_s):
        fault, self.fault = self.fault, ""
        target = self.network.by_address(address)
        self.network.requests += 1
        if target is None or fault == "not sent":
            return Failure(WireError(WireErrorKind.NOT_SENT, "nobody"))
        if fault == "request lost":
            return Failure(WireError(WireErrorKind.NO_ANSWER, "lost"))
        sent = CODEC.from_plain(CODEC.to_plain(message))
        answer = target.handlers[type(message)](Sender(self.name, ""), sent)
        if fault == "answer lost":
            return Failure(WireError(WireErrorKind.NO_ANSWER, "lost"))
        return Success(answer)

    def count(self, arm, tokens):
        """Serve one generation of an arm."""
        name = ArmKey(COMPARISON, arm)
        self.counters.record_start(name)
        self.counters.record_first_token(name, 0.25)
        self.counters.record_end(name, COMPLETED, tokens, 1.5)
        self.counted[arm] += 1

    def held(self):
        """Counts lost if this node crashes: pending, in flight or not yet collected."""
        held = Counter()
        self.reports.collect()
        for counts in self.reports.counts_for(COMPARISON):
            held[counts.arm] += counts.completed
        if self.reports._in_flight is not None:
            for counts in self.reports._in_flight.counts:
                held[counts.arm] += counts.completed
        return held


class ResultsNetwork:
    """All nodes, on a shared manual clock that `step` advances."""

    def __init__(self, nodes, zones):
        self.clock = ManualClock()
        self.stored = StoredStatus(clock=self.clock)
        self.requests = 0
        self.counted = Counter()
        self._numbers = itertools.count()
        self.nodes = [self._node(number % zones) for number in range(nodes)]
        self.zones = zones

    def _node(self, zone):
        return ResultsNode(self, next(self._numbers), f"zone-{zone}")

    def add_node(self, zone):
        self.nodes.append(self._node(zone % self.zones))

    def members(self):
        return tuple(sorted((node.member for node in self.nodes), key=lambda each: each.node))

    def by_address(self, address):
        found = [node for node in self.nodes if node.member.peer_address == address]
        return found[0] if found else None

    def reporter(self):
        name = self.nodes[0].placement().reporter.node
        return next(node for node in self.nodes if node.name == name)

    def count(self, node, arm, tokens=7):
        node.count(arm, tokens)
        self.counted[arm] += 1

    def step(self, seconds=0.5):
        self.clock.advance(seconds)
        for node in list(self.nodes):
            node.results.run_once()

    def clear_faults_and_run(self):
        """Clear all faults and run long enough to write all pending counts."""
        for node in self.nodes:
            node.fault, node.resources.lags = "", False
        self.stored.write_fault = ""
        for _ in range(80):
            self.step()

    def stop(self, node):
        """Stop a node gracefully: it leaves, flushes pending counts and is removed."""
        node.member = replace(node.member, state=MemberState.LEAVING)
        ended = Future()
        ended.set_result(None)
        node.results.flush(ended, 0.0)
        self.nodes.remove(node)

    def kill(self, node):
        """Crash a node and return the counts lost with it."""
        lost = node.held()
        self.nodes.remove(node)
        return lost

    def arms(self):
        return self.stored.status.get("details", {}).get("results", {}).get("arms", {})

    def written(self):
        return Counter({arm: result["completed"] for arm, result in self.arms().items()})
