"""Counting the nodes on which a revision is in force.

Each node tells its zone's reader, and each reader tells one of them, the reporter, in short.
With `c` changes a second, refresh period `r` and zones of `z` nodes, a node sends `c + 1/r`
reports a second of about 100 bytes, and a reader receives `z` times as many. Reports may be lost
or come from a node that has been replaced: a count is never the base of a decision, only shown.
"""

import threading
from collections import Counter
from dataclasses import dataclass

from bellweir.configuration.interface import RevisionSpread
from bellweir.configuration.messages import (
    RevisionCount,
    RevisionReport,
    TableName,
    ZoneRevisionReport,
)
from bellweir.configuration.placement import Placements
from bellweir.configuration.state import ConfigurationState
from bellweir.kernel.clock import Clock
from bellweir.membership.interface import Membership, MemberState
from bellweir.wire.interface import Sender, Transport

SHORTEST_INTERVAL_S = 0.2
"""Least time between two reports of one sender, in seconds."""
REFRESH_S = 10.0
"""A report is repeated after this time, in case it was lost or its receiver is new."""
STALE_S = 3 * REFRESH_S
KEPT_COUNTS = 8
"""Different revisions in one zone's report; the higher ones are counted as the last of them."""
KEPT_NAMES = 4
LONGEST_MEMORY = 4096
"""Nodes remembered by a reader."""


@dataclass(frozen=True)
class _Received:
    report: ZoneRevisionReport
    at_s: float


class _Schedule:
    """When a report is due: soon after it or its receiver has changed, else now and then."""

    def __init__(self) -> None:
        self._sent: object = None
        self._sent_s = float("-inf")

    def due_s(self, current: object) -> float:
        """When the report is due, given what it says and to whom."""
        wait_s = REFRESH_S if current == self._sent else SHORTEST_INTERVAL_S
        return self._sent_s + wait_s

    def is_due(self, current: object, now_s: float) -> bool:
        """Whether the report is due; it then counts as sent."""
        if self.due_s(current) > now_s:
            return False
        self._sent, self._sent_s = current, now_s
        return True


class RevisionReports:
    """One node's part: its own report, its zone's when it is the reader, and the whole count."""

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        clock: Clock,
        state: ConfigurationState,
        placements: Placements,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._clock = clock
        self._state = state
        self._placements = placements
        self._lock = threading.Lock()
        self._nodes: dict[str, int] = {}
        """Revisions of this zone's nodes, where this node is its reader."""
        self._zones: dict[str, _Received] = {}
        self._own_schedule = _Schedule()
        self._zone_schedule = _Schedule()

    def register_handlers(self) -> None:
        """Accept reports from peers."""
        self._transport.register(RevisionReport, self._on_report)
        self._transport.register(ZoneRevisionReport, self._on_zone_report)

    def due_s(self) -> float:
        """When the next report is due, on the clock's monotonic time."""
        if not self._state.loaded:
            return float("inf")
        placement = self._placements.current()
        due_s = self._own_schedule.due_s((self._own_report(), placement.reader))
        zone = self._zone_report()
        if zone is not None:
            due_s = min(due_s, self._zone_schedule.due_s((zone, placement.reporter)))
        return due_s

    def send_due(self) -> None:
        """Send what is due; called by the core's task."""
        if not self._state.loaded:
            return
        now_s = self._clock.monotonic_s()
        placement = self._placements.current()
        own = self._own_report()
        if self._own_schedule.is_due((own, placement.reader), now_s):
            self._send_own(own)
        zone = self._zone_report()
        if zone is not None and self._zone_schedule.is_due((zone, placement.reporter), now_s):
            self._send_zone(zone)

    def spread(self) -> RevisionSpread | None:
        """The whole count, where this node is the reporter."""
        if not self._placements.current().is_reporter:
            return None
        members = self._membership.members()
        counts: Counter[int] = Counter()
        behind: list[str] = []
        staying = [member for member in members if member.state is not MemberState.LEAVING]
        for report in self._fresh_reports({member.zone for member in staying}):
            counts.update({count.revision: count.nodes for count in report.counts})
            behind.extend(report.behind)
        return RevisionSpread(len(staying), dict(counts), tuple(behind))

    def _fresh_reports(self, zones: set[str]) -> list[ZoneRevisionReport]:
        oldest_s = self._clock.monotonic_s() - STALE_S
        with self._lock:
            received = list(self._zones.values())
        return [
            each.report for each in received if each.at_s >= oldest_s and each.report.zone in zones
        ]

    def _own_report(self) -> RevisionReport:
        node = self._membership.self_member().node
        return RevisionReport(node, self._state.position(TableName.RESOURCES).revision)

    def _send_own(self, report: RevisionReport) -> None:
        reader = self._placements.current().reader
        if reader is None or reader.node == report.node:
            self._take(report)
        else:
            self._transport.send(reader.peer_address, report)

    def _zone_report(self) -> ZoneRevisionReport | None:
        """Return the zone's report, where this node is its reader."""
        placement = self._placements.current()
        if not placement.is_reader:
            return None
        names = [each.node for each in placement.order if each.state is not MemberState.LEAVING]
        with self._lock:
            known = {name: self._nodes[name] for name in names if name in self._nodes}
        return zone_report(placement.own.zone, known, names)

    def _send_zone(self, report: ZoneRevisionReport) -> None:
        placement = self._placements.current()
        reporter = placement.reporter
        if reporter is None or placement.is_reporter:
            self._take_zone(report)
        else:
            self._transport.send(reporter.peer_address, report)

    def _on_report(self, sender: Sender, report: RevisionReport) -> None:
        self._take(report)

    def _on_zone_report(self, sender: Sender, report: ZoneRevisionReport) -> None:
        self._take_zone(report)

    def _take(self, report: RevisionReport) -> None:
        with self._lock:
            self._nodes[report.node] = report.revision
            if len(self._nodes) > LONGEST_MEMORY:
                # Names of nodes long gone: those that live report again.
                self._nodes.clear()

    def _take_zone(self, report: ZoneRevisionReport) -> None:
        with self._lock:
            self._zones[report.zone] = _Received(report, self._clock.monotonic_s())


def zone_report(zone: str, known: dict[str, int], names: list[str]) -> ZoneRevisionReport:
    """The report on a zone's nodes; those that have not reported are behind, and not counted."""
    silent = [name for name in names if name not in known]
    lowest_first = sorted(known, key=lambda name: (known[name], name))
    newest = max(known.values(), default=0)
    behind = silent + [name for name in lowest_first if known[name] < newest]
    counts = Counter(known.values())
    revisions = sorted(counts)
    kept = [RevisionCount(revision, counts[revision]) for revision in revisions[:KEPT_COUNTS]]
    beyond = sum(counts[revision] for revision in revisions[KEPT_COUNTS:])
    if beyond:
        kept[-1] = RevisionCount(kept[-1].revision, kept[-1].nodes + beyond)
    return ZoneRevisionReport(zone, tuple(kept), tuple(behind[:KEPT_NAMES]))
