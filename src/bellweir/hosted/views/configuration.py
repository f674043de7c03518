"""The configuration in force in this process: only ever a newer one."""

import threading
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bellweir.events.log import emit
from bellweir.hosted.entries import EntryValidator, InvalidEntryError
from bellweir.hosted.interface import Listing, RecordChange, RecordKind, StoredRecord
from bellweir.hosted.log_events import CONFIGURATION_IN_FORCE, CONFIGURATION_REFUSED
from bellweir.hosted.records import Configuration, Route, ServiceEntry
from bellweir.hosted.tenants.interface import Keys, Tenant
from bellweir.hosted.tenants.keys import DigestedKeys
from bellweir.hosted.views.configuration_parts import (
    Address,
    log_part,
    read_configuration,
    route_address,
)

CONFIGURATION_NAME = "main"
NOTHING_REFUSED = object()


class RouteTable:
    """Routes of one configuration, by host and longest path prefix, and its tenants' keys.

    >>> table = RouteTable(Configuration(1, (Route("h", "/"),)), frozenset({("h", "/a/")}))
    >>> table.find("h", "/a/b"), table.is_closed("h", "/a/b"), table.is_closed("h", "/b")
    (None, True, False)
    """

    def __init__(
        self, configuration: Configuration, closed: frozenset[Address] = frozenset()
    ) -> None:
        """`closed` are routes whose terms can't be read: nothing of theirs is sent anywhere."""
        self.configuration = configuration
        self.closed = closed
        self.services: Mapping[str, ServiceEntry] = MappingProxyType(
            {entry.name: entry for entry in configuration.services}
        )
        by_host: dict[str, list[Route]] = {}
        for route in (*configuration.routes, *(Route(*address) for address in sorted(closed))):
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
        """The route whose prefix begins the path and is longest; None where that one is closed."""
        route = self._longest(host, path)
        return None if route is None or route_address(route) in self.closed else route

    def is_closed(self, host: str, path: str) -> bool:
        """Whether the route of a path is there and its terms can't be read."""
        route = self._longest(host, path)
        return route is not None and route_address(route) in self.closed

    def _longest(self, host: str, path: str) -> Route | None:
        routes = self._routes_of(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def has_engines(self, route: Route) -> bool:
        """Whether a route's requests go to model engines."""
        entries = (self.services.get(part.service) for part in route.effective_backends)
        return any(entry is not None and entry.engine is not None for entry in entries)

    def has_public_jobs(self, host: str) -> bool:
        """Whether a host has a route whose batch jobs are handed in without a key."""
        return any(route.accepts_jobs and route.public for route in self._routes_of(host))

    def _routes_of(self, host: str) -> list[Route]:
        name = host.lower()
        without_port = name.partition(":")[0]
        return self._by_host.get(name) or self._by_host.get(without_port) or []


class ConfigurationView:
    """Holds the newest configuration heard of, whoever told it."""

    def __init__(self, entries: EntryValidator | None = None) -> None:
        """`entries` counts what can't be read."""
        self._entries = entries if entries is not None else EntryValidator()
        self._refused: object = NOTHING_REFUSED
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

    def apply_listing(self, listing: Listing) -> None:
        """Take the store's listing."""
        for record in listing.records:
            self._take_record(record)

    def apply_change(self, change: RecordChange) -> None:
        """Take a change; a configuration is never taken back."""
        if not change.deleted:
            self._take_record(change.record)

    def _take_record(self, record: StoredRecord) -> None:
        if record.name == CONFIGURATION_NAME:
            self.apply(record.spec, "store")

    def apply(self, spec: object, source: str) -> None:
        """Put a configuration in force if it is newer than the one known.

        One that can't be read changes nothing; of its parts see `configuration_parts`.
        """
        with self._lock:
            former = self._table.configuration if self._table is not None else None
            try:
                found = read_configuration(spec, self._spec, former)
            except InvalidEntryError as failure:
                self._note_refused(spec, str(failure))
                return
            configuration = found.configuration
            if former is not None and configuration.version <= former.version:
                return
            table = RouteTable(configuration, found.closed)
            self._table = table
            self._spec = spec
        self.known.set()
        for part in found.unreadable:
            log_part(configuration.version, part)
            self._entries.count(RecordKind.CONFIGURATION)
        routes = len(configuration.routes)
        emit(CONFIGURATION_IN_FORCE, version=table.version, routes=routes, source=source)
        for listener in self._listeners:
            listener(table)

    def _note_refused(self, spec: object, cause: str) -> None:
        """Log and count a configuration that can't be read, once however often it is told."""
        if spec == self._refused:
            return
        self._refused = spec
        self._entries.count(RecordKind.CONFIGURATION)
        emit(CONFIGURATION_REFUSED, error=cause)
