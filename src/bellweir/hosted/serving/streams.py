"""Forwards requests whose answer is a series of events, and resumes those that break off.

Only whole events go on to the client. A route that may be resumed continues a broken stream at
another worker behind the last event that was passed on, inside the same answer, under the head
and signature of the first worker. Any other broken stream ends the client's connection short.
"""

import http.client
import time
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass

from bellweir.clients.open_answer import OpenAnswer
from bellweir.events.log import emit
from bellweir.hosted.event_stream import EventSplitter, EventTooLongError
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import (
    CLIENT_LEFT,
    REQUEST_ANSWERED,
    REQUEST_GIVEN_UP,
    STREAM_RESUMED,
)
from bellweir.hosted.serving.attempt import (
    AttemptState,
    BufferedResponse,
    Cancellation,
    OpenedAttempt,
    WorkerCall,
    WorkerConnections,
    read_response,
    response_headers,
)
from bellweir.hosted.serving.client_request import MS_PER_S, ClientRequest
from bellweir.hosted.serving.failed_attempt import FailedAttempt
from bellweir.hosted.serving.forwarding import (
    MAXIMUM_SENDS,
    Forwarder,
    fixed_retry_after_s,
    gateway_response,
)
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.http import Response

SERVER_ERROR = 500
BEGUN_STATES = frozenset({AttemptState.ANSWERED, AttemptState.UNKNOWN})
"""Outcomes of an attempt after which its worker may have begun the request."""
SILENCE_S = 1.5
"""Time without an event after which a stream that may be resumed is taken for broken."""


class StreamBrokenError(OSError):
    """The stream ended short and may not, or could not, be resumed."""


@dataclass
class _Stream:
    """One client's stream."""

    client: ClientRequest
    table: RouteTable
    groups: list[list[Worker]]
    cancellation: Cancellation
    tried: set[Incarnation]
    ran_at: set[Incarnation]
    sends: int = 0
    last_event_id: int | None = None
    cause: str = "no_worker"
    worker: Worker | None = None
    head_s: float = 0.0
    """Time that the newest answer's head took."""

    @property
    def may_resume(self) -> bool:
        """Whether another worker may run the request after one may have begun it."""
        return self.client.route.can_resume and self.client.may_be_sent_again


