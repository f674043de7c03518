"""Bounded thread pools for message handlers, one for each hop.

A handler may itself send a request to a peer and wait for it. Were all handlers to share one
pool, nodes whose pools are full of handlers waiting for each other would wait until the time
ran out. So a request carries its hop: 0 when no handler waits for it, else one more than the
hop of the handler that sent it. Handlers of hop k run on pool k, which waits only for pool
k + 1 of other nodes; the last pool's handlers may not send requests. Answers are matched on
the connections' own threads and need no pool. So no pool ever waits for itself.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from bellweir.kernel.executors import (
    Executors,
    ExecutorSaturatedError,
    WorkKind,
    report_failure,
)

MAXIMUM_HOP = 2
"""Handlers of this hop may not send requests."""
NESTED_THREADS = 16
NESTED_QUEUED = 512

_current = threading.local()


class HopLimitError(RuntimeError):
    """A handler of the last hop tried to send a request."""


def next_hop() -> int:
    """The hop of a request sent by the calling thread. Raises `HopLimitError`."""
    hop: int | None = getattr(_current, "hop", None)
    if hop is None:
        return 0
    if hop >= MAXIMUM_HOP:
        raise HopLimitError(f"a handler of hop {hop} may not send requests")
    return hop + 1


class HandlerPools:
    """Runs handlers: hop 0 on the `PEER` executor, later hops on pools of their own."""

    def __init__(self, executors: Executors) -> None:
        self._executors = executors
        self._nested = [_NestedPool(hop) for hop in range(1, MAXIMUM_HOP + 1)]

    def submit(self, hop: int, call: Callable[[], None]) -> None:
        """Run a handler's call. Raises `ExecutorSaturatedError` when its pool is full."""
        if not 0 <= hop <= MAXIMUM_HOP:
            raise ExecutorSaturatedError(f"hop {hop} is out of bounds")
        if hop == 0:
            self._executors.submit(WorkKind.PEER, _run_at_hop, hop, call)
            return
        self._nested[hop - 1].submit(call)

    def stop(self) -> None:
        """End the pools' threads."""
        for pool in self._nested:
            pool.stop()


class _NestedPool:
    def __init__(self, hop: int) -> None:
        self._hop = hop
        self._slots = threading.BoundedSemaphore(NESTED_THREADS + NESTED_QUEUED)
        self._pool = ThreadPoolExecutor(NESTED_THREADS, thread_name_prefix=f"peer-hop-{hop}")

    def submit(self, call: Callable[[], None]) -> None:
        if not self._slots.acquire(blocking=False):
            raise ExecutorSaturatedError("handler pool is full")
        try:
            future = self._pool.submit(_run_at_hop, self._hop, call)
        except RuntimeError as failure:
            self._slots.release()
            raise ExecutorSaturatedError("handler pool has stopped") from failure
        future.add_done_callback(self._finished)

    def _finished(self, future: "Future[None]") -> None:
        self._slots.release()
        report_failure("peer handler", future)

    def stop(self) -> None:
        self._pool.shutdown(wait=True, cancel_futures=True)


def _run_at_hop(hop: int, call: Callable[[], None]) -> None:
    _current.hop = hop
    try:
        call()
    finally:
        _current.hop = None
