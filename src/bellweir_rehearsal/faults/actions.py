"""What each kind of fault does, and how it ends."""

import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.callers.operator import Operator
from bellweir_rehearsal.faults.kinds import FaultKind
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import WorkerLeaving, WorkerReturned
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.machines import MachineWriter
from bellweir_rehearsal.topology.network import NetworkRule
from bellweir_rehearsal.topology.processes import ProcessFailedError
from bellweir_rehearsal.topology.resources import PoolWriter
from bellweir_rehearsal.topology.standins import StandinProcess

End = Callable[[], None]
"""Ends a fault."""

DELAY_MS = 40.0
JITTER_MS = 120.0
LOSS = 0.05
SLOW_STORE_S = 1.5
SLOW_APPLICATION_S = 0.8
RACE_PAUSE_S = 0.05
RESTART_TRIES = 3
MACHINE_LIST_LAG_S = 2.0
"""Lag of the machine list stand-in, its default."""
MACHINE_LIST_READ_S = 2.0
"""Time within which a change that the list shows is read by a node and spread."""
CALLS_IN_HAND = 2
"""Calls that a node has in hand when it is stopped as planned."""
CALLS_IN_HAND_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class FaultStage:
    """What faults work on."""

    cluster: Cluster
    journal: Journal
    operators: tuple[Operator, Operator]
    pools: PoolWriter
    machines: MachineWriter
    in_flight: InFlight
    seed: int


@dataclass(frozen=True)
class Occurrence:
    """One fault that takes place."""

    fault_id: str
    """Unique in a run."""
    kind: FaultKind
    target: str
    duration_s: float


class UnknownTargetError(LookupError):
    """A fault's target is not there, for example because its machine was replaced."""


def begin_fault(stage: FaultStage, fault: Occurrence) -> End:
    """Begin a fault; return what ends it.

    Raises `UnknownTargetError` when its target is not there.
    """
    return _BEGINNINGS[fault.kind](stage, fault)


def node_targets(stage: FaultStage, fault: Occurrence) -> tuple[str, ...]:
    """The nodes that don't work while a fault lasts, or its target."""
    if fault.kind is FaultKind.ZONE_LOSS:
        return tuple(name for name, _ in _nodes_of_zone(stage, fault.target))
    return (fault.target,) if fault.target else ()


def _worker_crash(stage: FaultStage, fault: Occurrence) -> End:
    worker = stage.cluster.worker(fault.target)
    worker.kill()

    return lambda: _bring_back(worker)


def _bring_back(worker: StandinProcess) -> None:
    """Start a worker, again when another fault kills it meanwhile. Raises `ProcessFailedError`."""
    for _ in range(RESTART_TRIES - 1):
        worker.start()
        with contextlib.suppress(ProcessFailedError):
            worker.wait_ready()
            return
    worker.start()
    worker.wait_ready()


def _engine_pause(stage: FaultStage, fault: Occurrence) -> End:
    worker = stage.cluster.worker(fault.target)
    worker.pause()
    return worker.resume


def _standin_fault(
    kind: str, *, delay_s: float = 0.0, method: str | None = None, path_prefix: str = ""
) -> "Beginning":
    def begin(stage: FaultStage, fault: Occurrence) -> End:
        standin = stage.cluster.worker(fault.target)
        standin.inject(
            kind, fault.duration_s, delay_s=delay_s, method=method, path_prefix=path_prefix
        )
        return _nothing

    return begin


def _store_fault(kind: str, *, delay_s: float = 0.0, method: str | None = None) -> "Beginning":
    def begin(stage: FaultStage, fault: Occurrence) -> End:
        stage.cluster.object_api.inject(kind, fault.duration_s, delay_s=delay_s, method=method)
        return _nothing

    return begin


def _weight_store_down(stage: FaultStage, fault: Occurrence) -> End:
    stage.cluster.weight_store.inject("down", fault.duration_s)
    return _nothing


