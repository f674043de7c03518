"""Requests and responses as the gateway's interfaces see them, above WSGI."""

import http.client
import os
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING, Any, BinaryIO
from urllib.parse import parse_qs

import msgspec

from bellweir.http_server.body_pipe import BodyPipe

if TYPE_CHECKING:
    from bellweir.gateway.admission import Permit

MAXIMUM_JSON_BYTES = 64 << 20
"""Longest JSON body read into memory; application bodies are passed on without reading them."""
NAMES_CACHED = 1024
"""Header names whose spelling is kept, bounded since callers choose them."""
MAXIMUM_REQUEST_ID_CHARACTERS = 128

REQUEST_ID_BYTES = 16

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that end at each connection (RFC 9110 section 7.6.1)."""

Headers = tuple[tuple[str, str], ...]
Environ = dict[str, Any]


class BadRequestError(ValueError):
    """The request cannot be understood; its message is shown to the caller."""


class BodyTooLongError(BadRequestError):
    """The body is longer than this interface reads."""


class Caller(msgspec.Struct, frozen=True):
    """Who sent a request, as far as it is proved."""

    name: str
    """Name of the bearer token, or the peer's IP number."""


class Request:
    """One HTTP request."""

    def __init__(self, environ: Environ, request_id: str, caller: Caller) -> None:
        self.environ = environ
        self.request_id = request_id
        self.caller = caller
        self.method: str = environ["REQUEST_METHOD"]
        """Method in capitals."""
        self.path: str = environ["PATH_INFO"]
        """Path with percent-escapes resolved."""
        self.raw_query: str = environ["QUERY_STRING"]
        """Query as sent, without the question mark."""
        self.permit: Permit | None = None
        """The request thread it holds."""
        self.consumed_authorization = False
        """Whether `Authorization` held the token for this node, which is not passed on."""

    @property
    def raw_path(self) -> str:
        """Path as sent, without query."""
        target: str = self.environ["REQUEST_URI"]
        if target[:1] != "/":
            _, _, after_scheme = target.partition("://")
            target = "/" + after_scheme.partition("/")[2]
        return target.partition("#")[0].partition("?")[0]

    def header(self, name: str) -> str | None:
        """Value of a header, None when it is absent."""
        value: str | None = self.environ.get(environ_key(name))
        return value

    def headers(self, without: frozenset[str]) -> list[tuple[str, str]]:
        """Headers but `Content-Length` and those whose keys in the environment are given.

        The values of a repeated header have been joined by waitress.
        """
        found = [
            (header_name(key), value)
            for key, value in self.environ.items()
            if key[:5] == "HTTP_" and key not in without
        ]
        if "CONTENT_TYPE" in self.environ:
            found.append(("Content-Type", self.environ["CONTENT_TYPE"]))
        return found

    def query(self, name: str) -> str | None:
        """Last value of a query parameter."""
        values = parse_qs(self.raw_query, keep_blank_values=True).get(name)
        return values[-1] if values else None

    def query_number(self, name: str, default: float) -> float:
        """A query parameter as a number that is not negative; raises `BadRequestError`."""
        text = self.query(name)
        if text is None:
            return default
        return parse_number(f"query parameter {name}", text)

    @property
    def body(self) -> BinaryIO:
        """The body as a file; a `BodyPipe` while it is still being received."""
        body: BinaryIO = self.environ["wsgi.input"]
        return body

    @property
    def body_length(self) -> int | None:
        """Length of the body in bytes; None for one that streams without a declared length."""
        text = self.environ.get("CONTENT_LENGTH")
        if text:
            return int(text)
        return None if isinstance(self.body, BodyPipe) else 0

    def read_body(self, maximum_bytes: int = MAXIMUM_JSON_BYTES) -> bytes:
        """Read the body into memory; raises `BodyTooLongError`."""
        length = self.body_length
        if length is None or length > maximum_bytes:
            raise BodyTooLongError(f"body of {length} bytes, allowed {maximum_bytes}")
        return self.body.read()

    def caller_has_left(self) -> bool:
        """Whether the caller's connection has closed."""
        has_left: Callable[[], bool] = self.environ["waitress.client_disconnected"]
        return has_left()


@dataclass
class Response:
    """An answer: with `Content-Length` from `body`, or streamed from `chunks`."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    chunks: Iterable[bytes] | None = None
    """Streams the body; its `close`, where there is one, is always called."""
    is_stream: bool = False
    """Whether the chunks come over time, as they are made; counted as a stream."""

    @property
    def status_line(self) -> str:
        """Status with its reason phrase."""
        return f"{self.status} {http.client.responses.get(self.status, 'Unknown')}"


@lru_cache(NAMES_CACHED)
def environ_key(name: str) -> str:
    """The key of a header in the WSGI environment."""
    key = name.upper().replace("-", "_")
    return key if key in ("CONTENT_TYPE", "CONTENT_LENGTH") else "HTTP_" + key


@lru_cache(NAMES_CACHED)
def header_name(key: str) -> str:
    """The name of a header from its key in the WSGI environment."""
    return key.removeprefix("HTTP_").replace("_", "-").title()


def json_response(
    status: int, content: object, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """An answer with a JSON body."""
    return Response(
        status, [("Content-Type", "application/json"), *headers], msgspec.json.encode(content)
    )


def json_lines(items: Iterable[object]) -> Iterator[bytes]:
    """Encode each item as one line of JSON."""
    for item in items:
        yield msgspec.json.encode(item) + b"\n"


def request_id_of(environ: Environ) -> str:
    """The caller's `X-Request-Id` when it is short and printable, otherwise a new one."""
    given: str = environ.get("HTTP_X_REQUEST_ID", "")
    if given and given.isprintable() and len(given) <= MAXIMUM_REQUEST_ID_CHARACTERS:
        return given
    return new_request_id()


def new_request_id() -> str:
    """An id for a request that brought none."""
    return os.urandom(REQUEST_ID_BYTES).hex()


def parse_number(what: str, text: str) -> float:
    """Parse a finite number that is not negative; raises `BadRequestError`."""
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise BadRequestError(f"{what}: found {text[:40]!r}, allowed a number from 0")
    return number


def parse_integer(what: str, text: str) -> int:
    """Parse a whole number that is not negative; raises `BadRequestError`."""
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise BadRequestError(f"{what}: found {text[:40]!r}, allowed a whole number from 0")
    return int(text)
