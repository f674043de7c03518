"""Admission and start of generation requests."""

from returns.result import Failure, Result, Success

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel.clock import Clock
from bellweir.routing.admitted_requests import Admission, AdmittedRequests, not_configured, not_run
from bellweir.routing.arm_counters import ArmCounters, ArmKey
from bellweir.routing.attempts import RETRY_AFTER_S, RequestAttempts
from bellweir.routing.comparisons import assign_arm, find_comparison
from bellweir.routing.counters import COMPLETED, DispatchCounters
from bellweir.routing.generation import GenerationListener, RoutedGeneration
from bellweir.routing.generation_attempt import (
    GenerationRoute,
    GenerationStarter,
    RunningAttempt,
)
from bellweir.routing.interface import Generation, GenerationRequest, Refusal, RefusalReason
from bellweir.routing.pool_runtime import PoolRuntime, PoolRuntimes
from bellweir.routing.stream_watchdog import StreamWatchdog


class GenerationRequests:
    """Resolves the route of generation requests, admits and starts them."""

    def __init__(
        self,
        configuration: Configuration,
        admissions: AdmittedRequests,
        runtimes: PoolRuntimes,
        starter: GenerationStarter,
        watch: StreamWatchdog,
        counters: DispatchCounters,
        arms: ArmCounters,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._admissions = admissions
        self._runtimes = runtimes
        self._starter = starter
        self._watch = watch
        self._counters = counters
        self._arms = arms
        self._clock = clock

    def serve(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        """Admit a generation and start its first attempt."""
        if not self._configuration.is_ready():
            return Failure(not_configured())
        match resolve_route(request, self._configuration.current()):
            case Failure(refusal):
                return Failure(refusal)
            case Success(route):
                pass
        pools = self._starter.pools_of(route.policy)
        if not pools:
            detail = f"no pool serves policy {route.policy!r}"
            return Failure(not_run(RefusalReason.NO_BACKEND, detail, RETRY_AFTER_S))
        runtime = self._runtimes.of(pools[0])
        kind, deadline_s = request.request_class, request.deadline_monotonic_s
        match self._admissions.admit(runtime, kind, request.caller, deadline_s):
            case Failure(refusal):
                return Failure(refusal)
            case Success(admission):
                return self._start(request, route, runtime, admission)
        raise AssertionError("a result is a success or a failure")

    def _start(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        runtime: PoolRuntime,
        admission: Admission,
    ) -> Result[Generation, Refusal]:
        started_s = self._clock.monotonic_s()
        attempts = RequestAttempts(runtime.budget, self._clock, admission.deadline_s)
        try:
            started = self._starter.start(request, route, (), admission.deadline_s, attempts)
        except BaseException:
            self._admissions.end(admission)
            raise
        match started:
            case Failure(refusal):
                self._admissions.end(admission)
                return Failure(refusal)
            case Success(first):
                running = self._create_generation(
                    request, route, runtime, admission, attempts, first, started_s
                )
                return Success(running)
        raise AssertionError("a result is a success or a failure")

    def _create_generation(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        runtime: PoolRuntime,
        admission: Admission,
        attempts: RequestAttempts,
        first: RunningAttempt,
        started_s: float,
    ) -> RoutedGeneration:
        note_latency = runtime.gates[request.request_class].record_latency
        if route.arm is not None:
            self._arms.record_start(route.arm)

        def on_first_token(latency_s: float) -> None:
            note_latency(latency_s)
            if route.arm is not None:
                # Measured from the request, as an engine may respond only with its first token.
                self._arms.record_first_token(route.arm, self._clock.monotonic_s() - started_s)

        def on_end(outcome: str) -> None:
            self._watch.remove(generation)
            self._counters.count_outcome(outcome)
            if route.arm is not None:
                took_s = self._clock.monotonic_s() - started_s
                self._arms.record_end(route.arm, outcome, generation.token_count, took_s)
            if outcome == COMPLETED:
                runtime.budget.record_success(self._clock.monotonic_s())
            self._admissions.end(admission)

        generation = RoutedGeneration(
            request,
            route,
            self._starter,
            attempts,
            first,
            admission.deadline_s,
            self._clock,
            GenerationListener(on_first_token, on_end),
        )
        self._watch.add(generation)
        return generation


def resolve_route(
    request: GenerationRequest, snapshot: ConfigurationSnapshot
) -> Result[GenerationRoute, Refusal]:
    """Resolve a request's policy, or the arm of its comparison, to engine requirements."""
    policy_name, exact_version, chosen = request.policy, None, None
    comparison = find_comparison(request.policy, snapshot.comparisons.values())
    if comparison is not None:
        arm = assign_arm(comparison, request.unit or request.caller)
        policy_name, exact_version = arm.policy, arm.version
        chosen = ArmKey(comparison.metadata.name, arm.name)
    policy = snapshot.policies.get(policy_name)
    if policy is None:
        detail = f"no policy named {policy_name!r}"
        return Failure(not_run(RefusalReason.NO_SUCH_POLICY, detail, None))
    model, minimum = policy.spec.model, request.minimum_version
    return Success(GenerationRoute(policy_name, model, minimum, exact_version, chosen))
