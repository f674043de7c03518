"""Notices callers that went away while their answer is being made, and cancels the work."""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from bellweir.events.log import emit
from bellweir.gateway.log_events import CALLER_GONE
from bellweir.http_server.http import Request
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind

LOOK_PERIOD_S = 0.1
"""Time between two looks at all watched connections; a look at one costs under a microsecond."""
STOP_TIMEOUT_S = 5.0


class Watched:
    """A request whose caller is watched until `end`."""

    def __init__(self, request: Request, cancel: Callable[[], None]) -> None:
        self.request = request
        self.cancel = cancel
        self.cancelled = False


class CallerWatch:
    """Looks at the connections of running requests from one task.

    A thread that waits for the next chunk of a generation cannot see that its caller closed the
    connection; waitress sees it, since its loop reads ahead while a request runs.
    """

    def __init__(self, executors: Executors) -> None:
        self._executors = executors
        self._lock = threading.Lock()
        self._watched: set[Watched] = set()
        self._stopped = threading.Event()
        self._task: Future[None] | None = None

    def start(self) -> None:
        """Start looking."""
        self._task = self._executors.run_loop("caller-watch", self._run)

    def stop(self) -> None:
        """Stop looking and cancel what still runs; its callers are about to be disconnected."""
        self._stopped.set()
        if self._task is not None:
            self._task.result(STOP_TIMEOUT_S)
        with self._lock:
            left = list(self._watched)
        for watched in left:
            watched.cancel()

    def begin(self, request: Request, cancel: Callable[[], None]) -> Watched:
        """Call `cancel` on another thread, once, if the caller leaves before `end`."""
        watched = Watched(request, cancel)
        with self._lock:
            self._watched.add(watched)
        return watched

    def end(self, watched: Watched) -> None:
        """Stop watching; ending twice is no error."""
        with self._lock:
            self._watched.discard(watched)

    def _run(self, stopping: threading.Event) -> None:
        while not (self._stopped.wait(LOOK_PERIOD_S) or stopping.is_set()):
            self._look()

    def _look(self) -> None:
        with self._lock:
            watched_now = list(self._watched)
        for watched in watched_now:
            if not watched.cancelled and watched.request.caller_has_left():
                self._cancel(watched)

    def _cancel(self, watched: Watched) -> None:
        try:
            self._executors.submit(WorkKind.INTERACTIVE, watched.cancel)
        except ExecutorSaturatedError:
            return  # the next look tries again
        watched.cancelled = True
        emit(CALLER_GONE, request_id=watched.request.request_id)
