"""The router of paths: from method and path to the handler of one interface."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from bellweir.gateway.http import Request, Response

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


@dataclass(frozen=True)
class Match:
    """A route found, with the named parts of the path."""

    route: Route
    parts: dict[str, str]


@dataclass(frozen=True)
class NoMatch:
    """No route; `allowed` methods are known when only the method is wrong."""

    allowed: tuple[str, ...]


class Router:
    """Finds the handler of a request."""

    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(self, interface: str, method: str | None, path: str, handler: Handler) -> None:
        """Add a route; `{name}` matches one part of the path, without slash."""
        pattern = re.compile(_NAMED_PART.sub(r"(?P<\1>[^/]+)", path))
        self._routes.append(Route(interface, method, pattern, handler))

    def add_prefix(self, interface: str, path: str, handler: Handler) -> None:
        """Add a route for any method that matches `path` and everything below it."""
        pattern = re.compile(_NAMED_PART.sub(r"(?P<\1>[^/]+)", path) + "(?:/.*)?", re.DOTALL)
        self._routes.append(Route(interface, None, pattern, handler))

    def find(self, request: Request) -> Match | NoMatch:
        """Find the route of a request."""
        allowed: list[str] = []
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            if route.method is None or route.method == request.method:
                return Match(route, match.groupdict())
            allowed.append(route.method)
        return NoMatch(tuple(allowed))
