"""What the platform's machine list says of a deployment."""

from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.nodes import NodeProcess
from bellweir_rehearsal.topology.standins import StandinProcess

ROLES = {"engine": "engine", "app": "application"}
"""Role on the list by kind of stand-in."""


class MachineWriter:
    """Writes the machine list as the platform would; it shows changes some time later."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def list_all(self) -> None:
        """Put every node and worker on the list. Raises `ControlError`."""
        for node in self._cluster.nodes.values():
            self.put_node(node)
        for pools in (self._cluster.engines, self._cluster.applications):
            for pool, workers in pools.items():
                for worker in workers:
                    self.put_worker(worker, pool, leaving=False)

    def put_node(self, node: NodeProcess) -> None:
        """Add a node, or replace what the list says of it."""
        place = node.place
        self._put(place.name, node.peer_address, place.zone, "node", None, leaving=False)

    def put_worker(self, worker: StandinProcess, pool: str, *, leaving: bool) -> None:
        """Add a worker, or replace what the list says of it."""
        role = ROLES[worker.command.kind]
        self._put(worker.name, worker.address, worker.command.zone, role, pool, leaving=leaving)

    def set_leaving(self, name: str, *, leaving: bool) -> None:
        """Let the list say of a worker that it is leaving, or not any more."""
        worker = self._cluster.worker(name)
        self.put_worker(worker, self._cluster.pool_of(name), leaving=leaving)

    def remove(self, name: str) -> None:
        """Take a machine off the list."""
        self._cluster.machine_list.control("DELETE", f"/machines/{name}")

    def _put(
        self, name: str, address: str, zone: str, role: str, pool: str | None, *, leaving: bool
    ) -> None:
        machine = {
            "name": name,
            "address": address,
            "zone": zone,
            "region": self._cluster.deployment.region_of(zone),
            "role": role,
            "pool": pool,
            "state": "leaving" if leaving else "live",
        }
        self._cluster.machine_list.control("PUT", f"/machines/{name}", machine)
