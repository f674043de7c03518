"""Pass-through to application pools: `/apps/{pool}/{path}`, any method, bodies streamed."""

from collections.abc import Iterator
from urllib.parse import unquote

from returns.result import Failure, Success

from bellweir.clients.interface import ApplicationAnswer, IncompleteBodyError
from bellweir.gateway.context import Context
from bellweir.gateway.problems import Problem, body_cut, problem_of_refusal, problem_response
from bellweir.gateway.request_headers import (
    HOP_BY_HOP_HEADERS,
    TOKEN,
    end_to_end,
    named_by_connection,
    parse_routing_options,
)
from bellweir.gateway.router import Router
from bellweir.http_server.body_pipe import BodyPipe
from bellweir.http_server.http import BadRequestError, Headers, Request, Response, environ_key
from bellweir.resources.models import RequestClass
from bellweir.routing.interface import ApplicationRequest, Dispatcher, Refusal

INTERFACE = "applications"
PREFIX = "/apps/"
SHORT_ANSWER_BYTES = 64 * 1024
"""Answers of a declared length up to this are read first: a cut one then has a status."""
VIA = "1.1 bellweir"
"""RFC 9110 section 7.6.3 has an intermediary name itself."""

_NOT_FORWARDED = frozenset(
    environ_key(name) for name in (*HOP_BY_HOP_HEADERS, "Host", "Expect", TOKEN)
)
"""The client of the back end writes its own host and framing; the token was for this node."""


class ApplicationsApi:
    """Forwards requests to application pools through the dispatcher."""

    def __init__(self, context: Context, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher

    def add_routes(self, router: Router) -> None:
        """Add the paths of this interface."""
        router.add_prefix(INTERFACE, "/apps/{pool}", self.forward)

    def forward(self, request: Request, pool: str) -> Response:
        """Forward one request and stream the answer back."""
        options = parse_routing_options(request, self._context.clock, RequestClass.INTERACTIVE)
        forwarded = ApplicationRequest(
            request_id=request.request_id,
            pool=pool,
            method=request.method,
            path=_path_below_pool(request, pool),
            headers=_request_headers(request),
            body=request.body,
            body_length=request.body_length,
            request_class=options.request_class,
            deadline_monotonic_s=options.deadline_monotonic_s,
            caller=request.caller.name,
            idempotency_key=options.idempotency_key,
        )
        match self._dispatcher.forward(forwarded):
            case Success(answer):
                return _response(request, answer)
            case Failure(refusal):
                return problem_response(_problem(request, refusal), request.request_id)
        raise AssertionError("a result is a success or a failure")


def _problem(request: Request, refusal: Refusal) -> Problem:
    body = request.body
    if isinstance(body, BodyPipe) and body.was_cut is not None:
        # The attempt failed for want of the rest of the body, not by its back end.
        return body_cut(body.was_cut, refusal.run_state)
    return problem_of_refusal(refusal)


def _path_below_pool(request: Request, pool: str) -> str:
    """The rest of the path as sent, with its query; percent-escapes stay as they are."""
    raw_path = request.raw_path
    raw_pool, _, rest = raw_path[len(PREFIX) :].partition("/")
    if not raw_path.startswith(PREFIX) or unquote(raw_pool, "latin-1") != pool:
        raise BadRequestError("path: the pool's name must not be written with escaped slashes")
    query = request.raw_query
    return "/" + rest + ("?" + query if query else "")


def _request_headers(request: Request) -> Headers:
    kept = request.headers(without=_NOT_FORWARDED)
    kept.append(("Via", VIA))
    connection = request.header("Connection")
    if connection is None and not request.consumed_authorization:
        return tuple(kept)
    dropped = named_by_connection(connection or "")
    if request.consumed_authorization:
        dropped |= {"authorization"}
    return tuple((name, value) for name, value in kept if name.lower() not in dropped)


def _response(request: Request, answer: ApplicationAnswer) -> Response:
    headers = end_to_end(answer.headers)
    chunks = BodyChunks(answer.body)
    length = _short_length(request, answer)
    if length is None:
        return Response(answer.status, headers, chunks=chunks)
    try:
        body = b"".join(chunks)
    finally:
        chunks.close()
    if len(body) != length:
        raise IncompleteBodyError(f"{len(body)} of {length} bytes")
    headers = [each for each in headers if each[0].lower() != "content-length"]
    return Response(answer.status, headers, body)


def _short_length(request: Request, answer: ApplicationAnswer) -> int | None:
    """Length of a body that is read before the answer begins; None where it must stream."""
    if request.method == "HEAD" or answer.status < 200 or answer.status in (204, 304):
        return None
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            length = int(value)
            return length if length <= SHORT_ANSWER_BYTES else None
    return None


class BodyChunks:
    """The answer's body; closing it releases the back end's connection."""

    def __init__(self, body: Iterator[bytes]) -> None:
        self._body = body

    def __iter__(self) -> Iterator[bytes]:
        return self._body

    def close(self) -> None:
        """Close the body where it can be closed."""
        close = getattr(self._body, "close", None)
        if close is not None:
            close()
