"""Starts and cancels generation attempts on engines."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    Engine,
    EngineStream,
    GenerationCall,
    PlatformClients,
    PlatformError,
)
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors
from bellweir.resources.models import Pool, RequestClass
from bellweir.routing.arm_counters import ArmKey
from bellweir.routing.attempts import AttemptSlot, RequestAttempts, new_attempt_id
from bellweir.routing.backend import Backend
from bellweir.routing.cancellations import Cancellations
from bellweir.routing.candidates import candidates
from bellweir.routing.counters import DispatchCounters
from bellweir.routing.interface import GenerationRequest, Refusal
from bellweir.routing.pool_runtime import PoolRuntimes
from bellweir.routing.views_service import BackendViewsService

ENGINE_PRIORITY = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.LOOKUP: 0,
    RequestClass.ONCE: 0,
    RequestClass.DRAFT: 10,
}


@dataclass(frozen=True)
class GenerationRoute:
    """Engine requirements of a request, resolved from its policy and comparison."""

    policy: str
    model: str
    minimum_version: int | None
    exact_version: int | None
    arm: ArmKey | None = None
    """Arm of the comparison that the request was assigned to."""


@dataclass(frozen=True)
class RunningAttempt:
    """An attempt that an engine has accepted."""

    attempt_id: str
    engine: Engine
    stream: EngineStream
    slot: AttemptSlot


class GenerationStarter:
    """Selects engines and starts attempts on them."""

    def __init__(
        self,
        views: BackendViewsService,
        runtimes: PoolRuntimes,
        clients: PlatformClients,
        executors: Executors,
        clock: Clock,
        counters: DispatchCounters,
        draft_share: float,
    ) -> None:
        self._views = views
        self._runtimes = runtimes
        self._clients = clients
        self._cancellations = Cancellations(executors)
        self._clock = clock
        self._counters = counters
        self._draft_share = draft_share

    def pools_of(self, policy: str) -> list[Pool]:
        """Return the pools that serve a policy, sorted by name."""
        found = self._views.pools()
        return [
            found[name].pool for name in sorted(found) if policy in found[name].pool.spec.policies
        ]

    def _backends_of(self, policy: str) -> list[Backend]:
        """Return the back ends of all pools that serve a policy."""
        found = self._views.pools()
        return [
            backend
            for pool in self.pools_of(policy)
            for backend in found[pool.metadata.name].backends
        ]

    def start(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        generated_tokens: tuple[int, ...],
        deadline_s: float,
        attempts: RequestAttempts,
    ) -> Result[RunningAttempt, Refusal]:
        """Start an attempt that continues after the generated tokens, with retries."""
        started_s = self._clock.monotonic_s()
        while True:
            started = self._start_attempt(request, route, generated_tokens, deadline_s, attempts)
            match started:
                case Success(attempt):
                    return Success(attempt)
                case Failure(None):
                    may_continue = self._wait(route, attempts, started_s, deadline_s)
                case _:
                    may_continue = attempts.may_retry(retry_safe=True)
            if not may_continue:
                return Failure(attempts.refusal())

    def _wait(
        self, route: GenerationRoute, attempts: RequestAttempts, started_s: float, deadline_s: float
    ) -> bool:
        """Wait for draft capacity or a back end; return False if the request must be refused."""
        if attempts.lacks_draft_capacity:
            room = self._runtimes.of(self.pools_of(route.policy)[0]).draft_waiters
            return room.wait_before_recheck(started_s, deadline_s)
        return attempts.wait_for_backend(self._backends_of(route.policy))

    def _start_attempt(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        generated_tokens: tuple[int, ...],
        deadline_s: float,
        attempts: RequestAttempts,
    ) -> Result[RunningAttempt, PlatformError | None]:
        """Start one attempt; the failure is None if no engine is usable."""
        backend = self._choose(request, route, attempts)
        if backend is None:
            return Failure(None)
        engine = self._clients.engine(backend.address)
        call = self._call(request, route, generated_tokens, deadline_s)
        interactive = request.request_class is not RequestClass.DRAFT
        slot = AttemptSlot(backend, self._clock, deadline_s, interactive=interactive)
        self._counters.count_attempt()
        try:
            started = engine.generate(call)
        except BaseException:
            slot.abandon()
            raise
        match started:
            case Success(stream):
                return Success(RunningAttempt(call.attempt_id, engine, stream, slot))
            case Failure(error):
                slot.fail(error)
                attempts.record_failure(backend, error)
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    def cancel(self, attempt: RunningAttempt) -> None:
        """Release an attempt's slot, close its connection and cancel it on the engine."""
        attempt.slot.abandon()
        self.abort(attempt)

    def abort(self, attempt: RunningAttempt) -> None:
        """Close an attempt's connection and cancel it on the engine; its slot stays occupied."""
        attempt.stream.close()
        worker = attempt.slot.backend.key
        self._cancellations.cancel(worker, attempt.engine, attempt.attempt_id)

    def has_alternative(self, attempt: RunningAttempt, route: GenerationRoute) -> bool:
        """Whether another engine could resume an attempt now."""
        current = {attempt.slot.backend.name}
        return bool(
            candidates(
                self._backends_of(route.policy),
                current,
                self._clock.monotonic_s(),
                lambda backend: serves(backend, route),
            )
        )

    def _choose(
        self, request: GenerationRequest, route: GenerationRoute, attempts: RequestAttempts
    ) -> Backend | None:
        now_s = self._clock.monotonic_s()
        pools = self._views.pools()
        for pool in self.pools_of(route.policy):
            usable = candidates(
                pools[pool.metadata.name].backends,
                attempts.tried,
                now_s,
                lambda backend: serves(backend, route),
            )
            if usable and request.request_class is RequestClass.DRAFT:
                usable = self._with_draft_room(usable, now_s, attempts)
            preferred = [found for found in usable if found.name not in request.avoid_workers]
            if usable:
                strategy = self._runtimes.of(pool).strategy
                return strategy.choose(preferred or usable, request.prompt)
        return None

    def _with_draft_room(
        self, usable: list[Backend], now_s: float, attempts: RequestAttempts
    ) -> list[Backend]:
        share = self._draft_share
        with_capacity = [backend for backend in usable if backend.has_draft_capacity(share, now_s)]
        if not with_capacity:
            attempts.record_no_draft_capacity()
        return with_capacity

    def _call(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        generated_tokens: tuple[int, ...],
        deadline_s: float,
    ) -> GenerationCall:
        return GenerationCall(
            attempt_id=new_attempt_id(request.request_id),
            request_id=request.request_id,
            prompt=request.prompt,
            prefix_tokens=request.prefix_tokens + generated_tokens,
            max_tokens=request.max_tokens,
            priority=ENGINE_PRIORITY[request.request_class],
            model=route.model,
            minimum_version=route.minimum_version,
            deadline_s=max(0.0, deadline_s - self._clock.monotonic_s()),
            stop=request.stop,
            temperature=request.temperature,
            seed=request.seed,
        )


def serves(backend: Backend, route: GenerationRoute) -> bool:
    """Whether an engine has loaded the model in an acceptable version."""
    report = backend.report
    if report is None or report.weight_version is None:
        return False
    if report.model is not None and report.model != route.model:
        return False
    if route.exact_version is not None and report.weight_version != route.exact_version:
        return False
    return route.minimum_version is None or report.weight_version >= route.minimum_version
