"""WSGI application for client requests and for the batch job API."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from waitress.channel import ClientDisconnected

from bellweir.events.log import emit
from bellweir.hosted.batches.api import BatchApi
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.log_events import REQUEST_GIVEN_UP
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.client_request import (
    read_client_request,
    request_deadline_s,
    with_urgency,
)
from bellweir.hosted.serving.forwarding import MAX_LOGGED_AGE_S, Forwarder, gateway_response
from bellweir.hosted.serving.streams import StreamForwarder
from bellweir.hosted.tenants.admission import KeyCheck
from bellweir.hosted.tenants.interface import Admission, Verdict
from bellweir.hosted.views.configuration import ConfigurationView, RouteTable
from bellweir.hosted.views.current_configuration import CurrentConfiguration
from bellweir.http_server.body_pipe import BodyCutError
from bellweir.http_server.http import BadRequestError, Caller, Environ, Request, Response
from bellweir.http_server.task import ABORT_CONNECTION

StartResponse = Callable[[str, list[tuple[str, str]]], object]

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
UNDECIDED_RETRY_AFTER_S = 0.1
STOPPING_RETRY_AFTER_S = 0.0
"""Other gateways can serve the request at once."""


@dataclass(frozen=True, slots=True)
class _Match:
    """What a configuration says of a request."""

    table: RouteTable
    route: Route | None
    """None also for calls of the batch job API."""
    admission: Admission | None
    """None without a route."""
    is_closed: bool = False
    """Whether the route can't be decoded."""

    @property
    def is_refused(self) -> bool:
        """Whether the request has no route, or its key is not allowed."""
        if self.admission is None:
            return not self.is_closed
        return self.admission.verdict is not Verdict.ALLOWED


