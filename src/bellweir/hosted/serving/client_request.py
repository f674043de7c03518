"""Client requests: deadline, body and headers as forwarded to workers."""

import io
from dataclasses import dataclass, field
from typing import BinaryIO

from bellweir.hosted.crashes.fingerprint import Fingerprint, fingerprint
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.records import Route
from bellweir.hosted.serving.attempt import Headers, WorkerCall, without_hop_by_hop
from bellweir.http_server.body_pipe import BodyPipe
from bellweir.http_server.http import BadRequestError, Request
from bellweir.kernel.clock import elapsed_s

MAX_REPLAY_BYTES = 256 * 1024
"""Largest body that is buffered so that the request can be sent again."""
MS_PER_S = 1000
LOWEST_URGENCY = 9
SET_BY_GATEWAY = frozenset({"host", "expect"})


class BodySpentError(RuntimeError):
    """A body that can be read once was to be sent again."""


class PrefixedBody(io.RawIOBase):
    """A request body too long to be kept, of which a prefix has been read; it can be read once."""

    def __init__(self, beginning: bytes, rest: BodyPipe) -> None:
        self.beginning = beginning
        """The prefix, also once it has been read again."""
        self.is_read = False
        """Whether reading has begun, so that the body can't be sent from its first byte."""
        self._beginning = beginning
        self._rest = rest

    def readable(self) -> bool:
        """Return True."""
        return True

    def read(self, size: int = -1) -> bytes:
        """Read a block. Raises `BodyCutError` if the client does not send the rest."""
        self.is_read = True
        if self._beginning:
            size = len(self._beginning) if size < 0 else size
            block, self._beginning = self._beginning[:size], self._beginning[size:]
            return block
        return self._rest.read(size)


@dataclass
class ClientRequest:
    """A client request with its route; times are on the monotonic clock."""

    request: Request
    route: Route
    request_id: str
    arrived_s: float
    deadline_s: float
    """Deadline for the response: the earlier of the client's deadline and the route's timeout."""
    body: bytes | BinaryIO | None
    headers: Headers
    tenant: str = ""
    """Name of the tenant that the API key belongs to; empty without one."""
    priority: int = 5
    """Priority of the tenant or else of the route; 0 is the highest."""
    _fingerprint: Fingerprint | None = field(default=None, init=False)

    @property
    def target_s(self) -> float:
        """Latency target of the route in seconds."""
        return self.route.target_ms / MS_PER_S

    @property
    def left_share(self) -> float:
        """Fraction of the route's timeout that is left, 0 to 1."""
        return min(1.0, max(0.0, self.left_s() * MS_PER_S / max(1.0, self.route.timeout_ms)))

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body is kept, so that it can be sent any number of times."""
        return self.body is None or isinstance(self.body, bytes)

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from its first byte, now."""
        if isinstance(self.body, PrefixedBody):
            return not self.body.is_read
        return self.is_buffered

    def left_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - elapsed_s()

    @property
    def is_owed(self) -> bool:
        """Return False: its client waits for the answer."""
        return False

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest by which the same request of the same caller is recognized."""
        if self._fingerprint is None:
            body = self.body.beginning if isinstance(self.body, PrefixedBody) else self.body
            kept = body if isinstance(body, bytes) else b""
            method = self.request.method
            self._fingerprint = fingerprint(method, self.host, self.path, self.tenant, kept)
        return self._fingerprint

    @property
    def host(self) -> str:
        """Host that the client named, else that of the route."""
        return self.request.header("Host") or self.route.host

    @property
    def path(self) -> str:
        """Path with query, as the client sent it."""
        query = self.request.raw_query
        return f"{self.request.raw_path}?{query}" if query else self.request.raw_path

    def call(self, *, gives_up_silent: bool = False) -> WorkerCall:
        """Return the request to send to a worker. Raises `BodySpentError` if its body is spent."""
        if isinstance(self.body, PrefixedBody) and self.body.is_read:
            raise BodySpentError(f"the body of request {self.request_id!r} has been read")
        return WorkerCall(
            self.request.method,
            self.path,
            self.host,
            self.request_id,
            self.headers,
            self.body,
            gives_up_silent,
        )


def read_client_request(
    request: Request,
    route: Route,
    names: HeaderNames,
    tenant: str | None = None,
    priority: int | None = None,
) -> ClientRequest:
    """Read a request's deadline, headers and body. Raises `BadRequestError`, `BodyCutError`.

    `tenant` is None if the deployment has no tenants, and empty for a request without a key.
    With tenants, neither the client's key nor a tenant header set by the client is forwarded.
    `priority` is the tenant's; None means that of the route.
    """
    arrived_s = elapsed_s()
    request_id = request.header(names.request_id)
    if not request_id:
        raise BadRequestError(f"{names.request_id} is missing")
    deadline_s = request_deadline_s(request, route, names)
    body, length = _read_body(request)
    headers = _forwarded_headers(request)
    if tenant is not None:
        headers = with_tenant(headers, tenant, names)
    if length is not None and not isinstance(body, bytes):
        headers.append(("Content-Length", str(length)))
    return ClientRequest(
        request=request,
        route=route,
        request_id=request_id,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        body=body,
        headers=headers,
        tenant=tenant or "",
        priority=route.priority if priority is None else priority,
    )


def request_deadline_s(request: Request, route: Route, names: HeaderNames) -> float:
    """Return the deadline of a request that has just arrived. Raises `BadRequestError`.

    It is the earlier of the client's deadline and the route's timeout, in seconds of `elapsed_s`.
    """
    text = request.header(names.deadline_ms)
    left_ms = _parse_ms(text, names.deadline_ms) if text else float("inf")
    return elapsed_s() + min(left_ms, route.timeout_ms) / MS_PER_S


def with_tenant(headers: Headers, tenant: str, names: HeaderNames) -> Headers:
    """Replace the API key in the headers by the tenant's name."""
    dropped = names.client_only
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    return [*kept, (names.tenant, tenant)] if tenant else kept


def with_urgency(headers: Headers, priority: int, names: HeaderNames) -> Headers:
    """Set the urgency header from the priority, overriding any value set by the client.

    Engines accept urgencies 0 to 9, so lower priorities are mapped to 9.
    """
    name = names.urgency
    kept = [each for each in headers if each[0].lower() != name.lower()]
    return [*kept, (name, str(min(LOWEST_URGENCY, max(0, priority))))]


def _parse_ms(text: str, name: str) -> float:
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise BadRequestError(f"{name}: expected a number >= 0, got {text[:40]!r}")
    return number


def _read_body(request: Request) -> tuple[bytes | BinaryIO | None, int | None]:
    """Return the body, buffered if it is short, and its declared length."""
    source = request.body
    if not isinstance(source, BodyPipe):
        data = source.read()
        declares_body = bool(request.environ.get("CONTENT_LENGTH"))
        return (data if data or declares_body else None), len(data)
    pieces: list[bytes] = []
    size = 0
    while size <= MAX_REPLAY_BYTES:
        piece = source.read(MAX_REPLAY_BYTES)
        if not piece:
            return b"".join(pieces), size
        pieces.append(piece)
        size += len(piece)
    return PrefixedBody(b"".join(pieces), source), request.body_length  # type: ignore[return-value]


def _forwarded_headers(request: Request) -> Headers:
    found = request.headers(frozenset())
    named = request.header("Connection")
    if named:
        found.append(("Connection", named))
    kept = without_hop_by_hop(found)
    return [(name, value) for name, value in kept if name.lower() not in SET_BY_GATEWAY]
