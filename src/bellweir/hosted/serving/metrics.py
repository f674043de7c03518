"""Counters, gauges and latency histograms of one process, in Prometheus text form."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.store_calls import StoreCallCounts

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histograms' buckets, in seconds."""


class RequestMetrics:
    """Prometheus metrics of one process. Thread-safe."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Histogram(
            "bellweir_request_duration_seconds",
            "Time to the answer of a client's request, by route and status.",
            ("route", "status"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._attempts = Histogram(
            "bellweir_attempt_duration_seconds",
            "Time of an attempt at a worker, by service and outcome.",
            ("service", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._answers = Counter(
            "bellweir_worker_answers",
            "Answers of workers that were read whole, by what ended their bodies.",
            ("framing",),
            registry=self._registry,
        )

    def request_ended(self, route: str, status: int, seconds: float) -> None:
        """Record a completed client request."""
        self._requests.labels(route, str(status)).observe(seconds)

    def attempt_ended(self, service: str, outcome: str, seconds: float) -> None:
        """Record a completed attempt at a worker."""
        self._attempts.labels(service, outcome).observe(seconds)

    def answer_read(self, framing: str) -> None:
        """Record an answer of a worker whose body was read to its end."""
        self._answers.labels(framing).inc()

    def add_counter(self, name: str, meaning: str, label: str) -> Callable[[str], None]:
        """Add a counter with one label; the returned function increments it for a label value."""
        counter = Counter(name, meaning, (label,), registry=self._registry)
        return lambda value: counter.labels(value).inc()

    def add_gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read on each scrape."""
        Gauge(name, meaning, registry=self._registry).set_function(read)

    def add_gauges(
        self, name: str, meaning: str, label: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Add a gauge with one label, all values of which are read on each scrape."""
        self._registry.register(_Gauges(name, meaning, label, read))

    def add_wait_histogram(self) -> Callable[[str, float], None]:
        """Add the histogram of queue waits; the returned function takes a service and seconds."""
        waits = Histogram(
            "bellweir_queue_wait_seconds",
            "Time for which a request waited for room, by service.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        return lambda service, seconds: waits.labels(service).observe(seconds)

    def add_store_calls(self, counts: StoreCallCounts) -> None:
        """Export the counts of calls to the platform's store."""
        self._registry.register(_StoreCalls(counts))

    def add_unreadable_entries(self, entries: EntryValidator) -> None:
        """Export the counts of unreadable entries of the platform's store."""
        self._registry.register(_Unreadable(entries))

    def render(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry)


class _Gauges(Collector):
    """Collector of a gauge with one label."""

    def __init__(
        self, name: str, meaning: str, label: str, read: Callable[[], dict[str, float]]
    ) -> None:
        self._about = (name, meaning, label)
        self._read = read

    def describe(self) -> Iterator[GaugeMetricFamily]:
        """Yield the family without samples, since `read` may not be callable at registration."""
        name, meaning, label = self._about
        yield GaugeMetricFamily(name, meaning, labels=(label,))

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield one family with one sample per label value."""
        for family in self.describe():
            for value, number in self._read().items():
                family.add_metric((value,), number)
            yield family


class _StoreCalls(Collector):
    """Collector of the store call counts."""

    def __init__(self, counts: StoreCallCounts) -> None:
        self._counts = counts

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield one family with one sample per kind, call and outcome."""
        family = CounterMetricFamily(
            "bellweir_store_calls",
            "Calls to the platform's store, by kind of object, sort of call and outcome.",
            labels=("kind", "call", "outcome"),
        )
        for labels, count in self._counts.all().items():
            family.add_metric(labels, count)
        yield family


class _Unreadable(Collector):
    """Collector of the unreadable entry counts."""

    def __init__(self, entries: EntryValidator) -> None:
        self._entries = entries

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield one family with one sample per kind that has unreadable entries."""
        family = CounterMetricFamily(
            "bellweir_entries_unreadable",
            "Revisions of entries of the platform's store that could not be used, by kind.",
            labels=("kind",),
        )
        for kind, count in self._entries.counts().items():
            family.add_metric((kind,), count)
        yield family
