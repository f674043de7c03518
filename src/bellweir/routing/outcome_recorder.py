"""Records outcomes of claims that the ledger did not take at once, until it does."""

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
"""After this time the ledger itself answers repeats of the key as unknown."""
MAX_PENDING = 4096


@dataclass(frozen=True)
class ClaimHolder:
    """A claim asked for, or held, by one request on this node."""

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
    """Keeps what is to be recorded; one task tries all of it again and again."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pending: deque[_Pending] = deque()
        self._added = threading.Event()

    def record(self, holder: ClaimHolder, state: ClaimState, answer: RecordedAnswer | None) -> None:
        """Record now, or later when the ledger does not take it."""
        pending = _Pending(holder, state, answer, self._clock.monotonic_s())
        if not _record(pending):
            self._add(pending)

    def record_later(self, holder: ClaimHolder, state: ClaimState) -> None:
        """Record an outcome without an answer from the task, not from the caller's thread."""
        self._add(_Pending(holder, state, None, self._clock.monotonic_s()))

    def flush(self, stopping: threading.Event | None = None) -> None:
        """Try each pending record once; none any more once `stopping` is set."""
        with self._lock:
            batch, self._pending = self._pending, deque()
        for pending in batch:
            if stopping is not None and stopping.is_set():
                self._add(pending)
            elif _record(pending):
                continue
            elif self._clock.monotonic_s() - pending.since_s > RECORD_RETRY_TIMEOUT_S:
                _report_lost(pending, "too late")
            else:
                self._add(pending)

    def run(self, stopping: threading.Event) -> None:
        """Flush while there is something to flush, until the node stops.

        What is pending then stays unrecorded: the ledger answers repeats of those keys as
        unknown. Without a majority another try would only hold the stop up.
        """
        while not stopping.is_set():
            if self._pending:
                self.flush(stopping)
                stopping.wait(RETRY_INTERVAL_S)
            else:
                self._added.wait(RETRY_INTERVAL_S)
                self._added.clear()
        for pending in self._pending:
            _report_lost(pending, "stopped")

    def drain(self, deadline_s: float) -> None:
        """Wait, at most `deadline_s` seconds, until the task has recorded what is pending."""
        until_s = self._clock.monotonic_s() + deadline_s
        while self._pending and self._clock.monotonic_s() < until_s:
            self._clock.wait(threading.Event(), DRAIN_POLL_INTERVAL_S)

    def _add(self, pending: _Pending) -> None:
        with self._lock:
            if len(self._pending) < MAX_PENDING:
                self._pending.append(pending)
                self._added.set()
                return
        _report_lost(pending, "too many pending")


def _report_lost(pending: _Pending, detail: str) -> None:
    """Log that an outcome will not be recorded any more."""
    holder = pending.holder
    emit(OUTCOME_NOT_RECORDED, key=holder.ledger_key, attempt_id=holder.attempt_id, detail=detail)


def _record(pending: _Pending) -> bool:
    holder = pending.holder
    recorded = holder.claims.record(
        holder.ledger_key, holder.attempt_id, pending.state, pending.answer, RECORD_TIMEOUT_S
    )
    return isinstance(recorded, Success)
