"""Forwards event streams and resumes interrupted ones.

Only complete events are forwarded to the client. On resumable routes an interrupted stream
continues at another worker after the last forwarded event, within the same response and with the
headers and signature of the first worker. Otherwise the client's connection is aborted.
"""

import http.client
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field, replace

from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import is_end_by_peer
from bellweir.events.log import emit
from bellweir.hosted.crashes.interface import RunEnd
from bellweir.hosted.event_stream import EventSplitter, EventTooLongError
from bellweir.hosted.log_events import (
    CLIENT_LEFT,
    REQUEST_ANSWERED,
    REQUEST_GIVEN_UP,
    STREAM_RESUMED,
)
from bellweir.hosted.serving.attempt import (
    STREAM_STATUS,
    AttemptOutcome,
    AttemptState,
    BufferedResponse,
    Cancellation,
    OpenedAttempt,
    WorkerCall,
    WorkerConnections,
    read_response,
    response_headers,
)
from bellweir.hosted.serving.candidates import Candidates
from bellweir.hosted.serving.client_request import MS_PER_S, ClientRequest
from bellweir.hosted.serving.failed_attempt import SERVER_ERROR, FailedAttempt, run_end
from bellweir.hosted.serving.forwarding import (
    Forwarder,
    default_retry_after_s,
    gateway_response,
)
from bellweir.hosted.serving.next_attempt import QUARANTINED, Attempts
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker
from bellweir.http_server.caller_watch import CallerWatch, Watched
from bellweir.http_server.http import Response
from bellweir.kernel.clock import elapsed_s

POSSIBLY_RUN_STATES = frozenset({AttemptState.ANSWERED, AttemptState.UNKNOWN})
"""Outcomes of an attempt after which the request may have run."""
EVENT_TIMEOUT_S = 1.5
"""Time without data after which a resumable stream is considered broken."""


class StreamBrokenError(OSError):
    """The stream was interrupted and could not be resumed."""


@dataclass(kw_only=True)
class _Stream(Attempts):
    """State of one client's stream across its attempts."""

    client: ClientRequest
    table: RouteTable
    candidates: Candidates
    cancellation: Cancellation = field(default_factory=Cancellation)
    last_event_id: int | None = None
    retry_after_s: float | None = None
    """Retry-After of a stream that has not run; None: by its cause."""
    worker: Worker | None = None
    head_s: float = 0.0
    """Time to the headers of the latest response."""

    @property
    def has_begun(self) -> bool:
        """Whether a worker's headers have been passed on to the client."""
        return self.worker is not None

    @property
    def may_resume(self) -> bool:
        """Whether another worker may run the request although one may have started it."""
        return self.client.route.can_resume and self.client.is_buffered


