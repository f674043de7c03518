"""Request threads on an executor of `concurrent.futures`, as waitress's task dispatcher.

waitress's own starts all threads at once and lets them take turns, so that each request meets
the coldest one. An executor starts a thread only when none is idle.
"""

from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import wait as wait_for_futures
from typing import Protocol

from bellweir.events.log import emit
from bellweir.gateway.log_events import REQUEST_THREAD_FAILED, THREADS_LEFT_RUNNING


class ConnectionTask(Protocol):
    """A connection with a request to run."""

    def service(self) -> None:
        """Run the connection's first request."""


class RequestThreads:
    """Runs the requests of all connections.

    Its queue is bounded by the number of connections, each of which has at most one entry.
    """

    def __init__(self, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="request")
        self._running: set[Future[None]] = set()

    def add_task(self, connection: ConnectionTask) -> None:
        """Run a connection's first request on a thread."""
        future = self._pool.submit(_serve, connection)
        self._running.add(future)
        future.add_done_callback(self._running.discard)

    def shutdown(self, timeout_s: float) -> None:
        """Take no more requests and wait for those that run."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        _, left = wait_for_futures(list(self._running), timeout_s)
        if left:
            emit(THREADS_LEFT_RUNNING, count=len(left))


def _serve(connection: ConnectionTask) -> None:
    try:
        connection.service()
    except Exception as failure:
        emit(REQUEST_THREAD_FAILED, error=repr(failure))
