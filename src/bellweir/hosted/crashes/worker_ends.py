"""Tells the end of a worker from a connection that broke off while the worker lives on."""

import random
import socket
import threading
from collections import deque
from collections.abc import Callable
from enum import Enum

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.suspect import SAME_MOMENT_S
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import WorkerState
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.kernel.addresses import split_address
from bellweir.kernel.clock import elapsed_s

PROBE_TIMEOUT_S = 0.1
"""Longest time for which a request waits to learn whether its worker has ended."""
UNDECIDED_S = 8.0
"""Time for which a worker that could not be told is looked for in the view: longer than three
heartbeats after which the entry of one that has ended goes."""
MAX_UNDECIDED = 256
MAX_BESIDE = 3
"""Workers of the same zone, and of other zones, that are looked at beside one that has ended."""
MAX_LOOKS = 64
"""Ended workers that wait for a look at others, and that are remembered as looked at."""


class ProbeResult(Enum):
    """What a new connection to a worker's address showed."""

    REFUSED = "refused"
    """Nobody listens there: the process has ended."""
    ACCEPTED = "accepted"
    SILENT = "silent"


def probe(address: str) -> ProbeResult:
    """Connect to `host:port` and close the connection again."""
    try:
        with socket.create_connection(split_address(address), PROBE_TIMEOUT_S):
            return ProbeResult.ACCEPTED
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except OSError:
        return ProbeResult.SILENT


class _Undecided:
    """A worker whose connections broke off, and the requests that it ran then."""

    __slots__ = ("requests", "since_s", "worker")

    def __init__(self, worker: Worker, since_s: float) -> None:
        self.worker = worker
        self.since_s = since_s
        self.requests: set[Fingerprint] = set()


class WorkerEnds:
    """Decides which broken runs were ends of their workers. Thread-safe.

    A worker has ended if nobody listens at its address any more, or if its entry goes or names
    another incarnation soon after. One that said before that it drains ends as planned.

    Beside a worker that has ended some others of its service are looked at, so that it is known how
    many ended at the same moment.
    """

    def __init__(
        self,
        workers: WorkersView,
        is_view_current: Callable[[], bool],
        on_end: Callable[[Fingerprint, Worker, str, float], None],
        probe_address: Callable[[str], ProbeResult] = probe,
        now_s: Callable[[], float] = elapsed_s,
        table: CrashTable | None = None,
    ) -> None:
        """`on_end` is called with each request that an ended worker ran, the evidence and the time.

        `table` gets the ends of workers that are found beside others.
        """
        self._workers = workers
        self._is_view_current = is_view_current
        self._on_end = on_end
        self._probe = probe_address
        self._now_s = now_s
        self._lock = threading.Lock()
        self._undecided: dict[Incarnation, _Undecided] = {}
        self._table = table if table is not None else CrashTable(now_s=now_s)
        self._unlooked: deque[tuple[Worker, float]] = deque(maxlen=MAX_LOOKS)
        self._looked_at: deque[Incarnation] = deque(maxlen=MAX_LOOKS)
        self._has_ends = threading.Event()

    def note_broken(self, request: Fingerprint, worker: Worker) -> None:
        """Note that a run broke off. Blocks for up to `PROBE_TIMEOUT_S`."""
        at_s = self._now_s()
        found = self._probe(worker.address)
        if found is ProbeResult.REFUSED:
            self._on_end(request, worker, "connection refused", at_s)
            self._want_look(worker, at_s)
            return
        with self._lock:
            if len(self._undecided) < MAX_UNDECIDED:
                undecided = _Undecided(worker, at_s)
                self._undecided.setdefault(worker.incarnation, undecided).requests.add(request)

    def await_ends(self, timeout_s: float) -> None:
        """Wait until a worker's end is to be looked into, or until the time is over."""
        self._has_ends.wait(timeout_s)
        self._has_ends.clear()

    def look_beside(self) -> None:
        """Look at other workers of the services of those that have just ended."""
        while True:
            with self._lock:
                if not self._unlooked:
                    return
                worker, at_s = self._unlooked.popleft()
            for other in self._others(worker):
                service = other.entry.service
                if self._table.has_ended(service, other.incarnation, at_s - SAME_MOMENT_S):
                    continue
                if self._probe(other.address) is ProbeResult.REFUSED:
                    self._table.add_worker_end(service, other.incarnation, at_s)

    def _want_look(self, worker: Worker, at_s: float) -> None:
        """Have others looked at, once for each worker that has ended."""
        with self._lock:
            if worker.incarnation in self._looked_at:
                return
            self._looked_at.append(worker.incarnation)
            self._unlooked.append((worker, at_s))
        self._has_ends.set()

    def _others(self, worker: Worker) -> list[Worker]:
        """Return some other workers of a service, of the same zone and of others."""
        ready = self._workers.ready(worker.entry.service)
        others = [one for one in ready if one.incarnation != worker.incarnation]
        random.shuffle(others)
        near = [one for one in others if one.entry.zone == worker.entry.zone]
        far = [one for one in others if one.entry.zone != worker.entry.zone]
        return near[:MAX_BESIDE] + far[:MAX_BESIDE]

    def resolve(self) -> None:
        """Look for undecided workers in the view; called periodically."""
        if not self._undecided or not self._is_view_current():
            return
        with self._lock:
            undecided = list(self._undecided.values())
        for one in undecided:
            evidence = self._evidence(one.worker)
            is_over = self._now_s() - one.since_s > UNDECIDED_S
            if evidence or is_over or self._is_draining(one.worker):
                with self._lock:
                    self._undecided.pop(one.worker.incarnation, None)
            for request in one.requests if evidence else ():
                self._on_end(request, one.worker, evidence, one.since_s)

    def _evidence(self, worker: Worker) -> str:
        """Return what shows that a worker has ended; empty if nothing does."""
        present = self._workers.worker(worker.instance)
        if present is None:
            return "entry gone"
        return "started again" if present.incarnation != worker.incarnation else ""

    def _is_draining(self, worker: Worker) -> bool:
        present = self._workers.worker(worker.instance)
        return present is not None and present.entry.state is not WorkerState.READY
