"""A running generation: one continuous token stream over one or more engine attempts."""

import threading
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ErrorKind, FinishReason, PlatformError, TokenChunk
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.resources.models import RequestClass
from bellweir.routing.attempts import RequestAttempts
from bellweir.routing.counters import CANCELLED, COMPLETED
from bellweir.routing.generation_attempt import (
    GenerationRoute,
    GenerationStarter,
    RunningAttempt,
)
from bellweir.routing.interface import (
    Generation,
    GenerationChunk,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)
from bellweir.routing.log_events import GENERATION_RESUMED

TRUNCATED_STREAM = PlatformError(ErrorKind.UNKNOWN, "the stream ended without an end marker")
CANCELLED_BY_ENGINE = PlatformError(
    ErrorKind.UNKNOWN, "the engine gave the request up", answered=True
)


@dataclass(frozen=True)
class IdleTimeouts:
    """Time without a token after which a generation is resumed on another engine."""

    first_token_s: float
    """Includes time in the engine's queue."""
    next_token_s: float


INTERACTIVE_IDLE_TIMEOUTS = IdleTimeouts(first_token_s=2.0, next_token_s=1.0)
DRAFT_IDLE_TIMEOUTS = IdleTimeouts(first_token_s=30.0, next_token_s=10.0)
UNREACHABLE_IDLE_TIMEOUT_S = 0.3
"""Applies to all request classes once the engine's health probes fail."""


@dataclass(frozen=True)
class GenerationListener:
    """Callbacks for events of a running generation."""

    on_first_token: Callable[[float], None]
    """Called with the time to the first token in seconds."""
    on_end: Callable[[str], None]
    """Called once with the outcome."""


