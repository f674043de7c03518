"""Derives the desired worker counts of a service's zones from the counts observed."""

from collections.abc import Iterable

from bellweir.hosted.scaling.interface import ZoneState

STABILIZATION_WINDOW_S = 10.0
"""Time for which a higher count must hold to be adopted; longer than a planned replacement, during
which the old and the new worker are both ready."""


class _Candidate:
    __slots__ = ("count", "since_s")

    def __init__(self, count: int, since_s: float) -> None:
        self.count = count
        self.since_s = since_s


class DesiredCounts:
    """Desired counts of the zones of one service. Not thread-safe.

    A zone's desired count grows once more workers have been ready for `STABILIZATION_WINDOW_S`. It
    never shrinks by observation: workers that are gone stay missing until an order reduces the
    desired count of the zone.
    """

    def __init__(self) -> None:
        self.zones: dict[str, ZoneState] = {}
        self._candidates: dict[str, _Candidate] = {}

    def observe(self, ready_zones: Iterable[str], known_zones: Iterable[str], now_s: float) -> None:
        """Record the zones of the ready workers; `known_zones` are included even if empty."""
        counts = dict.fromkeys(known_zones, 0)
        for zone in ready_zones:
            counts[zone] = counts.get(zone, 0) + 1
        for zone, count in counts.items():
            self._observe_zone(zone, count, now_s)

    def _observe_zone(self, name: str, count: int, now_s: float) -> None:
        zone = self.zones.setdefault(name, ZoneState())
        zone.ready = count
        if count <= zone.desired:
            self._candidates.pop(name, None)
        else:
            self._observe_increase(name, zone, count, now_s)
        if zone.missing == 0:
            zone.missing_since_s = None
        elif zone.missing_since_s is None:
            zone.missing_since_s = now_s

    def _observe_increase(self, name: str, zone: ZoneState, count: int, now_s: float) -> None:
        """Adopt the lowest of the higher counts seen during the stabilization window."""
        candidate = self._candidates.setdefault(name, _Candidate(count, now_s))
        candidate.count = min(candidate.count, count)
        if now_s - candidate.since_s >= STABILIZATION_WINDOW_S:
            zone.desired = candidate.count
            del self._candidates[name]
