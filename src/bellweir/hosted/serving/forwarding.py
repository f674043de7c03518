"""Forwards requests to workers, with retries.

Requests of idempotent routes are retried at other workers even if an attempt's outcome is unknown;
all others only after an attempt that certainly has not run. The gateway itself responds with 503
and Retry-After only if the request has not run, and with 504 or 502 if it may have run.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from bellweir.clients.answer_head import Framing
from bellweir.events.log import emit
from bellweir.hosted.crashes.interface import CrashGuard, NoCrashGuard, RunEnd
from bellweir.hosted.eligibility.interface import Exclusion
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
from bellweir.hosted.serving.candidates import Candidates
from bellweir.hosted.serving.client_request import MS_PER_S, ClientRequest
from bellweir.hosted.serving.failed_attempt import SERVER_ERROR, FailedAttempt, run_end
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.next_attempt import NO_WORKER, QUARANTINED, Attempts, NextAttempt
from bellweir.hosted.serving.selection import WeightedRoundRobin, WorkerLoads
from bellweir.hosted.usage.counter import UsageCounter
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.http import Response
from bellweir.kernel.clock import elapsed_s

TARGET_TIMEOUT_SHARE = 0.6
"""Attempt timeout of idempotent requests as a fraction of the route's target latency."""
MEAN_TIMEOUT_FACTOR = 4.0
"""Minimum attempt timeout as a multiple of the worker's mean latency."""
P95_TIMEOUT_FACTOR = 2.0
"""Attempt timeout as a multiple of the service's 95th percentile latency, where known: 95 of 100
requests to healthy workers take at most half of it."""
LOCAL_MEAN_TIMEOUT_FACTOR = 2.0
"""The same for this gateway's own mean, so that a slow gateway does not blame its workers."""
MIN_ATTEMPT_TIMEOUT_S = 0.05
TIMED_OUT_SHARE = 0.98
"""Attempts that fail after this fraction of their timeout count as timed out."""
RETRY_AFTER_FULL_S = 0.2
RETRY_AFTER_NO_WORKER_S = 0.5
COLD_RETRY_AFTER_S = 1.0
FULL_CAUSES = frozenset({"workers_full", "no_room"})
MAX_LOGGED_AGE_S = 1e6
"""Age logged if the list of workers has never been current."""


@dataclass(kw_only=True)
class Progress(Attempts):
    """State of one request across its attempts."""

    failure: BufferedResponse | None = None
    """The latest 5xx response of a worker."""
    framing: Framing | None = None
    """What ended the body of the latest response of a worker."""
    is_dispatching: bool = False
    """Whether the gate admitted the request and it is not yet counted at a worker."""


