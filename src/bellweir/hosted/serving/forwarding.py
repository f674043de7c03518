"""Forwards a request to workers until one answers it, and tells the client the truth if none does.

A request of an idempotent route may be tried at several workers, also when an attempt's outcome
is unknown. Any other request is tried again only after an attempt that surely has not run it.
Statuses of this service's own: 503 only for a request that has not run, with the time after which
to come back; 504 and 502 for one that may have run.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bellweir.events.log import emit
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import REQUEST_ANSWERED, REQUEST_GIVEN_UP
from bellweir.hosted.queueing.gate import RequestGate
from bellweir.hosted.queueing.interface import QueuedRequest
from bellweir.hosted.records import RouteKind
from bellweir.hosted.serving.attempt import (
    AttemptOutcome,
    AttemptState,
    BufferedResponse,
    Cancellation,
    WorkerConnections,
)
from bellweir.hosted.serving.client_request import MS_PER_S, ClientRequest
from bellweir.hosted.serving.failed_attempt import FailedAttempt
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.selection import WeightedRoundRobin, WorkerLoads
from bellweir.hosted.usage.counter import UsageCounter
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.http import Response

PATIENCE_OF_TARGET = 0.6
"""Share of a route's target time after which an idempotent attempt is given up for another."""
PATIENCE_OF_MEAN = 4.0
"""An attempt gets at least this many times the worker's usual time."""
PATIENCE_OF_SLOW = 2.0
"""The same for the 95th percentile of its fellows, where that is known: 95 of 100 sound ones take
half of it at most, so that what takes longer is not sound."""
PATIENCE_OF_OWN = 2.0
"""And for the usual time here: a gateway that is slow itself must not take its workers for slow."""
SHORTEST_PATIENCE_S = 0.05
LATE_SHARE = 0.98
"""Share of the time that a try was given after which its end without an answer is its lateness."""
RETRY_AFTER_FULL_S = 0.2
RETRY_AFTER_NO_WORKER_S = 0.5
FULL_CAUSES = frozenset({"workers_full", "no_room"})
MAXIMUM_SENDS = 8
"""Sends of one request, those that surely did not run included."""
SERVER_ERROR = 500
LONGEST_AGE_S = 1e6
"""Shown for a list of workers that was never current."""


@dataclass
class Progress:
    """Attempts of one request so far."""

    ran_at: set[Incarnation] = field(default_factory=set)
    """Incarnations that may have run it; they count for the route's `max_attempts`."""
    tried: set[Incarnation] = field(default_factory=set)
    sends: int = 0
    failure: BufferedResponse | None = None
    """The newest failure that a worker itself has answered."""
    may_have_run: bool = False
    cause: str = "no_worker"
    is_on_the_way: bool = False
    """Whether the gate let it go and it has no place at a worker yet."""


