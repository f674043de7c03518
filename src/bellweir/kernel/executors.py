"""Bounded executors, one for each kind of work, and long-running tasks.

Every exception of a submitted call is logged, so none is lost with a future nobody reads.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for_futures
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import ParamSpec, TypeVar

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.log_events import TASK_FAILED, TASK_LEFT_RUNNING, TASK_RESTARTED

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")

TASK_STOP_TIMEOUT_S = 10.0
FIRST_RESTART_PAUSE_S = 0.2
LONGEST_RESTART_PAUSE_S = 5.0
"""Pauses before a loop that raised is run again; they double while it goes on raising."""


class WorkKind(Enum):
    """Kinds of work; each has an executor of its own so that none waits behind another."""

    INTERACTIVE = "interactive"
    """Attempts, hedges and side calls for requests that a caller waits for."""
    GENERATION = "generation"
    """Training samples being generated or scored."""
    PEER = "peer"
    """Handling of messages from other nodes."""
    LEDGER = "ledger"
    """Replication and elections."""
    BACKGROUND = "background"
    """Probes, rollouts, clean-up."""


@dataclass(frozen=True)
class ExecutorLimits:
    """Bounds of one executor."""

    threads: int
    """Calls that run at once."""
    queued: int
    """Calls that may wait for a thread."""


DEFAULT_LIMITS = {
    WorkKind.INTERACTIVE: ExecutorLimits(threads=64, queued=256),
    WorkKind.GENERATION: ExecutorLimits(threads=256, queued=4096),
    WorkKind.PEER: ExecutorLimits(threads=32, queued=1024),
    WorkKind.LEDGER: ExecutorLimits(threads=32, queued=1024),
    WorkKind.BACKGROUND: ExecutorLimits(threads=32, queued=1024),
}


class ExecutorSaturatedError(RuntimeError):
    """The executor's threads and queue are full; the call was not accepted and will not run."""


class _BoundedExecutor:
    def __init__(self, kind: WorkKind, limits: ExecutorLimits) -> None:
        self._slots = threading.BoundedSemaphore(limits.threads + limits.queued)
        self._pool = ThreadPoolExecutor(limits.threads, thread_name_prefix=kind.value)

    def submit(
        self,
        function: Callable[Parameters, Returned],
        *arguments: Parameters.args,
        **keywords: Parameters.kwargs,
    ) -> "Future[Returned]":
        if not self._slots.acquire(blocking=False):
            raise ExecutorSaturatedError("executor is full")
        try:
            future = self._pool.submit(function, *arguments, **keywords)
        except RuntimeError:
            self._slots.release()
            raise
        future.add_done_callback(self._finished)
        return future

    def _finished(self, future: "Future[Returned]") -> None:
        self._slots.release()
        report_failure("submitted call", future)

    def shutdown(self) -> None:
        self._pool.shutdown(wait=True, cancel_futures=True)


class Executors:
    """The executors of one node. `stop` leaves no thread behind."""

    def __init__(self, limits: dict[WorkKind, ExecutorLimits] | None = None) -> None:
        chosen = DEFAULT_LIMITS | (limits or {})
        self._executors = {kind: _BoundedExecutor(kind, chosen[kind]) for kind in WorkKind}
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._tasks: dict[Future[None], str] = {}

    @property
    def stopping(self) -> threading.Event:
        """Set when the node stops; long-running tasks return soon after."""
        return self._stop

    def submit(
        self,
        kind: WorkKind,
        function: Callable[Parameters, Returned],
        *arguments: Parameters.args,
        **keywords: Parameters.kwargs,
    ) -> "Future[Returned]":
        """Run a call on the executor of `kind`.

        Raises `ExecutorSaturatedError` when its queue is full: the call then never runs.
        """
        return self._executors[kind].submit(function, *arguments, **keywords)

    def run_task(self, name: str, function: Callable[[threading.Event], None]) -> "Future[None]":
        """Run a long-running task on a thread of its own.

        `function` gets the event that is set when the node stops and must return soon after it.
        """
        pool = ThreadPoolExecutor(1, thread_name_prefix=name)
        future = pool.submit(function, self._stop)
        with self._lock:
            self._tasks[future] = name
        future.add_done_callback(lambda done: self._task_finished(name, done, pool))
        return future

    def run_loop(self, name: str, function: Callable[[threading.Event], None]) -> "Future[None]":
        """Run a long-running task as `run_task` does, and again after each exception.

        For work that must go on as long as the node. `function` keeps its state elsewhere, so that
        it can begin anew at any point.
        """
        return self.run_task(name, partial(_run_until_done, name, function))

    def _task_finished(self, name: str, future: "Future[None]", pool: ThreadPoolExecutor) -> None:
        with self._lock:
            self._tasks.pop(future, None)
        report_failure(name, future)
        pool.shutdown(wait=False)

    def stop(self) -> None:
        """Signal all tasks, wait for them and for the running calls, and end every thread."""
        self._stop.set()
        with self._lock:
            tasks = dict(self._tasks)
        _, running = wait_for_futures(tasks, timeout=TASK_STOP_TIMEOUT_S)
        for future in running:
            emit(TASK_LEFT_RUNNING, task=tasks[future])
        for executor in self._executors.values():
            executor.shutdown()


def _run_until_done(
    name: str, function: Callable[[threading.Event], None], stopping: threading.Event
) -> None:
    pause_s = FIRST_RESTART_PAUSE_S
    while True:
        began_s = elapsed_s()
        try:
            function(stopping)
            return
        except Exception as failure:
            if elapsed_s() - began_s > LONGEST_RESTART_PAUSE_S:
                pause_s = FIRST_RESTART_PAUSE_S
            emit(TASK_RESTARTED, task=name, error=repr(failure), pause_s=pause_s)
        if stopping.wait(pause_s):
            return
        pause_s = min(2 * pause_s, LONGEST_RESTART_PAUSE_S)


def report_failure(name: str, future: "Future[Returned]") -> None:
    """Log the exception of a finished future, if it has one."""
    if future.cancelled():
        return
    failure = future.exception()
    if failure is not None:
        emit(TASK_FAILED, task=name, error=repr(failure))
