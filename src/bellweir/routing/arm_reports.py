"""Gathering of results by arm: each node passes what it counted on towards the reporter.

Reports carry differences, so that each count is held by one node at a time: first by the one
that counted it, then by its zone's reader, then by the reporter, then by the status. Any node
takes a report and passes it on, also one that is reader or reporter by the sender's view only.
"""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from returns.result import Failure, Success

from bellweir.configuration.placement import Placement
from bellweir.kernel.clock import Clock
from bellweir.membership.interface import Member
from bellweir.routing.arm_counters import ArmCounters, ArmKey
from bellweir.routing.arm_counts import (
    ArmCounts,
    ArmReport,
    ArmReportAnswer,
    ArmSums,
    to_counts,
)
from bellweir.wire.interface import Sender, Transport, WireErrorKind

REPORT_INTERVAL_S = 2.0
"""Least time between two reports of a node, in seconds; none is sent when nothing changed."""
REPORT_TIMEOUT_S = 1.0
MAX_TRACKED_SENDERS = 4096
"""Senders whose last report is remembered."""


@dataclass
class _InFlight:
    """A report that the next node has not said to have taken."""

    target: str
    sequence: int
    counts: tuple[ArmCounts, ...]
    may_be_accepted: bool = False


class ArmReports:
    """Counts that this node holds, and where they go; thread-safe.

    `send_if_due` and `send_now` are for one thread at a time.
    """

    def __init__(
        self,
        node: str,
        counters: ArmCounters,
        transport: Transport,
        placement: Callable[[], Placement],
        clock: Clock,
    ) -> None:
        self._node = node
        self._counters = counters
        self._transport = transport
        self._placement = placement
        self._clock = clock
        self._incarnation = random.getrandbits(62)
        self._lock = threading.Lock()
        self._pending = ArmSums()
        self._collected: dict[ArmKey, ArmCounts] = {}
        """Own counters as far as they have been added to what is held."""
        self._last_accepted: dict[str, tuple[int, int]] = {}
        """Incarnation and number of each sender's last report."""
        self._is_closed = False
        self._in_flight: _InFlight | None = None
        self._sequence = 0
        self._next_send_s = 0.0

    def register_handlers(self) -> None:
        """Accept reports from peers."""
        self._transport.register(ArmReport, self._on_report)

    def close(self) -> None:
        """Take no more reports; what is held can still be passed on."""
        with self._lock:
            self._is_closed = True

    def collect(self) -> None:
        """Add what this node has counted since the last time to what is held."""
        for statistics in self._counters.read():
            counts = to_counts(statistics)
            before = self._collected.get(counts.key)
            change = counts if before is None else counts.plus(before, -1)
            if not change.is_zero:
                self._collected[counts.key] = counts
                self.add((change,))

    def next_hop(self) -> Member | None:
        """Where counts go from here; None on the reporter itself."""
        placement = self._placement()
        reporter = placement.reporter
        if reporter is None or placement.is_reporter:
            return None
        if placement.reader is None or placement.is_reader:
            return reporter
        return placement.reader

    def send_if_due(self) -> None:
        """Pass on what is held, when a report is due."""
        if self._clock.monotonic_s() >= self._next_send_s:
            self.send_now()

    def send_now(self) -> None:
        """Pass on what is held, unless this node is the reporter."""
        target = self.next_hop()
        self._resolve_target_change(None if target is None else target.peer_address)
        if target is None:
            return
        report = self._next_report(target.peer_address)
        if report is not None:
            self._next_send_s = self._clock.monotonic_s() + REPORT_INTERVAL_S
            self._send(report)

    def _resolve_target_change(self, target: str | None) -> None:
        """Decide about a report whose receiver is not the one to report to any more."""
        report = self._in_flight
        if report is None or report.target == target:
            return
        self._in_flight = None
        # Sent again to another node, it might be counted twice: what may be taken is let go.
        if not report.may_be_accepted:
            self.add(report.counts)

    def _next_report(self, target: str) -> _InFlight | None:
        if self._in_flight is None:
            with self._lock:
                counts = self._pending.pop_all()
            if counts:
                self._sequence += 1
                self._in_flight = _InFlight(target, self._sequence, counts)
        return self._in_flight

    def _send(self, report: _InFlight) -> None:
        message = ArmReport(self._node, self._incarnation, report.sequence, report.counts)
        match self._transport.request(report.target, message, REPORT_TIMEOUT_S):
            case Success(ArmReportAnswer(taken=True)):
                self._in_flight = None
            case Failure(error) if error.kind is WireErrorKind.NO_ANSWER:
                report.may_be_accepted = True

    def _on_report(self, _sender: Sender, report: ArmReport) -> ArmReportAnswer:
        with self._lock:
            if self._is_closed:
                return ArmReportAnswer(taken=False)
            number = (report.incarnation, report.sequence)
            incarnation, sequence = self._last_accepted.get(report.node, (0, 0))
            # A report sent twice may also come late, after the next one.
            if incarnation != report.incarnation or sequence < report.sequence:
                self._pending.add(report.counts)
            else:
                number = (incarnation, sequence)
            # The newest sender is the last one, so that the one forgotten is long silent.
            self._last_accepted.pop(report.node, None)
            self._last_accepted[report.node] = number
            if len(self._last_accepted) > MAX_TRACKED_SENDERS:
                del self._last_accepted[next(iter(self._last_accepted))]
        return ArmReportAnswer(taken=True)

    # --- for the writer of the status ----------------------------------------------------------

    def comparisons(self) -> set[str]:
        """Comparisons of which this node holds counts."""
        with self._lock:
            return self._pending.comparisons()

    def counts_for(self, comparison: str) -> tuple[ArmCounts, ...]:
        """What this node holds of a comparison."""
        with self._lock:
            return self._pending.for_comparison(comparison)

    def add(self, counts: Iterable[ArmCounts]) -> None:
        """Hold these counts too."""
        with self._lock:
            self._pending.add(counts)

    def remove(self, counts: Iterable[ArmCounts]) -> None:
        """Hold these counts no more: they are in the status, or their comparison is gone."""
        with self._lock:
            self._pending.subtract(counts)