class Forwarder:
    """Serves the requests of routes that neither stream nor take batch jobs."""

    def __init__(
        self,
        workers: WorkersView,
        loads: WorkerLoads,
        connections: WorkerConnections,
        caller_watch: CallerWatch,
        metrics: RequestMetrics,
        workers_age_s: Callable[[], float] = lambda: 0.0,
        now_s: Callable[[], float] = time.monotonic,
        usage: UsageCounter | None = None,
        gate: RequestGate | None = None,
        wait_share: float = 0.0,
        *,
        patience_of_fellows: bool = True,
    ) -> None:
        """`usage` counts the requests of tenants that workers begin.

        `gate` decides which requests start, wait up to `wait_share` of their target, or are
        refused; without it all start. `patience_of_fellows`: a first try is given up after the
        time that fellows take.
        """
        self._gate = gate
        self._wait_share = wait_share
        self._usage = usage
        self._patience_of_fellows = patience_of_fellows
        self._workers = workers
        self._loads = loads
        self._connections = connections
        self._caller_watch = caller_watch
        self._metrics = metrics
        self._workers_age_s = workers_age_s
        self._parts = WeightedRoundRobin()
        self._now_s = now_s

    def forward(self, client: ClientRequest, table: RouteTable) -> Response:
        """Serve one request."""
        cancellation = Cancellation()
        watched = self._caller_watch.begin(client.request, cancellation.cancel)
        try:
            response, progress = self._try_workers(client, table, cancellation)
        finally:
            self._caller_watch.end(watched)
        self._account(client, table, response, progress)
        return response

    def candidates(self, client: ClientRequest, table: RouteTable) -> list[list[Worker]]:
        """Ready workers of each service of the route, in the order in which to try services."""
        route = client.route
        parts = tuple((part.service, part.weight) for part in route.parts)
        key = (table.version, route.host, route.path_prefix)
        return [self._workers.ready(service) for service in self._parts.order(parts, key)]

    def _try_workers(
        self, client: ClientRequest, table: RouteTable, cancellation: Cancellation
    ) -> tuple[Response, Progress]:
        progress = Progress()
        groups = self.candidates(client, table)
        if not self._is_admitted(client, groups, cancellation):
            progress.cause = "client_left" if cancellation.cancelled.is_set() else "no_room"
            return self._own_answer(client, progress, groups), progress
        progress.is_on_the_way = self._is_gated(client)
        try:
            answer = self._offer(client, groups, progress, cancellation)
        finally:
            # Whatever ends it: one that stays on the way for good takes room from all others.
            self._took_place(client, progress)
        if answer is not None:
            return _passed_on(answer), progress
        return self._own_answer(client, progress, groups), progress

    def _offer(
        self,
        client: ClientRequest,
        groups: list[list[Worker]],
        progress: Progress,
        cancellation: Cancellation,
    ) -> BufferedResponse | None:
        """Offer a request to workers; the answer to pass on, None where there is none."""
        while not cancellation.cancelled.is_set():
            worker = self._next_worker(client, groups, progress)
            self._took_place(client, progress)
            if worker is None:
                break
            outcome = self._attempt(client, worker, progress, cancellation)
            answer = outcome.answer
            if outcome.state is AttemptState.ANSWERED and answer is not None:
                if answer.status < SERVER_ERROR or not self._may_repeat(client):
                    return answer
                progress.failure = answer
        return progress.failure

    def _is_admitted(
        self, client: ClientRequest, groups: list[list[Worker]], cancellation: Cancellation
    ) -> bool:
        """Whether a request may go to a worker now; it may wait here for that."""
        if self._gate is None or not self._is_gated(client):
            return True
        waiting = QueuedRequest(
            client.request_id,
            client.tenant,
            client.priority,
            client.arrived_s,
            client.arrived_s + self._wait_share * client.target_s,
            client.give_up_s,
            target_s=client.target_s,
        )
        workers = [worker for group in groups for worker in group]
        return self._gate.admit(_line_of(client), waiting, workers, cancellation.cancelled.is_set)

    def _took_place(self, client: ClientRequest, progress: Progress) -> None:
        """Tell the gate, once, that a request counts at its worker now, or nowhere any more."""
        if progress.is_on_the_way and self._gate is not None:
            progress.is_on_the_way = False
            self._gate.dispatch_done(_line_of(client))

    def retry_after_s(self, client: ClientRequest, groups: list[list[Worker]], cause: str) -> float:
        """Seconds after which a refused client is to come back."""
        if not self._is_gated(client):
            return fixed_retry_after_s(cause)
        workers = [worker for group in groups for worker in group]
        after_s = None
        if self._gate is not None:
            after_s = self._gate.retry_after_s(
                _line_of(client), workers, client.target_s, client.left_s(), client.left_share
            )
        return after_s if after_s is not None else fixed_retry_after_s(cause)

    def _is_gated(self, client: ClientRequest) -> bool:
        """Whether the gate decides on a request.

        Not on those of a route that is split: their services share one line with other routes, and
        one service's room would be taken for another's.
        """
        return self._gate is not None and len(client.route.parts) == 1

    def _next_worker(
        self, client: ClientRequest, groups: list[list[Worker]], progress: Progress
    ) -> Worker | None:
        """Take a place at the next worker; None when there is none or the request must end."""
        if client.left_s() <= 0:
            progress.cause = "timeout"
            return None
        if progress.sends >= MAXIMUM_SENDS:
            return None
        if progress.sends and not client.may_be_sent_again:
            return None
        if len(progress.ran_at) >= max(1, client.route.max_attempts):
            return None
        if progress.may_have_run and not self._may_repeat(client):
            return None
        for workers in groups:
            worker = self._loads.choose(workers, progress.tried)
            if worker is not None:
                return worker
        return None

    def _may_repeat(self, client: ClientRequest) -> bool:
        return client.route.kind is RouteKind.IDEMPOTENT

    def _attempt(
        self,
        client: ClientRequest,
        worker: Worker,
        progress: Progress,
        cancellation: Cancellation,
    ) -> AttemptOutcome:
        incarnation = worker.incarnation
        progress.tried.add(incarnation)
        progress.sends += 1
        began_s = self._now_s()
        left_s = client.left_s()
        timeout_s = self._patience_s(client, worker, progress, left_s)
        try:
            outcome = self._connections.call(
                worker, client.call(), timeout_s, left_s * MS_PER_S, cancellation
            )
        except BaseException:
            self._loads.release(incarnation)
            progress.may_have_run = True
            raise
        seconds = self._now_s() - began_s
        is_cancelled = cancellation.cancelled.is_set()
        is_timed_out = seconds >= LATE_SHARE * timeout_s
        self._note(client, worker, outcome, progress, seconds, is_timed_out, is_cancelled)
        return outcome

    def _patience_s(
        self, client: ClientRequest, worker: Worker, progress: Progress, left_s: float
    ) -> float:
        """Time for an attempt; all that is left when there is no other to be made."""
        attempts_left = client.route.max_attempts - len(progress.ran_at)
        if not self._may_repeat(client) or attempts_left <= 1 or not client.may_be_sent_again:
            return left_s
        service = worker.entry.service
        if not self._loads.may_try_again(service):
            return left_s
        slow_s = self._loads.fellows_slow_s(service) if self._patience_of_fellows else 0.0
        target_s = client.route.target_ms / MS_PER_S
        if slow_s:
            fellows_s = PATIENCE_OF_SLOW * slow_s
            if self._loads.fellows_usual_s(service) <= (1 - PATIENCE_OF_TARGET) * target_s:
                # Later no second try would be in time, and now one most likely is.
                fellows_s = min(fellows_s, PATIENCE_OF_TARGET * target_s)
            own_s = PATIENCE_OF_OWN * self._loads.own_usual_s()
            return min(left_s, max(SHORTEST_PATIENCE_S, fellows_s, own_s))
        usual_s = PATIENCE_OF_MEAN * self._loads.mean_s(worker.incarnation)
        return min(left_s, max(PATIENCE_OF_TARGET * target_s, usual_s))

    def _note(
        self,
        client: ClientRequest,
        worker: Worker,
        outcome: AttemptOutcome,
        progress: Progress,
        seconds: float,
        is_timed_out: bool,
        is_cancelled: bool,
    ) -> None:
        incarnation = worker.incarnation
        self._metrics.attempt_ended(worker.entry.service, outcome.state.value, seconds)
        if outcome.state in (AttemptState.ANSWERED, AttemptState.UNKNOWN):
            if not progress.may_have_run:
                self.note_begun(client, self._now_s() - seconds)
            progress.ran_at.add(incarnation)
            progress.may_have_run = True
        answer = outcome.answer
        is_answered = outcome.state is AttemptState.ANSWERED
        if is_answered and (answer is None or answer.status < SERVER_ERROR):
            self._loads.record_success(incarnation, seconds)
            return
        failed = FailedAttempt(
            client.request_id,
            progress.sends,
            worker,
            outcome.state,
            outcome.detail,
            round(1000 * seconds),
            is_timed_out=is_timed_out,
            is_cancelled=is_cancelled,
        )
        progress.cause = failed.record(self._loads)

    def note_begun(self, client: ClientRequest, at_s: float) -> None:
        """Count a request among its tenant's use, once, from the first run that may have begun."""
        if self._usage is not None:
            self._usage.record_start(client.tenant, at_s)

    def _own_answer(
        self, client: ClientRequest, progress: Progress, groups: list[list[Worker]]
    ) -> Response:
        if not progress.may_have_run:
            after_s = self.retry_after_s(client, groups, progress.cause)
            return gateway_response(503, progress.cause, after_s)
        return gateway_response(504 if client.left_s() <= 0 else 502, progress.cause)

    def _account(
        self, client: ClientRequest, table: RouteTable, response: Response, progress: Progress
    ) -> None:
        seconds = self._now_s() - client.arrived_s
        route = client.route.name or client.route.path_prefix
        self._metrics.request_ended(route, response.status, seconds)
        answered = response.status < SERVER_ERROR or progress.failure is not None
        fields = {
            "request_id": client.request_id,
            "route": route,
            "configuration": table.version,
            "status": response.status,
            "attempts": progress.sends,
            "ms": round(1000 * seconds),
            "workers_age_ms": round(1000 * min(self._workers_age_s(), LONGEST_AGE_S)),
        }
        if answered:
            emit(
                REQUEST_ANSWERED, instance=sorted(one.instance for one in progress.ran_at), **fields
            )
        else:
            ready = sum(len(self._workers.ready(part.service)) for part in client.route.parts)
            emit(REQUEST_GIVEN_UP, cause=progress.cause, ready=ready, **fields)


def _line_of(client: ClientRequest) -> str:
    """The service whose room a gated request waits for: the only one of its route."""
    return client.route.parts[0].service


def fixed_retry_after_s(cause: str) -> float:
    """Seconds after which a client is to come back where nothing better is known."""
    return RETRY_AFTER_FULL_S if cause in FULL_CAUSES else RETRY_AFTER_NO_WORKER_S


def gateway_response(status: int, cause: str, retry_after_s: float | None = None) -> Response:
    """An answer of this service's own."""
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:g}"))
    return Response(status, headers, b'{"error":"%s"}' % cause.encode())


def _passed_on(answer: BufferedResponse) -> Response:
    return Response(answer.status, list(answer.headers), answer.body)