class RoutedGeneration(Generation):
    """Token stream of one request, resumed on another engine when an attempt fails.

    Each attempt has its own stream and only the current attempt's stream is read, so late
    frames of an abandoned attempt never reach the caller.
    """

    def __init__(
        self,
        request: GenerationRequest,
        route: GenerationRoute,
        starter: GenerationStarter,
        attempts: RequestAttempts,
        first: RunningAttempt,
        deadline_s: float,
        clock: Clock,
        listener: "GenerationListener",
    ) -> None:
        self._request = request
        self._route = route
        self._starter = starter
        self._attempts = attempts
        self._attempt = first
        self._deadline_s = deadline_s
        self._clock = clock
        self._listener = listener
        self._started_s = clock.monotonic_s()
        self._generated: tuple[int, ...] = ()
        self._last_version = 0
        self._lock = threading.Lock()
        self._ended = False
        self._cancelled = False
        self._attempt_tokens = 0
        self._reading_since_s: float | None = None
        self._timed_out_attempt_id: str | None = None
        """Id of the last attempt that was aborted by the idle timeout."""

    @property
    def token_count(self) -> int:
        """Number of generated tokens, without the request's prefix tokens."""
        return len(self._generated)

    def __iter__(self) -> Iterator[Result[GenerationChunk, Refusal]]:
        """Yield chunks up to the finish reason, or a refusal as the last item."""
        outcome = CANCELLED
        try:
            for item in self._items():
                match item:
                    case Success(chunk) if chunk.finish_reason is not None:
                        outcome = COMPLETED
                    case Failure(refusal):
                        outcome = refusal.reason.value
                yield item
        finally:
            self._end(outcome)

    def cancel(self) -> None:
        """Cancel the running attempt and release the request's resources."""
        with self._lock:
            self._cancelled = True
            attempt = self._attempt
        self._end(CANCELLED)
        self._starter.cancel(attempt)

    def _items(self) -> Iterator[Result[GenerationChunk, Refusal]]:
        while True:
            attempt = self._attempt
            tokens_before = len(self._generated)
            error = yield from self._attempt_items(attempt)
            if error is None or self._cancelled:
                return
            self._record_failure(attempt, error, progressed=len(self._generated) > tokens_before)
            if len(self._request.prefix_tokens) + len(self._generated) >= self._request.max_tokens:
                yield Success(self._final_chunk(attempt))
                return
            refusal = self._resume()
            if refusal is not None:
                yield Failure(refusal)
                return

    def _attempt_items(
        self, attempt: RunningAttempt
    ) -> Generator[Result[GenerationChunk, Refusal], None, PlatformError | None]:
        """Yield one attempt's chunks; return its error, or None when the request has ended."""
        chunks = self._read(attempt)
        for item in chunks:
            if self._cancelled:
                return None
            if isinstance(item, Failure):
                failed: PlatformError = item.failure()
                return failed
            chunk = item.unwrap()
            if chunk.finish_reason is FinishReason.CANCELLED:
                return CANCELLED_BY_ENGINE  # this stream did not request the cancellation
            if chunk.finish_reason is not None:
                yield from self._finish_attempt(chunk, attempt, chunks)
                return None
            yield Success(self._accept(chunk, attempt))
            if self._past_deadline():
                yield Failure(self._cancel_at_deadline(attempt))
                return None
        return TRUNCATED_STREAM

    def _record_failure(
        self, attempt: RunningAttempt, error: PlatformError, *, progressed: bool
    ) -> None:
        attempt.slot.fail(error)
        attempt.stream.close()
        self._attempts.record_failure(attempt.slot.backend, error)
        if progressed:
            self._attempts.record_progress(attempt.slot.backend)

    def _finish_attempt(
        self,
        chunk: TokenChunk,
        attempt: RunningAttempt,
        chunks: Iterator[Result[TokenChunk, PlatformError]],
    ) -> Iterator[Result[GenerationChunk, Refusal]]:
        """End the attempt before yielding its last chunk, as callers may stop reading there."""
        attempt.slot.succeed()
        try:
            yield Success(self._accept(chunk, attempt))
        finally:
            next(chunks, None)  # the end marker, so that the connection can be reused

    def _read(self, attempt: RunningAttempt) -> Iterator[Result[TokenChunk, PlatformError]]:
        """Yield the items of an attempt's stream and track the start of each pending read."""
        self._attempt_tokens = 0
        chunks = iter(attempt.stream)
        while True:
            self._reading_since_s = self._clock.monotonic_s()
            item = next(chunks, None)
            self._reading_since_s = None
            if item is None:
                return
            yield item

    def check_idle_timeout(self) -> None:
        """Abort an idle attempt if another engine is available, or any attempt at the deadline.

        Called from the watchdog's thread. The reading thread sees the closed stream as an
        error and resumes on another engine, or ends if the deadline has passed.
        """
        since_s = self._reading_since_s
        with self._lock:
            attempt = self._attempt
            if since_s is None or self._ended or attempt.attempt_id == self._timed_out_attempt_id:
                return
        now_s = self._clock.monotonic_s()
        late = now_s >= self._deadline_s
        if not late and not self._is_idle(attempt, now_s - since_s):
            return
        if late or self._starter.has_alternative(attempt, self._route):
            self._timed_out_attempt_id = attempt.attempt_id
            self._starter.abort(attempt)

    def _is_idle(self, attempt: RunningAttempt, idle_s: float) -> bool:
        draft = self._request.request_class is RequestClass.DRAFT
        limits = DRAFT_IDLE_TIMEOUTS if draft else INTERACTIVE_IDLE_TIMEOUTS
        report = attempt.slot.backend.report
        if report is not None and not report.reachable:
            return idle_s >= UNREACHABLE_IDLE_TIMEOUT_S
        if self._attempt_tokens:
            return idle_s >= limits.next_token_s
        if attempt.slot.backend.is_queueing:
            limits = DRAFT_IDLE_TIMEOUTS  # the request may be queued on the engine
        return idle_s >= limits.first_token_s

    def _accept(self, chunk: TokenChunk, attempt: RunningAttempt) -> GenerationChunk:
        if not self._generated:
            self._listener.on_first_token(self._clock.monotonic_s() - self._started_s)
        if not self._attempt_tokens:
            attempt.slot.note_healthy()
        self._attempt_tokens += len(chunk.tokens)
        self._generated += chunk.tokens
        self._last_version = chunk.weight_version
        return GenerationChunk(
            tokens=chunk.tokens,
            text=chunk.text,
            weight_version=chunk.weight_version,
            worker=attempt.slot.backend.name,
            finish_reason=chunk.finish_reason,
        )

    def _final_chunk(self, attempt: RunningAttempt) -> GenerationChunk:
        """Return the final chunk of an answer that is complete except for its end marker."""
        return GenerationChunk(
            (), "", self._last_version, attempt.slot.backend.name, FinishReason.LENGTH
        )

    def _resume(self) -> Refusal | None:
        """Start the next attempt; return a refusal if none is possible."""
        if not self._attempts.may_retry(retry_safe=True):
            return self._attempts.refusal()
        started = self._starter.start(
            self._request, self._route, self._generated, self._deadline_s, self._attempts
        )
        match started:
            case Success(attempt):
                self._switch_to(attempt)
                return None
            case _:
                return started.failure()

    def _switch_to(self, attempt: RunningAttempt) -> None:
        with self._lock:
            self._attempt = attempt
            cancelled = self._cancelled
        if cancelled:
            # `cancel` ran before the switch and cancelled only the previous attempt.
            self._starter.cancel(attempt)
            return
        emit(
            GENERATION_RESUMED,
            request_id=self._request.request_id,
            attempt_id=attempt.attempt_id,
            worker=attempt.slot.backend.name,
            tokens=len(self._generated),
        )

    def _cancel_at_deadline(self, attempt: RunningAttempt) -> Refusal:
        self._starter.cancel(attempt)
        return Refusal(RefusalReason.DEADLINE, RunState.RAN, "the deadline passed while it ran")

    def _past_deadline(self) -> bool:
        return self._clock.monotonic_s() >= self._deadline_s

    def _end(self, outcome: str) -> None:
        with self._lock:
            if self._ended:
                return
            self._ended = True
            attempt = self._attempt
        if outcome == CANCELLED:
            self._starter.cancel(attempt)
        attempt.slot.abandon()  # no effect if the slot was released before
        self._listener.on_end(outcome)
