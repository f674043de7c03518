"""Service `dispatcher`: admits requests and serves them on back ends."""

import threading
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result, Success

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Claims
from bellweir.platform.interface import ApplicationAnswer, PlatformClients
from bellweir.resources.models import BackendKind, RequestClass
from bellweir.routing.admission import Permit
from bellweir.routing.answers import HeldBody, with_body
from bellweir.routing.attempts import RETRY_AFTER_S, RequestAttempts
from bellweir.routing.comparisons import arm_for, comparison_of
from bellweir.routing.counters import COMPLETED, DispatchCounters
from bellweir.routing.forwarding import Forwarder, class_of, is_repeatable
from bellweir.routing.generation import GenerationListener, RoutedGeneration
from bellweir.routing.generation_attempt import GenerationRoute, GenerationStarter
from bellweir.routing.hedging import Hedger
from bellweir.routing.interface import (
    ApplicationRequest,
    Dispatcher,
    DispatchStatistics,
    Generation,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)
from bellweir.routing.once import OnceRequests
from bellweir.routing.outcome_recorder import OutcomeRecorder
from bellweir.routing.pool_runtime import PoolRuntime, PoolRuntimes
from bellweir.routing.request_body import BodyTruncatedError, RequestBody
from bellweir.routing.stream_watch import StreamWatch
from bellweir.routing.views_service import BackendViewsService
from bellweir.settings.models import Settings

HEDGED_BODY_BYTES = 64 * 1024
"""Longest body of a lookup that may be hedged: both attempts send it from memory."""
HEDGED_RUNNING = 16
"""Lookups running above which none is hedged: more load does not make a busy pool faster."""
NOT_CONFIGURED = "no configuration has reached this node yet"

_Served = TypeVar("_Served")


@dataclass(frozen=True)
class _Admission:
    """An admitted request: its place and its deadline."""

    permit: Permit
    deadline_s: float


