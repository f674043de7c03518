"""The WSGI application: admits each request, finds its handler, and accounts for its end."""

from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from waitress.channel import ClientDisconnected

from bellweir.clients.interface import IncompleteBodyError
from bellweir.events.log import emit
from bellweir.gateway import applications_api, openai_api, steps_api
from bellweir.gateway.admission import SHARE_OF_CLASS, ThreadShare
from bellweir.gateway.authorization import Authorization
from bellweir.gateway.context import Context
from bellweir.gateway.log_events import REQUEST_ENDED, REQUEST_FAILED
from bellweir.gateway.problems import (
    Problem,
    body_cut,
)
from bellweir.gateway.refusals import refuse
from bellweir.gateway.request_headers import REQUEST_CLASS, REQUEST_ID, parse_class
from bellweir.gateway.router import Match, NoMatch, Router
from bellweir.http_server.body_pipe import BodyCutError
from bellweir.http_server.http import (
    BadRequestError,
    BodyTooLongError,
    Caller,
    Environ,
    Request,
    Response,
    request_id_of,
)
from bellweir.http_server.task import ABORT_CONNECTION
from bellweir.resources.models import RequestClass
from bellweir.routing.interface import RunState

StartResponse = Callable[[str, list[tuple[str, str]]], object]

NO_INTERFACE = "none"
"""Label of requests that match no interface."""
_CALLERS_INTERFACES = frozenset({openai_api.INTERFACE, applications_api.INTERFACE})
_WORK_INTERFACES = _CALLERS_INTERFACES | {steps_api.INTERFACE}


class Outcome(Enum):
    """How a request ended, as a label of metrics."""

    COMPLETED = "completed"
    REFUSED = "refused"
    """4xx by the caller's fault or for load."""
    FAILED = "failed"
    """5xx."""
    CUT = "cut"
    """The answer ended short of its end."""
    CALLER_GONE = "caller_gone"


class GatewayApplication:
    """Called by waitress on a request thread."""

    def __init__(
        self,
        context: Context,
        router: Router,
        authorization: Authorization,
        refuses_work: Callable[[], Problem | None],
    ) -> None:
        self._context = context
        self._router = router
        self._authorization = authorization
        self._refuses_work = refuses_work

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        started_s = self._context.clock.monotonic_s()
        caller = Caller(environ["REMOTE_ADDR"])
        request = Request(environ, request_id_of(environ), caller)
        found = self._router.find(request)
        interface = found.route.interface if isinstance(found, Match) else NO_INTERFACE
        account = Account(self._context, request, interface, started_s)
        try:
            response = self._respond(request, found)
        except Exception as failure:
            response = _failure_response(request, interface, failure)
        response.headers.append((REQUEST_ID, request.request_id))
        if response.chunks is not None:
            chunks = ResponseChunks(response, response.chunks, request, account)
            try:
                start_response(response.status_line, response.headers)
            except BaseException:
                # Nobody else closes them: the server has not got them yet.
                chunks.close()
                raise
            return chunks
        response.headers.append(("Content-Length", str(len(response.body))))
        start_response(response.status_line, response.headers)
        account.end(_outcome_of(response.status), response.status)
        return [] if request.method == "HEAD" else [response.body]

    def _respond(self, request: Request, found: Match | NoMatch) -> Response:
        if isinstance(found, NoMatch):
            return _no_match(request, found)
        interface = found.route.interface
        problem = self._authorization.check(request, interface)
        if problem is None and interface in _WORK_INTERFACES:
            problem = self._refuses_work()
        if problem is not None:
            return refuse(request, problem)
        share = _share_of(request, interface)
        request.permit = self._context.shares.enter(share, request.caller.name)
        if request.permit is None:
            return refuse(request, self._context.share_full(share))
        return found.route.handler(request, **found.parts)