class StreamForwarder:
    """Serves the requests of streaming routes."""

    def __init__(
        self,
        forwarder: Forwarder,
        loads: WorkerLoads,
        connections: WorkerConnections,
        caller_watch: CallerWatch,
    ) -> None:
        self._forwarder = forwarder
        self._loads = loads
        self._connections = connections
        self._caller_watch = caller_watch

    def forward(self, client: ClientRequest, table: RouteTable) -> Response:
        """Serve one request; the answer's events are passed on as they come."""
        groups = self._forwarder.candidates(client, table)
        stream = _Stream(client, table, groups, Cancellation(), set(), set())
        watched = self._caller_watch.begin(client.request, stream.cancellation.cancel)
        try:
            found = self._open(stream)
        except BaseException:
            self._caller_watch.end(watched)
            raise
        if isinstance(found, OpenAnswer):
            headers = response_headers(found)
            chunks = self._events(stream, found, lambda: self._caller_watch.end(watched))
            return Response(found.status, headers, chunks=chunks, is_stream=True)
        self._caller_watch.end(watched)
        return self._end_without_stream(stream, found)

    def _open(self, stream: _Stream) -> OpenAnswer | BufferedResponse | None:
        """Open the stream at a worker; a worker's own failure; or None."""
        failure: BufferedResponse | None = None
        while (worker := self._next_worker(stream)) is not None:
            stream.tried.add(worker.incarnation)
            stream.sends += 1
            left_s = stream.client.left_s()
            began_s = time.monotonic()
            began = self._connections.open(
                worker, _call_of(stream), left_s, left_s * MS_PER_S, stream.cancellation
            )
            if not stream.ran_at and began.state in BEGUN_STATES:
                self._forwarder.note_begun(stream.client, began_s)
            if began.state is AttemptState.ANSWERED and began.opened is not None:
                stream.ran_at.add(worker.incarnation)
                if began.opened.status < SERVER_ERROR:
                    stream.worker = worker
                    stream.head_s = time.monotonic() - began_s
                    return began.opened
            elif began.state is AttemptState.UNKNOWN:
                stream.ran_at.add(worker.incarnation)
            failure = self._note_failure(stream, worker, began) or failure
        return failure

    def _note_failure(
        self, stream: _Stream, worker: Worker, began: OpenedAttempt
    ) -> BufferedResponse | None:
        state = began.state
        answer = None
        if began.opened is not None:
            answer = read_response(began.opened, began).answer
        failed = FailedAttempt(
            stream.client.request_id,
            stream.sends,
            worker,
            state,
            began.detail,
            round(1000 * (stream.client.route.timeout_ms / 1000 - stream.client.left_s())),
            is_cancelled=stream.cancellation.cancelled.is_set(),
        )
        stream.cause = failed.record(self._loads)
        return answer if state is AttemptState.ANSWERED else None

    def _next_worker(self, stream: _Stream) -> Worker | None:
        client = stream.client
        ended = stream.cancellation.cancelled.is_set() or client.left_s() <= 0
        if ended or stream.sends >= MAXIMUM_SENDS:
            return None
        if stream.ran_at and not stream.may_resume:
            return None
        if len(stream.ran_at) >= max(1, client.route.max_attempts):
            return None
        for workers in stream.groups:
            worker = self._loads.choose(workers, stream.tried, is_bounded=not stream.ran_at)
            if worker is not None:
                return worker
        return None

    def _events(
        self, stream: _Stream, opened: OpenAnswer, ended: Callable[[], None]
    ) -> Iterator[bytes]:
        try:
            current: OpenAnswer | BufferedResponse | None = opened
            while isinstance(current, OpenAnswer):
                whole = yield from self._pass_on(stream, current)
                if whole:
                    self._account(stream, opened.status)
                    return
                if stream.cancellation.cancelled.is_set() or not stream.may_resume:
                    break
                current = self._open(stream)
                self._log_resumption(stream, current)
            raise StreamBrokenError(stream.cause)
        finally:
            ended()

    def _pass_on(self, stream: _Stream, opened: OpenAnswer) -> Generator[bytes, None, bool]:
        """Yield whole events; returns whether the stream came to its end."""
        worker = stream.worker
        splitter = EventSplitter(self._connections.headers.weight_versions)
        opened.ends_with_connection = False
        whole = False
        try:
            if stream.may_resume:
                opened.set_timeout(SILENCE_S)
            for block in opened.read_blocks():
                for event in splitter.feed(block):
                    yield event.raw
                    if event.event_id is not None:
                        stream.last_event_id = event.event_id
                if stream.may_resume:
                    opened.set_timeout(min(SILENCE_S, max(0.0, stream.client.left_s())))
            whole = splitter.is_between_events
        except (OSError, http.client.HTTPException, EventTooLongError) as failure:
            stream.cause = f"stream_broken: {failure!r}"[:120]
        finally:
            self._end_attempt(stream, worker, opened, whole=whole)
        return whole

    def _end_attempt(
        self, stream: _Stream, worker: Worker | None, opened: OpenAnswer, *, whole: bool
    ) -> None:
        if whole:
            opened.finish()
        else:
            opened.drop()
        if worker is None:
            return
        if whole:
            self._loads.release(worker.incarnation, ObservedOutcome.SERVED, stream.head_s)
        elif stream.cancellation.cancelled.is_set():
            self._loads.release(worker.incarnation)
        else:
            self._loads.record_failure(worker.incarnation)

    def _log_resumption(self, stream: _Stream, current: object) -> None:
        if isinstance(current, OpenAnswer) and stream.worker is not None:
            emit(
                STREAM_RESUMED,
                request_id=stream.client.request_id,
                instance=stream.worker.instance,
                after_event=stream.last_event_id,
            )

    def _end_without_stream(self, stream: _Stream, found: BufferedResponse | None) -> Response:
        if isinstance(found, BufferedResponse):
            self._account(stream, found.status)
            return Response(found.status, list(found.headers), found.body)
        client = stream.client
        if stream.cancellation.cancelled.is_set():
            emit(CLIENT_LEFT, request_id=client.request_id)
        status = 502 if stream.ran_at else 503
        emit(
            REQUEST_GIVEN_UP,
            request_id=client.request_id,
            route=client.route.name or client.route.path_prefix,
            configuration=stream.table.version,
            status=status,
            cause=stream.cause,
            attempts=stream.sends,
            ms=0,
        )
        if status == 502:
            return gateway_response(502, stream.cause)
        # The time to a stream's head, all that is known, says nothing of when its place is free.
        return gateway_response(503, stream.cause, fixed_retry_after_s(stream.cause))

    def _account(self, stream: _Stream, status: int) -> None:
        emit(
            REQUEST_ANSWERED,
            request_id=stream.client.request_id,
            route=stream.client.route.name or stream.client.route.path_prefix,
            configuration=stream.table.version,
            status=status,
            instance=sorted(one.instance for one in stream.ran_at),
            attempts=stream.sends,
            ms=round(1000 * (stream.client.route.timeout_ms / 1000 - stream.client.left_s())),
        )


def _call_of(stream: _Stream) -> WorkerCall:
    call = stream.client.call()
    if stream.last_event_id is None:
        return call
    headers = [each for each in call.headers if each[0].lower() != "last-event-id"]
    headers.append(("Last-Event-Id", str(stream.last_event_id)))
    return WorkerCall(call.method, call.path, call.host, call.request_id, headers, call.body)
