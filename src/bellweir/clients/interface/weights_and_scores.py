"""The weight store and the services that score samples."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Result

from bellweir.clients.interface.errors import PlatformError


class WeightStore(ABC):
    """The rate-limited store of weights; engines read from it when an order names it."""

    address: str
    """`host:port` that orders name as a source."""

    @abstractmethod
    def read_manifest(self, model: str, version: int) -> Result["WeightManifest", PlatformError]:
        """Read what the store holds of a version."""


@dataclass(frozen=True)
class WeightManifest:
    """A version held by the weight store."""

    model: str
    version: int
    size_bytes: int
    checksum: str


@dataclass(frozen=True)
class ScoreCall:
    """A finished sample to score."""

    sample_id: str
    prompt: str
    text: str


class Scorer(ABC):
    """A service that scores samples; scoring may be repeated."""

    @abstractmethod
    def score(self, call: ScoreCall, timeout_s: float) -> Result[float, PlatformError]:
        """Score one sample."""
