"""Background task that collects per-arm results and forwards them or writes the status."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, wait

from bellweir.kernel.clock import Clock
from bellweir.routing.arm_reports import ArmReports
from bellweir.routing.arm_status import ArmStatusWriter

POLL_INTERVAL_S = 0.5


class ArmResults:
    """Runs as one task; `flush` ends it and sends or writes pending counts."""

    def __init__(
        self, reports: ArmReports, writer: Callable[[], ArmStatusWriter | None], clock: Clock
    ) -> None:
        self._reports = reports
        self._find_writer = writer
        self._clock = clock
        self._ending = threading.Event()
        self._writer: ArmStatusWriter | None = None

    def run(self, all_started: threading.Event, stopping: threading.Event) -> None:
        """Run rounds until the executors stop or the node drains."""
        while not (stopping.is_set() or self._ending.is_set()):
            if all_started.is_set():
                self.run_once()
            self._clock.wait(self._ending, POLL_INTERVAL_S)

    def run_once(self) -> None:
        """Collect counts, then write them on the reporter or forward them elsewhere."""
        self._reports.collect()
        writer = self._current_writer()
        if writer is None:
            return
        if self._reports.next_hop() is None:
            self._reports.send_now()
            writer.write_due()
        else:
            writer.hand_over()
            self._reports.send_if_due()

    def end(self) -> None:
        """Signal the task to end."""
        self._ending.set()

    def flush(self, task: "Future[None]", timeout_s: float) -> None:
        """End the task, then forward pending counts, or write them if there is no next hop."""
        self.end()
        if wait((task,), timeout=timeout_s).not_done:
            return
        self._reports.close()
        self._reports.collect()
        writer = self._current_writer()
        if writer is None:
            return
        if self._reports.next_hop() is None:
            self._reports.send_now()
            writer.write_now()
            return
        writer.hand_over()
        # The first call may only retransmit a report in flight; the second sends newer counts.
        for _ in range(2):
            self._reports.send_now()

    def _current_writer(self) -> ArmStatusWriter | None:
        if self._writer is None:
            self._writer = self._find_writer()
        return self._writer
