"""The configuration in force in this process: only ever a newer one."""

import threading
from collections.abc import Callable, Mapping
from types import MappingProxyType

import msgspec

from bellweir.events.log import emit
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.leniency import readable_configuration
from bellweir.hosted.log_events import CONFIGURATION_IN_FORCE, CONFIGURATION_REFUSED
from bellweir.hosted.records import Configuration, Route, ServiceEntry
from bellweir.hosted.tenants.interface import Keys, Tenant
from bellweir.hosted.tenants.keys import DigestedKeys

CONFIGURATION_NAME = "main"


class RouteTable:
    """Routes of one configuration, by host and longest path prefix, and its tenants' keys."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: Mapping[str, ServiceEntry] = MappingProxyType(
            {entry.name: entry for entry in configuration.services}
        )
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_host = by_host
        self.keys: Keys = DigestedKeys(
            (Tenant(each.name, each.priority), each.api_keys) for each in configuration.tenants
        )

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """The route whose prefix begins the path and is longest."""
        routes = self._routes_of(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def has_engines(self, route: Route) -> bool:
        """Whether a route's requests go to model engines."""
        entries = (self.services.get(part.service) for part in route.parts)
        return any(entry is not None and entry.engine is not None for entry in entries)

    def has_public_jobs(self, host: str) -> bool:
        """Whether a host has a route whose batch jobs are handed in without a key."""
        return any(route.takes_jobs and route.public for route in self._routes_of(host))

    def _routes_of(self, host: str) -> list[Route]:
        name = host.lower()
        without_port = name.partition(":")[0]
        return self._by_host.get(name) or self._by_host.get(without_port) or []


class ConfigurationView:
    """Holds the newest configuration heard of, whoever told it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._spec: object = None
        self._listeners: list[Callable[[RouteTable], None]] = []
        self.known = threading.Event()
        """Set once a configuration is in force."""

    def table(self) -> RouteTable | None:
        """Routes in force; None while no configuration is known."""
        return self._table

    def spec(self) -> object:
        """The configuration in force as it stands in the store."""
        return self._spec

    def subscribe(self, listener: Callable[[RouteTable], None]) -> None:
        """Call `listener` with each new table."""
        self._listeners.append(listener)

    def take_listing(self, listing: Listing) -> None:
        """Take the store's listing."""
        for record in listing.records:
            self._take_record(record)

    def take_change(self, change: RecordChange) -> None:
        """Take a change; a configuration is never taken back."""
        if not change.deleted:
            self._take_record(change.record)

    def _take_record(self, record: StoredRecord) -> None:
        if record.name == CONFIGURATION_NAME:
            self.take(record.spec, "store")

    def take(self, spec: object, source: str) -> None:
        """Put a configuration in force if it is newer than the one known."""
        try:
            configuration = msgspec.convert(readable_configuration(spec), Configuration)
        except msgspec.ValidationError as failure:
            emit(CONFIGURATION_REFUSED, error=str(failure))
            return
        with self._lock:
            if self._table is not None and configuration.version <= self._table.version:
                return
            table = RouteTable(configuration)
            self._table = table
            self._spec = spec
        self.known.set()
        routes = len(configuration.routes)
        emit(CONFIGURATION_IN_FORCE, version=table.version, routes=routes, source=source)
        for listener in self._listeners:
            listener(table)
