"""Typed interface of telemetry: measuring requests and exposing metrics."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry


class Telemetry(ABC):
    """Metrics of one node. Service `telemetry`."""

    @property
    @abstractmethod
    def registry(self) -> CollectorRegistry:
        """The node's own registry; services add their collectors to it."""

    @abstractmethod
    def request_ended(self, interface: str, outcome: str, seconds: float) -> None:
        """Count an ended request by its outcome and observe its latency in seconds."""

    @abstractmethod
    def stream_started(self) -> None:
        """Count an answer that streams as open."""

    @abstractmethod
    def stream_ended(self, first_chunk_s: float | None, chunks: int) -> None:
        """Count the end of a stream, its chunks and the time to its first one in seconds."""

    @abstractmethod
    def add_gauge(
        self, name: str, meaning: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge whose values by label are read when metrics are asked for."""

    @abstractmethod
    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
