"""The configuration service: the core's task, and the store's reader while it is this node."""

import random
import threading
from concurrent.futures import Future, wait
from typing import ClassVar

from bellweir.clients.interface import Machine, MachineState, PlatformClients
from bellweir.configuration.core import ConfigurationCore
from bellweir.configuration.history import (
    ConfigurationHistory,
    DocumentChange,
    DocumentInForce,
    StateHistory,
)
from bellweir.configuration.interface import (
    Configuration,
    ConfigurationListener,
    ConfigurationSnapshot,
    RevisionCensus,
    RevisionSpread,
)
from bellweir.configuration.machine_reader import MachineListReader
from bellweir.configuration.reader import StoreReader
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Membership
from bellweir.membership.service import MembershipService
from bellweir.settings.models import Settings
from bellweir.wire.interface import Transport

ROLE_CHECK_PERIOD_S = 0.2
"""Time between two looks at who is the zone's reader, in seconds."""
READER_HOLD_OFF_S = 1.5
"""A node reads only once it has been the zone's reader for so long: the one before it notices at
the end of its watch (`reader.SHORTEST_WATCH_S`), and the store should not serve both."""
JOIN_HOLD_OFF_S = 2.0
"""A node with seeds that knows no other member yet waits so long before it reads, in seconds."""
LISTENERS_CHECK_S = 0.5
"""Longest wait for a change before the listeners' task looks whether it shall stop, in seconds."""
STOP_TIMEOUT_S = 8.0
SUGGESTED_SEEDS = 8
"""Nodes of the machine list that the membership is told of, so that a lone node finds others."""
NODE_ROLE = "node"


class ConfigurationService(Service, Configuration, ConfigurationHistory, RevisionCensus):
    """Service `configuration`."""

    name: ClassVar[str] = names.CONFIGURATION
    dependencies: ClassVar[tuple[str, ...]] = (names.PLATFORM, names.TRANSPORT, names.MEMBERSHIP)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._core: ConfigurationCore | None = None
        self._membership: Membership | None = None
        self._platform: PlatformClients | None = None
        self._seeded_revision = 0
        self._stop = threading.Event()
        self._tasks: list[Future[None]] = []
        self._reading: list[Future[None]] = []

    def start(self) -> None:
        """Look up the dependencies and start the tasks."""
        registry = self._kernel.registry
        self._membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        self._platform = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._core = ConfigurationCore(
            transport, self._membership, self._kernel.clock, self._settings.configuration
        )
        self._core.register_handlers()
        self._core.subscribe(self._suggest_seeds)
        run_task = self._kernel.executors.run_task
        core = self._core
        self._tasks.append(run_task("configuration", lambda _: core.run(self._stop)))
        self._core.notifies_in_step = False
        self._tasks.append(run_task("configuration-listeners", lambda _: self._call_listeners()))
        if self._settings.platform.object_api is not None:
            self._tasks.append(run_task("configuration-role", lambda _: self._watch_role()))

    def stop(self) -> None:
        """End the tasks."""
        self._stop.set()
        if self._core is not None:
            self._core.wake()
        wait([*self._tasks, *self._reading], timeout=STOP_TIMEOUT_S)

    def current(self) -> ConfigurationSnapshot:
        """The snapshot in force."""
        return self._started_core().state.current()

    def is_ready(self) -> bool:
        """Whether a configuration has arrived."""
        return self._core is not None and self._core.state.loaded

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision at least as new is in force."""
        return self._started_core().state.wait_for(revision, timeout_s)

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call `listener` with each newest snapshot, on the listeners' task."""
        self._started_core().subscribe(listener)

    def revision(self) -> int:
        """The revision in force."""
        return self._history().revision()

    def document(self, kind: str, name: str) -> DocumentInForce | None:
        """One document in force."""
        return self._history().document(kind, name)

    def documents(self, kind: str) -> tuple[int, tuple[DocumentInForce, ...]]:
        """The revision in force and the documents of a kind as of it."""
        return self._history().documents(kind)

    def changes_after(self, revision: int) -> tuple[int, tuple[DocumentChange, ...]]:
        """Changes after a revision, in the order of the store."""
        return self._history().changes_after(revision)

    def spread(self) -> RevisionSpread | None:
        """On how many nodes revisions are in force; None unless this node reports for all."""
        return self._started_core().reports.spread()

    def _history(self) -> StateHistory:
        return StateHistory(self._started_core().state)

    def _started_core(self) -> ConfigurationCore:
        if self._core is None:
            raise RuntimeError("the configuration service has not started")
        return self._core

    def _call_listeners(self) -> None:
        core = self._started_core()
        while not self._stop.is_set():
            snapshot = core.state.current()
            core.notify()
            core.state.wait_for_other(snapshot, LISTENERS_CHECK_S)

    def _suggest_seeds(self, snapshot: ConfigurationSnapshot) -> None:
        """Give the membership a few nodes of a new machine list to try; it trusts none of them."""
        if snapshot.machines_revision == self._seeded_revision:
            return
        self._seeded_revision = snapshot.machines_revision
        nodes = [each.address for each in snapshot.machines.values() if _is_live_node(each)]
        chosen = random.sample(nodes, min(SUGGESTED_SEEDS, len(nodes)))
        if isinstance(self._membership, MembershipService) and chosen:
            self._membership.suggest_seeds(tuple(chosen))

    def _is_reader(self) -> bool:
        core = self._core
        return core is not None and not self._stop.is_set() and core.placements.current().is_reader

    def _watch_role(self) -> None:
        """Start reading when this node has been its zone's reader for a while.

        The wait keeps a node that has not heard of its zone yet from reading the store; a reader
        that hears of a heavier member ends by itself.
        """
        clock = self._kernel.clock
        since_s: float | None = None
        while not self._stop.is_set():
            now_s = clock.monotonic_s()
            if not self._is_reader():
                since_s = None
            elif since_s is None:
                since_s = now_s
            if since_s is not None and now_s - since_s >= self._hold_off_s():
                self._read_unless_reading()
            clock.wait(self._stop, ROLE_CHECK_PERIOD_S)

    def _hold_off_s(self) -> float:
        membership = self._membership
        alone = membership is not None and len(membership.members()) == 1
        if alone:
            return JOIN_HOLD_OFF_S if self._settings.membership.seeds else 0.0
        return READER_HOLD_OFF_S

    def _read_unless_reading(self) -> None:
        if any(not task.done() for task in self._reading) or self._stop.is_set():
            return
        core, platform = self._started_core(), self._platform
        if platform is None:
            return
        if not core.state.loaded:
            # Peers may know more than a store whose reads lag; without any, the list is the start.
            core.catch_up_with_peers()
        identity = self._settings.node
        clock = self._kernel.clock
        store_reader = StoreReader(
            identity.name,
            identity.zone,
            platform.object_store(),
            core.state,
            clock,
            self._is_reader,
        )
        run_task = self._kernel.executors.run_task
        self._reading = [run_task("store-reader", lambda _: store_reader.run(self._stop))]
        if self._settings.platform.machine_list is None:
            return
        machine_reader = MachineListReader(
            identity.name,
            platform.machine_list(),
            core.state,
            clock,
            self._is_reader,
            self._settings.configuration.machine_list_period_s,
        )
        self._reading.append(run_task("machine-reader", lambda _: machine_reader.run(self._stop)))


def _is_live_node(machine: Machine) -> bool:
    return machine.role == NODE_ROLE and machine.state is MachineState.LIVE
