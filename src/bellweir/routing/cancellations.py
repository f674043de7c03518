"""Tells engines of attempts that were given up, without holding threads for dead ones."""

import threading
from collections import deque

from returns.result import Failure

from bellweir.clients.interface import Engine
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind

MAX_PENDING = 256
"""Attempts of one engine that wait to be cancelled; the oldest are forgotten first."""


class Cancellations:
    """One background call at a time for each engine, however many attempts it concerns.

    The attempt's connection was closed before, which tells the engine as well; a call only
    makes it sooner. So an engine that cannot be reached is not tried again.
    """

    def __init__(self, executors: Executors) -> None:
        self._executors = executors
        self._lock = threading.Lock()
        self._pending: dict[str, deque[str]] = {}

    def cancel(self, worker: str, engine: Engine, attempt_id: str) -> None:
        """Cancel an attempt on an engine (`pool/worker`) soon."""
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
        # `_next` ends the engine's entry itself; only then may another call have begun one anew.
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
        """The next attempt; None ends the call, and a later cancellation begins another one."""
        with self._lock:
            pending = self._pending[worker]
            if pending:
                return pending.popleft()
            del self._pending[worker]
            return None

    def _forget(self, worker: str) -> None:
        with self._lock:
            self._pending.pop(worker, None)
