"""Stand-in of the hosting platform's interface for duties of one node at a time."""

import itertools
import json
import threading
from dataclasses import dataclass

from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer


@dataclass(frozen=True)
class TakenReport:
    """A usage report that the platform took in."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class DutiesStandIn:
    """Takes usage reports; loses answers, refuses and is silent on purpose."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.reports: list[TakenReport] = []
        self.refuse = 0
        """Calls to be refused as too many, still."""
        self.lose_answers = 0
        """Calls to be done and left without an answer, still."""
        self._lock = threading.Lock()
        stand_in = self

        class Handler(StandInHandler):
            """One connection of a holder."""

            def do_POST(self) -> None:
                """Take a report."""
                stand_in._take(self, json.loads(self.read_body()))

        self.server = StandInServer(Handler, host)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self.server.address

    def close(self) -> None:
        """Serve no more."""
        self.server.close()

    def _take(self, handler: StandInHandler, body: dict[str, object]) -> None:
        if handler.path != "/usage":
            handler.answer(404)
            return
        with self._lock:
            refused, self.refuse = self.refuse > 0, max(0, self.refuse - 1)
            if not refused:
                self.reports.append(_report(handler, body))
            lost, self.lose_answers = self.lose_answers > 0, max(0, self.lose_answers - 1)
        if refused:
            handler.answer(429)
        elif lost:
            handler.reset()
        else:
            handler.answer(200)

    def differing(self) -> list[str]:
        """Return each pair of reports of one window that differ: there must be none."""
        first: dict[int, TakenReport] = {}
        found = []
        for report in list(self.reports):
            known = first.setdefault(report.window, report)
            if known.counts != report.counts:
                found.append(f"{known} and {report}")
        return found

    def misordered(self) -> list[str]:
        """Return each call whose fence is lower than the one before, or shared by two holders."""
        return [
            f"{before} then {after}"
            for before, after in itertools.pairwise(list(self.reports))
            if after.fence < before.fence
            or (after.fence == before.fence and after.holder != before.holder)
        ]

    def reported(self, tenant: str) -> int:
        """Return the requests of a tenant that were reported, each window counted once."""
        windows = {report.window: report.counts for report in list(self.reports)}
        return sum(counts.get(tenant, 0) for counts in windows.values())


def _report(handler: StandInHandler, body: dict[str, object]) -> TakenReport:
    counts = body["counts"]
    assert isinstance(counts, dict)
    return TakenReport(
        int(str(body["windowId"])),
        counts,
        handler.headers.get("X-Bellweir-Duty-Holder", ""),
        int(handler.headers.get("X-Bellweir-Fencing-Token") or 0),
    )