class _StreamChunks:
    """The events of a stream as chunks of a response; `close` ends them also if none was read.

    A generator that was never begun runs nothing when it is closed.
    """

    __slots__ = ("_abandon", "_events", "_is_begun")

    def __init__(self, events: Generator[bytes, None, None], abandon: Callable[[], None]) -> None:
        """`abandon` ends the stream if its events are closed unread."""
        self._events = events
        self._abandon = abandon
        self._is_begun = False

    def __iter__(self) -> Iterator[bytes]:
        self._is_begun = True
        yield from self._events

    def close(self) -> None:
        """End the stream; closing twice is no error."""
        self._events.close()
        if not self._is_begun:
            self._is_begun = True
            self._abandon()


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
        self._crashes = forwarder.crashes
        self._loads = loads
        self._connections = connections
        self._caller_watch = caller_watch

    def forward(self, client: ClientRequest, table: RouteTable) -> Response:
        """Forward one request; events are passed on as they arrive."""
        candidates = self._forwarder.candidates(client, table)
        stream = _Stream(client=client, table=table, candidates=candidates)
        left_s = self._crashes.quarantine_left_s(client)
        if left_s > 0:
            self._crashes.record_refusal(client)
            stream.cause, stream.retry_after_s = QUARANTINED, left_s
            return self._end_without_stream(stream, None)
        unavailable = None if candidates.all() else self._forwarder.unavailability(client, table)
        if unavailable is not None:
            stream.cause, stream.retry_after_s = unavailable
            return self._end_without_stream(stream, None)
        watched = self._caller_watch.begin(client.request, stream.cancellation.cancel)
        try:
            result = self._open(stream)
        except BaseException:
            self._caller_watch.end(watched)
            raise
        if isinstance(result, OpenAnswer):
            headers = response_headers(result)
            chunks = _StreamChunks(
                self._events(stream, result, lambda: self._caller_watch.end(watched)),
                lambda: self._abandon(stream, result, watched),
            )
            return Response(result.status, headers, chunks=chunks, is_stream=True)
        self._caller_watch.end(watched)
        return self._end_without_stream(stream, result)

    def _open(self, stream: _Stream) -> OpenAnswer | BufferedResponse | None:
        """Open the stream at a worker; otherwise return the response for the client, if any.

        That is a worker's 3xx or 4xx, unless the stream has begun, or else the last 5xx.
        """
        failure: BufferedResponse | None = None
        while (worker := self._next_worker(stream)) is not None:
            began_s = elapsed_s()
            attempt = self._open_attempt(stream, worker)
            if attempt.state in POSSIBLY_RUN_STATES:
                if not stream.may_have_run:
                    self._forwarder.count_usage(stream.client, began_s)
                stream.ran_at.add(worker.incarnation)
            opened = attempt.opened if attempt.state is AttemptState.ANSWERED else None
            if opened is not None and opened.status == STREAM_STATUS:
                stream.worker = worker
                stream.head_s = elapsed_s() - began_s
                return opened
            response = self._record_attempt_without_stream(stream, worker, attempt, began_s)
            if response is not None and response.status < SERVER_ERROR:
                if not stream.has_begun:
                    return response
                stream.cause = f"resumed with status {response.status}"
                continue
            failure = response or failure
        return failure

    def _open_attempt(self, stream: _Stream, worker: Worker) -> OpenedAttempt:
        """Send the request to an acquired worker, which is released if the client's body is cut."""
        left_s = stream.client.left_s()
        try:
            return self._connections.open(
                worker, _worker_call(stream), left_s, left_s * MS_PER_S, stream.cancellation
            )
        except BaseException:
            self._loads.release(worker.incarnation)
            self._crashes.record_end(stream.client, worker, RunEnd.OTHER)
            raise

    def _record_attempt_without_stream(
        self, stream: _Stream, worker: Worker, attempt: OpenedAttempt, began_s: float
    ) -> BufferedResponse | None:
        """Record an attempt that opened no stream; return the worker's whole response, if any."""
        state = attempt.state
        outcome = AttemptOutcome(state, attempt.detail, ended_by_worker=attempt.ended_by_worker)
        if attempt.opened is not None:
            outcome = read_response(attempt.opened, attempt)
        response = outcome.response
        is_answered = state is AttemptState.ANSWERED
        if is_answered and response is not None and response.status < SERVER_ERROR:
            self._loads.record_success(worker.incarnation, elapsed_s() - began_s)
            self._crashes.record_end(stream.client, worker, run_end(outcome, is_cancelled=False))
            return response
        failed = FailedAttempt(
            stream.client.request_id,
            stream.sends,
            worker,
            state,
            attempt.detail,
            round(1000 * (stream.client.route.timeout_ms / 1000 - stream.client.left_s())),
            is_cancelled=stream.cancellation.cancelled.is_set(),
        )
        stream.cause = failed.record(self._loads)
        end = run_end(outcome, is_cancelled=failed.is_cancelled)
        self._crashes.record_end(stream.client, worker, end)
        return response if is_answered else None

    def _next_worker(self, stream: _Stream) -> Worker | None:
        if stream.cancellation.cancelled.is_set():
            return None
        # Once the stream may have run, further attempts are not charged to the retry budget.
        worker = self._forwarder.next_attempt.acquire_worker(
            stream.client,
            stream.candidates,
            stream,
            may_run_again=stream.may_resume,
            is_budgeted=not stream.may_have_run,
        )
        if worker is None and stream.cause == QUARANTINED:
            stream.retry_after_s = self._crashes.quarantine_left_s(stream.client) or None
        return worker

    def _abandon(self, stream: _Stream, opened: OpenAnswer, watched: Watched) -> None:
        """End a stream of which nothing was forwarded and nothing will be."""
        self._caller_watch.end(watched)
        opened.drop()
        if stream.worker is not None:
            self._loads.release(stream.worker.incarnation)
            self._crashes.record_end(stream.client, stream.worker, RunEnd.OTHER)

    def _events(
        self, stream: _Stream, opened: OpenAnswer, on_end: Callable[[], None]
    ) -> Generator[bytes, None, None]:
        try:
            current: OpenAnswer | BufferedResponse | None = opened
            while isinstance(current, OpenAnswer):
                is_complete = yield from self._forward_events(stream, current)
                if is_complete:
                    self._record_outcome(stream, opened.status)
                    return
                if stream.cancellation.cancelled.is_set() or not stream.may_resume:
                    break
                current = self._open(stream)
                self._log_resumption(stream, current)
            raise StreamBrokenError(stream.cause)
        finally:
            on_end()

    def _forward_events(self, stream: _Stream, opened: OpenAnswer) -> Generator[bytes, None, bool]:
        """Yield complete events; return whether the stream ended properly."""
        worker = stream.worker
        splitter = EventSplitter(self._connections.headers.weight_versions)
        opened.ends_with_connection = False
        is_complete = False
        is_ended = False
        try:
            if stream.may_resume:
                opened.set_timeout(EVENT_TIMEOUT_S)
            for block in opened.read_blocks():
                has_progressed = False
                for event in splitter.feed(block):
                    yield event.raw
                    has_progressed = has_progressed or event.is_progress
                    if event.event_id is not None:
                        stream.last_event_id = event.event_id
                opened.hold(splitter.pending_bytes)
                if stream.may_resume and has_progressed:
                    opened.set_timeout(min(EVENT_TIMEOUT_S, max(0.0, stream.client.left_s())))
            is_complete = splitter.is_between_events
        except (OSError, http.client.HTTPException, EventTooLongError) as failure:
            stream.cause = f"stream_broken: {failure!r}"[:120]
            is_ended = is_end_by_peer(failure)
        finally:
            self._end_attempt(stream, worker, opened, is_complete=is_complete)
            self._record_run_end(stream, worker, is_complete=is_complete, is_ended=is_ended)
        return is_complete

    def _record_run_end(
        self, stream: _Stream, worker: Worker | None, *, is_complete: bool, is_ended: bool
    ) -> None:
        if worker is None:
            return
        end = RunEnd.OTHER
        if is_complete:
            end = RunEnd.SURVIVED
        elif is_ended and not stream.cancellation.cancelled.is_set():
            end = RunEnd.BROKEN
        self._crashes.record_end(stream.client, worker, end)

    def _end_attempt(
        self, stream: _Stream, worker: Worker | None, opened: OpenAnswer, *, is_complete: bool
    ) -> None:
        if is_complete:
            opened.finish()
        else:
            opened.drop()
        if worker is None:
            return
        if is_complete:
            self._loads.release(worker.incarnation, ObservedOutcome.SERVED, stream.head_s)
        elif stream.cancellation.cancelled.is_set():
            self._loads.release(worker.incarnation)
        else:
            self._loads.record_failure(worker.incarnation)
            self._loads.eligibility.note_unanswered(worker)

    def _log_resumption(self, stream: _Stream, current: object) -> None:
        if isinstance(current, OpenAnswer) and stream.worker is not None:
            emit(
                STREAM_RESUMED,
                request_id=stream.client.request_id,
                instance=stream.worker.instance,
                after_event=stream.last_event_id,
            )

    def _end_without_stream(self, stream: _Stream, result: BufferedResponse | None) -> Response:
        if isinstance(result, BufferedResponse):
            self._record_outcome(stream, result.status)
            return Response(result.status, list(result.headers), result.body)
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
        # No estimate: the time to a stream's headers does not tell when its slot is free.
        after_s = stream.retry_after_s
        if after_s is None:
            after_s = default_retry_after_s(stream.cause)
        return gateway_response(503, stream.cause, after_s)

    def _record_outcome(self, stream: _Stream, status: int) -> None:
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


def _worker_call(stream: _Stream) -> WorkerCall:
    attempts_left = stream.client.route.max_attempts - len(stream.ran_at)
    may_be_repeated = stream.may_resume and attempts_left > 1
    call = stream.client.call(gives_up_silent=may_be_repeated)
    if stream.last_event_id is None:
        return call
    headers = [each for each in call.headers if each[0].lower() != "last-event-id"]
    headers.append(("Last-Event-Id", str(stream.last_event_id)))
    return replace(call, headers=headers)
