"""The request headers that choose how a request is routed, parsed once for all interfaces."""

import msgspec

from bellweir.http_server.http import HOP_BY_HOP_HEADERS as HOP_BY_HOP_HEADERS
from bellweir.http_server.http import BadRequestError, Headers, Request, parse_number
from bellweir.kernel.clock import Clock
from bellweir.resources.models import RequestClass

IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "X-Bellweir-Deadline-Ms"
REQUEST_CLASS = "X-Bellweir-Class"
UNIT = "X-Bellweir-Unit"
REQUEST_ID = "X-Request-Id"
WEIGHT_VERSIONS = "X-Bellweir-Weight-Versions"
TOKEN = "X-Bellweir-Token"

MAXIMUM_KEY_CHARACTERS = 256


class RoutingOptions(msgspec.Struct, frozen=True):
    """What a caller asks of routing, besides the request itself."""

    request_class: RequestClass
    deadline_monotonic_s: float | None
    idempotency_key: str | None
    unit: str | None


def parse_routing_options(
    request: Request, clock: Clock, default_class: RequestClass
) -> RoutingOptions:
    """Read the routing headers; raises `BadRequestError`."""
    return RoutingOptions(
        parse_class(request.header(REQUEST_CLASS), default_class),
        _parse_deadline(request.header(DEADLINE_MS), clock),
        _parse_key(request.header(IDEMPOTENCY_KEY)),
        request.header(UNIT),
    )


def parse_class(text: str | None, default_class: RequestClass) -> RequestClass:
    """Parse the class header; raises `BadRequestError`."""
    if text is None:
        return default_class
    try:
        return RequestClass(text.strip().lower())
    except ValueError:
        allowed = ", ".join(each.value for each in RequestClass)
        raise BadRequestError(
            f"header {REQUEST_CLASS}: found {text[:40]!r}, allowed {allowed}"
        ) from None


def _parse_deadline(text: str | None, clock: Clock) -> float | None:
    if text is None:
        return None
    milliseconds = parse_number(f"header {DEADLINE_MS}", text)
    return clock.monotonic_s() + milliseconds / 1_000


def _parse_key(text: str | None) -> str | None:
    if text is None:
        return None
    if not text or len(text) > MAXIMUM_KEY_CHARACTERS or not text.isprintable():
        raise BadRequestError(
            f"header {IDEMPOTENCY_KEY}: allowed 1 to {MAXIMUM_KEY_CHARACTERS} printable characters"
        )
    return text


def end_to_end(headers: Headers) -> list[tuple[str, str]]:
    """Drop the headers that end at this connection, those named by `Connection` included."""
    kept = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_HEADERS]
    if len(kept) == len(headers):
        return kept
    connection = [value for name, value in headers if name.lower() == "connection"]
    named = named_by_connection(",".join(connection))
    return [(name, value) for name, value in kept if name.lower() not in named]


def named_by_connection(connection: str) -> frozenset[str]:
    """The headers, in lower case, that a `Connection` header names."""
    return frozenset(each.strip().lower() for each in connection.split(","))
