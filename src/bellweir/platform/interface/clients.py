"""How the other packages get their clients."""

from abc import ABC, abstractmethod

from bellweir.platform.interface.application import Application
from bellweir.platform.interface.engine import Engine
from bellweir.platform.interface.machine_list import MachineList
from bellweir.platform.interface.object_store import ObjectStore
from bellweir.platform.interface.weights_and_scores import Scorer, WeightStore


class PlatformClients(ABC):
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
