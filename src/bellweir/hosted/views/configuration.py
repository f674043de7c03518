"""The active configuration of this process; its version never decreases."""

import threading
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bellweir.events.log import emit
from bellweir.hosted.eligibility.homes import AllowedRegions, allowed_regions
from bellweir.hosted.entries import EntryValidator, InvalidEntryError
from bellweir.hosted.interface import Listing, RecordChange, RecordKind, StoredRecord
from bellweir.hosted.log_events import CONFIGURATION_IN_FORCE, CONFIGURATION_REFUSED
from bellweir.hosted.records import Configuration, Route, ServiceEntry
from bellweir.hosted.tenants.interface import Keys, Tenant
from bellweir.hosted.tenants.keys import DigestedKeys
from bellweir.hosted.views.configuration_parts import (
    RouteKey,
    log_part,
    read_configuration,
    route_key,
)

CONFIGURATION_NAME = "main"
NO_SERVICES: Mapping[str, ServiceEntry] = MappingProxyType({})
NOTHING_REJECTED = object()


class RouteTable:
    """Routes of one configuration by host and longest path prefix, and its tenants' keys.

    >>> table = RouteTable(Configuration(1, (Route("h", "/"),)), frozenset({("h", "/a/")}))
    >>> table.find("h", "/a/b"), table.is_closed("h", "/a/b"), table.is_closed("h", "/b")
    (None, True, False)
    """

    def __init__(
        self,
        configuration: Configuration,
        closed: frozenset[RouteKey] = frozenset(),
        *,
        lacks_parts: bool = False,
    ) -> None:
        """`closed` are routes that cannot be decoded; their requests are not forwarded.

        `lacks_parts`: it has parts of which not even the name can be decoded.
        """
        self.configuration = configuration
        self.lacks_parts = lacks_parts
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

        self._tenants = {tenant.name: tenant for tenant in configuration.tenants}

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None without one or if closed."""
        route = self._longest_match(host, path)
        return None if route is None or route_key(route) in self.closed else route

    def is_closed(self, host: str, path: str) -> bool:
        """Whether the route of a path exists but cannot be decoded."""
        route = self._longest_match(host, path)
        return route is not None and route_key(route) in self.closed

    def job_route(self, host: str, path_prefix: str) -> Route | None:
        """Return the route that accepts batch jobs under just this prefix; None without one.

        >>> from bellweir.hosted.records import RouteKind
        >>> routes = Route("h", "/a/", RouteKind.ROLLOUT), Route("h", "/", RouteKind.ROLLOUT)
        >>> table = RouteTable(Configuration(1, routes))
        >>> table.job_route("h", "/a/").path_prefix, table.job_route("h", "/a/b/")
        ('/a/', None)
        """
        found = (route for route in self._routes_of(host) if route.path_prefix == path_prefix)
        route = next(found, None)
        if route is None or not route.accepts_jobs or route_key(route) in self.closed:
            return None
        return route

    def has_ended(self, host: str, path_prefix: str, known_since: int) -> bool:
        """Whether a route of batch jobs that configuration `known_since` had is surely gone."""
        if self.lacks_parts or (host.lower(), path_prefix) in self.closed:
            return False
        is_newer = 0 < known_since <= self.version
        return is_newer and self.job_route(host, path_prefix) is None

    def _longest_match(self, host: str, path: str) -> Route | None:
        routes = self._routes_of(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def allowed_regions(self, route: Route, tenant: str = "") -> AllowedRegions:
        """Return the regions in which a tenant's requests of a route may be served."""
        entry = self._tenants.get(tenant)
        return allowed_regions(route.allowed_regions, entry.allowed_regions if entry else ())

    def allowed_regions_of_host(self, host: str) -> AllowedRegions:
        """Return the regions for all routes of a host; those of any route if none suits all."""
        limits = [frozenset(one.allowed_regions) for one in self._routes_of(host)]
        limits = [regions for regions in limits if regions]
        if not limits:
            return None
        return frozenset.intersection(*limits) or frozenset.union(*limits)

    def has_engines(self, route: Route) -> bool:
        """Whether a route's requests go to model engines."""
        entries = (self.services.get(part.service) for part in route.effective_backends)
        return any(entry is not None and entry.engine is not None for entry in entries)

    def has_public_jobs(self, host: str) -> bool:
        """Whether a host has a route that accepts batch jobs without a key."""
        return any(route.accepts_jobs and route.public for route in self._routes_of(host))

    def _routes_of(self, host: str) -> list[Route]:
        name = host.lower()
        without_port = name.partition(":")[0]
        return self._by_host.get(name) or self._by_host.get(without_port) or []


class ConfigurationView:
    """Holds the newest configuration received from the store or a peer."""

    def __init__(self, entries: EntryValidator | None = None) -> None:
        """`entries` counts configurations and parts that cannot be decoded."""
        self._entries = entries if entries is not None else EntryValidator()
        self._last_rejected: object = NOTHING_REJECTED
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._is_newest_rejected = False
        self._spec: object = None
        self._listeners: list[Callable[[RouteTable], None]] = []
        self.known = threading.Event()
        """Set once a configuration is active."""

    def table(self) -> RouteTable | None:
        """Return the active routes; None while no configuration is known."""
        return self._table

    @property
    def lacks_newest(self) -> bool:
        """Whether parts of the newest configuration, or all of it, could not be decoded."""
        return self._is_newest_rejected or (self._table is not None and self._table.lacks_parts)

    def services(self) -> Mapping[str, ServiceEntry]:
        """Return the services of the configuration in force, by name; empty without one."""
        table = self.table()
        return table.services if table is not None else NO_SERVICES

    def spec(self) -> object:
        """Return the active configuration in the format of the store."""
        return self._spec

    def subscribe(self, listener: Callable[[RouteTable], None]) -> None:
        """Call `listener` with each new route table."""
        self._listeners.append(listener)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for record in listing.records:
            self._take_record(record)

    def apply_change(self, change: RecordChange) -> None:
        """Apply a change; the deletion of a configuration is ignored."""
        if not change.deleted:
            self._take_record(change.record)

    def _take_record(self, record: StoredRecord) -> None:
        if record.name == CONFIGURATION_NAME:
            self.apply(record.spec, "store")

    def apply(self, spec: object, source: str) -> None:
        """Activate a configuration if it is newer than the known one.

        One that cannot be decoded is ignored; for single parts see `configuration_parts`.
        """
        with self._lock:
            previous = self._table.configuration if self._table is not None else None
            try:
                result = read_configuration(spec, self._spec, previous)
            except InvalidEntryError as failure:
                self._is_newest_rejected = True
                self._record_rejected(spec, str(failure))
                return
            configuration = result.configuration
            if previous is not None and configuration.version <= previous.version:
                return
            table = RouteTable(configuration, result.closed, lacks_parts=result.lacks_parts)
            self._table = table
            self._is_newest_rejected = False
            self._spec = spec
        self.known.set()
        for part in result.unreadable:
            log_part(configuration.version, part)
            self._entries.count(RecordKind.CONFIGURATION)
        routes = len(configuration.routes)
        emit(CONFIGURATION_IN_FORCE, version=table.version, routes=routes, source=source)
        for listener in self._listeners:
            listener(table)

    def _record_rejected(self, spec: object, cause: str) -> None:
        """Log and count a configuration that cannot be decoded, once for repeated reads."""
        if spec == self._last_rejected:
            return
        self._last_rejected = spec
        self._entries.count(RecordKind.CONFIGURATION)
        emit(CONFIGURATION_REFUSED, error=cause)
