"""What a scaling policy sees and decides."""

from abc import ABC, abstractmethod
from collections.abc import Mapping


class ZoneState:
    """One service's workers in one zone, as seen now."""

    __slots__ = ("is_dry_until_s", "missing_since_s", "ready", "standing")

    def __init__(self) -> None:
        self.ready = 0
        """Workers that may get requests."""
        self.standing = 0
        """Workers that the zone held when it was last at rest, or was ordered to hold since."""
        self.missing_since_s: float | None = None
        """Monotonic time since when fewer are ready than stood; None while none is missing."""
        self.is_dry_until_s = float("-inf")
        """Monotonic time until which no further worker is asked for here."""

    @property
    def missing(self) -> int:
        """Workers that are gone."""
        return max(0, self.standing - self.ready)


class ScalingLimits:
    """What an operator allows for a service, in each of its zones."""

    __slots__ = ("boot_s", "maximum", "minimum", "prices")

    def __init__(
        self, minimum: int, maximum: int, boot_s: float, prices: Mapping[str, float]
    ) -> None:
        """`prices` are those of a second of a worker, by zone."""
        self.minimum = minimum
        self.maximum = maximum
        self.boot_s = boot_s
        self.prices = prices

    def clip(self, wanted: int) -> int:
        """Return the nearest allowed number."""
        return max(self.minimum, min(self.maximum, wanted))


class Wish:
    """How many workers a zone is to hold, and why."""

    __slots__ = ("count", "instead_of", "reason", "zone")

    def __init__(
        self, zone: str, count: int, reason: str, instead_of: tuple[str, ...] = ()
    ) -> None:
        """`instead_of` names the zones whose missing workers this one is to hold."""
        self.zone = zone
        self.count = count
        self.reason = reason
        self.instead_of = instead_of

    def __repr__(self) -> str:
        return f"Wish({self.zone!r}, {self.count}, {self.reason!r})"


class ScalingPolicy(ABC):
    """Decides how many workers the zones of one service are to hold."""

    @abstractmethod
    def wishes(
        self, zones: Mapping[str, ZoneState], limits: ScalingLimits, now_s: float
    ) -> list[Wish]:
        """Return the zones to be ordered another number, or the same one again; often none."""
