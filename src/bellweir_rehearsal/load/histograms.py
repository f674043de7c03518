"""Latency histograms, from when a request was due, so that waiting to send counts as well.

That is the correction for coordinated omission: an open-loop caller that falls behind does not
hide its delay. HdrHistogram with three significant digits, 1 µs to 1 h.
"""

import threading
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True)
class LatencySummary:
    """Latencies of one class, in milliseconds."""

    count: int
    mean_ms: float
    percentiles_ms: dict[str, float]
    """By percentile, such as `p99`."""
    worst_ms: float


class LatencyHistogram:
    """Latencies of one kind; safe from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, scheduled_s: float, ended_s: float) -> None:
        """Record one answer: from when its request was due to when it had wholly arrived."""
        microseconds = round((ended_s - scheduled_s) * 1_000_000)
        with self._lock:
            self._histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def summary(self) -> LatencySummary:
        """Count, mean and percentiles so far."""
        with self._lock:
            percentiles = {
                f"p{percentile:g}": self._histogram.get_value_at_percentile(percentile) / 1000
                for percentile in PERCENTILES
            }
            return LatencySummary(
                count=self._histogram.get_total_count(),
                mean_ms=self._histogram.get_mean_value() / 1000,
                percentiles_ms=percentiles,
                worst_ms=self._histogram.get_max_value() / 1000,
            )

    def encoded(self) -> str:
        """The whole histogram in HdrHistogram's own encoding, for later merging."""
        with self._lock:
            encoded: bytes = self._histogram.encode()
            return encoded.decode()
