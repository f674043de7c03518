"""A node as holder of attempts: takes assignments and instructions, and reports to coordinators."""

import threading
from collections.abc import Callable

from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Ledger
from bellweir.samples.attempts import Assignment, AttemptEnd
from bellweir.samples.backoffs import CANCELLED
from bellweir.samples.runner import AttemptRunner
from bellweir.samples.wire_messages import AssignAttempts, InstructAttempts, ReportAttempts
from bellweir.wire.interface import Transport

REPORT_PERIOD_S = 0.5
"""Time between looks at what has changed; ended attempts are reported at once."""
REPORT_S_FOR_EACH_ATTEMPT = 0.05
"""Time between full reports, for each attempt: a report of one has about 200 bytes, so that a
node sends about 4 kB a second of them, however many it runs."""
LONGEST_REPORT_PERIOD_S = 10.0
SHORTEST_REPORT_PAUSE_S = 0.05
"""Attempts that end within this time are reported together."""

LocalListener = Callable[[ReportAttempts], None]


class AttemptHolder:
    """Between this node's runner and the coordinators of the steps it runs attempts for."""

    def __init__(
        self,
        *,
        node: str,
        clock: Clock,
        ledger: Ledger,
        transport: Transport,
        to_local_coordinator: LocalListener,
    ) -> None:
        self._node = node
        self._clock = clock
        self._ledger = ledger
        self._transport = transport
        self._to_local_coordinator = to_local_coordinator
        self._runner: AttemptRunner | None = None
        self._lock = threading.Lock()
        self._ended: list[AttemptEnd] = []
        self._next_full_s = 0.0
        self._last_free_places = 0
        self._wake = threading.Event()

    def use(self, runner: AttemptRunner) -> None:
        """Set the runner whose attempts are reported."""
        self._runner = runner

    def take_assignments(self, message: AssignAttempts) -> None:
        """Start what there is a place for, and report the rest at once."""
        if self._runner is None:
            return
        for assignment in message.assignments:
            if not self._runner.start(assignment):
                self.note_end(_not_taken(assignment))

    def take_instructions(self, message: InstructAttempts) -> None:
        """Cancel and move attempts."""
        if self._runner is None:
            return
        for attempt_id in message.cancel:
            self._runner.cancel(attempt_id)
        for attempt_id in message.move:
            self._runner.move(attempt_id)

    def note_end(self, end: AttemptEnd) -> None:
        """Report an ended attempt soon."""
        with self._lock:
            self._ended.append(end)
        self._wake.set()

    def run(self, stopping: threading.Event) -> None:
        """Report until the node stops."""
        while not stopping.is_set():
            self._clock.wait(self._wake, REPORT_PERIOD_S)
            self._wake.clear()
            self.report()
            self._clock.wait(stopping, SHORTEST_REPORT_PAUSE_S)

    def report(self) -> None:
        """Tell each coordinator of its attempts here: all of them when that is due."""
        if self._runner is None:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            ended, self._ended = self._ended, []
        free_places = self._runner.free_places()
        running = self._runner.reports()
        is_full = now_s >= self._next_full_s
        if not is_full and not ended and free_places == self._last_free_places:
            return
        self._last_free_places = free_places
        if is_full:
            self._next_full_s = now_s + report_period_s(len(running))
        step_ids = {report.step_id for report in running} | {end.step_id for end in ended}
        by_coordinator: dict[str | None, set[str]] = {}
        for step_id in step_ids:
            by_coordinator.setdefault(self._coordinator_of(step_id), set()).add(step_id)
        for address, steps in by_coordinator.items():
            named = [report for report in running if is_full and report.step_id in steps]
            message = ReportAttempts(
                node=self._node,
                free_places=free_places,
                running=tuple(named),
                ended=tuple(end for end in ended if end.step_id in steps),
                is_full=is_full,
                next_full_s=report_period_s(len(running)),
            )
            self._send(address, message)

    def _coordinator_of(self, step_id: str) -> str | None:
        """Address of the step's coordinator; None for this node and when nobody is known."""
        if self._ledger.leads(step_id):
            return None
        return self._ledger.leader_address(step_id)

    def _send(self, address: str | None, message: ReportAttempts) -> None:
        if address is None:
            self._to_local_coordinator(message)
        else:
            self._transport.send(address, message)


def report_period_s(attempts: int) -> float:
    """Seconds between full reports of a node that runs so many attempts."""
    wanted_s = REPORT_S_FOR_EACH_ATTEMPT * attempts
    return min(LONGEST_REPORT_PERIOD_S, max(REPORT_PERIOD_S, wanted_s))


def _not_taken(assignment: Assignment) -> AttemptEnd:
    """The end of an attempt that this node had no place for."""
    return AttemptEnd(assignment.step_id, assignment.slot, assignment.attempt_id, CANCELLED)
