"""Composition root of a node: its services, its life and its ready file."""

import json
import os
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from bellweir.clients.service import PlatformService
from bellweir.configuration.service import ConfigurationService
from bellweir.events.log import bind_node, configure_logs, emit
from bellweir.gateway.service import GatewayService
from bellweir.kernel import names
from bellweir.kernel.ending import EXIT_GIVEN_UP
from bellweir.kernel.listeners import Listeners, bind_listeners
from bellweir.kernel.log_events import NODE_DRAINING, NODE_STARTED, NODE_STOPPED
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.claims_service import ClaimsService
from bellweir.ledger.segments_service import SegmentsService
from bellweir.ledger.service import LedgerService
from bellweir.membership.interface import Membership
from bellweir.membership.ownership import OwnershipService
from bellweir.membership.service import MembershipService
from bellweir.resources.service import ResourcesService
from bellweir.routing.service import DispatcherService
from bellweir.routing.views_service import BackendViewsService
from bellweir.samples.service import SamplesService
from bellweir.settings.models import Settings
from bellweir.telemetry.service import TelemetryService
from bellweir.weights.service import WeightsService
from bellweir.wire.service import TransportService

DRAIN_DEADLINE_S = 120.0
"""Longest wait for work in hand at a planned stop."""

ServiceFactory = Callable[[Kernel, Settings], Service]


def service_factories() -> tuple[ServiceFactory, ...]:
    """Return the constructors of all services of a node; the registry orders their start."""
    return (
        PlatformService,
        TransportService,
        MembershipService,
        OwnershipService,
        ConfigurationService,
        ResourcesService,
        BackendViewsService,
        DispatcherService,
        LedgerService,
        ClaimsService,
        SegmentsService,
        SamplesService,
        WeightsService,
        TelemetryService,
        GatewayService,
    )


class Node:
    """One running node."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._stop_asked = threading.Event()
        listeners = bind_listeners(
            settings.node.host, settings.node.peer_port, settings.node.gateway_port
        )
        self.kernel = Kernel(listeners)
        for make in service_factories():
            self.kernel.registry.register(make(self.kernel, settings))

    def start(self) -> None:
        """Start all services and write the ready file."""
        try:
            self.kernel.registry.start()
        except BaseException:
            self.kernel.executors.stop()
            self.kernel.listeners.close()
            raise
        identity = self._settings.node
        emit(NODE_STARTED, zone=identity.zone)
        if identity.ready_file is not None:
            write_ready_file(identity.ready_file, identity.name, self.kernel.listeners)

    def ask_to_stop(self) -> None:
        """Ask for a planned stop; returns at once."""
        self._stop_asked.set()

    def run_until_stopped(self) -> int:
        """Wait for a stop to be asked for, then drain and stop; the process's exit code."""
        self.kernel.ending.listen(self._stop_asked.set)
        while not self._stop_asked.wait(1.0):
            pass
        self.stop()
        return EXIT_GIVEN_UP if self.kernel.ending.cause is not None else 0

    def stop(self) -> None:
        """Let the work in hand end, then end every task and close every socket."""
        emit(NODE_DRAINING)
        # Spread first, so that peers move leadership and ownership away while requests end here.
        self.kernel.registry.find(names.MEMBERSHIP, Membership).announce_leaving()  # type: ignore[type-abstract]
        self.kernel.registry.drain(DRAIN_DEADLINE_S)
        try:
            self.kernel.registry.stop()
        finally:
            self.kernel.executors.stop()
            self.kernel.listeners.close()
        emit(NODE_STOPPED)


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT; work in hand ends first."""
    configure_logs(settings.log.level, settings.log.format)
    bind_node(settings.node.name)
    node = Node(settings)

    def on_signal(_number: int, _frame: FrameType | None) -> None:
        node.ask_to_stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    node.start()
    sys.exit(node.run_until_stopped())


def write_ready_file(path: Path, node: str, listeners: Listeners) -> None:
    """Write the node's addresses as JSON, whole or not at all."""
    addresses = {
        "node": node,
        "peer_address": listeners.peer_address,
        "gateway_address": listeners.gateway_address,
    }
    partial = path.with_suffix(path.suffix + ".partial")
    partial.write_text(json.dumps(addresses), encoding="utf-8")
    os.replace(partial, path)
