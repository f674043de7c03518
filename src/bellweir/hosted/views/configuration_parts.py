"""Decodes a configuration part by part, so that an invalid part does not affect the others."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from bellweir.events.log import emit
from bellweir.hosted.compatibility import normalize_configuration
from bellweir.hosted.entries import InvalidEntryError, plain_values, validation_message
from bellweir.hosted.log_events import CONFIGURATION_PART_UNREADABLE
from bellweir.hosted.records import ClientLimits, Configuration, Route, ServiceEntry, TenantEntry

RouteKey = tuple[str, str]
"""Lower-case host and path prefix, which identify a route."""

ROUTING_FIELDS = (
    "service",
    "backends",
    "kind",
    "public",
    "canResume",
    "singleVersion",
    "maxAttempts",
    "allowedRegions",
)
"""Fields of a route that decide where, how often and for whom its requests may run."""
MAX_LOGGED_CHARACTERS = 128
FORMER = "former"
CLOSED = "closed"
DEFAULTS = "defaults"
ABSENT = "absent"
"""Fallbacks for a part that cannot be decoded."""

Part = TypeVar("Part", Route, ServiceEntry, TenantEntry, ClientLimits)


@dataclass(frozen=True, slots=True)
class UnreadablePart:
    """A part of a configuration that cannot be decoded, and its fallback."""

    part: str
    name: str
    cause: str
    fallback: str


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """A decoded configuration with its closed routes and invalid parts."""

    configuration: Configuration
    closed: frozenset[RouteKey]
    unreadable: tuple[UnreadablePart, ...]

    @property
    def lacks_parts(self) -> bool:
        """Whether a part is left out, so that what it named is not known."""
        return any(part.fallback == ABSENT for part in self.unreadable)


def route_key(route: Route) -> RouteKey:
    """Return the host and prefix that identify a route."""
    return route.host.lower(), route.path_prefix


def read_configuration(
    spec: Any, previous_spec: Any = None, previous: Configuration | None = None
) -> ReadConfiguration:
    """Decode a configuration, with fallbacks for invalid parts.

    An invalid route keeps its previous definition if all of `ROUTING_FIELDS` are unchanged and is
    closed otherwise. An invalid service keeps its previous entry or gets the defaults. An invalid
    tenant keeps its previous keys, since only a valid part may revoke a key. Invalid limits keep
    their previous values.

    Raises `InvalidEntryError` if the configuration has no valid version, if a list of parts is not
    a list, if a part has no valid key or if all tenants are invalid.

    >>> routes = [{"host": "h", "pathPrefix": "/a/", "timeoutMs": "soon"}]
    >>> result = read_configuration({"version": 4, "routes": routes})
    >>> result.configuration.routes, sorted(result.closed)
    ((), [('h', '/a/')])
    """
    return _Reader(spec, previous_spec, previous).read()


def log_part(version: int, part: UnreadablePart) -> None:
    """Log a part that cannot be decoded."""
    emit(
        CONFIGURATION_PART_UNREADABLE,
        version=version,
        part=part.part,
        name=part.name[:MAX_LOGGED_CHARACTERS],
        cause=part.cause,
        instead=part.fallback,
    )


class _Reader:
    """Decodes one configuration."""

    def __init__(self, spec: Any, previous_spec: Any, previous: Configuration | None) -> None:
        self._raw = normalize_configuration(plain_values(spec))
        if not isinstance(self._raw, dict):
            raise InvalidEntryError("configuration is not an object")
        self._previous_routes = _raw_routes(previous_spec)
        self._previous = previous or Configuration(0)
        self._closed: set[RouteKey] = set()
        self._unreadable: list[UnreadablePart] = []

    def read(self) -> ReadConfiguration:
        """Decode part by part; see `read_configuration`."""
        version = _convert(self._raw.get("version"), int)
        routes = tuple(self._routes())
        configuration = Configuration(
            version=version,
            routes=routes,
            services=tuple(self._named("services", ServiceEntry, self._service_fallback)),
            limits=self._limits(),
            tenants=self._tenants(),
        )
        return ReadConfiguration(configuration, frozenset(self._closed), tuple(self._unreadable))

    def _routes(self) -> Iterable[Route]:
        for raw in self._list("routes"):
            try:
                yield _convert(raw, Route)
            except InvalidEntryError as failure:
                address = _key_of(raw)
                if address is None:
                    raise InvalidEntryError("route without host and pathPrefix") from failure
                route = self._previous_route(address, raw)
                if route is not None:
                    yield route
                else:
                    # Requests to a closed route are answered 503. Without the route, they would
                    # match a shorter prefix or be answered as unknown.
                    self._closed.add(address)
                fallback = CLOSED if route is None else FORMER
                self._record_unreadable("route", "".join(address), failure, fallback)

    def _previous_route(self, address: RouteKey, raw: dict[str, Any]) -> Route | None:
        """Return the previous route if the routing fields of the new one are unchanged."""
        before = self._previous_routes.get(address)
        if before is None or any(before.get(term) != raw.get(term) for term in ROUTING_FIELDS):
            return None
        result = (route for route in self._previous.routes if route_key(route) == address)
        return next(result, None)

    def _named(
        self, key: str, into: type[Part], fallback: Callable[[str], tuple[Part | None, str]]
    ) -> Iterable[Part]:
        """Decode parts that are identified by name."""
        for raw in self._list(key):
            try:
                yield _convert(raw, into)
            except InvalidEntryError as failure:
                name = raw.get("name") if isinstance(raw, dict) else None
                if not isinstance(name, str):
                    raise InvalidEntryError(f"entry of {key} without a name") from failure
                part, word = fallback(name)
                if part is not None:
                    yield part
                self._record_unreadable(key, name, failure, word)

    def _service_fallback(self, name: str) -> tuple[ServiceEntry, str]:
        before = next((each for each in self._previous.services if each.name == name), None)
        return (before, FORMER) if before is not None else (ServiceEntry(name), DEFAULTS)

    def _tenant_fallback(self, name: str) -> tuple[TenantEntry | None, str]:
        before = next((each for each in self._previous.tenants if each.name == name), None)
        return before, FORMER if before is not None else ABSENT

    def _tenants(self) -> tuple[TenantEntry, ...]:
        result = tuple(self._named("tenants", TenantEntry, self._tenant_fallback))
        if not result and self._list("tenants"):
            # A configuration without tenants requires no keys.
            raise InvalidEntryError("none of the tenants can be decoded")
        return result

    def _limits(self) -> ClientLimits:
        raw = self._raw.get("limits")
        if raw is None:
            return ClientLimits()
        try:
            limits: ClientLimits = _convert(raw, ClientLimits)
        except InvalidEntryError as failure:
            self._record_unreadable("limits", "", failure, FORMER)
            return self._previous.limits
        return limits

    def _list(self, key: str) -> list[Any]:
        result = self._raw.get(key, [])
        if not isinstance(result, list):
            raise InvalidEntryError(f"{key} is not a list")
        return result

    def _record_unreadable(
        self, part: str, name: str, failure: InvalidEntryError, fallback: str
    ) -> None:
        self._unreadable.append(UnreadablePart(part, name, str(failure), fallback))


def _raw_routes(spec: Any) -> dict[RouteKey, dict[str, Any]]:
    """Return the undecoded routes of the active configuration by key."""
    raw = normalize_configuration(spec) if spec is not None else {}
    routes = raw.get("routes", []) if isinstance(raw, dict) else []
    return {address: route for route in routes if (address := _key_of(route)) is not None}


def _key_of(raw: Any) -> RouteKey | None:
    if not isinstance(raw, dict):
        return None
    host, prefix = raw.get("host"), raw.get("pathPrefix")
    if not isinstance(host, str) or not isinstance(prefix, str):
        return None
    return host.lower(), prefix


def _convert(raw: Any, into: Any) -> Any:
    try:
        return msgspec.convert(raw, into)
    except msgspec.ValidationError as failure:
        raise InvalidEntryError(validation_message(failure)) from None