class Account:
    """Accounts for one request once it has ended."""

    def __init__(
        self, context: Context, request: Request, interface: str, started_s: float
    ) -> None:
        self._context = context
        self._request = request
        self._interface = interface
        self._started_s = started_s

    def elapsed_s(self) -> float:
        """Seconds since the request's arrival at a thread."""
        return self._context.clock.monotonic_s() - self._started_s

    def end(self, outcome: Outcome, status: int) -> None:
        """Give the thread's place back, count and log."""
        if self._request.permit is not None:
            self._request.permit.release()
        seconds = self.elapsed_s()
        self._context.telemetry.request_ended(self._interface, outcome.value, seconds)
        if self._context.logs_requests:
            self._log(status, seconds)

    def _log(self, status: int, seconds: float) -> None:
        emit(
            REQUEST_ENDED,
            request_id=self._request.request_id,
            interface=self._interface,
            method=self._request.method,
            path=self._request.path,
            status=status,
            seconds=round(seconds, 6),
        )

    def stream_started(self) -> None:
        """Count an open stream."""
        self._context.telemetry.stream_started()

    def stream_ended(self, first_chunk_s: float | None, chunks: int) -> None:
        """Count the end of a stream."""
        self._context.telemetry.stream_ended(first_chunk_s, chunks)


class ResponseChunks:
    """The chunks of a streamed answer; waitress closes it in every case."""

    def __init__(
        self, response: Response, chunks: Iterable[bytes], request: Request, account: Account
    ) -> None:
        self._status = response.status
        self._is_stream = response.is_stream
        self._chunks = chunks
        self._request = request
        self._account = account
        self._count = 0
        self._first_chunk_s: float | None = None
        self._outcome: Outcome | None = None
        self._closed = False
        if self._is_stream:
            account.stream_started()

    def __iter__(self) -> Iterator[bytes]:
        try:
            for chunk in self._chunks:
                if self._first_chunk_s is None:
                    self._first_chunk_s = self._account.elapsed_s()
                self._count += 1
                yield chunk
            self._outcome = _outcome_of(self._status)
        except Exception as failure:
            self._outcome = Outcome.CUT
            self._cut(failure)

    def close(self) -> None:
        """End the answer: release what its chunks hold and account for it."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            if self._is_stream:
                self._account.stream_ended(self._first_chunk_s, self._count)
            self._account.end(self._outcome or Outcome.CALLER_GONE, self._status)

    def _cut(self, failure: Exception) -> None:
        """End the connection so that the caller cannot take the answer for whole."""
        if not isinstance(failure, IncompleteBodyError):
            _log_failure(self._request, "stream", failure)
        if self._request.environ["SERVER_PROTOCOL"] == "HTTP/1.0":
            self._request.environ[ABORT_CONNECTION]()
        # waitress ends the connection on this without the chunk that would mark the end.
        raise ClientDisconnected from failure


def _share_of(request: Request, interface: str) -> ThreadShare:
    if interface not in _CALLERS_INTERFACES:
        return ThreadShare.SYSTEM
    request_class = parse_class(request.header(REQUEST_CLASS), RequestClass.INTERACTIVE)
    return SHARE_OF_CLASS[request_class]


def _no_match(request: Request, found: NoMatch) -> Response:
    if not found.allowed:
        return refuse(request, Problem(404, "not_found", "no interface has this path"))
    allowed = ", ".join(sorted(set(found.allowed)))
    response = refuse(request, Problem(405, "method_not_allowed", f"allowed are {allowed}"))
    response.headers.append(("Allow", allowed))
    return response


def _failure_response(request: Request, interface: str, failure: Exception) -> Response:
    if isinstance(failure, BodyTooLongError):
        return refuse(request, Problem(413, "body_too_long", str(failure)))
    if isinstance(failure, BodyCutError):
        return refuse(request, body_cut(failure, RunState.UNKNOWN))
    if isinstance(failure, IncompleteBodyError):
        detail = f"the back end's answer was cut: {failure}"
        return refuse(request, Problem(502, "backend_failed", detail, RunState.RAN))
    if isinstance(failure, BadRequestError):
        return refuse(request, Problem(400, "invalid", str(failure)))
    _log_failure(request, interface, failure)
    problem = Problem(500, "internal_error", "serving the request failed", RunState.UNKNOWN)
    return refuse(request, problem)


def _log_failure(request: Request, interface: str, failure: Exception) -> None:
    emit(
        REQUEST_FAILED,
        request_id=request.request_id,
        interface=interface,
        path=request.path,
        error=repr(failure),
    )


def _outcome_of(status: int) -> Outcome:
    if status >= 500:
        return Outcome.FAILED
    return Outcome.REFUSED if status >= 400 else Outcome.COMPLETED
