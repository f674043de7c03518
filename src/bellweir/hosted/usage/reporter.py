"""Reports the usage of each window to the platform, under the lease of the platform duties.

A window is settled in the replicated log before it is reported, so that a repeated report, after a
lost response or a change of lease holder, has the same counts. A new holder reports all windows
that are not overdue, since it does not know which reports of its predecessor arrived.
"""

from collections.abc import Callable

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.interface import DutyOutcome, DutyPlatform, UsageReport
from bellweir.hosted.log_events import USAGE_MISSED, USAGE_REPORTED
from bellweir.hosted.settings import UsageSettings
from bellweir.hosted.usage.state import USAGE_KEY, SettleUsage, UsageSettled
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.hosted.weights.lease import Lease
from bellweir.ledger.interface import Ledger

SETTLE_SHARE = 0.45
"""Fraction of the reporting period after which a window is settled. Delayed counts of gateways must
arrive before, the report itself is sent after; both parts must outlast a short outage."""
SETTLE_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 0.5
"""Kept short, since calls must end soon after the lease does."""
MISSED_OUTCOME = "missed"
DEADLINE_MARGIN_S = 0.3
"""No report is started this close to its deadline."""


class UsageReporter:
    """Reports ended windows in order. `step` is called periodically by one task."""

    def __init__(
        self,
        lease: Lease,
        ledger: Ledger,
        platform: DutyPlatform,
        settings: UsageSettings,
        node: str,
        clock: StableWallClock,
        is_needed: Callable[[], bool],
        count: Callable[[str], None] = lambda _outcome: None,
    ) -> None:
        """`is_needed` returns whether the deployment has tenants.

        `count` is called with the outcome of each call, and with `missed` for an overdue window.
        """
        self._count = count
        self._lease = lease
        self._ledger = ledger
        self._platform = platform
        self._settings = settings
        self._node = node
        self._clock = clock
        self._is_needed = is_needed
        self._next_window: int | None = None
        """First window not yet reported by this holder; None without the lease."""

    def step(self) -> None:
        """Report all windows that are due, oldest first; overdue ones are skipped and logged."""
        if self._lease.remaining_s() <= 0 or not self._is_needed():
            self._next_window = None
            return
        now_s = self._clock.now_s()
        oldest = self._last_ended_window(now_s - self._settings.late_s + DEADLINE_MARGIN_S) + 1
        newest = self._last_ended_window(now_s - SETTLE_SHARE * self._settings.late_s)
        if self._next_window is None:
            self._next_window = oldest
        for window in range(self._next_window, oldest):
            self._miss(window)
        for window in range(max(oldest, self._next_window), newest + 1):
            self._next_window = window
            if not self._report(window):
                return
            self._next_window = window + 1

    def _last_ended_window(self, wall_time_s: float) -> int:
        """Return the latest window that has ended at a time."""
        return int(wall_time_s // self._settings.window_s) - 1

    def _miss(self, window: int) -> None:
        emit(USAGE_MISSED, window=window)
        self._count(MISSED_OUTCOME)

    def _report(self, window: int) -> bool:
        settled = self._ledger.submit(USAGE_KEY, SettleUsage(window), SETTLE_TIMEOUT_S)
        reply = settled.unwrap() if isinstance(settled, Success) else None
        if not isinstance(reply, UsageSettled):
            return False
        if reply.is_forgotten:
            # Its counts are gone, and a report without them would contradict an earlier one.
            self._miss(window)
            return True
        fencing_token = self._lease.begin_operation(CALL_TIMEOUT_S)
        if fencing_token == 0:
            return False
        report = UsageReport(window, reply.counts, self._node, fencing_token)
        answer = self._platform.report_usage(report, CALL_TIMEOUT_S)
        self._count(answer.value)
        emit(
            USAGE_REPORTED,
            window=window,
            requests=sum(reply.counts.values()),
            tenants=len(reply.counts),
            fence=fencing_token,
            answer=answer.value,
        )
        return answer in (DutyOutcome.DONE, DutyOutcome.INVALID)