class RequestApplication:
    """Serves client requests and calls of the batch job API."""

    def __init__(
        self,
        names: HeaderNames,
        configuration: ConfigurationView,
        forwarder: Forwarder,
        streams: StreamForwarder,
        batches: BatchApi,
        key_check: KeyCheck,
        current: CurrentConfiguration,
        *,
        sends_urgency: bool = False,
        can_be_served: Callable[[float], bool] = lambda _deadline_s: True,
    ) -> None:
        """`sends_urgency`: pass the priority of each request to engines in a header.

        `can_be_served` returns whether a request with a deadline, in seconds of `elapsed_s`, can
        be served to its end by this process.
        """
        self._can_be_served = can_be_served
        self._current = current
        self._sends_urgency = sends_urgency
        self._names = names
        self._configuration = configuration
        self._forwarder = forwarder
        self._streams = streams
        self._batches = batches
        self._key_check = key_check

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        request_id = environ.get("HTTP_" + self._names.request_id.upper().replace("-", "_"), "")
        request = Request(environ, request_id, Caller(environ["REMOTE_ADDR"]))
        try:
            response = self._respond(request)
        except BadRequestError as failure:
            response = self._refuse(request, 400, str(failure))
        except BodyCutError as failure:
            response = self._refuse(request, failure.status, str(failure))
        except Exception as failure:
            response = self._refuse(request, 500, repr(failure))
        if request_id and not _has(response, self._names.request_id):
            response.headers.append((self._names.request_id, request_id))
        if response.chunks is not None:
            chunks = _AbortOnFailure(response.chunks, environ)
            try:
                start_response(response.status_line, response.headers)
            except BaseException:
                # Nobody else closes them: the server has not got them yet.
                chunks.close()
                raise
            return chunks
        if not _has(response, "Content-Length"):
            response.headers.append(("Content-Length", str(len(response.body))))
        start_response(response.status_line, response.headers)
        return [] if request.method == "HEAD" else [response.body]

    def _respond(self, request: Request) -> Response:
        table = self._configuration.table()
        if table is None:
            return gateway_response(503, "no_configuration", NO_CONFIGURATION_RETRY_AFTER_S)
        match = self._match(request, table)
        if match.is_refused:
            # The refusal is final, so the configuration must be current.
            proven = self._current.proven()
            if proven is None:
                return self._defer_undecided(request, match)
            if proven is not table:
                match = self._match(request, proven)
        if match.is_refused:
            return self._refuse_match(request, match)
        return self._serve(request, match)

    def _match(self, request: Request, table: RouteTable) -> "_Match":
        """Find the route of a request and judge its key, before any of its body is read."""
        host = request.header("Host") or ""
        if self._batches.is_job_request(request):
            admission = self._judge(request, table, is_public=table.has_public_jobs(host))
            return _Match(table, None, admission)
        route = table.find(host, request.raw_path)
        if route is None:
            is_closed = table.is_closed(host, request.raw_path)
            return _Match(table, None, None, is_closed=is_closed)
        return _Match(table, route, self._judge(request, table, is_public=route.public))

    def _judge(self, request: Request, table: RouteTable, *, is_public: bool) -> Admission:
        authorization = request.header(self._names.authorization)
        return self._key_check.judge(table, authorization, is_public=is_public)

    def _serve(self, request: Request, match: "_Match") -> Response:
        """Serve a request that is allowed."""
        table, route, admission = match.table, match.route, match.admission
        if match.is_closed or admission is None:
            return self._defer(request, "route_unreadable", NO_CONFIGURATION_RETRY_AFTER_S)
        if route is None:
            return self._batches.serve_job_request(request, admission.tenant_name)
        if not self._can_be_served(request_deadline_s(request, route, self._names)):
            return self._defer(request, "stopping", STOPPING_RETRY_AFTER_S)
        tenant = admission.tenant_name if table.keys.are_required else None
        if route.accepts_jobs:
            return self._batches.accept(request, route, tenant, version=table.version)
        priority = admission.tenant.priority if admission.tenant is not None else None
        client = read_client_request(request, route, self._names, tenant, priority)
        if not self._can_be_served(client.deadline_s):
            # Its body came so slowly that the process stops meanwhile.
            return self._defer(request, "stopping", STOPPING_RETRY_AFTER_S)
        if self._sends_urgency and table.has_engines(route):
            client.headers = with_urgency(client.headers, client.priority, self._names)
        if route.kind is RouteKind.STREAMING:
            return self._streams.forward(client, table)
        return self._forwarder.forward(client, table)

    def _refuse_match(self, request: Request, match: "_Match") -> Response:
        """Refuse a request for good: its route or its key is not there."""
        if match.admission is None:
            return self._refuse(request, 404, "no_route")
        if match.admission.verdict is Verdict.UNDECIDED:
            return self._defer_undecided(request, match)
        self._record_key_refusal(request, match, Verdict.REFUSED)
        return self._refuse(request, 401, "unknown_key")

    def _defer_undecided(self, request: Request, match: "_Match") -> Response:
        """Refuse a request for now that a current configuration may allow."""
        if match.admission is None:
            return self._defer(request, "route_undecided", UNDECIDED_RETRY_AFTER_S)
        self._record_key_refusal(request, match, Verdict.UNDECIDED)
        return gateway_response(503, "key_undecided", UNDECIDED_RETRY_AFTER_S)

    def _record_key_refusal(self, request: Request, match: "_Match", verdict: Verdict) -> None:
        authorization = request.header(self._names.authorization)
        self._key_check.record_refusal(match.table, verdict, authorization, request.request_id)

    def _defer(self, request: Request, cause: str, retry_after_s: float) -> Response:
        """Refuse a request for now."""
        self._log_refusal(request, 503, cause)
        return gateway_response(503, cause, retry_after_s)

    def _refuse(self, request: Request, status: int, cause: str) -> Response:
        self._log_refusal(request, status, cause)
        response = gateway_response(status, "refused" if status < 500 else "internal_error")
        if status == 401:
            response.headers.append(("WWW-Authenticate", "Bearer"))
        return response

    def _log_refusal(self, request: Request, status: int, cause: str) -> None:
        table = self._configuration.table()
        emit(
            REQUEST_GIVEN_UP,
            request_id=request.request_id,
            route=request.raw_path[:80],
            configuration=table.version if table else None,
            configuration_age_ms=round(1000 * min(self._current.age_s(), MAX_LOGGED_AGE_S)),
            status=status,
            cause=cause[:200],
            attempts=0,
            ms=0,
        )


class _AbortOnFailure:
    """Body chunks of a response; aborts the connection on failure so that the client notices."""

    def __init__(self, chunks: Iterable[bytes], environ: Environ) -> None:
        self._chunks = chunks
        self._environ = environ

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._chunks
        except Exception as failure:
            self._environ[ABORT_CONNECTION]()
            raise ClientDisconnected from failure

    def close(self) -> None:
        """Release the resources held by the chunks."""
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()


def _has(response: Response, name: str) -> bool:
    return any(each.lower() == name.lower() for each, _ in response.headers)
