"""The telemetry service: request metrics kept in one registry for each node."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.settings.models import Settings
from bellweir.telemetry.interface import Telemetry

LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0,
)  # fmt: skip
"""Upper bounds of the latency histograms, from a hop on one machine to a long generation."""


@dataclass(frozen=True)
class _InterfaceMetrics:
    """The metrics of one interface, looked up by label once only."""

    latency: Histogram
    ended: dict[str, Counter]
    """By outcome."""


class TelemetryService(Service, Telemetry):
    """Keeps the metrics of one node.

    Each node has a registry of its own, so that several nodes can run in one process.
    """

    name = names.TELEMETRY

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._registry = CollectorRegistry()
        self._interfaces: dict[str, _InterfaceMetrics] = {}
        self._requests = Counter(
            "bellweir_requests",
            "Requests ended, by interface and outcome.",
            ("interface", "outcome"),
            registry=self._registry,
        )
        self._latency = Histogram(
            "bellweir_request_seconds",
            "Time from a request's arrival at a thread to the end of its answer.",
            ("interface",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._open_streams = Gauge(
            "bellweir_streams_open", "Answers that stream now.", registry=self._registry
        )
        self._first_chunk = Histogram(
            "bellweir_stream_first_chunk_seconds",
            "Time from a streaming request's arrival to its first chunk.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._chunks = Counter(
            "bellweir_stream_chunks", "Chunks sent on streams.", registry=self._registry
        )

    def start(self) -> None:
        """Nothing runs in the background."""

    def stop(self) -> None:
        """Nothing to release."""

    @property
    def registry(self) -> CollectorRegistry:
        """The node's own registry."""
        return self._registry

    def request_ended(self, interface: str, outcome: str, seconds: float) -> None:
        """Count an ended request and observe its latency."""
        metrics = self._of_interface(interface)
        metrics.latency.observe(seconds)
        counter = metrics.ended.get(outcome)
        if counter is None:
            counter = metrics.ended[outcome] = self._requests.labels(interface, outcome)
        counter.inc()

    def stream_started(self) -> None:
        """Count an open stream."""
        self._open_streams.inc()

    def stream_ended(self, first_chunk_s: float | None, chunks: int) -> None:
        """Count the end of a stream."""
        self._open_streams.dec()
        self._chunks.inc(chunks)
        if first_chunk_s is not None:
            self._first_chunk.observe(first_chunk_s)

    def _of_interface(self, interface: str) -> _InterfaceMetrics:
        # Two threads may both make the entry; the metrics in it are the same ones.
        metrics = self._interfaces.get(interface)
        if metrics is None:
            metrics = self._interfaces[interface] = _InterfaceMetrics(
                self._latency.labels(interface), {}
            )
        return metrics

    def add_gauge(
        self, name: str, meaning: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge whose values by label are read when metrics are asked for."""
        self._registry.register(_GaugeCollector(name, meaning, label, read))

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class _GaugeCollector(Collector):
    """Reads its values when metrics are asked for, so that keeping them costs nothing."""

    def __init__(
        self, name: str, meaning: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._name = name
        self._meaning = meaning
        self._label = label
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """Yield the gauge."""
        family = GaugeMetricFamily(self._name, self._meaning, labels=(self._label,))
        for label, value in self._read().items():
            family.add_metric((label,), value)
        yield family

    def describe(self) -> Iterator[Metric]:
        """Yield the gauge without values; the registry asks for its name."""
        yield GaugeMetricFamily(self._name, self._meaning, labels=(self._label,))
