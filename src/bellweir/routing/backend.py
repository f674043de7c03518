"""State of one back end on this node: last report, requests in flight, circuit breaker."""

import threading
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, replace

from bellweir.events.log import emit
from bellweir.routing.circuit import Circuit
from bellweir.routing.interface import BackendView
from bellweir.routing.log_events import BACKEND_LEAVING, CIRCUIT_CLOSED, CIRCUIT_OPENED
from bellweir.routing.pool_workers import PoolWorker

MAX_HISTORY_ENTRIES = 256
MIN_DRAFT_INTERVAL_S = 0.025
"""Minimum interval between drafts of one node on an engine with interactive requests: many
prefills in one batch step would delay them."""
RECENT_INTERACTIVE_WINDOW_S = 10.0
"""Drafts are limited to a share of the batch for this long after an interactive request."""
LEAVING_TTL_S = 5.0
"""A back end's announcement that it leaves overrides reports for this long."""


@dataclass(frozen=True)
class BackendReport:
    """State of a back end; `made_s` is the probe's time on this node's monotonic clock."""

    ready: bool
    leaving: bool
    load: int
    """Running and waiting requests."""
    made_s: float
    reachable: bool = True
    """Whether the last probe or connection succeeded."""
    weight_version: int | None = None
    model: str | None = None
    maximum_batch: int = 0
    """Requests that an engine runs concurrently; 0 if unknown."""
    interactive: int = 0
    """Interactive requests, as other nodes report them to the owner."""


def unreachable_report(made_s: float) -> BackendReport:
    """Return the report of an unreachable back end."""
    return BackendReport(ready=False, leaving=False, reachable=False, load=0, made_s=made_s)


