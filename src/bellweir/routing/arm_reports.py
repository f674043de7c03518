"""Aggregates per-arm counts: nodes report to their zone's reader, readers to the reporter.

Reports carry increments, so each count is held by exactly one node until it is in the status. Any
node accepts and forwards reports, since nodes may disagree on who is reader or reporter.
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
    ArmTotals,
    to_counts,
)
from bellweir.wire.interface import Sender, Transport, WireErrorKind

REPORT_INTERVAL_S = 2.0
REPORT_TIMEOUT_S = 1.0
MAX_TRACKED_SENDERS = 4096
"""Limit on incarnations of senders remembered for deduplication."""


@dataclass
class _InFlightReport:
    """A report that has not been acknowledged."""

    target: str
    sequence: int
    counts: tuple[ArmCounts, ...]
    may_be_accepted: bool = False


class ArmReports:
    """Collects pending counts and forwards them to the next hop; thread-safe.

    `collect`, `send_if_due` and `send_now` must not be called concurrently.
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
        self._pending = ArmTotals()
        self._collected: dict[ArmKey, ArmCounts] = {}
        """Values of the local counters already added to the pending counts."""
        self._last_accepted: dict[tuple[str, int], int] = {}
        """Sequence number of the last report of each sender's incarnation, the oldest first."""
        self._is_closed = False
        self._in_flight: _InFlightReport | None = None
        self._sequence = 0
        self._next_send_s = 0.0

    def register_handlers(self) -> None:
        """Accept reports from peers."""
        self._transport.register(ArmReport, self._on_report)

    def close(self) -> None:
        """Reject further reports; pending counts can still be sent."""
        with self._lock:
            self._is_closed = True

    def collect(self) -> None:
        """Add the local counters' increments since the last call to the pending counts."""
        for statistics in self._counters.read():
            counts = to_counts(statistics)
            before = self._collected.get(counts.key)
            change = counts if before is None else counts.plus(before, -1)
            if not change.is_zero:
                self._collected[counts.key] = counts
                self.add((change,))

    def next_hop(self) -> Member | None:
        """The node to send counts to; None if this node is the reporter or there is none."""
        placement = self._placement()
        reporter = placement.reporter
        if reporter is None or placement.is_reporter:
            return None
        if placement.reader is None or placement.is_reader:
            return reporter
        return placement.reader

    def send_if_due(self) -> None:
        """Send pending counts if the report interval has elapsed."""
        if self._clock.monotonic_s() >= self._next_send_s:
            self.send_now()

    def send_now(self) -> None:
        """Send pending counts to the next hop, if there is one."""
        target = self.next_hop()
        self._resolve_target_change(None if target is None else target.peer_address)
        if target is None:
            return
        report = self._next_report(target.peer_address)
        if report is not None:
            self._next_send_s = self._clock.monotonic_s() + REPORT_INTERVAL_S
            self._send(report)

    def _resolve_target_change(self, target: str | None) -> None:
        """Handle an unacknowledged report to a node that is no longer the next hop."""
        report = self._in_flight
        if report is None or report.target == target:
            return
        self._in_flight = None
        # The old receiver may have counted it; sending it to another node could count it twice.
        if not report.may_be_accepted:
            self.add(report.counts)

    def _next_report(self, target: str) -> _InFlightReport | None:
        if self._in_flight is None:
            with self._lock:
                counts = self._pending.pop_all()
            if counts:
                self._sequence += 1
                self._in_flight = _InFlightReport(target, self._sequence, counts)
        return self._in_flight

    def _send(self, report: _InFlightReport) -> None:
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
            sender = (report.node, report.incarnation)
            # A duplicate may also arrive after the next report, or after a restart of the sender.
            sequence = self._last_accepted.pop(sender, 0)
            if sequence < report.sequence:
                self._pending.add(report.counts)
            # The last one to report stands last; the least recently active one is evicted.
            self._last_accepted[sender] = max(sequence, report.sequence)
            if len(self._last_accepted) > MAX_TRACKED_SENDERS:
                del self._last_accepted[next(iter(self._last_accepted))]
        return ArmReportAnswer(taken=True)

    # --- used by the status writer -------------------------------------------------------------

    def comparisons(self) -> set[str]:
        """Names of comparisons with pending counts."""
        with self._lock:
            return self._pending.comparisons()

    def counts_for(self, comparison: str) -> tuple[ArmCounts, ...]:
        """Pending counts of a comparison."""
        with self._lock:
            return self._pending.for_comparison(comparison)

    def add(self, counts: Iterable[ArmCounts]) -> None:
        """Add to the pending counts."""
        with self._lock:
            self._pending.add(counts)

    def remove(self, counts: Iterable[ArmCounts]) -> None:
        """Subtract counts that are in the status or whose comparison was deleted."""
        with self._lock:
            self._pending.subtract(counts)
