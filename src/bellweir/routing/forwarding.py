"""Forwards application requests to workers, with retries."""

from collections.abc import Callable
from posixpath import normpath
from urllib.parse import unquote

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    ApplicationAnswer,
    ApplicationCall,
    ErrorKind,
    IncompleteBodyError,
    PlatformClients,
    PlatformError,
)
from bellweir.kernel.clock import Clock
from bellweir.resources.models import Pool, RequestClass
from bellweir.routing.answers import (
    MAX_BUFFERED_ANSWER_BYTES,
    TrackedBody,
    declared_length,
    read_whole,
    with_body,
)
from bellweir.routing.attempts import AttemptSlot, RequestAttempts, new_attempt_id
from bellweir.routing.backend import Backend
from bellweir.routing.candidates import candidates
from bellweir.routing.counters import DispatchCounters
from bellweir.routing.interface import ApplicationRequest, Refusal
from bellweir.routing.pool_runtime import PoolRuntime, PoolRuntimes
from bellweir.routing.request_body import RequestBody
from bellweir.routing.views_service import BackendViewsService

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""As defined in RFC 9110, section 9.2.2."""
UNSAFE_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})


def effective_class(request: ApplicationRequest, pool: Pool) -> RequestClass:
    """Return the class to serve a request with.

    The pool's `oncePaths` take precedence over the class that the caller asks for.
    """
    if request.method.upper() in UNSAFE_METHODS and _under(request.path, pool.spec.once_paths):
        return RequestClass.ONCE
    return request.request_class


def is_retry_safe(request: ApplicationRequest, kind: RequestClass, pool: Pool) -> bool:
    """Whether a request may be retried even if an earlier attempt has run.

    Interactive requests with a non-idempotent method are safe to retry only in pools with
    `oncePaths`, which list the paths that are not.
    """
    if kind is RequestClass.ONCE:
        return False
    if kind in (RequestClass.LOOKUP, RequestClass.DRAFT):
        return True
    return request.method.upper() in IDEMPOTENT_METHODS or bool(pool.spec.once_paths)


def _under(path: str, prefixes: tuple[str, ...]) -> bool:
    """Whether a path equals a prefix or lies below it, compared by whole segments.

    The path is percent-decoded and normalized first, so that an alternative spelling cannot
    bypass the rule.
    """
    normalized = normpath("/" + unquote(path.partition("?")[0]).lstrip("/"))
    for prefix in prefixes:
        normalized_prefix = "/" + prefix.strip("/")
        if (
            normalized_prefix == "/"
            or normalized == normalized_prefix
            or normalized.startswith(normalized_prefix + "/")
        ):
            return True
    return False


class Forwarder:
    """Sends application requests to the workers of a pool."""

    def __init__(
        self,
        views: BackendViewsService,
        runtimes: PoolRuntimes,
        clients: PlatformClients,
        clock: Clock,
        counters: DispatchCounters,
    ) -> None:
        self._views = views
        self._runtimes = runtimes
        self._clients = clients
        self._clock = clock
        self._counters = counters

    def forward(
        self,
        request: ApplicationRequest,
        body: RequestBody,
        runtime: PoolRuntime,
        deadline_s: float,
        *,
        retry_safe: bool,
        on_latency: Callable[[float], None],
        before_send: Callable[[], Refusal | None] = lambda: None,
        used: set[str] | None = None,
    ) -> Result[ApplicationAnswer, Refusal]:
        """Send a request, with retries, until an answer arrives or no retry is allowed.

        `before_send` is called before each attempt and may refuse it; the run state of its
        refusal must also hold for the earlier attempts, which are proved not run. Back ends in
        `used` are avoided, and those tried are added to it.
        """
        attempts = RequestAttempts(runtime.budget, self._clock, deadline_s)
        while True:
            backend = self._choose(runtime, attempts.tried | (used or set()))
            if backend is None and attempts.wait_for_backend(self._backends(runtime)):
                continue
            if backend is None or self._clock.monotonic_s() >= deadline_s:
                return Failure(attempts.refusal())
            refusal = before_send()
            if refusal is not None:
                return Failure(refusal)
            if used is not None:
                used.add(backend.name)
            started_s = self._clock.monotonic_s()
            match self._attempt(request, body, backend, deadline_s):
                case Success(answer):
                    now_s = self._clock.monotonic_s()
                    on_latency(now_s - started_s)
                    runtime.budget.record_success(now_s)
                    return Success(answer)
                case Failure(error):
                    attempts.record_failure(backend, error)
            if not body.replayable or not attempts.may_retry(retry_safe=retry_safe):
                return Failure(attempts.refusal())

    def _backends(self, runtime: PoolRuntime) -> tuple[Backend, ...]:
        found = self._views.pools().get(runtime.pool.metadata.name)
        return found.backends if found is not None else ()

    def _choose(self, runtime: PoolRuntime, tried: set[str]) -> Backend | None:
        now_s = self._clock.monotonic_s()
        usable = candidates(self._backends(runtime), tried, now_s)
        return runtime.strategy.choose(usable, None) if usable else None

    def _attempt(
        self,
        request: ApplicationRequest,
        body: RequestBody,
        backend: Backend,
        deadline_s: float,
    ) -> Result[ApplicationAnswer, PlatformError]:
        call = ApplicationCall(
            attempt_id=new_attempt_id(request.request_id),
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=body.open(),
            body_length=body.length,
            timeout_s=max(0.001, deadline_s - self._clock.monotonic_s()),
        )
        interactive = request.request_class is not RequestClass.DRAFT
        slot = AttemptSlot(backend, self._clock, deadline_s, interactive=interactive)
        self._counters.count_attempt()
        try:
            sent = self._clients.application(backend.address).send(call)
        except BaseException:
            slot.abandon()
            raise
        match sent:
            case Success(answer):
                return self._take_answer(answer, slot)
            case Failure(error):
                slot.fail(error)
        return sent

    def _take_answer(
        self, answer: ApplicationAnswer, slot: AttemptSlot
    ) -> Result[ApplicationAnswer, PlatformError]:
        if answer.leaving:
            slot.mark_leaving("answer")
        length = declared_length(answer)
        if length is None or length > MAX_BUFFERED_ANSWER_BYTES:
            slot.note_healthy()
            return Success(with_body(answer, TrackedBody(answer.body, _on_body_end(slot))))
        match read_whole(answer, MAX_BUFFERED_ANSWER_BYTES):
            case Success(None):
                error = PlatformError(ErrorKind.UNKNOWN, "the answer is longer than it declared")
                slot.fail(error)
                return Failure(error)
            case Success(whole):
                slot.succeed()
                return Success(with_body(answer, iter((whole,) if whole else ())))
            case Failure(error):
                slot.fail(error)
                return Failure(error)
        raise AssertionError("a result is a success or a failure")


def _on_body_end(slot: AttemptSlot) -> Callable[[BaseException | None], None]:
    def end(failure: BaseException | None) -> None:
        if failure is None:
            slot.succeed()
        elif isinstance(failure, IncompleteBodyError):
            slot.fail(PlatformError(ErrorKind.UNKNOWN, str(failure)))
        else:
            slot.abandon()

    return end