def _node_kill(stage: FaultStage, fault: Occurrence) -> End:
    _check_node(stage, fault.target)
    stage.cluster.kill_node(fault.target)
    return lambda: stage.cluster.restart_node(fault.target)


def _node_pause(stage: FaultStage, fault: Occurrence) -> End:
    _check_node(stage, fault.target)
    node = stage.cluster.nodes[fault.target]
    node.pause()
    return node.resume


def _node_stop(stage: FaultStage, fault: Occurrence) -> End:
    _check_node(stage, fault.target)
    # A stop of an idle node would prove nothing.
    stage.in_flight.wait_for_calls(fault.target, CALLS_IN_HAND, CALLS_IN_HAND_TIMEOUT_S)
    stage.cluster.stop_node(fault.target)
    return lambda: stage.cluster.restart_node(fault.target)


def _node_replaced(stage: FaultStage, fault: Occurrence) -> End:
    _check_node(stage, fault.target)
    stage.cluster.kill_node(fault.target)

    def end() -> None:
        # Fault ids are unique in a run, and so are the names of new machines made from them.
        new_name = f"{fault.target}-{fault.fault_id}"
        stage.cluster.replace_node(fault.target, new_name)
        stage.machines.remove(fault.target)
        stage.machines.put_node(stage.cluster.nodes[new_name])

    return end


def _zone_loss(stage: FaultStage, fault: Occurrence) -> End:
    nodes = [name for name, running in _nodes_of_zone(stage, fault.target) if running]
    workers = [
        standin
        for standin in stage.cluster.standins
        if standin.command.zone == fault.target and standin.running
    ]
    for name in nodes:
        stage.cluster.kill_node(name)
    for worker in workers:
        worker.kill()

    def end() -> None:
        # One that does not come back must not keep the others away.
        failures: list[ProcessFailedError] = []
        for name in nodes:
            _collect(failures, partial(stage.cluster.restart_node, name))
        for worker in workers:
            _collect(failures, partial(_bring_back, worker))
        if failures:
            raise failures[0]

    return end


def _collect(failures: list[ProcessFailedError], act: Callable[[], None]) -> None:
    try:
        act()
    except ProcessFailedError as failure:
        failures.append(failure)


def _split(stage: FaultStage, fault: Occurrence) -> End:
    rules = tuple(
        NetworkRule(source={"zone": fault.target}, target={"zone": zone.name}, cut=True)
        for zone in stage.cluster.deployment.zones
        if zone.name != fault.target
    )
    return _network(stage, fault.fault_id, rules)


def _network_delay(stage: FaultStage, fault: Occurrence) -> End:
    return _network(stage, fault.fault_id, (NetworkRule(delay_ms=DELAY_MS, jitter_ms=JITTER_MS),))


def _network_loss(stage: FaultStage, fault: Occurrence) -> End:
    return _network(stage, fault.fault_id, (NetworkRule(loss=LOSS),))


def _network(stage: FaultStage, fault_id: str, rules: tuple[NetworkRule, ...]) -> End:
    stage.cluster.network.put(fault_id, rules)
    return lambda: stage.cluster.network.remove(fault_id)


def _racing_operators(stage: FaultStage, fault: Occurrence) -> End:
    """Let two operators change one resource against each other until the duration is over."""
    source = random.Random(stage.seed)
    pool = stage.cluster.deployment.engine_pools[0].name
    deadline = time.monotonic() + fault.duration_s
    while time.monotonic() < deadline:
        nodes = stage.cluster.directory.all_nodes()
        for operator in stage.operators:
            if nodes:
                operator.mark(source.choice(nodes), "Pool", pool)
        time.sleep(RACE_PAUSE_S)
    return _nothing


