"""Admission control for one request class of a pool: concurrency limit, fair queue, deadlines."""

import threading
from dataclasses import dataclass, field
from enum import Enum

from returns.result import Failure, Result, Success

from bellweir.kernel.clock import Clock
from bellweir.resources.models import ClassLimits, RequestClass
from bellweir.routing.adaptive_limit import AdaptiveLimit
from bellweir.routing.fair_queue import FairQueue
from bellweir.routing.interface import Refusal, RefusalReason, RunState

HOLD_TIME_WEIGHT = 0.1
"""Weight of the latest request in the moving average."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0

DEFAULT_CLASS_LIMITS = {
    RequestClass.INTERACTIVE: ClassLimits(),
    RequestClass.LOOKUP: ClassLimits(),
    RequestClass.ONCE: ClassLimits(),
    RequestClass.DRAFT: ClassLimits(concurrency=128, queue=8, timeout_s=600.0),
}
"""Limits of classes missing in an engine pool's spec. The queue of drafts is short because training
steps have their own queue and a waiting draft holds a request thread."""

APPLICATION_DRAFT_LIMITS = ClassLimits(concurrency=8, queue=8, timeout_s=600.0)
"""Low, because application workers do not support priorities."""


class _Verdict(Enum):
    WAITING = "waiting"
    GRANTED = "granted"
    DISPLACED = "displaced"
    GIVEN_UP = "given_up"


@dataclass(eq=False)
class _Waiter:
    deadline_s: float
    verdict: _Verdict = _Verdict.WAITING
    decided: threading.Event = field(default_factory=threading.Event)


class Permit:
    """Permission to run one request; release it when the request has ended."""

    def __init__(self, gate: "ClassGate", granted_s: float) -> None:
        self._gate = gate
        self._granted_s = granted_s
        self._released = False
        self._lock = threading.Lock()

    def release(self) -> None:
        """Free the slot for the next request; idempotent."""
        with self._lock:
            if self._released:
                return
            self._released = True
        self._gate.leave(self._granted_s)


class ClassGate:
    """Admits the requests of one class; a queued request occupies no slot."""

    def __init__(self, limits: ClassLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._limit = AdaptiveLimit(limits.concurrency, clock.monotonic_s())
        self._lock = threading.Lock()
        self._running = 0
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._mean_hold_s = 0.0

    def reconfigure(self, limits: ClassLimits) -> None:
        """Apply changed limits; admitted and queued requests are kept."""
        with self._lock:
            self._limits = limits
            self._limit.reconfigure(limits.concurrency)
            self._grant(self._clock.monotonic_s())

    @property
    def timeout_s(self) -> float:
        """Timeout of a request without a deadline."""
        return self._limits.timeout_s

    @property
    def running(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def concurrency(self) -> int:
        """Return the current concurrency limit, which adapts to latency."""
        return self._limit.value

    def record_latency(self, latency_s: float) -> None:
        """Record a back end's latency, for generations the time to first token."""
        self._limit.record_latency(latency_s, self._running, self._clock.monotonic_s())

    def enter(self, caller: str, deadline_s: float) -> Result[Permit, Refusal]:
        """Wait for a slot until the deadline; refuse at once if it cannot be met."""
        now_s = self._clock.monotonic_s()
        if deadline_s <= now_s:
            return Failure(_refusal(RefusalReason.DEADLINE, "the deadline has passed", None))
        with self._lock:
            if self._running < self.concurrency() and not len(self._queue):
                self._running += 1
                return Success(Permit(self, now_s))
            refusal = self._reserve_queue_slot(caller, deadline_s - now_s)
            if refusal is not None:
                return Failure(refusal)
            waiter = _Waiter(deadline_s)
            self._queue.push(caller, waiter)
        self._clock.wait(waiter.decided, deadline_s - now_s)
        return self._resolve(caller, waiter)

    def leave(self, granted_s: float) -> None:
        """Release the slot of an admitted request; called by its permit."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._running -= 1
            held_s = now_s - granted_s
            self._mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self._mean_hold_s)
            self._grant(now_s)

    def _reserve_queue_slot(self, caller: str, remaining_s: float) -> Refusal | None:
        expected_s = self._expected_wait_s(len(self._queue) + 1)
        if expected_s > remaining_s:
            detail = (
                f"about {expected_s:.2f} s of queueing, but {remaining_s:.2f} s to the deadline"
            )
            return _refusal(RefusalReason.DEADLINE, detail, expected_s)
        if len(self._queue) < self._limits.queue:
            return None
        displaced = self._queue.displace_for(caller)
        if displaced is None:
            return _refusal(RefusalReason.OVERLOADED, "the queue is full", expected_s)
        displaced.verdict = _Verdict.DISPLACED
        displaced.decided.set()
        return None

    def _expected_wait_s(self, position: int) -> float:
        return position * self._mean_hold_s / self.concurrency()

    def _grant(self, now_s: float) -> None:
        while self._running < self.concurrency():
            waiter = self._queue.pop()
            if waiter is None:
                return
            if waiter.deadline_s <= now_s:
                waiter.verdict = _Verdict.GIVEN_UP
            else:
                waiter.verdict = _Verdict.GRANTED
                self._running += 1
            waiter.decided.set()

    def _resolve(self, caller: str, waiter: _Waiter) -> Result[Permit, Refusal]:
        with self._lock:
            # A grant can race with the wait's timeout; the verdict read under the lock is final.
            if waiter.verdict is _Verdict.GRANTED:
                return Success(Permit(self, self._clock.monotonic_s()))
            self._queue.remove(caller, waiter)
            expected_s = self._expected_wait_s(len(self._queue) + 1)
        if waiter.verdict is _Verdict.DISPLACED:
            detail = "another caller's turn: this one has most places in the queue"
            return Failure(_refusal(RefusalReason.OVERLOADED, detail, expected_s))
        return Failure(_refusal(RefusalReason.DEADLINE, "the deadline passed in the queue", None))


def _refusal(reason: RefusalReason, detail: str, retry_after_s: float | None) -> Refusal:
    if retry_after_s is not None:
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    return Refusal(reason, RunState.NOT_RUN, detail, retry_after_s)
