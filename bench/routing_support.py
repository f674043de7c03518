"""One routing node in this process over stand-ins in processes of their own."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from bellweir.clients.service import PlatformService
from bellweir.configuration.interface import (
    Configuration,
    ConfigurationListener,
    ConfigurationSnapshot,
)
from bellweir.events.log import configure_logs
from bellweir.kernel import names
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member, MemberState, Ownership
from bellweir.resources.models import (
    BackendKind,
    Metadata,
    Policy,
    PolicySpec,
    Pool,
    PoolSpec,
    RequestClass,
    Worker,
)
from bellweir.routing.interface import GenerationRequest
from bellweir.routing.rendezvous import score
from bellweir.routing.service import DispatcherService
from bellweir.routing.views_service import BackendViewsService
from bellweir.settings.models import NodeIdentity, RoutingSettings, Settings
from bellweir.wire.service import TransportService

POLICY = "policy"
POOL = "pool"
READY_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Standin:
    """A running stand-in."""

    name: str
    address: str
    process: subprocess.Popen[bytes] | None = None


class StaticConfiguration(Service, Configuration):
    """A configuration that never changes."""

    name = names.CONFIGURATION

    def __init__(self, snapshot: ConfigurationSnapshot) -> None:
        self._snapshot = snapshot

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def current(self) -> ConfigurationSnapshot:
        """Return the snapshot."""
        return self._snapshot

    def is_ready(self) -> bool:
        """Return whether there is one: always."""
        return True

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Return whether the revision is in force."""
        return revision <= self._snapshot.revision

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call the listener once."""
        listener(self._snapshot)


class StaticOwnership(Service, Ownership):
    """Rendezvous hash over members that are given; peers may be added while it runs."""

    name = names.OWNERSHIP

    def __init__(self, node: str, address: str, peers: dict[str, str]) -> None:
        self._addresses = {node: address}
        self._node = node
        self._peers = peers

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def owner_of(self, worker: str) -> Member:
        """Return the member with the highest score."""
        addresses = self._addresses | self._peers
        node = max(addresses, key=lambda name: score(worker, name))
        return Member(node, addresses[node], "", "zone-1", "default", False, MemberState.ALIVE, 0)

    def owns(self, worker: str) -> bool:
        """Return whether this node does."""
        return self.owner_of(worker).node == self._node


@contextmanager
def running_standins(kind: str, options: list[dict[str, object]]) -> Iterator[list[Standin]]:
    """Start stand-ins, wait until they serve, end them at the end."""
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        try:
            for chosen in options:
                ready = Path(folder) / f"{chosen['name']}.json"
                arguments = [kind, json.dumps(chosen), str(ready)]
                command = [sys.executable, "-m", "bellweir_rehearsal.standins", *arguments]
                processes.append((subprocess.Popen(command), ready))
            yield [_await_ready(process, ready) for process, ready in processes]
        finally:
            for process, _ in processes:
                process.terminate()
            for process, _ in processes:
                process.wait()


def _await_ready(process: subprocess.Popen[bytes], ready: Path) -> Standin:
    told = await_file(process, ready)
    return Standin(told["name"], told["address"], process)


def await_file(process: subprocess.Popen[bytes], ready: Path) -> dict[str, str]:
    """Return the JSON of a ready file once a process has written it."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not ready.exists():
        if time.monotonic() > deadline_s or process.poll() is not None:
            raise RuntimeError(f"no stand-in behind {ready.name}")
        time.sleep(0.02)
    told: dict[str, str] = json.loads(ready.read_text())
    return told


@dataclass(frozen=True)
class RoutingNode:
    """A node that consists of routing only."""

    kernel: Kernel
    dispatcher: DispatcherService
    views: BackendViewsService


@contextmanager
def running_node(
    kind: BackendKind,
    standins: list[Standin],
    spec: dict[str, object],
    routing: RoutingSettings | None = None,
    name: str = "bench",
    peers: dict[str, str] | None = None,
) -> Iterator[RoutingNode]:
    """Run a node whose one pool consists of the given stand-ins.

    `peers` are other nodes' peer addresses by name; the caller may add to them.
    """
    configure_logs("error", "console")
    workers = tuple(Worker(name=s.name, address=s.address, zone="zone-1") for s in standins)
    policies = (POLICY,) if kind is BackendKind.ENGINE else ()
    pool = PoolSpec(kind=kind, policies=policies, workers=workers, **spec)  # type: ignore[arg-type]
    snapshot = ConfigurationSnapshot(
        1,
        {POLICY: Policy(metadata=Metadata(name=POLICY), spec=PolicySpec(model="model"))},
        {},
        {POOL: Pool(metadata=Metadata(name=POOL), spec=pool)},
    )
    settings = Settings(
        node=NodeIdentity(name=name, zone="zone-1"), routing=routing or RoutingSettings()
    )
    kernel = Kernel(bind_listeners("127.0.0.1", 0, 0))
    node = RoutingNode(
        kernel, DispatcherService(kernel, settings), BackendViewsService(kernel, settings)
    )
    for service in (
        PlatformService(kernel, settings),
        StaticConfiguration(snapshot),
        StaticOwnership(name, kernel.listeners.peer_address, {} if peers is None else peers),
        TransportService(kernel, settings),
        node.views,
        node.dispatcher,
    ):
        kernel.registry.register(service)
    kernel.registry.start()
    try:
        while not all(view.ready for view in node.views.views(POOL)):
            time.sleep(0.02)
        yield node
    finally:
        kernel.registry.stop()
        kernel.executors.stop()
        kernel.listeners.close()


def generation_request(
    number: int,
    prompt: str,
    max_tokens: int,
    request_class: RequestClass,
    caller: str = "bench",
) -> GenerationRequest:
    """Return a request with a deadline far away."""
    return GenerationRequest(
        request_id=f"bench-{request_class.value}-{number}",
        policy=POLICY,
        prompt=prompt,
        max_tokens=max_tokens,
        request_class=request_class,
        deadline_monotonic_s=time.monotonic() + 300.0,
        caller=caller,
    )


def quantile(sorted_values: list[float], share: float) -> float:
    """Return the value at a share of a sorted list."""
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]
