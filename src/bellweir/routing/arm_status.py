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
RESULTS = "results"
"""Key of the results in the status' details."""
FIRST_WRITE_S = 2.0
"""Time from the first counts held to their write, so that the nodes' reports come together."""
WRITE_PERIOD_S = 10.0
"""Least time between two writes of one comparison, in seconds: at most 8,640 a day."""
CONFLICT_RETRY_S = 1.0
"""Time until the version that was in the way is in force here, in seconds."""
_DECIMALS = 6


@dataclass(frozen=True)
class _Addition:
    """Counts that a write adds to the status."""

    mark: str
    counts: tuple[ArmCounts, ...]


@dataclass
class _Written:
    """What this node knows of its writes of one comparison."""

    next_s: float
    version: int = 0
    """Revision of the last write that succeeded."""
    unknown: _Addition | None = None
    """What a write of unknown outcome may have added; nothing else is added before it is known."""


class ArmStatusWriter:
    """Writes what the node holds while it is the reporter; for one thread at a time."""

    def __init__(self, node: str, reports: ArmReports, resources: Resources, clock: Clock) -> None:
        self._node = node
        self._reports = reports
        self._resources = resources
        self._clock = clock
        self._written: dict[str, _Written] = {}

    def look(self) -> None:
        """Write the comparisons that are due."""
        held = self._reports.comparisons()
        now_s = self._clock.monotonic_s()
        for name in sorted(held):
            written = self._written.setdefault(name, _Written(now_s + FIRST_WRITE_S))
            if now_s >= written.next_s:
                self._write(name, written)
        for name in [name for name in self._written if name not in held]:
            if now_s >= self._written[name].next_s:
                self._forget(name, self._written[name])

    def write_now(self) -> None:
        """Write everything, due or not: the node is stopping."""
        for name in sorted(self._reports.comparisons()):
            self._write(name, self._written.setdefault(name, _Written(0.0)))

    def settle(self) -> None:
        """Let go what writes of unknown outcome may have added: another node reports now."""
        for name, written in self._written.items():
            self._resolve(name, written)
            if written.unknown is not None:
                # Passed on, it might be counted twice.
                self._reports.remove(written.unknown.counts)
        self._written = {}

    def _forget(self, name: str, written: _Written) -> None:
        """Keep nothing of a comparison whose last write is in force, or that is gone."""
        match self._resources.get(KIND, name):
            case Success(document) if document.version < written.version:
                return
        del self._written[name]

    def _resolve(self, name: str, written: _Written) -> None:
        if written.unknown is None:
            return
        match self._resources.get(KIND, name):
            case Success(document):
                self._note_mark(results_of(document), written)

    def _note_mark(self, results: Mapping[str, Any], written: _Written) -> None:
        addition = written.unknown
        if addition is not None and addition.mark == results.get("mark"):
            self._reports.remove(addition.counts)
            written.unknown = None

    def _write(self, name: str, written: _Written) -> None:
        written.next_s = self._clock.monotonic_s() + WRITE_PERIOD_S
        match self._resources.get(KIND, name):
            case Success(document) if document.version >= written.version:
                self._note_mark(results_of(document), written)
                self._add(document, written)
            case Failure(error) if error.kind is ResourceErrorKind.NOT_FOUND:
                self._reports.remove(self._reports.held(name))
                written.unknown = None

    def _add(self, document: ResourceDocument, written: _Written) -> None:
        name, results = document.name, results_of(document)
        addition = written.unknown or self._new_addition(name)
        if not addition.counts:
            return
        arms = _arms_after(results, addition.counts)
        status = {"details": {RESULTS: {"mark": addition.mark, "arms": arms}}}
        # By version: another node that takes itself for the reporter may write at the same time.
        match self._resources.report_status(KIND, name, status, version=document.version):
            case Success(stored):
                self._reports.remove(addition.counts)
                written.version = stored.version
                written.unknown = None
            case Failure(error) if error.kind is ResourceErrorKind.CONFLICT:
                written.next_s = self._clock.monotonic_s() + CONFLICT_RETRY_S
            case Failure(error):
                emit(ARM_RESULTS_NOT_WRITTEN, node=self._node, name=name, error=error.detail)
                if error.kind is ResourceErrorKind.UNKNOWN:
                    written.unknown = addition

    def _new_addition(self, name: str) -> _Addition:
        return _Addition(f"{self._node}/{uuid.uuid4().hex}", self._reports.held(name))


def results_of(document: ResourceDocument) -> Mapping[str, Any]:
    """The results in a comparison's status; empty before the first write."""
    details = document.document.get("status", {}).get("details", {})
    results: Mapping[str, Any] = details.get(RESULTS, {})
    return results


def _arms_after(results: Mapping[str, Any], counts: tuple[ArmCounts, ...]) -> dict[str, Any]:
    arms = results.get("arms", {})
    return {
        each.arm: _document_of(_counts_in(each, arms.get(each.arm, {})).plus(each))
        for each in counts
    }


def _counts_in(arm: ArmCounts, document: Mapping[str, Any]) -> ArmCounts:
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


def _document_of(counts: ArmCounts) -> dict[str, Any]:
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