class Backend:
    """One back end of the node's subset. Thread-safe; nothing blocks while holding its lock."""

    def __init__(self, worker: PoolWorker, distance: int, circuit: Circuit) -> None:
        self.name = worker.name
        self.key = worker.key
        self.address = worker.address
        self.distance = distance
        self._worker = worker
        self._circuit = circuit
        self._lock = threading.Lock()
        self._report: BackendReport | None = None
        self._in_flight = 0
        self._in_flight_at_report = 0
        self._history: deque[tuple[float, int]] = deque(maxlen=MAX_HISTORY_ENTRIES)
        self._leaving_announced = False
        self._leaving_announced_s = 0.0
        self._last_interactive_s = -RECENT_INTERACTIVE_WINDOW_S
        self._last_draft_s = 0.0

    @property
    def worker(self) -> PoolWorker:
        """The configuration of the back end."""
        return self._worker

    @property
    def report(self) -> BackendReport | None:
        """The latest report; None before the first."""
        return self._report

    @property
    def in_flight(self) -> int:
        """Requests of this node in flight."""
        return self._in_flight

    @property
    def leaving(self) -> bool:
        """Whether the operator, the machine list or the back end itself says that it leaves."""
        report = self._report
        reported = report is not None and report.leaving
        return self._worker.leaving or self._leaving_announced or reported

    def reconfigure(self, worker: PoolWorker, distance: int) -> None:
        """Apply a changed configuration of the same worker at the same address."""
        if worker.leaving and not self.leaving:
            emit(BACKEND_LEAVING, worker=self.name, source="configuration")
        self._worker = worker
        self.distance = distance

    @property
    def ready(self) -> bool:
        """Whether the back end accepts new requests and is not leaving."""
        report = self._report
        return report is not None and report.ready and not self.leaving

    @property
    def circuit_opened_s(self) -> float:
        """Time at which the circuit last opened."""
        return self._circuit.opened_s

    def permits(self, now_s: float) -> bool:
        """Whether the circuit permits a request."""
        return self._circuit.permits(now_s)

    def load(self) -> int:
        """Return the reported load, corrected by this node's requests started and ended since."""
        report = self._report
        if report is None:
            return self._in_flight
        corrected = report.load + self._in_flight - self._in_flight_at_report
        return max(corrected, self._in_flight)

    def update_report(self, report: BackendReport) -> bool:
        """Store a report unless it is older than the current one; return whether it was stored."""
        with self._lock:
            previous = self._report
            if previous is not None and report.made_s <= previous.made_s:
                return False
            if report.leaving and not self.leaving:
                emit(BACKEND_LEAVING, worker=self.name, source="report")
            if report.made_s > self._leaving_announced_s + LEAVING_TTL_S:
                self._leaving_announced = False
            self._in_flight_at_report = self._in_flight_at(report.made_s)
            self._report = report
            return True

    def mark_unreachable(self, now_s: float) -> None:
        """Record a failed probe or connection; not ready until a later report."""
        with self._lock:
            previous = self._report
            if previous is None:
                self._report = unreachable_report(now_s)
            elif previous.made_s <= now_s:
                self._report = replace(previous, ready=False, reachable=False, made_s=now_s)

    def mark_unready(self, now_s: float) -> None:
        """Record that the back end reported itself as not ready."""
        with self._lock:
            previous = self._report
            if previous is not None and previous.made_s <= now_s:
                self._report = replace(previous, ready=False, made_s=now_s)

    def may_recover(self) -> bool:
        """Whether the back end may soon serve again: reachable or unknown, but not ready."""
        report = self._report
        if self.leaving:
            return False
        return report is None or (report.reachable and not report.ready)

    def mark_leaving(self, now_s: float, source: str) -> None:
        """Record the back end's announcement that it leaves."""
        if not self.leaving:
            emit(BACKEND_LEAVING, worker=self.name, source=source)
        self._leaving_announced_s = now_s
        self._leaving_announced = True

    @property
    def is_queueing(self) -> bool:
        """Whether an engine has more requests than its maximum batch."""
        report = self._report
        return report is not None and 0 < report.maximum_batch < self.load()

    def has_draft_capacity(self, draft_share: float, now_s: float) -> bool:
        """Whether an engine may take another draft.

        On an engine with interactive requests, drafts fill only a share of the batch: each
        additional sequence slows down every token of the batch, regardless of priority.
        """
        report = self._report
        if report is None or report.maximum_batch == 0:
            return True
        capacity = report.maximum_batch
        if report.interactive or self.has_recent_interactive_request(now_s):
            if now_s - self._last_draft_s < MIN_DRAFT_INTERVAL_S:
                return False
            capacity = max(1, int(capacity * draft_share))
        return self.load() < capacity

    def has_recent_interactive_request(self, now_s: float) -> bool:
        """Whether this node recently sent it an interactive request."""
        return now_s - self._last_interactive_s < RECENT_INTERACTIVE_WINDOW_S

    def needs_probe(self, now_s: float, stale_s: float) -> bool:
        """Whether the owner's report is missing, stale or of a failure.

        A back end reported as unreachable is probed too, as the fault may lie with the reporter.
        """
        report = self._report
        return report is None or not report.reachable or now_s - report.made_s > stale_s

    def record_start(self, now_s: float, *, interactive: bool = False) -> None:
        """Count a request about to be sent; `interactive` if a caller waits for it."""
        with self._lock:
            if interactive:
                self._last_interactive_s = now_s
            else:
                self._last_draft_s = now_s
            self._in_flight += 1
            self._history.append((now_s, self._in_flight))
            self._circuit.record_start(now_s)

    def record_healthy(self) -> None:
        """Record success once a response begins, without waiting for the end of a stream."""
        with self._lock:
            closed = self._circuit.record_success()
        if closed:
            emit(CIRCUIT_CLOSED, worker=self.name)

    def record_end(self, now_s: float, healthy: bool | None, detail: str = "") -> None:
        """Count the end of a request; `healthy` is None if it says nothing about health."""
        opened = closed = False
        with self._lock:
            self._in_flight -= 1
            self._history.append((now_s, self._in_flight))
            if healthy is None:
                self._circuit.record_abandoned()
            elif healthy:
                closed = self._circuit.record_success()
            else:
                opened = self._circuit.record_failure(now_s)
        if opened:
            emit(CIRCUIT_OPENED, worker=self.name, detail=detail)
        if closed:
            emit(CIRCUIT_CLOSED, worker=self.name)

    def view(self, now_s: float) -> BackendView:
        """Return the view shown by status and metrics."""
        report = self._report
        return BackendView(
            worker=self.name,
            address=self.address,
            pool=self._worker.pool,
            zone=self._worker.zone,
            ready=report is not None and report.ready,
            leaving=self.leaving,
            weight_version=report.weight_version if report else None,
            outstanding_here=self._in_flight,
            reported_load=report.load if report else 0,
            age_s=now_s - report.made_s if report else float("inf"),
        )

    def _in_flight_at(self, time_s: float) -> int:
        """Return this node's requests in flight at an earlier time, from the history."""
        position = bisect_right(self._history, (time_s, 1 << 62))
        if position:
            return self._history[position - 1][1]
        return 0 if len(self._history) < MAX_HISTORY_ENTRIES else self._in_flight
