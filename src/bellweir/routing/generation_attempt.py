"""One attempt of a generation: which engine, the call, and its stream."""

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
from bellweir.routing.attempts import AttemptHold, RequestAttempts, new_attempt_id
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
    """What a request's policy, after its comparison, asks of an engine."""

    policy: str
    model: str
    minimum_version: int | None
    exact_version: int | None
    arm: ArmKey | None = None
    """The comparison's arm that was chosen."""


@dataclass(frozen=True)
class RunningAttempt:
    """An attempt that an engine has accepted."""

    attempt_id: str
    engine: Engine
    stream: EngineStream
    hold: AttemptHold


class GenerationStarter:
    """Chooses engines and starts attempts on them."""

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
        """The pools whose engines serve a policy, by name."""
        found = self._views.pools()
        return [
            found[name].pool for name in sorted(found) if policy in found[name].pool.spec.policies
        ]

    def _backends_of(self, policy: str) -> list[Backend]:
        """The back ends of all pools that serve a policy."""
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
        had: tuple[int, ...],
        deadline_s: float,
        attempts: RequestAttempts,
    ) -> Result[RunningAttempt, Refusal]:
        """Start an attempt after the tokens had, trying again as far as that is allowed."""
        began_s = self._clock.monotonic_s()
        while True:
            started = self._start_once(request, route, had, deadline_s, attempts)
            match started:
                case Success(attempt):
                    return Success(attempt)
                case Failure(None):
                    may_go_on = self._wait(route, attempts, began_s, deadline_s)
                case _:
                    may_go_on = attempts.may_retry(repeatable=True)
            if not may_go_on:
                return Failure(attempts.refusal())

    def _wait(
        self, route: GenerationRoute, attempts: RequestAttempts, began_s: float, deadline_s: float
    ) -> bool:
        """Wait a little for room or for a back end; False when this request has to be refused."""
        if attempts.lacks_room:
            room = self._runtimes.of(self.pools_of(route.policy)[0]).draft_room
            return room.wait_a_little(began_s, deadline_s)
        return attempts.wait_for_backend(self._backends_of(route.policy))

    def _start_once(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        had: tuple[int, ...],
        deadline_s: float,
        attempts: RequestAttempts,
    ) -> Result[RunningAttempt, PlatformError | None]:
        """Start one attempt; the failure is None when no engine fits."""
        backend = self._choose(request, route, attempts)
        if backend is None:
            return Failure(None)
        engine = self._clients.engine(backend.address)
        call = self._call(request, route, had, deadline_s)
        interactive = request.request_class is not RequestClass.DRAFT
        hold = AttemptHold(backend, self._clock, deadline_s, interactive=interactive)
        self._counters.count_attempt()
        try:
            started = engine.generate(call)
        except BaseException:
            hold.abandon()
            raise
        match started:
            case Success(stream):
                return Success(RunningAttempt(call.attempt_id, engine, stream, hold))
            case Failure(error):
                hold.fail(error)
                attempts.note_failure(backend, error)
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    def cancel(self, attempt: RunningAttempt) -> None:
        """Drop an attempt: its connection at once, its work on the engine by a call aside."""
        attempt.hold.abandon()
        self.drop(attempt)

    def drop(self, attempt: RunningAttempt) -> None:
        """Close an attempt's connection and tell its engine, without a word on its health."""
        attempt.stream.close()
        worker = attempt.hold.backend.key
        self._cancellations.cancel(worker, attempt.engine, attempt.attempt_id)

    def has_alternative(self, attempt: RunningAttempt, route: GenerationRoute) -> bool:
        """Whether another engine could go on with an attempt now."""
        current = {attempt.hold.backend.name}
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
        roomy = [backend for backend in usable if backend.has_draft_room(share, now_s)]
        if not roomy:
            attempts.note_no_room()
        return roomy

    def _call(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        had: tuple[int, ...],
        deadline_s: float,
    ) -> GenerationCall:
        return GenerationCall(
            attempt_id=new_attempt_id(request.request_id),
            request_id=request.request_id,
            prompt=request.prompt,
            prefix_tokens=request.prefix_tokens + had,
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
    """Whether an engine holds the model in an admissible version."""
    report = backend.report
    if report is None or report.weight_version is None:
        return False
    if report.model is not None and report.model != route.model:
        return False
    if route.exact_version is not None and report.weight_version != route.exact_version:
        return False
    return route.minimum_version is None or report.weight_version >= route.minimum_version
