"""Writes per-arm results to the status of comparisons, on the reporter.

Each write adds pending counts to the current status. After a write with unknown outcome, its ID in
the current status shows that its counts were stored.
"""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.resources.interface import ResourceDocument, ResourceErrorKind, Resources
from bellweir.routing.arm_counts import ArmCounts
from bellweir.routing.arm_reports import ArmReports
from bellweir.routing.log_events import ARM_RESULTS_NOT_WRITTEN

KIND = "Comparison"
RESULTS_KEY = "results"
"""Key in the details of the status."""
FIRST_WRITE_DELAY_S = 2.0
"""Delay of a comparison's first write, to batch the reports of several nodes."""
WRITE_INTERVAL_S = 10.0
"""Minimum time between writes of one comparison: at most 8,640 a day."""
CONFLICT_BACKOFF_S = 1.0
"""Allows the conflicting version to become visible here."""
_DECIMALS = 6


@dataclass(frozen=True)
class _StatusUpdate:
    """Counts that one write adds to the status."""

    write_id: str
    counts: tuple[ArmCounts, ...]


@dataclass
class _WriteState:
    """State of this node's writes to one comparison."""

    next_write_s: float
    version: int = 0
    """Resource version of the last successful write."""
    unconfirmed: _StatusUpdate | None = None
    """Update with unknown outcome; no other update is written until it is resolved."""


class ArmStatusWriter:
    """Writes pending counts while this node is the reporter; not thread-safe."""

    def __init__(self, node: str, reports: ArmReports, resources: Resources, clock: Clock) -> None:
        self._node = node
        self._reports = reports
        self._resources = resources
        self._clock = clock
        self._states: dict[str, _WriteState] = {}

    def write_due(self) -> None:
        """Write comparisons whose write interval has elapsed."""
        held = self._reports.comparisons()
        now_s = self._clock.monotonic_s()
        for name in sorted(held):
            state = self._states.setdefault(name, _WriteState(now_s + FIRST_WRITE_DELAY_S))
            if now_s >= state.next_write_s:
                self._write(name, state)
        for name in [name for name in self._states if name not in held]:
            if now_s >= self._states[name].next_write_s:
                self._discard_state(name, self._states[name])

    def write_now(self) -> None:
        """Write all comparisons at once, because the node is stopping."""
        for name in sorted(self._reports.comparisons()):
            self._write(name, self._states.setdefault(name, _WriteState(0.0)))

    def hand_over(self) -> None:
        """Drop updates that are still unconfirmed, because another node is the reporter now."""
        for name, state in self._states.items():
            self._check_unconfirmed(name, state)
            if state.unconfirmed is not None:
                # The write may have succeeded; forwarding the counts could count them twice.
                self._reports.remove(state.unconfirmed.counts)
        self._states = {}

    def _discard_state(self, name: str, state: _WriteState) -> None:
        """Discard the state of a comparison that was deleted or whose last write is visible."""
        match self._resources.get(KIND, name):
            case Success(document) if document.version < state.version:
                return
        del self._states[name]

    def _check_unconfirmed(self, name: str, state: _WriteState) -> None:
        if state.unconfirmed is None:
            return
        match self._resources.get(KIND, name):
            case Success(document):
                self._confirm_write(read_results(document), state)

    def _confirm_write(self, results: Mapping[str, Any], state: _WriteState) -> None:
        update = state.unconfirmed
        if update is not None and update.write_id == results.get("mark"):
            self._reports.remove(update.counts)
            state.unconfirmed = None

    def _write(self, name: str, state: _WriteState) -> None:
        state.next_write_s = self._clock.monotonic_s() + WRITE_INTERVAL_S
        match self._resources.get(KIND, name):
            case Success(document) if document.version >= state.version:
                self._confirm_write(read_results(document), state)
                self._write_update(document, state)
            case Failure(error) if error.kind is ResourceErrorKind.NOT_FOUND:
                self._reports.remove(self._reports.counts_for(name))
                state.unconfirmed = None

    def _write_update(self, document: ResourceDocument, state: _WriteState) -> None:
        name, results = document.name, read_results(document)
        update = state.unconfirmed or self._new_update(name)
        if not update.counts:
            return
        arms = _add_to_arms(results, update.counts)
        status = {"details": {RESULTS_KEY: {"mark": update.write_id, "arms": arms}}}
        # Conditional on the version: another node may also believe that it is the reporter.
        match self._resources.report_status(KIND, name, status, version=document.version):
            case Success(stored):
                self._reports.remove(update.counts)
                state.version = stored.version
                state.unconfirmed = None
            case Failure(error) if error.kind is ResourceErrorKind.CONFLICT:
                state.next_write_s = self._clock.monotonic_s() + CONFLICT_BACKOFF_S
            case Failure(error):
                emit(ARM_RESULTS_NOT_WRITTEN, node=self._node, name=name, error=error.detail)
                if error.kind is ResourceErrorKind.UNKNOWN:
                    state.unconfirmed = update

    def _new_update(self, name: str) -> _StatusUpdate:
        return _StatusUpdate(f"{self._node}/{uuid.uuid4().hex}", self._reports.counts_for(name))


def read_results(document: ResourceDocument) -> Mapping[str, Any]:
    """Results in a comparison's status; empty before the first write."""
    details = document.document.get("status", {}).get("details", {})
    results: Mapping[str, Any] = details.get(RESULTS_KEY, {})
    return results


def _add_to_arms(results: Mapping[str, Any], counts: tuple[ArmCounts, ...]) -> dict[str, Any]:
    arms = results.get("arms", {})
    return {
        each.arm: _to_document(_counts_from(each, arms.get(each.arm, {})).plus(each))
        for each in counts
    }


def _counts_from(arm: ArmCounts, document: Mapping[str, Any]) -> ArmCounts:
    return ArmCounts(
        arm.comparison,
        arm.arm,
        document.get("started", 0),
        document.get("completed", 0),
        document.get("failed", 0),
        document.get("tokens", 0),
        document.get("firstTokens", 0),
        document.get("firstTokenS", 0.0),
        document.get("wholeS", 0.0),
    )


def _to_document(counts: ArmCounts) -> dict[str, Any]:
    return {
        "started": counts.started,
        "completed": counts.completed,
        "failed": counts.failed,
        "tokens": counts.tokens,
        "firstTokens": counts.first_tokens,
        "firstTokenS": round(counts.first_token_s, _DECIMALS),
        "wholeS": round(counts.whole_s, _DECIMALS),
        "meanFirstTokenS": _mean(counts.first_token_s, counts.first_tokens),
        "meanWholeS": _mean(counts.whole_s, counts.completed),
    }


def _mean(total_s: float, count: int) -> float | None:
    return round(total_s / count, _DECIMALS) if count else None
