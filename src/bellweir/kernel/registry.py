"""Registry in which services find each other by name through typed interfaces."""

import threading
from typing import TypeVar

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.log_events import SERVICE_DRAINED
from bellweir.kernel.service import Service

SLOW_DRAIN_S = 0.5
"""Drains that take longer than this are logged."""

Interface = TypeVar("Interface")


class ServiceNotFoundError(LookupError):
    """No service of that name is registered."""


class ServiceTypeError(TypeError):
    """The service of that name does not implement the interface asked for."""


class DependencyCycleError(ValueError):
    """Services depend on each other in a circle."""


class Registry:
    """Holds the services of one node and runs their life cycle in dependency order."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self.all_started = threading.Event()
        """Set once every service has started, for work that must not begin before."""

    def register(self, service: Service) -> None:
        """Add a service under its name. Raises `ValueError` when the name is taken."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service

    def find(self, name: str, interface: type[Interface]) -> Interface:
        """Return the service called `name`.

        Raises `ServiceNotFoundError` when there is none and `ServiceTypeError` when it does not
        implement `interface`, an abstract class.
        """
        service = self._services.get(name)
        if service is None:
            raise ServiceNotFoundError(f"no service named {name!r}")
        if not isinstance(service, interface):
            raise ServiceTypeError(f"service {name!r} is no {interface.__name__}")
        return service

    def has(self, name: str) -> bool:
        """Tell whether a service of that name is registered."""
        return name in self._services

    def start(self) -> None:
        """Start all services in dependency order.

        When one fails to start, those already started are stopped in reverse order and the
        failure is raised again.
        """
        for service in self._in_dependency_order():
            try:
                service.start()
            except BaseException:
                service.stop()
                self.stop()
                raise
            self._started.append(service)
        self.all_started.set()

    def drain(self, deadline_s: float) -> None:
        """Drain the started services, dependants first, sharing one deadline in seconds."""
        deadline = elapsed_s() + deadline_s
        for service in reversed(self._started):
            began = elapsed_s()
            service.drain(max(0.0, deadline - began))
            drained_s = elapsed_s() - began
            if drained_s > SLOW_DRAIN_S:
                emit(SERVICE_DRAINED, service=service.name, seconds=round(drained_s, 3))

    def stop(self) -> None:
        """Stop the started services in reverse order; the first failure is raised at the end."""
        first_failure: BaseException | None = None
        while self._started:
            service = self._started.pop()
            try:
                service.stop()
            except Exception as failure:
                first_failure = first_failure or failure
        if first_failure is not None:
            raise first_failure

    def _in_dependency_order(self) -> list[Service]:
        ordered: list[Service] = []
        visiting: set[str] = set()
        visited: set[str] = set()

        def visit(name: str) -> None:
            if name in visited:
                return
            if name in visiting:
                raise DependencyCycleError(f"service {name!r} depends on itself")
            visiting.add(name)
            service = self.find(name, Service)  # type: ignore[type-abstract]
            for dependency in service.dependencies:
                visit(dependency)
            visiting.discard(name)
            visited.add(name)
            ordered.append(service)

        for name in self._services:
            visit(name)
        return ordered
