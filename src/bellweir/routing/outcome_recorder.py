"""Records the outcomes of claims in the ledger, with retries."""

import threading
from collections import deque
from dataclasses import dataclass

from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Claims, ClaimState, RecordedAnswer
from bellweir.routing.log_events import OUTCOME_NOT_RECORDED

RECORD_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.05
RECORD_RETRY_TIMEOUT_S = 120.0
"""After this time the ledger itself reports the outcome as unknown."""
MAX_PENDING = 4096


@dataclass(frozen=True)
class ClaimHolder:
    """A claim that a request of this node has requested or holds."""

    ledger_key: str
    attempt_id: str
    claims: Claims


@dataclass(frozen=True)
class _Pending:
    holder: ClaimHolder
    state: ClaimState
    answer: RecordedAnswer | None
    since_s: float


class OutcomeRecorder:
    """Queue of outcomes to record, retried by one task."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pending: deque[_Pending] = deque()
        self._added = threading.Event()

    def record(self, holder: ClaimHolder, state: ClaimState, answer: RecordedAnswer | None) -> None:
        """Record an outcome; queue it for a retry if that fails."""
        pending = _Pending(holder, state, answer, self._clock.monotonic_s())
        if not _record(pending):
            self._add(pending)

    def record_later(self, holder: ClaimHolder, state: ClaimState) -> None:
        """Queue an outcome without an answer for the recording task."""
        self._add(_Pending(holder, state, None, self._clock.monotonic_s()))

    def flush(self, stopping: threading.Event | None = None) -> None:
        """Try each pending record once, until `stopping` is set."""
        with self._lock:
            batch, self._pending = self._pending, deque()
        for pending in batch:
            if stopping is not None and stopping.is_set():
                self._add(pending)
            elif _record(pending):
                continue
            elif self._clock.monotonic_s() - pending.since_s > RECORD_RETRY_TIMEOUT_S:
                _report_lost(pending, "retry timeout exceeded")
            else:
                self._add(pending)

    def run(self, stopping: threading.Event) -> None:
        """Flush pending outcomes until `stopping` is set.

        Outcomes still pending are then dropped, and the ledger reports them as unknown: without
        a majority, further attempts would only delay the shutdown.
        """
        while not stopping.is_set():
            if self._pending:
                self.flush(stopping)
                stopping.wait(RETRY_INTERVAL_S)
            else:
                self._added.wait(RETRY_INTERVAL_S)
                self._added.clear()
        for pending in self._pending:
            _report_lost(pending, "node stopped")

    def drain(self, deadline_s: float) -> None:
        """Wait up to `deadline_s` seconds until no outcome is pending."""
        until_s = self._clock.monotonic_s() + deadline_s
        while self._pending and self._clock.monotonic_s() < until_s:
            self._clock.wait(threading.Event(), DRAIN_POLL_INTERVAL_S)

    def _add(self, pending: _Pending) -> None:
        with self._lock:
            if len(self._pending) < MAX_PENDING:
                self._pending.append(pending)
                self._added.set()
                return
        _report_lost(pending, "queue of pending outcomes is full")


def _report_lost(pending: _Pending, detail: str) -> None:
    """Log that an outcome was dropped."""
    holder = pending.holder
    emit(OUTCOME_NOT_RECORDED, key=holder.ledger_key, attempt_id=holder.attempt_id, detail=detail)


def _record(pending: _Pending) -> bool:
    holder = pending.holder
    recorded = holder.claims.record(
        holder.ledger_key, holder.attempt_id, pending.state, pending.answer, RECORD_TIMEOUT_S
    )
    return isinstance(recorded, Success)
