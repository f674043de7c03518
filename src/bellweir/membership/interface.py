"""Typed interfaces of membership and worker ownership."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """State of a member as this node sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True)
class Member:
    """A node of the cluster."""

    node: str
    peer_address: str
    """`host:port` for messages between nodes."""
    gateway_address: str
    """`host:port` of its HTTP interface."""
    zone: str
    region: str
    has_data_folder: bool
    """Whether the node can hold ledger replicas."""
    state: MemberState
    incarnation: int


MembershipListener = Callable[[Member], None]


class Membership(ABC):
    """Who is alive. Service `membership`."""

    @abstractmethod
    def self_member(self) -> Member:
        """The member that stands for the calling node."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """All members that are alive, suspect or leaving, this node included, sorted by name."""

    @abstractmethod
    def member(self, node: str) -> Member | None:
        """The member of that name, also when it is dead; None when never heard of."""

    @abstractmethod
    def subscribe(self, listener: MembershipListener) -> None:
        """Call `listener` after each change of a member's state, off the caller's locks."""

    @abstractmethod
    def announce_leaving(self) -> None:
        """Spread at once that this node is leaving."""


class Ownership(ABC):
    """Which node owns which worker. Service `ownership`.

    The owner probes the worker, reads its load and cache events and sends it orders.
    Two nodes may believe themselves owner for a while; nothing breaks by it.
    """

    @abstractmethod
    def owner_of(self, worker: str) -> Member:
        """The node that owns the worker: rendezvous hash over alive members, with hysteresis."""

    @abstractmethod
    def owns(self, worker: str) -> bool:
        """Whether this node owns the worker."""

    def owned(self, workers: Iterable[str]) -> list[str]:
        """Return those of the workers that this node owns; cheap for thousands of them."""
        return [worker for worker in workers if self.owns(worker)]
