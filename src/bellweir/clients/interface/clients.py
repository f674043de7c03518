"""How the other packages get their clients."""

from abc import abstractmethod

from bellweir.clients.interface.application import Application
from bellweir.clients.interface.engine import Engine
from bellweir.clients.interface.machine_list import MachineList
from bellweir.clients.interface.object_store import ObjectStore, ObjectStoreProvider
from bellweir.clients.interface.weights_and_scores import Scorer, WeightStore


class PlatformClients(ObjectStoreProvider):
    """Makes clients; the only way other packages reach outside systems."""

    @abstractmethod
    def object_store(self) -> ObjectStore:
        """Client of the object API."""

    @abstractmethod
    def machine_list(self) -> MachineList:
        """Client of the machine list."""

    @abstractmethod
    def weight_store(self) -> WeightStore:
        """Client of the weight store."""

    @abstractmethod
    def engine(self, address: str) -> Engine:
        """Client of the engine at `host:port`; pooled, the same for the same address."""

    @abstractmethod
    def application(self, address: str) -> Application:
        """Client of the application worker at `host:port`; pooled."""

    @abstractmethod
    def scorer(self, address: str) -> Scorer:
        """Client of the scorer at `host:port`; pooled."""

    @abstractmethod
    def close(self) -> None:
        """Close every pooled connection."""
