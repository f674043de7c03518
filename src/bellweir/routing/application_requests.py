"""Admits application requests and serves them according to their class."""

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ApplicationAnswer
from bellweir.configuration.interface import Configuration
from bellweir.kernel.clock import Clock
from bellweir.resources.models import BackendKind, RequestClass
from bellweir.routing.admitted_requests import Admission, AdmittedRequests, not_configured, not_run
from bellweir.routing.answers import TrackedBody, with_body
from bellweir.routing.counters import COMPLETED, CUT, DispatchCounters
from bellweir.routing.forwarding import Forwarder, effective_class, is_retry_safe
from bellweir.routing.hedging import Hedger
from bellweir.routing.interface import ApplicationRequest, Refusal, RefusalReason
from bellweir.routing.once import OnceRequests
from bellweir.routing.pool_runtime import PoolRuntime, PoolRuntimes
from bellweir.routing.request_body import BodyTruncatedError, RequestBody

MAX_HEDGED_BODY_BYTES = 64 * 1024
"""Both attempts of a hedged lookup send the body from memory."""
MAX_RUNNING_FOR_HEDGING = 16
"""Lookups are not hedged under high load, as duplicates would add to it."""


class ApplicationRequests:
    """Admits and serves application requests."""

    def __init__(
        self,
        configuration: Configuration,
        admissions: AdmittedRequests,
        runtimes: PoolRuntimes,
        forwarder: Forwarder,
        hedger: Hedger,
        once: OnceRequests,
        counters: DispatchCounters,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._admissions = admissions
        self._runtimes = runtimes
        self._forwarder = forwarder
        self._hedger = hedger
        self._once = once
        self._counters = counters
        self._clock = clock

    def serve(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        """Admit and send a request; its admission ends with the answer's body."""
        if not self._configuration.is_ready():
            return Failure(self._once.refuse(request, not_configured(), None))
        pool = self._configuration.current().pools.get(request.pool)
        if pool is None or pool.spec.kind is not BackendKind.APPLICATION:
            detail = f"no application pool named {request.pool!r}"
            refusal = not_run(RefusalReason.NO_SUCH_POOL, detail, None)
            return Failure(self._once.refuse(request, refusal, None))
        runtime = self._runtimes.of(pool)
        kind = effective_class(request, pool)
        deadline_s = request.deadline_monotonic_s
        match self._admissions.admit(runtime, kind, request.caller, deadline_s):
            case Failure(refusal):
                return Failure(self._once.refuse(request, refusal, kind))
            case Success(admission):
                return self._serve_admitted(request, runtime, kind, admission)
        raise AssertionError("a result is a success or a failure")

    def _serve_admitted(
        self,
        request: ApplicationRequest,
        runtime: PoolRuntime,
        kind: RequestClass,
        admission: Admission,
    ) -> Result[ApplicationAnswer, Refusal]:
        try:
            answered = self._send(request, runtime, kind, admission.deadline_s)
        except BaseException:
            self._admissions.end(admission)
            raise
        match answered:
            case Success(answer):
                return Success(self._track_body(answer, admission))
            case Failure(refusal):
                self._admissions.end(admission)
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")

    def _send(
        self,
        request: ApplicationRequest,
        runtime: PoolRuntime,
        kind: RequestClass,
        deadline_s: float,
    ) -> Result[ApplicationAnswer, Refusal]:
        if kind is RequestClass.ONCE:
            return self._send_once(request, runtime, deadline_s)
        if kind is RequestClass.LOOKUP:
            return self._send_lookup(request, runtime, deadline_s)
        return self._forwarder.forward(
            request,
            RequestBody(request.body, request.body_length),
            runtime,
            deadline_s,
            retry_safe=is_retry_safe(request, kind, runtime.pool),
            on_latency=runtime.gates[kind].record_latency,
        )

    def _send_once(
        self, request: ApplicationRequest, runtime: PoolRuntime, deadline_s: float
    ) -> Result[ApplicationAnswer, Refusal]:
        return self._once.serve(
            request,
            runtime.pool,
            deadline_s,
            lambda keyed, body, check: self._forwarder.forward(
                keyed,
                body,
                runtime,
                deadline_s,
                retry_safe=False,
                on_latency=runtime.gates[RequestClass.ONCE].record_latency,
                before_send=check,
            ),
        )

    def _send_lookup(
        self, request: ApplicationRequest, runtime: PoolRuntime, deadline_s: float
    ) -> Result[ApplicationAnswer, Refusal]:
        """Forward a lookup, hedged if its body is small and few lookups are running."""
        body = RequestBody(request.body, request.body_length)
        gate = runtime.gates[RequestClass.LOOKUP]
        started_s = self._clock.monotonic_s()

        def attempt(used: set[str]) -> Result[ApplicationAnswer, Refusal]:
            return self._forwarder.forward(
                request,
                body,
                runtime,
                deadline_s,
                retry_safe=True,
                on_latency=gate.record_latency,
                used=used,
            )

        delay_s = runtime.hedging.delay_s
        small = body.length is not None and body.length <= MAX_HEDGED_BODY_BYTES
        if delay_s is None or not small or gate.running > MAX_RUNNING_FOR_HEDGING:
            answered = attempt(set())
        else:
            try:
                body.read_whole(MAX_HEDGED_BODY_BYTES)
            except BodyTruncatedError as failure:
                return Failure(not_run(RefusalReason.INVALID, f"body: {failure}", None))
            answered = self._hedger.run(attempt, runtime.hedging, delay_s)
        if isinstance(answered, Success):
            runtime.hedging.record_latency(self._clock.monotonic_s() - started_s)
        return answered

    def _track_body(self, answer: ApplicationAnswer, admission: Admission) -> ApplicationAnswer:
        def on_end(failure: BaseException | None) -> None:
            self._counters.count_outcome(COMPLETED if failure is None else CUT)
            self._admissions.end(admission)

        return with_body(answer, TrackedBody(answer.body, on_end))
