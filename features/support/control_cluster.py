"""Nodes of the control plane in one process: real sockets, a real object API stand-in."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from bellweir.clients.service import PlatformService
from bellweir.configuration.service import ConfigurationService
from bellweir.configuration.table import ApplyOutcome
from bellweir.kernel import names
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.membership.service import MembershipService
from bellweir.resources.service import ResourcesService
from bellweir.settings.models import (
    ConfigurationSettings,
    MembershipSettings,
    NodeIdentity,
    PlatformSettings,
    Settings,
)
from bellweir.wire.service import TransportService
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.machine_list import MachineListOptions, MachineListStandin
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin, WatchOpened

SERVICES = (
    PlatformService,
    TransportService,
    MembershipService,
    ConfigurationService,
    ResourcesService,
)
LONG_S = 3600.0


class ControlNode:
    def __init__(self, name, zone, seeds, object_api, machine_list=None):
        self.name = name
        self.zone = zone
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0))
        settings = Settings(
            node=NodeIdentity(name=name, zone=zone),
            platform=PlatformSettings(
                object_api=object_api, machine_list=machine_list, timeout_s=2.0
            ),
            configuration=ConfigurationSettings(machine_list_period_s=0.2),
            membership=MembershipSettings(seeds=seeds, probe_period_s=0.2, probe_timeout_s=0.1),
        )
        for make in SERVICES:
            self.kernel.registry.register(make(self.kernel, settings))
        self.kernel.registry.start()
        self.peer_address = self.kernel.listeners.peer_address
        self.configuration = self.kernel.registry.find(names.CONFIGURATION, ConfigurationService)
        self.resources = self.kernel.registry.find(names.RESOURCES, ResourcesService)
        self.membership = self.kernel.registry.find(names.MEMBERSHIP, MembershipService)
        self.seen = []
        self.configuration.subscribe(lambda snapshot: self.seen.append(snapshot.revision))
        self.stopped = False

    @property
    def revision(self):
        return self.configuration.current().revision

    def hold(self, held):
        """Keep the node a member, but have its configuration take nothing in."""
        state = self.configuration._core.state
        if held:
            state.apply = lambda _: ApplyOutcome.OLD
            state.adopt = lambda *_: False
        else:
            del state.apply, state.adopt

    def stop(self):
        if not self.stopped:
            self.stopped = True
            self.kernel.registry.stop()
            self.kernel.executors.stop()
            self.kernel.listeners.close()


class ControlCluster:
    def __init__(self, cleanup: ExitStack, wait_until):
        self.wait_until = wait_until
        self.store = ObjectApiStandin(ObjectApiOptions())
        self.store.start()
        self.machine_list = MachineListStandin(MachineListOptions(lag_s=0.0))
        self.machine_list.start()
        cleanup.callback(self.machine_list.stop)
        self.nodes = {}
        cleanup.callback(self.stop)

    def stop(self):
        """Stop the store, which ends the nodes' watches, and all nodes at once."""
        stops = [self.store.stop, *(node.stop for node in self.nodes.values())]
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(lambda stop: stop(), stops))

    def start(self, name, zone, knows_others=True):
        others = self.alive() if knows_others else []
        seeds = tuple(node.peer_address for node in others)[:2]
        node = ControlNode(name, zone, seeds, self.store.address, self.machine_list.address)
        self.nodes[name] = node
        return node

    def alive(self):
        return [node for node in self.nodes.values() if not node.stopped]

    def wait_for_members(self):
        count = len(self.alive())
        self.wait_until(
            lambda: all(len(node.membership.members()) == count for node in self.alive()),
            f"every node sees {count} members",
        )

    def wait_in_force(self, revision):
        self.wait_until(
            lambda: all(node.revision >= revision for node in self.alive()),
            f"revision {revision} in force on every node",
        )

    def fault(self, kind, **options):
        self.store.inject(FaultOrder(kind, **options))

    def store_down(self):
        self.fault(FaultKind.DOWN, duration_s=LONG_S)

    def watches_opened(self):
        return self.store.log.records(WatchOpened)
