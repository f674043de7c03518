"""The router of paths: from method and path to the handler of one interface."""

import re
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bellweir.http_server.http import Request, Response

Handler = Callable[..., Response]
"""Called with the request and the named parts of its path."""

_NAMED_PART = re.compile(r"\{([a-z_]+)\}")


@dataclass(frozen=True)
class Route:
    """One path of an interface."""

    interface: str
    method: str | None
    """None takes any method."""
    pattern: re.Pattern[str]
    handler: Handler


class Match(msgspec.Struct, frozen=True):
    """A route found, with the named parts of the path."""

    route: Route
    parts: dict[str, str]


@dataclass(frozen=True)
class NoMatch:
    """No route; `allowed` methods are known when only the method is wrong."""

    allowed: tuple[str, ...]


class Router:
    """Finds the handler of a request; routes are kept by the first part of their path."""

    def __init__(self) -> None:
        self._routes: dict[str, list[Route]] = {}

    def add(self, interface: str, method: str | None, path: str, handler: Handler) -> None:
        """Add a route; `{name}` matches one part of the path, without slash."""
        self._add(interface, method, path, "", handler)

    def add_prefix(self, interface: str, path: str, handler: Handler) -> None:
        """Add a route for any method that matches `path` and everything below it."""
        self._add(interface, None, path, "(?:/.*)?", handler)

    def _add(
        self, interface: str, method: str | None, path: str, rest: str, handler: Handler
    ) -> None:
        pattern = re.compile(_NAMED_PART.sub(r"(?P<\1>[^/]+)", path) + rest, re.DOTALL)
        route = Route(interface, method, pattern, handler)
        self._routes.setdefault(_first_part(path), []).append(route)

    def find(self, request: Request) -> Match | NoMatch:
        """Find the route of a request."""
        path, method = request.path, request.method
        if method == "HEAD":
            method = "GET"
        allowed: list[str] = []
        for route in self._routes.get(_first_part(path), ()):
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            if route.method is None or route.method == method:
                return Match(route, match.groupdict())
            allowed.append(route.method)
        return NoMatch(tuple(allowed))


def _first_part(path: str) -> str:
    return path[1:].partition("/")[0]
