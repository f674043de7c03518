"""Interface of scaling policies: their input and decisions."""

from abc import ABC, abstractmethod
from collections.abc import Mapping


class ZoneState:
    """Workers of one service in one zone."""

    __slots__ = ("desired", "exhausted_until_s", "missing_since_s", "ready")

    def __init__(self) -> None:
        self.ready = 0
        """Workers that are ready for requests."""
        self.desired = 0
        """Desired count: the last stable count, or the count ordered since."""
        self.missing_since_s: float | None = None
        """Monotonic time since which workers have been missing; None while none is."""
        self.exhausted_until_s = float("-inf")
        """Monotonic time until which no workers are ordered in this zone."""

    @property
    def missing(self) -> int:
        """Number of workers below the desired count."""
        return max(0, self.desired - self.ready)


class ScalingLimits:
    """Limits set by the operator for a service; counts are per zone."""

    __slots__ = ("boot_s", "maximum", "minimum", "prices")

    def __init__(
        self, minimum: int, maximum: int, boot_s: float, prices: Mapping[str, float]
    ) -> None:
        """`prices` maps zones to the price of a worker-second."""
        self.minimum = minimum
        self.maximum = maximum
        self.boot_s = boot_s
        self.prices = prices

    def clip(self, wanted: int) -> int:
        """Clamp a count to the allowed range."""
        return max(self.minimum, min(self.maximum, wanted))


class ScalingDecision:
    """Desired worker count of a zone, and the reason."""

    __slots__ = ("count", "reason", "replaced_zones", "zone")

    def __init__(
        self, zone: str, count: int, reason: str, replaced_zones: tuple[str, ...] = ()
    ) -> None:
        """`replaced_zones` are the zones whose missing workers are replaced in this one."""
        self.zone = zone
        self.count = count
        self.reason = reason
        self.replaced_zones = replaced_zones

    def __repr__(self) -> str:
        return f"ScalingDecision({self.zone!r}, {self.count}, {self.reason!r})"


class ScalingPolicy(ABC):
    """Decides the worker counts of the zones of one service."""

    @abstractmethod
    def decide(
        self, zones: Mapping[str, ZoneState], limits: ScalingLimits, now_s: float
    ) -> list[ScalingDecision]:
        """Return decisions for the zones that need an order; repeated until workers are ready."""
