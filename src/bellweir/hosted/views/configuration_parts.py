"""Reads a configuration part by part, so that one part that can't be read spoils no other.

What stands in place of such a part must be right whatever the part was meant to say:

- *A route* whose host and prefix can be read keeps the terms of the former one only if everything
  that says where and how often its requests may run reads as it did before. Otherwise it is closed:
  its requests are answered 503. If it vanished, a shorter prefix would send them to a service that
  was never theirs, or they would be told that there is no such route; the former terms may be the
  ones that were to end.
- *A service* keeps the former entry, or gets the defaults: it only tells how its workers are
  called.
- *A tenant* keeps its former keys; a key is taken away only by words that can be read.
- *Limits* keep their former values.

Without a version, with a list of parts that is none, or with a part that tells not even what it is
about, nothing of the configuration can be used. The same holds if no tenant of some can be read: a
configuration without tenants asks for no keys.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from bellweir.events.log import emit
from bellweir.hosted.compatibility import normalize_configuration
from bellweir.hosted.entries import InvalidEntryError, plain_values, validation_message
from bellweir.hosted.log_events import CONFIGURATION_PART_UNREADABLE
from bellweir.hosted.records import ClientLimits, Configuration, Route, ServiceEntry, TenantEntry

Address = tuple[str, str]
"""Lower-case host and path prefix: what a route is about."""

TERMS = (
    "service",
    "backends",
    "kind",
    "public",
    "canResume",
    "singleVersion",
    "maxAttempts",
)
"""Fields of a route that say where, how often and for whom its requests may run."""
LOGGED_CHARACTERS = 128
FORMER = "former"
CLOSED = "closed"
DEFAULTS = "defaults"
ABSENT = "absent"
"""What may stand in place of a part that can't be read."""

Part = TypeVar("Part", Route, ServiceEntry, TenantEntry, ClientLimits)


@dataclass(frozen=True, slots=True)
class UnreadablePart:
    """A part of a configuration that can't be read."""

    part: str
    name: str
    cause: str
    instead: str


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """A configuration as far as it can be read."""

    configuration: Configuration
    closed: frozenset[Address]
    unreadable: tuple[UnreadablePart, ...]


def route_address(route: Route) -> Address:
    """Return what a route is about."""
    return route.host.lower(), route.path_prefix


def read_configuration(
    spec: Any, former_spec: Any = None, former: Configuration | None = None
) -> ReadConfiguration:
    """Read a configuration beside the one in force. Raises `InvalidEntryError`.

    >>> routes = [{"host": "h", "pathPrefix": "/a/", "timeoutMs": "soon"}]
    >>> found = read_configuration({"version": 4, "routes": routes})
    >>> found.configuration.routes, sorted(found.closed)
    ((), [('h', '/a/')])
    """
    return _Reader(spec, former_spec, former).read()


def log_part(version: int, part: UnreadablePart) -> None:
    """Log a part of a configuration's version that can't be read."""
    emit(
        CONFIGURATION_PART_UNREADABLE,
        version=version,
        part=part.part,
        name=part.name[:LOGGED_CHARACTERS],
        cause=part.cause,
        instead=part.instead,
    )


class _Reader:
    """Reads one configuration."""

    def __init__(self, spec: Any, former_spec: Any, former: Configuration | None) -> None:
        self._plain = normalize_configuration(plain_values(spec))
        if not isinstance(self._plain, dict):
            raise InvalidEntryError("not an object")
        self._former_routes = _plain_routes(former_spec)
        self._former = former or Configuration(0)
        self._closed: set[Address] = set()
        self._unreadable: list[UnreadablePart] = []

    def read(self) -> ReadConfiguration:
        """Read part by part; see `read_configuration`."""
        version = _convert(self._plain.get("version"), int)
        routes = tuple(self._routes())
        configuration = Configuration(
            version=version,
            routes=routes,
            services=tuple(self._named("services", ServiceEntry, self._service_instead)),
            limits=self._limits(),
            tenants=self._tenants(),
        )
        return ReadConfiguration(configuration, frozenset(self._closed), tuple(self._unreadable))

    def _routes(self) -> Iterable[Route]:
        for plain in self._list("routes"):
            try:
                yield _convert(plain, Route)
            except InvalidEntryError as failure:
                address = _address_of(plain)
                if address is None:
                    raise InvalidEntryError("a route without a host and a prefix") from failure
                route = self._former_route(address, plain)
                if route is not None:
                    yield route
                else:
                    self._closed.add(address)
                instead = CLOSED if route is None else FORMER
                self._note("route", "".join(address), failure, instead)

    def _former_route(self, address: Address, plain: dict[str, Any]) -> Route | None:
        """The former route there, if the terms of the new one can be read and are the same."""
        before = self._former_routes.get(address)
        if before is None or any(before.get(term) != plain.get(term) for term in TERMS):
            return None
        found = (route for route in self._former.routes if route_address(route) == address)
        return next(found, None)

    def _named(
        self, key: str, into: type[Part], instead: Callable[[str], tuple[Part | None, str]]
    ) -> Iterable[Part]:
        """Parts that are known by their names."""
        for plain in self._list(key):
            try:
                yield _convert(plain, into)
            except InvalidEntryError as failure:
                name = plain.get("name") if isinstance(plain, dict) else None
                if not isinstance(name, str):
                    raise InvalidEntryError(f"one of the {key} without a name") from failure
                part, word = instead(name)
                if part is not None:
                    yield part
                self._note(key, name, failure, word)

    def _service_instead(self, name: str) -> tuple[ServiceEntry, str]:
        before = next((each for each in self._former.services if each.name == name), None)
        return (before, FORMER) if before is not None else (ServiceEntry(name), DEFAULTS)

    def _tenant_instead(self, name: str) -> tuple[TenantEntry | None, str]:
        before = next((each for each in self._former.tenants if each.name == name), None)
        return before, FORMER if before is not None else ABSENT

    def _tenants(self) -> tuple[TenantEntry, ...]:
        found = tuple(self._named("tenants", TenantEntry, self._tenant_instead))
        if not found and self._list("tenants"):
            raise InvalidEntryError("no tenant can be read")
        return found

    def _limits(self) -> ClientLimits:
        plain = self._plain.get("limits")
        if plain is None:
            return ClientLimits()
        try:
            limits: ClientLimits = _convert(plain, ClientLimits)
        except InvalidEntryError as failure:
            self._note("limits", "", failure, FORMER)
            return self._former.limits
        return limits

    def _list(self, key: str) -> list[Any]:
        found = self._plain.get(key, [])
        if not isinstance(found, list):
            raise InvalidEntryError(f"{key} that are no list")
        return found

    def _note(self, part: str, name: str, failure: InvalidEntryError, instead: str) -> None:
        self._unreadable.append(UnreadablePart(part, name, str(failure), instead))


def _plain_routes(spec: Any) -> dict[Address, dict[str, Any]]:
    """Routes of the configuration in force as they were written, by what they are about."""
    plain = normalize_configuration(spec) if spec is not None else {}
    routes = plain.get("routes", []) if isinstance(plain, dict) else []
    return {address: route for route in routes if (address := _address_of(route)) is not None}


def _address_of(plain: Any) -> Address | None:
    if not isinstance(plain, dict):
        return None
    host, prefix = plain.get("host"), plain.get("pathPrefix")
    if not isinstance(host, str) or not isinstance(prefix, str):
        return None
    return host.lower(), prefix


def _convert(plain: Any, into: Any) -> Any:
    try:
        return msgspec.convert(plain, into)
    except msgspec.ValidationError as failure:
        raise InvalidEntryError(validation_message(failure)) from None
