"""The platform's list of machines."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from returns.result import Result

from bellweir.clients.interface.errors import PlatformError


class MachineState(Enum):
    """What the platform says of a machine; it lags behind the truth."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Machine:
    """A machine on the platform's list."""

    name: str
    address: str
    """`host:port` of its service: a node's peer port, or a worker's HTTP port."""
    zone: str
    region: str
    role: str
    """`node`, `engine` or `application`."""
    pool: str | None
    state: MachineState


@dataclass(frozen=True)
class MachineSnapshot:
    """The machine list as the platform last published it."""

    revision: int
    machines: tuple[Machine, ...]


class MachineList(ABC):
    """The platform's lagging list of live and leaving machines."""

    @abstractmethod
    def read(self) -> Result[MachineSnapshot, PlatformError]:
        """Read the whole list."""
