"""Reports each window's usage to the platform, under the lease of the store machines' duties.

A window is settled in the log before it is reported, so that whoever reports it again, after a
lost answer or a change of holder, reports the very same counts. A new holder goes back over the
windows that are not overdue yet: it can't know which reports of the one before it arrived.
"""

from collections.abc import Callable

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.interface import DutyAnswer, DutyPlatform, UsageReport
from bellweir.hosted.log_events import USAGE_MISSED, USAGE_REPORTED
from bellweir.hosted.settings import UsageSettings
from bellweir.hosted.usage.state import USAGE_KEY, SettleUsage, UsageSettled
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.hosted.weights.lease import Lease
from bellweir.ledger.interface import Ledger

SETTLE_SHARE = 0.45
"""Share of the time that a report has after its window's end at which the window is settled. The
counts of gateways that could not reach the log have so long to arrive, and the report itself has
the rest: each outlasts an outage of four seconds where a report has ten."""
SETTLE_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 0.5
"""Time for a call; a holder's act must be over soon after its lease is."""
MISSED = "missed"
LATE_MARGIN_S = 0.3
"""Time before a report is due in which none is begun: it would arrive too late to count."""


class UsageReporter:
    """`step` is called by one task, a few times a second."""

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
        """`is_needed` tells whether the deployment has tenants whose usage can be reported.

        `count` is called with the answer to each call, and with `missed` for an overdue window.
        """
        self._count = count
        self._lease = lease
        self._ledger = ledger
        self._platform = platform
        self._settings = settings
        self._node = node
        self._clock = clock
        self._is_needed = is_needed
        self._next: int | None = None
        """The first window that this holder has not reported; None without the lease."""

    def step(self) -> None:
        """Report the windows that can be, oldest first; those that are overdue are passed over."""
        if self._lease.remaining_s() <= 0 or not self._is_needed():
            self._next = None
            return
        now_s = self._clock.now_s()
        oldest = self._window_that_ended(now_s - self._settings.late_s + LATE_MARGIN_S) + 1
        newest = self._window_that_ended(now_s - SETTLE_SHARE * self._settings.late_s)
        if self._next is None:
            self._next = oldest
        for window in range(self._next, oldest):
            self._miss(window)
        for window in range(max(oldest, self._next), newest + 1):
            self._next = window
            if not self._report(window):
                return
            self._next = window + 1

    def _window_that_ended(self, wall_time_s: float) -> int:
        """The newest window whose end is not after a moment."""
        return int(wall_time_s // self._settings.window_s) - 1

    def _miss(self, window: int) -> None:
        emit(USAGE_MISSED, window=window)
        self._count(MISSED)

    def _report(self, window: int) -> bool:
        settled = self._ledger.submit(USAGE_KEY, SettleUsage(window), SETTLE_TIMEOUT_S)
        reply = settled.unwrap() if isinstance(settled, Success) else None
        if not isinstance(reply, UsageSettled):
            return False
        if reply.is_forgotten:
            # A report without its counts would differ from the one that was made of it.
            self._miss(window)
            return True
        fence = self._lease.begin_operation(CALL_TIMEOUT_S)
        if fence == 0:
            return False
        report = UsageReport(window, reply.counts, self._node, fence)
        answer = self._platform.report_usage(report, CALL_TIMEOUT_S)
        self._count(answer.value)
        emit(
            USAGE_REPORTED,
            window=window,
            requests=sum(reply.counts.values()),
            tenants=len(reply.counts),
            fence=fence,
            answer=answer.value,
        )
        return answer in (DutyAnswer.DONE, DutyAnswer.INVALID)
