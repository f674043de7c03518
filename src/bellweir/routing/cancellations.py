"""Cancels abandoned attempts on engines with at most one thread per engine."""

import threading
from collections import deque

from returns.result import Failure

from bellweir.clients.interface import Engine
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind

MAX_PENDING = 256
"""Pending cancellations per engine; the oldest are dropped first."""


class Cancellations:
    """Queues of cancellations, with one background call at a time for each engine.

    Cancelling is best effort: the engine also detects the closed connection of the attempt.
    The queue of an unreachable engine is therefore dropped.
    """

    def __init__(self, executors: Executors) -> None:
        self._executors = executors
        self._lock = threading.Lock()
        self._pending: dict[str, deque[str]] = {}

    def cancel(self, worker: str, engine: Engine, attempt_id: str) -> None:
        """Schedule the cancellation of an attempt on an engine (`pool/worker`)."""
        with self._lock:
            running = self._pending.get(worker)
            if running is not None:
                running.append(attempt_id)
                return
            self._pending[worker] = deque((attempt_id,), maxlen=MAX_PENDING)
        try:
            self._executors.submit(WorkKind.BACKGROUND, self._cancel_all, worker, engine)
        except (ExecutorSaturatedError, RuntimeError):
            self._forget(worker)

    def _cancel_all(self, worker: str, engine: Engine) -> None:
        # `_next` removes the entry itself: afterwards, `cancel` may have created a new one.
        while (attempt_id := self._next(worker)) is not None:
            try:
                cancelled = engine.cancel(attempt_id)
            except BaseException:
                self._forget(worker)
                raise
            if isinstance(cancelled, Failure) and not cancelled.failure().answered:
                self._forget(worker)
                return

    def _next(self, worker: str) -> str | None:
        """Return the next attempt id, or remove the empty queue and return None."""
        with self._lock:
            pending = self._pending[worker]
            if pending:
                return pending.popleft()
            del self._pending[worker]
            return None

    def _forget(self, worker: str) -> None:
        with self._lock:
            self._pending.pop(worker, None)
