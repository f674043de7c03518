"""Counts and latencies of a load run, by traffic class."""

import threading
from collections import Counter
from dataclasses import dataclass

from bellweir_rehearsal.load.histograms import LatencyHistogram, LatencySummary
from bellweir_rehearsal.records.model import CallEnded, CallOutcome


@dataclass(frozen=True)
class ClassSummary:
    """What became of the requests of one traffic class."""

    name: str
    requested: int
    outcomes: dict[str, int]
    refusals: dict[str, int]
    """By reason."""
    latency: LatencySummary
    histogram: str
    """Whole latency histogram, encoded."""


class ClassStatistics:
    """Counters of one traffic class; safe from several threads."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._lock = threading.Lock()
        self._outcomes: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._latency = LatencyHistogram()

    def record(self, scheduled_s: float, ended: CallEnded | None) -> None:
        """Count one request; None means that no node could be reached."""
        outcome = ended.outcome if ended is not None else CallOutcome.NOT_CONNECTED
        with self._lock:
            self._outcomes[outcome.value] += 1
            if ended is not None and outcome is CallOutcome.REFUSED:
                self._refusals[ended.reason or str(ended.status)] += 1
        if ended is not None and outcome is CallOutcome.ANSWERED:
            self._latency.record(scheduled_s, ended.time_s)

    def summary(self) -> ClassSummary:
        """Counts and latencies so far."""
        with self._lock:
            outcomes, refusals = dict(self._outcomes), dict(self._refusals)
        return ClassSummary(
            self._name,
            sum(outcomes.values()),
            outcomes,
            refusals,
            self._latency.summary(),
            self._latency.encoded(),
        )