class DispatcherService(Service, Dispatcher):
    """Admission, choice of back end, attempts and outcomes of all requests of a node."""

    name = names.DISPATCHER
    dependencies = (names.PLATFORM, names.CONFIGURATION, names.BACKEND_VIEWS)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._clock = kernel.clock
        self._counters = DispatchCounters()
        self._draft_share = settings.routing.draft_share
        self._watch = StreamWatch()
        self._draining = False
        self._in_hand = 0
        self._in_hand_changed = threading.Condition()

    def start(self) -> None:
        """Find the other services."""
        registry = self._kernel.registry
        clients = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        self._configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        views = registry.find(names.BACKEND_VIEWS, BackendViewsService)
        self._runtimes = PoolRuntimes(self._clock, views.prefixes.index)
        self._starter = GenerationStarter(
            views,
            self._runtimes,
            clients,
            self._kernel.executors,
            self._clock,
            self._counters,
            self._draft_share,
        )
        self._forwarder = Forwarder(views, self._runtimes, clients, self._clock, self._counters)
        self._hedger = Hedger(self._kernel.executors)
        self._recorder = OutcomeRecorder(self._clock)
        self._once = OnceRequests(self._find_claims, self._recorder, self._clock)
        self._kernel.executors.run_task("claim-outcomes", self._recorder.run)
        self._kernel.executors.run_task("stream-watch", self._watch.run)

    def drain(self, deadline_s: float) -> None:
        """Refuse new requests and wait for those in hand."""
        self._draining = True
        with self._in_hand_changed:
            self._in_hand_changed.wait_for(lambda: self._in_hand == 0, deadline_s)

    def stop(self) -> None:
        """Refuse new requests."""
        self._draining = True

    def statistics(self) -> DispatchStatistics:
        """Counters since the start."""
        return self._counters.read()

    def generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        """Admit a generation and start its first attempt; a refusal is final and immediate."""
        return self._counted(self._generate(request))

    def forward(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        """Forward to an application worker: limits, claim (class once), retries."""
        return self._counted(self._forward(request))

    def _counted(self, outcome: Result[_Served, Refusal]) -> Result[_Served, Refusal]:
        self._counters.count_request()
        if isinstance(outcome, Failure):
            self._counters.count_refusal(outcome.failure())
        return outcome

    # --- generations --------------------------------------------------------------------------

    def _generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        if not self._configuration.is_ready():
            return Failure(_refused(RefusalReason.NO_BACKEND, NOT_CONFIGURED, RETRY_AFTER_S))
        match self._route(request, self._configuration.current()):
            case Failure(refusal):
                return Failure(refusal)
            case Success(route):
                pass
        pools = self._starter.pools_of(route.policy)
        if not pools:
            detail = f"no pool serves policy {route.policy!r}"
            return Failure(_refused(RefusalReason.NO_BACKEND, detail, RETRY_AFTER_S))
        runtime = self._runtimes.of(pools[0])
        admitted = self._admit(
            runtime, request.request_class, request.caller, request.deadline_monotonic_s
        )
        match admitted:
            case Failure(refusal):
                return Failure(refusal)
            case Success(admission):
                return self._start_generation(request, route, runtime, admission)
        raise AssertionError("a result is a success or a failure")

    def _route(
        self, request: GenerationRequest, snapshot: ConfigurationSnapshot
    ) -> Result[GenerationRoute, Refusal]:
        policy_name, exact_version = request.policy, None
        comparison = comparison_of(request.policy, snapshot.comparisons.values())
        if comparison is not None:
            arm = arm_for(comparison, request.unit or request.caller)
            policy_name, exact_version = arm.policy, arm.version
        policy = snapshot.policies.get(policy_name)
        if policy is None:
            detail = f"no policy named {policy_name!r}"
            return Failure(_refused(RefusalReason.NO_SUCH_POLICY, detail, None))
        return Success(
            GenerationRoute(policy_name, policy.spec.model, request.minimum_version, exact_version)
        )

    def _start_generation(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        runtime: PoolRuntime,
        admission: _Admission,
    ) -> Result[Generation, Refusal]:
        attempts = RequestAttempts(runtime.budget, self._clock, admission.deadline_s)
        try:
            started = self._starter.start(request, route, (), admission.deadline_s, attempts)
        except BaseException:
            self._end(admission)
            raise
        match started:
            case Failure(refusal):
                return self._give_up(admission, refusal)
            case Success(first):
                pass
        gate = runtime.gates[request.request_class]

        def on_end(outcome: str) -> None:
            self._watch.remove(generation)
            self._counters.count_outcome(outcome)
            if outcome == COMPLETED:
                runtime.budget.on_success(self._clock.monotonic_s())
            self._end(admission)

        generation = RoutedGeneration(
            request,
            route,
            self._starter,
            attempts,
            first,
            admission.deadline_s,
            self._clock,
            GenerationListener(gate.note_latency, on_end),
        )
        self._watch.add(generation)
        return Success(generation)

    # --- applications -------------------------------------------------------------------------

    def _forward(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        if not self._configuration.is_ready():
            refusal = _refused(RefusalReason.NO_BACKEND, NOT_CONFIGURED, RETRY_AFTER_S)
            return Failure(self._once.refuse(request, refusal, None))
        pool = self._configuration.current().pools.get(request.pool)
        if pool is None or pool.spec.kind is not BackendKind.APPLICATION:
            detail = f"no application pool named {request.pool!r}"
            refusal = _refused(RefusalReason.NO_SUCH_POOL, detail, None)
            return Failure(self._once.refuse(request, refusal, None))
        runtime = self._runtimes.of(pool)
        kind = class_of(request, pool)
        admitted = self._admit(runtime, kind, request.caller, request.deadline_monotonic_s)
        match admitted:
            case Failure(refusal):
                return Failure(self._once.refuse(request, refusal, kind))
            case Success(admission):
                pass
        try:
            answered = self._send(request, runtime, kind, admission.deadline_s)
        except BaseException:
            self._end(admission)
            raise
        match answered:
            case Success(answer):
                return Success(self._held(answer, admission))
            case Failure(refusal):
                return self._give_up(admission, refusal)
        raise AssertionError("a result is a success or a failure")

    def _send(
        self,
        request: ApplicationRequest,
        runtime: PoolRuntime,
        kind: RequestClass,
        deadline_s: float,
    ) -> Result[ApplicationAnswer, Refusal]:
        on_latency = runtime.gates[kind].note_latency
        if kind is RequestClass.LOOKUP:
            return self._look_up(request, runtime, deadline_s)
        if kind is not RequestClass.ONCE:
            body = RequestBody(request.body, request.body_length)
            repeatable = is_repeatable(request, kind, runtime.pool)
            return self._forwarder.forward(
                request, body, runtime, deadline_s, repeatable=repeatable, on_latency=on_latency
            )
        return self._once.serve(
            request,
            runtime.pool,
            deadline_s,
            lambda keyed, body, check: self._forwarder.forward(
                keyed,
                body,
                runtime,
                deadline_s,
                repeatable=False,
                on_latency=on_latency,
                before_send=check,
            ),
        )

    def _look_up(
        self, request: ApplicationRequest, runtime: PoolRuntime, deadline_s: float
    ) -> Result[ApplicationAnswer, Refusal]:
        """Forward a lookup, hedged when it is small and the node is not busy with others."""
        body = RequestBody(request.body, request.body_length)
        gate = runtime.gates[RequestClass.LOOKUP]
        began_s = self._clock.monotonic_s()

        def attempt(used: set[str]) -> Result[ApplicationAnswer, Refusal]:
            return self._forwarder.forward(
                request,
                body,
                runtime,
                deadline_s,
                repeatable=True,
                on_latency=gate.note_latency,
                used=used,
            )

        delay_s = runtime.hedging.delay_s
        small = body.length is not None and body.length <= HEDGED_BODY_BYTES
        if delay_s is None or not small or gate.running > HEDGED_RUNNING:
            answered = attempt(set())
        else:
            try:
                body.read_whole(HEDGED_BODY_BYTES)
            except BodyTruncatedError as failure:
                return Failure(_refused(RefusalReason.INVALID, f"body: {failure}", None))
            answered = self._hedger.run(attempt, runtime.hedging, delay_s)
        runtime.hedging.sample(self._clock.monotonic_s() - began_s)
        return answered

    def _held(self, answer: ApplicationAnswer, admission: _Admission) -> ApplicationAnswer:
        def on_end(failure: BaseException | None) -> None:
            self._counters.count_outcome(COMPLETED if failure is None else "cut")
            self._end(admission)

        return with_body(answer, HeldBody(answer.body, on_end))

    # --- admission ----------------------------------------------------------------------------

    def _admit(
        self, runtime: PoolRuntime, kind: RequestClass, caller: str, deadline_s: float | None
    ) -> Result[_Admission, Refusal]:
        if self._draining:
            detail = "this node is leaving"
            return Failure(_refused(RefusalReason.DRAINING, detail, RETRY_AFTER_S))
        gate = runtime.gates[kind]
        if deadline_s is None:
            deadline_s = self._clock.monotonic_s() + gate.timeout_s
        return gate.enter(caller, deadline_s).map(
            lambda permit: self._begin(_Admission(permit, deadline_s))
        )

    def _begin(self, admission: _Admission) -> _Admission:
        with self._in_hand_changed:
            self._in_hand += 1
        return admission

    def _end(self, admission: _Admission) -> None:
        admission.permit.release()
        with self._in_hand_changed:
            self._in_hand -= 1
            self._in_hand_changed.notify_all()

    def _give_up(self, admission: _Admission, refusal: Refusal) -> Failure[Refusal]:
        self._end(admission)
        return Failure(refusal)

    def _find_claims(self) -> Claims | None:
        registry = self._kernel.registry
        if not registry.has(names.CLAIMS):
            return None
        return registry.find(names.CLAIMS, Claims)  # type: ignore[type-abstract]


def _refused(reason: RefusalReason, detail: str, retry_after_s: float | None) -> Refusal:
    return Refusal(reason, RunState.NOT_RUN, detail, retry_after_s)