class Forwarder:
    """Serves requests of routes that neither stream nor take batch jobs."""

    def __init__(
        self,
        workers: WorkersView,
        loads: WorkerLoads,
        connections: WorkerConnections,
        caller_watch: CallerWatch,
        metrics: RequestMetrics,
        workers_age_s: Callable[[], float] = lambda: 0.0,
        now_s: Callable[[], float] = elapsed_s,
        usage: UsageCounter | None = None,
        gate: RequestGate | None = None,
        wait_share: float = 0.0,
        crashes: CrashGuard | None = None,
        *,
        uses_service_latency: bool = True,
    ) -> None:
        """`usage` counts the tenants' requests that workers start to run.

        `gate` decides whether requests are admitted, queued for up to `wait_share` of their target
        latency, or refused; without it all are admitted. `uses_service_latency`: derive attempt
        timeouts from the latency of the service's workers. `crashes` keeps requests that crash
        workers from further ones.
        """
        self.crashes = crashes if crashes is not None else NoCrashGuard()
        self.next_attempt = NextAttempt(loads, self.crashes)
        self._gate = gate
        self._wait_share = wait_share
        self._usage = usage
        self._uses_service_latency = uses_service_latency
        self._workers = workers
        self._loads = loads
        self._connections = connections
        self._caller_watch = caller_watch
        self._metrics = metrics
        self._workers_age_s = workers_age_s
        self._parts = WeightedRoundRobin()
        self._now_s = now_s
        self._lock = threading.Lock()
        self._in_hand: set[Cancellation] = set()

    def forward(self, client: ClientRequest, table: RouteTable) -> Response:
        """Forward one request and return the response."""
        cancellation = Cancellation()
        watched = self._caller_watch.begin(client.request, cancellation.cancel)
        with self._lock:
            self._in_hand.add(cancellation)
        try:
            response, progress = self._serve(client, table, cancellation)
        finally:
            self._caller_watch.end(watched)
            with self._lock:
                self._in_hand.discard(cancellation)
        self._record_outcome(client, table, response, progress)
        return response

    def end_all(self) -> None:
        """Give all requests in hand up: each gets an answer that says whether it may have run."""
        with self._lock:
            in_hand = list(self._in_hand)
        for cancellation in in_hand:
            cancellation.cancel()

    def candidates(self, client: ClientRequest, table: RouteTable) -> Candidates:
        """Return the usable workers of the route's services, in the order to try these."""
        route = client.route
        parts = tuple((part.service, part.weight) for part in route.effective_backends)
        key = (table.version, route.host, route.path_prefix)
        allowed = table.allowed_regions(route, client.tenant)
        return Candidates(
            self._parts.order(parts, key),
            lambda service: self._loads.eligibility.usable(self._workers.ready(service), allowed),
        )

    def unavailability(self, client: ClientRequest, table: RouteTable) -> tuple[str, float] | None:
        """Return why no ready worker may get a request, and the Retry-After in seconds.

        None if one may get it, or if none is ready.
        """
        eligibility = self._loads.eligibility
        ready = [
            worker
            for part in client.route.effective_backends
            for worker in self._workers.ready(part.service)
        ]
        allowed = table.allowed_regions(client.route, client.tenant)
        reason = eligibility.common_exclusion(ready, allowed)
        if reason is None:
            return None
        after_s = eligibility.warm_in_s(ready) if reason is Exclusion.COLD else None
        return reason.value, RETRY_AFTER_NO_WORKER_S if after_s is None else after_s

    def _serve(
        self, client: ClientRequest, table: RouteTable, cancellation: Cancellation
    ) -> tuple[Response, Progress]:
        progress = Progress()
        left_s = self.crashes.quarantine_left_s(client)
        if left_s > 0:
            self.crashes.record_refusal(client)
            progress.cause = QUARANTINED
            return gateway_response(503, QUARANTINED, left_s), progress
        candidates = self.candidates(client, table)
        unavailable = None if candidates.all() else self.unavailability(client, table)
        if unavailable is not None:
            progress.cause, after_s = unavailable
            return gateway_response(503, progress.cause, after_s), progress
        if not self._is_admitted(client, candidates, cancellation):
            progress.cause = "client_left" if cancellation.cancelled.is_set() else "no_room"
            return self._error_response(client, progress, candidates), progress
        progress.is_dispatching = self._is_gated(client)
        try:
            response = self._send_with_retries(client, candidates, progress, cancellation)
        finally:
            # In any case, or the gate would count the request against the capacity forever.
            self._end_dispatch(client, progress)
        if response is not None:
            return _to_response(response), progress
        return self._error_response(client, progress, candidates), progress

    def _send_with_retries(
        self,
        client: ClientRequest,
        candidates: Candidates,
        progress: Progress,
        cancellation: Cancellation,
    ) -> BufferedResponse | None:
        """Send the request to workers until one responds; None if none does."""
        while not cancellation.cancelled.is_set():
            worker = self._next_worker(client, candidates, progress)
            self._end_dispatch(client, progress)
            if worker is None:
                break
            outcome = self._attempt(client, worker, progress, cancellation)
            response = outcome.response
            if outcome.state is AttemptState.ANSWERED and response is not None:
                if response.status < SERVER_ERROR or not self._is_idempotent(client):
                    return response
                progress.failure = response
        return progress.failure

    def _is_admitted(
        self, client: ClientRequest, candidates: Candidates, cancellation: Cancellation
    ) -> bool:
        """Whether the gate admits the request; blocks while the request is queued."""
        if self._gate is None or not self._is_gated(client):
            return True
        waiting = QueuedRequest(
            client.request_id,
            client.tenant,
            client.priority,
            client.arrived_s,
            client.arrived_s + self._wait_share * client.target_s,
            client.deadline_s,
            target_s=client.target_s,
        )
        workers = candidates.all()
        return self._gate.admit(_queue_of(client), waiting, workers, cancellation.cancelled.is_set)

    def _end_dispatch(self, client: ClientRequest, progress: Progress) -> None:
        """Notify the gate, once, that the request is counted at a worker or has ended."""
        if progress.is_dispatching and self._gate is not None:
            progress.is_dispatching = False
            self._gate.dispatch_done(_queue_of(client))

    def retry_after_s(self, client: ClientRequest, candidates: Candidates, cause: str) -> float:
        """Return the Retry-After of a refused request, in seconds."""
        if not self._is_gated(client):
            return default_retry_after_s(cause)
        workers = candidates.all()
        after_s = None
        if self._gate is not None:
            after_s = self._gate.retry_after_s(
                _queue_of(client), workers, client.target_s, client.left_s(), client.left_share
            )
        return after_s if after_s is not None else default_retry_after_s(cause)

    def _is_gated(self, client: ClientRequest) -> bool:
        """Whether the gate applies to a request.

        It does not to routes split over several services: queues are per service, and the capacity
        of one service would be taken for that of another.
        """
        return self._gate is not None and len(client.route.effective_backends) == 1

    def _next_worker(
        self, client: ClientRequest, candidates: Candidates, progress: Progress
    ) -> Worker | None:
        may_run_again = self._is_idempotent(client)
        return self.next_attempt.acquire_worker(
            client, candidates, progress, may_run_again=may_run_again
        )

    def _is_idempotent(self, client: ClientRequest) -> bool:
        return client.route.kind is RouteKind.IDEMPOTENT

    def _attempt(
        self,
        client: ClientRequest,
        worker: Worker,
        progress: Progress,
        cancellation: Cancellation,
    ) -> AttemptOutcome:
        incarnation = worker.incarnation
        began_s = self._now_s()
        left_s = client.left_s()
        timeout_s = self._attempt_timeout_s(client, worker, progress, left_s)
        # A shorter timeout than the time left means that another attempt may follow.
        call = client.call(gives_up_silent=timeout_s < left_s)
        try:
            outcome = self._connections.call(
                worker, call, timeout_s, left_s * MS_PER_S, cancellation
            )
        except BaseException:
            self._loads.release(incarnation)
            self.crashes.record_end(client, worker, RunEnd.OTHER)
            raise
        seconds = self._now_s() - began_s
        is_cancelled = cancellation.cancelled.is_set()
        is_timed_out = seconds >= TIMED_OUT_SHARE * timeout_s
        self._record_attempt(client, worker, outcome, progress, seconds, is_timed_out, is_cancelled)
        # Last, since it may look at the worker: the attempt's place is free by then.
        end = run_end(outcome, is_cancelled=is_cancelled)
        self.crashes.record_end(client, worker, end)
        return outcome

    def _attempt_timeout_s(
        self, client: ClientRequest, worker: Worker, progress: Progress, left_s: float
    ) -> float:
        """Return the timeout of an attempt; all the time left if no retry is possible."""
        attempts_left = client.route.max_attempts - len(progress.ran_at)
        if not self._is_idempotent(client) or attempts_left <= 1 or not client.is_buffered:
            return left_s
        service = worker.entry.service
        if not self._loads.may_retry(service):
            return left_s
        p95_s = self._loads.service_p95_s(service) if self._uses_service_latency else 0.0
        target_s = client.route.target_ms / MS_PER_S
        if p95_s:
            service_timeout_s = P95_TIMEOUT_FACTOR * p95_s
            if self._loads.service_median_s(service) <= (1 - TARGET_TIMEOUT_SHARE) * target_s:
                # A retry after this point would likely miss the target, one before it meets it.
                service_timeout_s = min(service_timeout_s, TARGET_TIMEOUT_SHARE * target_s)
            local_timeout_s = LOCAL_MEAN_TIMEOUT_FACTOR * self._loads.local_mean_s()
            return min(left_s, max(MIN_ATTEMPT_TIMEOUT_S, service_timeout_s, local_timeout_s))
        mean_timeout_s = MEAN_TIMEOUT_FACTOR * self._loads.mean_s(worker.incarnation)
        return min(left_s, max(TARGET_TIMEOUT_SHARE * target_s, mean_timeout_s))

    def _record_attempt(
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
                self.count_usage(client, self._now_s() - seconds)
            progress.ran_at.add(incarnation)
        response = outcome.response
        is_answered = outcome.state is AttemptState.ANSWERED
        if is_answered:
            self._loads.eligibility.note_answer(worker, self._now_s() - seconds)
        if response is not None:
            progress.framing = response.framing
            self._metrics.answer_read(response.framing.value)
        if is_answered and (response is None or response.status < SERVER_ERROR):
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

    def count_usage(self, client: ClientRequest, at_s: float) -> None:
        """Count a request towards its tenant's usage; called once, after the first possible run."""
        if self._usage is not None:
            self._usage.record_start(client.tenant, at_s)

    def _error_response(
        self, client: ClientRequest, progress: Progress, candidates: Candidates
    ) -> Response:
        if not progress.may_have_run:
            after_s = self.retry_after_s(client, candidates, progress.cause)
            if progress.cause == QUARANTINED:
                after_s = self.crashes.quarantine_left_s(client) or after_s
            if progress.cause == NO_WORKER and any(
                self._loads.eligibility.is_cold(worker) for worker in candidates.all()
            ):
                # Cold workers whose requests of this second are used up take more in the next one.
                progress.cause = Exclusion.COLD.value
                after_s = max(after_s, COLD_RETRY_AFTER_S)
            return gateway_response(503, progress.cause, after_s)
        return gateway_response(504 if client.left_s() <= 0 else 502, progress.cause)

    def _record_outcome(
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
            "workers_age_ms": round(1000 * min(self._workers_age_s(), MAX_LOGGED_AGE_S)),
        }
        if answered:
            emit(
                REQUEST_ANSWERED,
                instance=sorted(one.instance for one in progress.ran_at),
                body_bytes=len(response.body),
                framing=progress.framing.value if progress.framing else None,
                **fields,
            )
        else:
            ready = sum(
                len(self._workers.ready(part.service)) for part in client.route.effective_backends
            )
            emit(REQUEST_GIVEN_UP, cause=progress.cause, ready=ready, **fields)


def _queue_of(client: ClientRequest) -> str:
    """Return the gate's queue for a request: the only service of its route."""
    return client.route.effective_backends[0].service


def default_retry_after_s(cause: str) -> float:
    """Return the Retry-After in seconds if the gate has no estimate."""
    return RETRY_AFTER_FULL_S if cause in FULL_CAUSES else RETRY_AFTER_NO_WORKER_S


def gateway_response(status: int, cause: str, retry_after_s: float | None = None) -> Response:
    """Return a response generated by the gateway itself, with the cause as error code."""
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:g}"))
    return Response(status, headers, b'{"error":"%s"}' % cause.encode())


def _to_response(response: BufferedResponse) -> Response:
    return Response(response.status, list(response.headers), response.body)
