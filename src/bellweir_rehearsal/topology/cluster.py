"""A whole deployment on this machine: stand-ins, nodes, and the directory that callers use."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType
from typing import TypeVar

from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import NodeExited, NodeStarted, NodeStopping
from bellweir_rehearsal.topology.deployment import Deployment, EnginePool
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.network import NetworkFile
from bellweir_rehearsal.topology.nodes import NodePlace, NodeProcess
from bellweir_rehearsal.topology.settings_file import Concerns, merged
from bellweir_rehearsal.topology.standins import StandinCommand, StandinProcess

Item = TypeVar("Item")

PARALLEL_STARTS = 4
"""Processes started at once, so that a small machine is not swamped."""


class Cluster:
    """Starts and ends the processes of one deployment.

    Use it as a context: leaving it ends every process that it started, by process id.
    """

    def __init__(
        self, deployment: Deployment, folder: RunFolder, journal: Journal, settings: Concerns
    ) -> None:
        self.deployment = deployment
        self.directory = NodeDirectory()
        self._folder = folder
        self._journal = journal
        self._client = HttpClient()
        self._settings = settings
        self.network = NetworkFile(folder.network_faults, deployment)
        self.object_api = self._standin(StandinCommand("object-api", "object-api"))
        self.machine_list = self._standin(StandinCommand("machine-list", "machine-list"))
        self.scorer = self._standin(StandinCommand("scorer", "scorer"))
        self.weight_store = self._standin(self._weight_store_command())
        self.engines = {
            pool.name: [
                self._standin(self._engine_command(pool, zone, number))
                for number, zone in enumerate(pool.workers, start=1)
            ]
            for pool in deployment.engine_pools
        }
        self.applications = {
            pool.name: [
                self._standin(StandinCommand("app", f"{pool.name}-{number}", zone))
                for number, zone in enumerate(pool.workers, start=1)
            ]
            for pool in deployment.application_pools
        }
        self.nodes: dict[str, NodeProcess] = {}
        self._successors: dict[str, str] = {}
        # Two faults may both want to start a node again, such as a zone's loss and its own crash.
        self._restarts = threading.Lock()

    @property
    def standins(self) -> list[StandinProcess]:
        """All stand-ins."""
        found = [self.object_api, self.machine_list, self.scorer, self.weight_store]
        for processes in (*self.engines.values(), *self.applications.values()):
            found += processes
        return found

    def worker(self, name: str) -> StandinProcess:
        """The engine or application worker of that name. Raises `KeyError`."""
        for processes in (*self.engines.values(), *self.applications.values()):
            for process in processes:
                if process.name == name:
                    return process
        raise KeyError(name)

    def pool_of(self, worker: str) -> str:
        """The pool of a worker. Raises `KeyError`."""
        for pools in (self.engines, self.applications):
            for pool, processes in pools.items():
                if any(process.name == worker for process in processes):
                    return pool
        raise KeyError(worker)

    def present_name(self, node: str) -> str:
        """Name of the machine that stands in a node's place now."""
        while node in self._successors:
            node = self._successors[node]
        return node

    def start(self) -> None:
        """Start everything and wait until all are up. Raises `ProcessFailedError`."""
        _in_parallel(self.standins, lambda standin: standin.start())
        _in_parallel(self.standins, lambda standin: standin.wait_ready())
        nodes = [
            NodeProcess(place, self._folder, self._node_settings()) for place in self._places()
        ]
        self.nodes = {node.name: node for node in nodes}
        # The first node alone: its address is the seed of the others.
        _in_parallel(nodes[:1], self._start_node)
        _in_parallel(nodes[1:], self._start_node)

    def restart_node(self, name: str) -> None:
        """Start a node that has ended, on its old ports and data; does nothing when it runs.

        Raises `ProcessFailedError`.
        """
        with self._restarts:
            node = self.nodes.get(name)
            if node is not None and not node.running:
                self._start_node(node)

    def kill_node(self, name: str) -> None:
        """End a node at once, as a crash or a lost machine does."""
        exit_code = self.nodes[name].kill()
        self._journal.write(NodeExited(time.time(), name, exit_code, planned=False))

    def stop_node(self, name: str) -> int:
        """Stop a node as planned and wait for its end; return its exit code."""
        self._journal.write(NodeStopping(time.time(), name))
        exit_code = self.nodes[name].terminate()
        self._journal.write(NodeExited(time.time(), name, exit_code, planned=True))
        return exit_code

    def replace_node(self, name: str, new_name: str) -> None:
        """Put a new machine with an empty disk in place of a node that has ended."""
        old = self.nodes[name].place
        self.directory.remove(name)
        place = NodePlace(new_name, old.zone, old.region, old.has_data_folder)
        node = NodeProcess(place, self._folder, self._node_settings())
        with self._restarts:
            self.nodes = {key: found for key, found in self.nodes.items() if key != name}
            self.nodes |= {new_name: node}
            self._successors[name] = new_name
            self._start_node(node)

    def incarnation_of(self, node: str) -> int:
        """How often the node's process has been started; 0 when there is no such node."""
        process = self.nodes.get(node)
        return process.incarnation if process is not None else 0

    def stop(self) -> None:
        """Stop the nodes as planned, then the stand-ins."""
        _in_parallel(
            [node for node in self.nodes.values() if node.running],
            lambda node: self.stop_node(node.name),
        )
        self._end_standins()

    def close(self) -> None:
        """End every process that still runs, at once."""
        for node in self.nodes.values():
            if node.running:
                node.kill()
        self._end_standins()
        self._client.close()

    def __enter__(self) -> "Cluster":
        """Return the cluster; it is not started by this."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process."""
        self.close()

    def _end_standins(self) -> None:
        _in_parallel(
            [standin for standin in self.standins if standin.running],
            lambda standin: standin.stop(),
        )

    def _start_node(self, node: NodeProcess) -> None:
        seeds = [
            other.peer_address
            for other in self.nodes.values()
            if other is not node and other.peer_address
        ]
        node.start(seeds[:3])
        node.wait_ready()
        self._journal.write(NodeStarted(time.time(), node.name, node.place.has_data_folder))
        self.directory.put(NodeAddress(node.name, node.place.zone, node.gateway_address))

    def _places(self) -> list[NodePlace]:
        return [
            NodePlace(
                f"node-{zone.name}-{number}", zone.name, zone.region, number <= zone.nodes_with_data
            )
            for zone in self.deployment.zones
            for number in range(1, zone.nodes + 1)
        ]

    def _node_settings(self) -> dict[str, dict[str, object]]:
        kit: Concerns = {
            "platform": {
                "object_api": self.object_api.address,
                "machine_list": self.machine_list.address,
                "weight_store": self.weight_store.address,
            },
            "network_faults": {"file": self._folder.network_faults},
        }
        return merged(kit, self.deployment.node_settings, self._settings)

    def _standin(self, command: StandinCommand) -> StandinProcess:
        return StandinProcess(command, self._folder, self._client)

    def _weight_store_command(self) -> StandinCommand:
        versions: list[str] = []
        for policy in self.deployment.policies:
            versions += ["--version", f"{policy.model}:{policy.first_version}"]
        scale = ("--time-scale", f"{self.deployment.time_scale:g}")
        return StandinCommand("weight-store", "weight-store", "", (*scale, *versions))

    def _engine_command(self, pool: EnginePool, zone: str, number: int) -> StandinCommand:
        policy = next(entry for entry in self.deployment.policies if entry.name == pool.policies[0])
        arguments = (
            "--model",
            policy.model,
            "--initial-version",
            str(policy.first_version),
            "--time-scale",
            f"{self.deployment.time_scale:g}",
            "--maximum-batch",
            str(pool.maximum_batch),
        )
        return StandinCommand("engine", f"{pool.name}-{number}", zone, arguments)


def _in_parallel(items: Sequence[Item], act: Callable[[Item], object]) -> None:
    """Do one thing with all items, a few at a time; the first failure is raised at the end."""
    with ThreadPoolExecutor(PARALLEL_STARTS, "topology") as pool:
        futures = [pool.submit(act, item) for item in items]
    for future in futures:
        future.result()
