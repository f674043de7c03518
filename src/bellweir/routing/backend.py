"""What a node knows of one back end: its last report, own requests in flight, its circuit."""

import threading
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, replace

from bellweir.events.log import emit
from bellweir.routing.circuit import Circuit
from bellweir.routing.interface import BackendView
from bellweir.routing.log_events import BACKEND_LEAVING, CIRCUIT_CLOSED, CIRCUIT_OPENED
from bellweir.routing.pool_workers import PoolWorker

HISTORY_ENTRIES = 256
DRAFT_SPACING_S = 0.025
"""Drafts of one node start this far apart on an engine that callers use too: the prompts of many
at once would fill a step of the batch that a caller waits for."""
RECENT_INTERACTIVE_WINDOW_S = 10.0
"""Drafts keep out of a share of an engine's batch for this long after a caller's request."""
LEAVING_KEPT_S = 5.0
"""A back end's own word that it leaves outlasts reports that were late for this long."""


@dataclass(frozen=True)
class BackendReport:
    """A back end's state as probed at `made_s` on this node's monotonic clock."""

    ready: bool
    leaving: bool
    load: int
    """Requests running and waiting on it."""
    made_s: float
    reachable: bool = True
    """False when the last probe or connection failed."""
    weight_version: int | None = None
    model: str | None = None
    maximum_batch: int = 0
    """Requests an engine runs at once; 0 when not known."""
    interactive: int = 0
    """Requests that callers wait for on it, from nodes that have told its owner."""


def unreachable_report(made_s: float) -> BackendReport:
    """The report of a back end that could not be reached."""
    return BackendReport(ready=False, leaving=False, reachable=False, load=0, made_s=made_s)


class Backend:
    """One back end of the node's subset; thread-safe, nothing blocks under its lock."""

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
        self._history: deque[tuple[float, int]] = deque(maxlen=HISTORY_ENTRIES)
        self._leaving_announced = False
        self._leaving_announced_s = 0.0
        self._interactive_s = -RECENT_INTERACTIVE_WINDOW_S
        self._draft_s = 0.0

    @property
    def worker(self) -> PoolWorker:
        """The back end as configured."""
        return self._worker

    @property
    def report(self) -> BackendReport | None:
        """The newest report; None before the first."""
        return self._report

    @property
    def in_flight(self) -> int:
        """Requests of this node on it."""
        return self._in_flight

    @property
    def leaving(self) -> bool:
        """Whether anyone has said that it leaves: operator, machine list or itself."""
        report = self._report
        reported = report is not None and report.leaving
        return self._worker.leaving or self._leaving_announced or reported

    def reconfigure(self, worker: PoolWorker, distance: int) -> None:
        """Take over a changed configuration of the same worker at the same address."""
        if worker.leaving and not self.leaving:
            emit(BACKEND_LEAVING, worker=self.name, source="configuration")
        self._worker = worker
        self.distance = distance

    @property
    def ready(self) -> bool:
        """Whether it is ready for new work and not leaving."""
        report = self._report
        return report is not None and report.ready and not self.leaving

    @property
    def circuit_opened_s(self) -> float:
        """When its circuit was last opened."""
        return self._circuit.opened_s

    def permits(self, now_s: float) -> bool:
        """Whether its circuit permits a request."""
        return self._circuit.permits(now_s)

    def load(self) -> int:
        """Requests on it: the report, corrected by what this node started and ended since."""
        report = self._report
        if report is None:
            return self._in_flight
        corrected = report.load + self._in_flight - self._in_flight_at_report
        return max(corrected, self._in_flight)

    def update_report(self, report: BackendReport) -> bool:
        """Take a report unless a newer one is held; return whether it was taken."""
        with self._lock:
            held = self._report
            if held is not None and report.made_s <= held.made_s:
                return False
            if report.leaving and not self.leaving:
                emit(BACKEND_LEAVING, worker=self.name, source="report")
            if report.made_s > self._leaving_announced_s + LEAVING_KEPT_S:
                self._leaving_announced = False
            self._in_flight_at_report = self._in_flight_at(report.made_s)
            self._report = report
            return True

    def mark_unreachable(self, now_s: float) -> None:
        """Note a failed probe or connection: not ready until a later report says otherwise."""
        with self._lock:
            held = self._report
            if held is None:
                self._report = unreachable_report(now_s)
            elif held.made_s <= now_s:
                self._report = replace(held, ready=False, reachable=False, made_s=now_s)

    def mark_unready(self, now_s: float) -> None:
        """Note that it has said itself that it serves nothing just now."""
        with self._lock:
            held = self._report
            if held is not None and held.made_s <= now_s:
                self._report = replace(held, ready=False, made_s=now_s)

    def may_recover(self) -> bool:
        """Whether it may serve again within a moment: it answers, but is not ready."""
        report = self._report
        if self.leaving:
            return False
        return report is None or (report.reachable and not report.ready)

    def mark_leaving(self, now_s: float, source: str) -> None:
        """Note that the back end itself has said that it leaves."""
        if not self.leaving:
            emit(BACKEND_LEAVING, worker=self.name, source=source)
        self._leaving_announced_s = now_s
        self._leaving_announced = True

    @property
    def is_queueing(self) -> bool:
        """Whether an engine has more requests than it runs at once."""
        report = self._report
        return report is not None and 0 < report.maximum_batch < self.load()

    def has_draft_capacity(self, draft_share: float, now_s: float) -> bool:
        """Whether an engine may take another draft.

        While callers use the engine too, drafts fill only a share of its batch: each sequence
        more makes every token of the batch slower, which priorities can't mend.
        """
        report = self._report
        if report is None or report.maximum_batch == 0:
            return True
        room = report.maximum_batch
        if report.interactive or self.has_recent_interactive_request(now_s):
            if now_s - self._draft_s < DRAFT_SPACING_S:
                return False
            room = max(1, int(room * draft_share))
        return self.load() < room

    def has_recent_interactive_request(self, now_s: float) -> bool:
        """Whether this node lately had a request on it that a caller waits for."""
        return now_s - self._interactive_s < RECENT_INTERACTIVE_WINDOW_S

    def needs_probe(self, now_s: float, stale_s: float) -> bool:
        """Whether its owner's reports do not do: none, too old, or of a failure.

        A back end that somebody could not reach is looked at directly as well: the fault may
        lie with whoever looked.
        """
        report = self._report
        return report is None or not report.reachable or now_s - report.made_s > stale_s

    def record_start(self, now_s: float, *, interactive: bool = False) -> None:
        """Count a request that is about to be sent; `interactive` when a caller waits for it."""
        with self._lock:
            if interactive:
                self._interactive_s = now_s
            else:
                self._draft_s = now_s
            self._in_flight += 1
            self._history.append((now_s, self._in_flight))
            self._circuit.record_start(now_s)

    def record_healthy(self) -> None:
        """Note that it has begun to answer; a long stream need not end to prove it."""
        with self._lock:
            closed = self._circuit.record_success()
        if closed:
            emit(CIRCUIT_CLOSED, worker=self.name)

    def record_end(self, now_s: float, healthy: bool | None, detail: str = "") -> None:
        """Count the end of a request; `healthy` None tells nothing of the back end's health."""
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
        """The view that status and metrics show."""
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
        """Own requests in flight at an earlier time, from the history."""
        position = bisect_right(self._history, (time_s, 1 << 62))
        if position:
            return self._history[position - 1][1]
        return 0 if len(self._history) < HISTORY_ENTRIES else self._in_flight
