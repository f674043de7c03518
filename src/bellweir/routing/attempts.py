"""Accounting and retry policy for the attempts of a request."""

import secrets
import threading
from collections.abc import Collection

from bellweir.clients.interface import ErrorKind, PlatformError
from bellweir.kernel.clock import Clock
from bellweir.routing.backend import Backend
from bellweir.routing.interface import Refusal, RefusalReason, RunState
from bellweir.routing.retry_budget import RetryBudget, backoff_s

MAX_ATTEMPTS = 3
MAX_BACKEND_WAIT_S = 1.0
"""Total wait for a back end that is reachable but not ready, for example during a weight swap."""
BACKEND_POLL_INTERVAL_S = 0.02
RETRY_AFTER_S = 1.0
"""Default `Retry-After` of refusals."""

SLOW_ATTEMPT_S = 5.0
"""Attempts that time out sooner than this do not count as failures of the back end."""
UNHEALTHY_KINDS = frozenset({ErrorKind.NOT_RUN, ErrorKind.UNKNOWN})
UNAVAILABLE_KINDS = frozenset({ErrorKind.NOT_RUN, ErrorKind.LEAVING})
"""Errors reported to the caller as an unavailable rather than a failed back end."""
NON_RETRYABLE_KINDS = frozenset({ErrorKind.INVALID, ErrorKind.NOT_FOUND})
"""Errors that every back end would return for the request."""


def new_attempt_id(request_id: str) -> str:
    """Return a unique attempt id that starts with the request id."""
    return f"{request_id}/{secrets.token_hex(6)}"


class AttemptSlot:
    """Slot that an attempt occupies on its back end.

    The first call that ends the slot releases it; later calls have no effect. Thread-safe.
    """

    def __init__(
        self, backend: Backend, clock: Clock, deadline_s: float, *, interactive: bool
    ) -> None:
        self.backend = backend
        self._started_s = clock.monotonic_s()
        self._deadline_s = deadline_s
        self._clock = clock
        self._ended = False
        self._lock = threading.Lock()
        backend.record_start(clock.monotonic_s(), interactive=interactive)

    def note_healthy(self) -> None:
        """Record that the back end has started to answer."""
        self.backend.record_healthy()

    def succeed(self) -> None:
        """Release the slot and record a success of the back end."""
        self._end(healthy=True)

    def abandon(self) -> None:
        """Release the slot without recording a success or failure."""
        self._end(healthy=None)

    def mark_leaving(self, source: str) -> None:
        """Mark the back end as leaving."""
        self.backend.mark_leaving(self._clock.monotonic_s(), source)

    def fail(self, error: PlatformError) -> None:
        """Release the slot and update the back end's state from an error."""
        if error.kind is ErrorKind.LEAVING:
            self.mark_leaving("refusal")
        if error.kind is ErrorKind.NOT_RUN:
            self._mark_unavailable(error)
        unhealthy = error.kind in UNHEALTHY_KINDS and not error.answered
        unhealthy = unhealthy and not self._had_short_deadline()
        self._end(healthy=False if unhealthy else None, detail=error.detail)

    def _had_short_deadline(self) -> bool:
        """Whether the attempt ended at a deadline too short to show a failure of the back end.

        A back end that hangs is detected by its health probes.
        """
        now_s = self._clock.monotonic_s()
        return now_s >= self._deadline_s and now_s - self._started_s < SLOW_ATTEMPT_S

    def _mark_unavailable(self, error: PlatformError) -> None:
        now_s = self._clock.monotonic_s()
        if not error.answered:
            self.backend.mark_unreachable(now_s)
        elif _is_temporarily_unready(error):
            self.backend.mark_unready(now_s)

    def _end(self, healthy: bool | None, detail: str = "") -> None:
        with self._lock:
            if self._ended:
                return
            self._ended = True
        self.backend.record_end(self._clock.monotonic_s(), healthy, detail)


