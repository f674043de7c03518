"""Typed interface of the configuration in force on a node."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bellweir.clients.interface import Machine
from bellweir.resources.models import Comparison, Policy, Pool, WeightVersion


@dataclass(frozen=True)
class ConfigurationSnapshot:
    """An immutable view of all resources as of one store revision."""

    revision: int
    policies: Mapping[str, Policy] = field(default_factory=dict)
    weight_versions: Mapping[str, WeightVersion] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    comparisons: Mapping[str, Comparison] = field(default_factory=dict)
    machines: Mapping[str, Machine] = field(default_factory=dict)
    """The platform's machine list by name, as last spread."""
    machines_revision: int = 0


ConfigurationListener = Callable[[ConfigurationSnapshot], None]


class Configuration(ABC):
    """The newest revision this node knows; it never goes back. Service `configuration`."""

    @abstractmethod
    def current(self) -> ConfigurationSnapshot:
        """The snapshot in force; revision 0 before the first one arrived."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether a snapshot has arrived, from the store or from a peer."""

    @abstractmethod
    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision at least as new is in force."""

    @abstractmethod
    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call `listener` after each change, and once at once when a snapshot is in force."""


@dataclass(frozen=True)
class RevisionSpread:
    """On how many nodes revisions are in force, as last reported."""

    nodes: int
    """Members of the cluster that are not leaving."""
    counts: Mapping[int, int]
    """Nodes by the revision they have in force; never higher than it is."""
    behind: tuple[str, ...]
    """Names of a few nodes with the lowest revisions."""

    def nodes_with(self, revision: int) -> int:
        """Nodes on which a revision at least as new is in force."""
        return sum(count for newest, count in self.counts.items() if newest >= revision)


class RevisionCensus(ABC):
    """Counts the nodes that have a revision in force; implemented by service `configuration`."""

    @abstractmethod
    def spread(self) -> RevisionSpread | None:
        """The counts on the one node that reports for the cluster; None on all others."""
