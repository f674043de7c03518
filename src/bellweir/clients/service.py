"""The service `platform`: makes and pools the clients of outside systems."""

import threading
from typing import ClassVar

from bellweir.clients.application import HttpApplication
from bellweir.clients.engine import HttpEngine
from bellweir.clients.interface import (
    Application,
    Engine,
    MachineList,
    ObjectStore,
    PlatformClients,
    Scorer,
    WeightStore,
)
from bellweir.clients.machine_list import HttpMachineList
from bellweir.clients.object_api import HttpObjectStore
from bellweir.clients.pool import ConnectionPool
from bellweir.clients.scorer import HttpScorer
from bellweir.clients.weight_store import HttpWeightStore
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.settings.models import PlatformSettings, Settings

SWEEP_PERIOD_S = 15.0


class NoAddressError(LookupError):
    """The settings name no address for a platform service that is needed."""


class HttpPlatformClients(PlatformClients):
    """Clients over HTTP; one pool of connections for each address."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}
        self._machine_list: HttpMachineList | None = None
        self._closed = False

    def object_store(self) -> ObjectStore:
        """Client of the object API; raises `NoAddressError` when settings name none."""
        pool = self._pool(_required(self._settings.object_api, "platform.object_api"))
        return HttpObjectStore(pool, self._settings.timeout_s)

    def machine_list(self) -> MachineList:
        """Client of the machine list; raises `NoAddressError` when settings name none."""
        pool = self._pool(_required(self._settings.machine_list, "platform.machine_list"))
        with self._lock:
            # One client for all, since it keeps the list that it has read last.
            if self._machine_list is None:
                self._machine_list = HttpMachineList(pool, self._settings.timeout_s)
            return self._machine_list

    def weight_store(self) -> WeightStore:
        """Client of the weight store; raises `NoAddressError` when settings name none."""
        pool = self._pool(_required(self._settings.weight_store, "platform.weight_store"))
        return HttpWeightStore(pool, self._settings.timeout_s)

    def engine(self, address: str) -> Engine:
        """Client of the engine at `host:port`."""
        return HttpEngine(self._pool(address), self._settings.timeout_s)

    def application(self, address: str) -> Application:
        """Client of the application worker at `host:port`."""
        return HttpApplication(self._pool(address))

    def scorer(self, address: str) -> Scorer:
        """Client of the scorer at `host:port`."""
        return HttpScorer(self._pool(address))

    def close_old_connections(self) -> None:
        """Close connections that nobody has used for a while, such as those to machines gone."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close_old_connections()

    def close(self) -> None:
        """Close every pooled connection; calls made later fail as not run."""
        with self._lock:
            self._closed = True
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def _pool(self, address: str) -> ConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = ConnectionPool(address)
                self._pools[address] = pool
            closed = self._closed
        if closed:
            pool.close()
        return pool


class PlatformService(Service, HttpPlatformClients):
    """The clients as a service of a node."""

    name: ClassVar[str] = names.PLATFORM

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        HttpPlatformClients.__init__(self, settings.platform)
        self._kernel = kernel

    def start(self) -> None:
        """Begin to close old connections; new ones are made when they are needed."""
        self._kernel.executors.run_loop("platform-connections", self._sweep)

    def _sweep(self, stopping: threading.Event) -> None:
        while not self._kernel.clock.wait(stopping, SWEEP_PERIOD_S):
            self.close_old_connections()

    def stop(self) -> None:
        """Close every connection."""
        self.close()


def _required(address: str | None, key: str) -> str:
    if address is None:
        raise NoAddressError(f"{key} is not set")
    return address