class RequestAttempts:
    """Failed attempts of a request, and the decision whether to retry it."""

    def __init__(self, budget: RetryBudget, clock: Clock, deadline_s: float) -> None:
        self._budget = budget
        self._clock = clock
        self._deadline_s = deadline_s
        self._failed = 0
        self._last_error: PlatformError | None = None
        self.tried: set[str] = set()
        self.proved_not_run = True
        self._made_progress = False
        self._no_draft_capacity = False
        self._waiting_since_s: float | None = None

    @property
    def lacks_draft_capacity(self) -> bool:
        """Whether nothing was tried because every engine is at its limit for drafts."""
        return self._no_draft_capacity and self._last_error is None

    def record_no_draft_capacity(self) -> None:
        """Record that every engine is at its limit for drafts."""
        self._no_draft_capacity = True

    def record_failure(self, backend: Backend, error: PlatformError) -> None:
        """Record a failed attempt."""
        self._failed += 1
        self._last_error = error
        if not _is_temporarily_unready(error):
            self.tried.add(backend.name)
        self.proved_not_run = self.proved_not_run and error.proves_not_run

    def record_progress(self, backend: Backend) -> None:
        """Reset the count of failed attempts, as the last one generated tokens."""
        self._failed = 0
        self._made_progress = True
        self.tried = {backend.name}

    def may_retry(self, *, retry_safe: bool) -> bool:
        """Whether another attempt is allowed; withdraws it from the budget and backs off.

        Refusals of a leaving back end are free, as each back end sends at most one. Attempts
        that made progress are free too, as resuming repeats no work. A back end that is
        temporarily unready costs budget but does not count towards `MAX_ATTEMPTS`: it is not
        tried again until a probe finds it ready.
        """
        error = self._last_error
        if error is None or error.kind in NON_RETRYABLE_KINDS:
            return False
        if not error.proves_not_run and not retry_safe:
            return False
        if self._failed == 0 or error.kind is ErrorKind.LEAVING:
            return not self._past_deadline()
        if self._failed >= MAX_ATTEMPTS and not _is_temporarily_unready(error):
            return False
        if not self._budget.withdraw(self._now_s()):
            return False
        self._clock.wait(threading.Event(), backoff_s(self._failed))
        return not self._past_deadline()

    def wait_for_backend(self, backends: Collection[Backend]) -> bool:
        """Wait one poll interval if a back end may become usable; return False otherwise."""
        now_s = self._now_s()
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        until_s = min(self._waiting_since_s + MAX_BACKEND_WAIT_S, self._deadline_s)
        if now_s >= until_s or not any(backend.may_recover() for backend in backends):
            return False
        self._clock.wait(threading.Event(), BACKEND_POLL_INTERVAL_S)
        return True

    def refusal(self) -> Refusal:
        """Return the refusal for the last failed attempt, or for the lack of a back end."""
        state = self._run_state()
        error = self._last_error
        if self._past_deadline():
            return Refusal(RefusalReason.DEADLINE, state, "the deadline has passed")
        if self._no_draft_capacity:
            detail = "drafts fill every engine as far as they may"
            return Refusal(RefusalReason.OVERLOADED, state, detail, RETRY_AFTER_S)
        if error is None:
            detail = "no ready back end serves this request"
            return Refusal(RefusalReason.NO_BACKEND, state, detail, RETRY_AFTER_S)
        retry_after_s = error.retry_after_s or RETRY_AFTER_S
        if error.kind in NON_RETRYABLE_KINDS:
            return Refusal(RefusalReason.INVALID, state, error.detail)
        if error.kind is ErrorKind.OVERLOADED:
            return Refusal(RefusalReason.OVERLOADED, state, error.detail, retry_after_s)
        if error.kind in UNAVAILABLE_KINDS:
            return Refusal(RefusalReason.NO_BACKEND, state, error.detail, retry_after_s)
        return Refusal(RefusalReason.BACKEND_FAILED, state, error.detail, retry_after_s)

    def _run_state(self) -> RunState:
        if self._made_progress:
            return RunState.RAN
        return RunState.NOT_RUN if self.proved_not_run else RunState.UNKNOWN

    def _now_s(self) -> float:
        return self._clock.monotonic_s()

    def _past_deadline(self) -> bool:
        return self._now_s() >= self._deadline_s


def _is_temporarily_unready(error: PlatformError) -> bool:
    """Whether the back end answered that it will be ready again after a delay."""
    return error.kind is ErrorKind.NOT_RUN and error.answered and error.retry_after_s is not None
