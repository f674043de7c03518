"""Request threads: loops on an executor of `concurrent.futures`, as waitress's task dispatcher.

waitress's own starts all threads at once and wakes them by turns. Here a thread is started only
when none is idle, and each takes connections from one queue for as long as the server runs; a
future for each request would cost more than the hand-over itself.
"""

import queue
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for_futures
from typing import Protocol

from bellweir.events.log import emit
from bellweir.gateway.log_events import REQUEST_THREAD_FAILED, THREADS_LEFT_RUNNING


class ConnectionTask(Protocol):
    """A connection with a request to run."""

    def service(self) -> None:
        """Run the connection's first request."""

    def cancel(self) -> None:
        """Drop the connection's requests."""


class RequestThreads:
    """Runs the requests of all connections.

    Its queue is bounded by the number of connections, each of which has at most one entry.
    """

    def __init__(self, threads: int) -> None:
        self._threads = threads
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="request")
        self._queue: queue.SimpleQueue[ConnectionTask | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._idle = 0
        """Threads that wait, less the connections queued for them."""
        self._loops: list[Future[None]] = []
        self._stopped = False

    def add_task(self, connection: ConnectionTask) -> None:
        """Run a connection's first request on a thread."""
        with self._lock:
            if self._stopped:
                connection.cancel()
                return
            self._idle -= 1
            starts = self._idle < 0 and len(self._loops) < self._threads
            if starts:
                self._loops.append(self._pool.submit(self._run))
        self._queue.put(connection)

    def shutdown(self, timeout_s: float) -> None:
        """Take no more requests, and wait for those that run and are queued."""
        with self._lock:
            self._stopped = True
            loops = list(self._loops)
        for _ in loops:
            self._queue.put(None)
        _, left = wait_for_futures(loops, timeout_s)
        self._pool.shutdown(wait=False)
        if left:
            emit(THREADS_LEFT_RUNNING, count=len(left))

    def _run(self) -> None:
        while True:
            with self._lock:
                self._idle += 1
            connection = self._queue.get()
            if connection is None:
                return
            try:
                connection.service()
            except Exception as failure:
                emit(REQUEST_THREAD_FAILED, error=repr(failure))
