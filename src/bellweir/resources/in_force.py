"""Condition `InForce`: on how many nodes a resource's newest spec is in force, and why not yet.

One node reports for the cluster, the one whose configuration service has the whole count. It
needs no memory of its own: a resource is open while its condition does not say that the newest
generation is in force everywhere, so another reporter goes on where the last one ended. A
condition is written once for each generation, and at most every `REPEAT_S` while it is not
fulfilled; the write itself changes no generation, so that no report causes another one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure

from bellweir.configuration.history import (
    ConfigurationHistory,
    DocumentInForce,
    HistoryCompactedError,
)
from bellweir.configuration.interface import RevisionCensus, RevisionSpread
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.resources.documents import operator_version
from bellweir.resources.interface import Resources
from bellweir.resources.log_events import STATUS_NOT_WRITTEN
from bellweir.resources.models import KINDS

IN_FORCE = "InForce"
PATIENCE_S = 2.0
"""A generation that is not in force everywhere for so long gets a condition that says why."""
REPEAT_S = 10.0
"""Least time between two conditions of one generation that is not in force everywhere."""
WRITES_IN_A_LOOK = 4
"""Conditions written in one look, so that the store is not flooded: 16 a second at most."""


@dataclass
class _Open:
    """A generation that is not known to be in force everywhere."""

    kind: str
    name: str
    generation: int
    revision: int
    """Revision of the last operator's write of it."""
    next_report_s: float
    """When a condition that is not fulfilled is written next."""
    retry_s: float = 0.0
    """Nothing is written before this time, after a write that failed."""


Key = tuple[str, str]


class InForceReporter:
    """Writes the conditions while this node reports for the cluster."""

    def __init__(
        self,
        node: str,
        census: RevisionCensus,
        history: ConfigurationHistory,
        resources: Resources,
        clock: Clock,
    ) -> None:
        self._node = node
        self._census = census
        self._history = history
        self._resources = resources
        self._clock = clock
        self._scanned: int | None = None
        """Revision up to which changes have been examined; None before a full scan."""
        self._open: dict[Key, _Open] = {}

    def look(self) -> None:
        """Write the conditions that are due, if this node is the reporter."""
        spread = self._census.spread()
        if spread is None:
            self._scanned = None
            return
        self._find_open()
        written = 0
        for key, found in list(self._open.items()):
            if written == WRITES_IN_A_LOOK:
                return
            complete = spread.nodes_with(found.revision) >= spread.nodes
            now_s = self._clock.monotonic_s()
            if now_s >= found.retry_s and (complete or now_s >= found.next_report_s):
                written += 1
                self._write(key, found, spread, complete=complete)

    def _find_open(self) -> None:
        """Examine every resource that has changed since the last look."""
        if self._scanned is None:
            self._scan_all()
            return
        try:
            revision, changes = self._history.changes_after(self._scanned)
        except HistoryCompactedError:
            self._scan_all()
            return
        for change in changes:
            if change.document is None:
                self._open.pop((change.kind, change.name), None)
            elif change.kind in KINDS:
                self._examine((change.kind, change.name), change.document)
        self._scanned = revision

    def _scan_all(self) -> None:
        self._open.clear()
        scanned = []
        for kind in KINDS:
            revision, documents = self._history.documents(kind)
            scanned.append(revision)
            for document in documents:
                self._examine((document.kind, document.name), document)
        # Changes between the kinds' readings are looked at once more: harmless.
        self._scanned = min(scanned)

    def _examine(self, key: Key, document: DocumentInForce) -> None:
        generation = int(document.document.get("metadata", {}).get("generation", 0))
        if _said_in_force(document.document, generation):
            self._open.pop(key, None)
            return
        revision = operator_version(document.document, document.version)
        known = self._open.get(key)
        if known is None or known.revision != revision:
            due_s = self._clock.monotonic_s() + PATIENCE_S
            self._open[key] = _Open(*key, generation, revision, due_s)

    def _write(self, key: Key, found: _Open, spread: RevisionSpread, *, complete: bool) -> None:
        in_force = min(spread.nodes, spread.nodes_with(found.revision))
        message = f"in force on {in_force} of {spread.nodes} nodes"
        if not complete and spread.behind:
            message += f"; waiting for {', '.join(spread.behind)}"
        condition = {
            "type": IN_FORCE,
            "status": complete,
            "reason": "EverywhereInForce" if complete else "Spreading",
            "message": message,
            "observedGeneration": found.generation,
        }
        report = {"observedGeneration": found.generation, "conditions": [condition]}
        outcome = self._resources.report_status(found.kind, found.name, report)
        found.next_report_s = self._clock.monotonic_s() + REPEAT_S
        if isinstance(outcome, Failure):
            found.retry_s = found.next_report_s
            detail = outcome.failure().detail
            emit(
                STATUS_NOT_WRITTEN, node=self._node, kind=found.kind, name=found.name, error=detail
            )
        elif complete:
            self._open.pop(key, None)


def _said_in_force(document: Mapping[str, Any], generation: int) -> bool:
    for condition in document.get("status", {}).get("conditions", ()):
        if condition.get("type") == IN_FORCE:
            return bool(condition.get("status")) and (
                condition.get("observedGeneration") == generation
            )
    return False
