"""The interface each service of a node implements."""

from abc import ABC, abstractmethod
from typing import ClassVar


class Service(ABC):
    """A named part of a node, started after and stopped before what it depends on.

    A service finds its dependencies in the registry during `start`, never in its constructor.
    """

    name: ClassVar[str]
    """Name in the registry; one of `bellweir.kernel.names`."""

    dependencies: ClassVar[tuple[str, ...]] = ()
    """Names of the services that must have started before this one."""

    @abstractmethod
    def start(self) -> None:
        """Begin work. Raises an exception when the service cannot run; nothing may be left over."""

    def drain(self, deadline_s: float) -> None:  # noqa: B027 - most services have nothing in hand
        """Stop taking new work and wait for the work in hand, at most `deadline_s` seconds."""

    @abstractmethod
    def stop(self) -> None:
        """End every task and release every resource. Safe to call twice."""
