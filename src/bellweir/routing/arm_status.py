"""Writing of results by arm into the status of comparisons, on the reporter.

Each write is the status in force plus what this node holds. A write whose outcome is unknown is
told by its mark: once the status in force bears it, its counts are in the status.
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
"""Key of the results in the status' details."""
FIRST_WRITE_DELAY_S = 2.0
"""Time from the first counts held to their write, so that the nodes' reports come together."""
WRITE_INTERVAL_S = 10.0
"""Least time between two writes of one comparison, in seconds: at most 8,640 a day."""
CONFLICT_BACKOFF_S = 1.0
"""Time until the version that was in the way is in force here, in seconds."""
_DECIMALS = 6


@dataclass(frozen=True)
class _StatusUpdate:
    """Counts that a write adds to the status."""

    write_id: str
    counts: tuple[ArmCounts, ...]


@dataclass
class _WriteState:
    """What this node knows of its writes of one comparison."""

    next_write_s: float
    version: int = 0
    """Revision of the last write that succeeded."""
    unconfirmed: _StatusUpdate | None = None
    """What a write of unknown outcome may have added; nothing else is added before it is known."""


class ArmStatusWriter:
    """Writes what the node holds while it is the reporter; for one thread at a time."""

    def __init__(self, node: str, reports: ArmReports, resources: Resources, clock: Clock) -> None:
        self._node = node
        self._reports = reports
        self._resources = resources
        self._clock = clock
        self._states: dict[str, _WriteState] = {}

    def write_due(self) -> None:
        """Write the comparisons that are due."""
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
        """Write everything, due or not: the node is stopping."""
        for name in sorted(self._reports.comparisons()):
            self._write(name, self._states.setdefault(name, _WriteState(0.0)))

    def hand_over(self) -> None:
        """Let go what writes of unknown outcome may have added: another node reports now."""
        for name, state in self._states.items():
            self._check_unconfirmed(name, state)
            if state.unconfirmed is not None:
                # Passed on, it might be counted twice.
                self._reports.remove(state.unconfirmed.counts)
        self._states = {}

    def _discard_state(self, name: str, state: _WriteState) -> None:
        """Keep nothing of a comparison whose last write is in force, or that is gone."""
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
        # By version: another node that takes itself for the reporter may write at the same time.
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
    """The results in a comparison's status; empty before the first write."""
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