def _worker_leaves(stage: FaultStage, fault: Occurrence) -> End:
    stage.pools.set_leaving(fault.target, leaving=True)
    stage.journal.write(WorkerLeaving(time.time(), fault.target, "operator"))

    def end() -> None:
        stage.journal.write(WorkerReturned(time.time(), fault.target))
        stage.pools.set_leaving(fault.target, leaving=False)

    return end


def _worker_leaves_itself(stage: FaultStage, fault: Occurrence) -> End:
    worker = stage.cluster.worker(fault.target)
    prefix = "" if worker.command.kind == "engine" else "/-"
    worker.control("POST", f"{prefix}/leave")
    stage.journal.write(WorkerLeaving(time.time(), fault.target, "own answer"))

    def end() -> None:
        stage.journal.write(WorkerReturned(time.time(), fault.target))
        worker.control("POST", f"{prefix}/return")

    return end


def _worker_leaves_by_list(stage: FaultStage, fault: Occurrence) -> End:
    stage.machines.set_leaving(fault.target, leaving=True)
    # The time counts from when the list shows it, and nodes read the list now and then.
    shown_s = time.time() + MACHINE_LIST_LAG_S + MACHINE_LIST_READ_S
    stage.journal.write(WorkerLeaving(shown_s, fault.target, "machine list"))

    def end() -> None:
        stage.journal.write(WorkerReturned(time.time(), fault.target))
        stage.machines.set_leaving(fault.target, leaving=False)

    return end


def _check_node(stage: FaultStage, name: str) -> None:
    node = stage.cluster.nodes.get(name)
    if node is None or not node.running:
        raise UnknownTargetError(f"node {name} is not there")


def _nodes_of_zone(stage: FaultStage, zone: str) -> list[tuple[str, bool]]:
    return [
        (name, node.running)
        for name, node in stage.cluster.nodes.items()
        if node.place.zone == zone
    ]


def _nothing() -> None:
    """End a fault that ends by itself."""


Beginning = Callable[[FaultStage, Occurrence], End]

_BEGINNINGS: dict[FaultKind, Beginning] = {
    FaultKind.ENGINE_CRASH: _worker_crash,
    FaultKind.ENGINE_HANG: _standin_fault("stall"),
    FaultKind.ENGINE_PAUSE: _engine_pause,
    FaultKind.STREAMS_CUT: _standin_fault("cut_streams"),
    FaultKind.SWAP_FAILS: _standin_fault("swap_fails"),
    FaultKind.APPLICATION_CRASH: _worker_crash,
    FaultKind.APPLICATION_ANSWERS_LOST: _standin_fault("answer_lost"),
    FaultKind.APPLICATION_SLOW: _standin_fault("slow", delay_s=SLOW_APPLICATION_S),
    FaultKind.NODE_KILL: _node_kill,
    FaultKind.NODE_PAUSE: _node_pause,
    FaultKind.LEASE_LAPSE: _node_pause,
    FaultKind.NODE_STOP: _node_stop,
    FaultKind.NODE_REPLACED: _node_replaced,
    FaultKind.ZONE_LOSS: _zone_loss,
    FaultKind.REGION_SPLIT: _split,
    FaultKind.NETWORK_DELAY: _network_delay,
    FaultKind.NETWORK_LOSS: _network_loss,
    FaultKind.STORE_DOWN: _store_fault("down"),
    FaultKind.STORE_SLOW: _store_fault("slow", delay_s=SLOW_STORE_S),
    FaultKind.STORE_ANSWERS_LOST: _store_fault("answer_lost", method="PUT"),
    FaultKind.STORE_COMPACTS: _store_fault("compact"),
    FaultKind.WEIGHT_STORE_DOWN: _weight_store_down,
    FaultKind.RACING_OPERATORS: _racing_operators,
    FaultKind.WORKER_LEAVES: _worker_leaves,
    FaultKind.WORKER_LEAVES_ITSELF: _worker_leaves_itself,
    FaultKind.WORKER_LEAVES_BY_LIST: _worker_leaves_by_list,
}
