"""How many workers the zones of a service hold at rest, learned by watching."""

from collections.abc import Iterable

from bellweir.hosted.scaling.interface import ZoneState

AT_REST_S = 10.0
"""Time for which a number must hold to be the zone's. A planned replacement has the new worker
beside the old one for the drain time and a little more: 5 s here."""


class _Candidate:
    __slots__ = ("count", "since_s")

    def __init__(self, count: int, since_s: float) -> None:
        self.count = count
        self.since_s = since_s


class StandingWorkers:
    """The zones of one service. Not safe for threads.

    A zone's number at rest grows when more workers have been ready for `AT_REST_S`. It never
    shrinks by watching: workers that are gone are missing, however long, until an order says that
    the zone is to hold fewer.
    """

    def __init__(self) -> None:
        self.zones: dict[str, ZoneState] = {}
        self._candidates: dict[str, _Candidate] = {}

    def note(self, ready_zones: Iterable[str], known_zones: Iterable[str], now_s: float) -> None:
        """Note the zone of each ready worker, now; `known_zones` may hold workers, too."""
        counts = dict.fromkeys(known_zones, 0)
        for zone in ready_zones:
            counts[zone] = counts.get(zone, 0) + 1
        for zone, count in counts.items():
            self._note_zone(zone, count, now_s)

    def _note_zone(self, name: str, count: int, now_s: float) -> None:
        zone = self.zones.setdefault(name, ZoneState())
        zone.ready = count
        if count <= zone.standing:
            self._candidates.pop(name, None)
        else:
            self._note_more(name, zone, count, now_s)
        if zone.missing == 0:
            zone.missing_since_s = None
        elif zone.missing_since_s is None:
            zone.missing_since_s = now_s

    def _note_more(self, name: str, zone: ZoneState, count: int, now_s: float) -> None:
        """Take the least of the higher numbers of the last while for the one at rest."""
        candidate = self._candidates.setdefault(name, _Candidate(count, now_s))
        candidate.count = min(candidate.count, count)
        if now_s - candidate.since_s >= AT_REST_S:
            zone.standing = candidate.count
            del self._candidates[name]
