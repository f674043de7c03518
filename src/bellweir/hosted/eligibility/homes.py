"""Home regions: the regions in which a request may be served.

>>> regions = Regions({"a": "north", "b": "south"})
>>> allows(allowed_regions(("north",), ()), regions.region_of("a"))
True
>>> allows(allowed_regions(("north",), ("south",)), regions.region_of("a"))
False
>>> allowed_regions((), ()) is None, regions.region_of("elsewhere")
(True, '')
"""

from collections.abc import Iterable, Mapping

AllowedRegions = frozenset[str] | None
"""Regions in which a request may be served; None: in all."""


class Regions:
    """Regions of the deployment's zones, from the settings."""

    __slots__ = ("_region_by_zone",)

    def __init__(self, region_by_zone: Mapping[str, str] | None = None) -> None:
        self._region_by_zone = dict(region_by_zone or {})

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty for an unknown zone, which no request allows."""
        return self._region_by_zone.get(zone, "")

    def are_different(self, zone: str, other: str) -> bool:
        """Whether two zones are known to be in different regions."""
        region, other_region = self.region_of(zone), self.region_of(other)
        return region != other_region and bool(region) and bool(other_region)


def allowed_regions(of_route: Iterable[str], of_tenant: Iterable[str]) -> AllowedRegions:
    """Return the regions that both allow; no regions stand for all."""
    limits = [frozenset(regions) for regions in (of_route, of_tenant) if regions]
    return frozenset.intersection(*limits) if limits else None


def allows(allowed: AllowedRegions, region: str) -> bool:
    """Whether a request may be served in a region."""
    return allowed is None or region in allowed
