"""Tells operators how far a rollout is: the condition `RolledOut` of the pool.

The node that paces a pool writes it, when the condition changes and now and then while it lasts,
so that the platform's store is written to a few times for each version and pool.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.resources.interface import Resources
from bellweir.weights.rollout import RolloutSummary

PROGRESS_PERIOD_S = 10.0
"""Time between writes while the condition stays."""
RETRY_S = 2.0
"""Time until a failed write is tried again."""
CONDITION = "RolledOut"


@dataclass
class _Written:
    summary: RolloutSummary | None
    next_s: float
    """No write that keeps the condition before this."""
    is_writing: bool = False


class RolloutStatus:
    """Writes the conditions of the pools that this node paces."""

    def __init__(self, executors: Executors, clock: Clock, resources: Resources) -> None:
        self._executors = executors
        self._clock = clock
        self._resources = resources
        self._lock = threading.Lock()
        self._written: dict[str, _Written] = {}

    def report(self, summaries: Mapping[str, RolloutSummary]) -> None:
        """Write what has changed, on the background executor."""
        now_s = self._clock.monotonic_s()
        for pool, summary in summaries.items():
            if self._is_due(pool, summary, now_s):
                try:
                    self._executors.submit(WorkKind.BACKGROUND, self._write, pool, summary)
                except (ExecutorSaturatedError, RuntimeError):
                    self._note(pool, None, now_s + RETRY_S)
        with self._lock:
            for pool in [pool for pool in self._written if pool not in summaries]:
                del self._written[pool]

    def _is_due(self, pool: str, summary: RolloutSummary, now_s: float) -> bool:
        with self._lock:
            written = self._written.setdefault(pool, _Written(None, 0.0))
            if written.is_writing or written.summary == summary:
                return False
            is_flip = (
                written.summary is not None
                and written.summary.is_rolled_out != summary.is_rolled_out
            )
            if now_s < written.next_s and not is_flip:
                return False
            written.is_writing = True
            return True

    def _write(self, pool: str, summary: RolloutSummary) -> None:
        written = self._resources.report_status("Pool", pool, status_document(summary))
        now_s = self._clock.monotonic_s()
        if isinstance(written, Success):
            self._note(pool, summary, now_s + PROGRESS_PERIOD_S)
        else:
            self._note(pool, None, now_s + RETRY_S)

    def _note(self, pool: str, summary: RolloutSummary | None, next_s: float) -> None:
        with self._lock:
            self._written[pool] = _Written(summary, next_s)


def status_document(summary: RolloutSummary) -> dict[str, Any]:
    """The part of a pool's status that a summary gives."""
    message = f"{summary.holding} of {summary.engines} engines hold what is declared"
    if summary.failing:
        message += "; failing: " + ", ".join(summary.failing)
    reason = "Complete" if summary.is_rolled_out else "InProgress"
    if summary.failing:
        reason = "SwapFailed"
    condition = {
        "type": CONDITION,
        "status": summary.is_rolled_out,
        "reason": reason,
        "message": message,
    }
    return {"conditions": [condition]}
