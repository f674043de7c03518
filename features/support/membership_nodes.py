"""Nodes of transport and membership on real sockets, with short periods."""

from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.membership.interface import MemberState
from bellweir.membership.service import MembershipService
from bellweir.settings.models import (
    MembershipSettings,
    NetworkFaultSettings,
    NodeIdentity,
    Settings,
    TrustSettings,
)
from bellweir.wire.service import TransportService

PROBE_PERIOD_S = 0.2


@dataclass
class MembershipTestNode:
    kernel: Kernel
    membership: MembershipService
    address: str
    stopped: bool = False

    def states(self) -> dict[str, MemberState]:
        """State of every member this node holds for not dead."""
        return {member.node: member.state for member in self.membership.members()}

    def stop(self) -> None:
        if self.stopped:
            return
        self.stopped = True
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()

    def crash(self) -> None:
        """End without a word to others."""
        self.stopped = True
        self.kernel.executors.stopping.set()
        self.kernel.listeners.peer_datagram.close()
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()


def start_membership_node(
    name: str,
    cleanup: ExitStack,
    seeds: tuple[str, ...] = (),
    zone: str = "zone-1",
    region: str = "region-1",
    keys: tuple[Path, ...] = (),
    faults: Path | None = None,
    peer_port: int = 0,
) -> MembershipTestNode:
    """Start a node; it is stopped at the end of the scenario."""
    kernel = Kernel(bind_listeners("127.0.0.1", peer_port, 0))
    settings = Settings(
        node=NodeIdentity(name=name, zone=zone, region=region),
        membership=MembershipSettings(
            seeds=seeds,
            probe_period_s=PROBE_PERIOD_S,
            probe_timeout_s=PROBE_PERIOD_S / 2,
            exchange_period_s=0.5,
        ),
        trust=TrustSettings(cluster_key_files=keys),
        network_faults=NetworkFaultSettings(file=faults),
    )
    membership = MembershipService(kernel, settings)
    kernel.registry.register(TransportService(kernel, settings))
    kernel.registry.register(membership)
    kernel.registry.start()
    node = MembershipTestNode(kernel, membership, kernel.listeners.peer_address)
    cleanup.callback(node.stop)
    return node
