"""Zones that the operator evacuates, as read from the store.

The name of an object is the zone; its contents are not read, so that an odd one still counts.

>>> zones = EvacuatedZones(now_s=lambda: 5.0)
>>> zones.apply_listing(Listing(7, (StoredRecord("evacuations", "a", 6, {}),)))
>>> zones.is_evacuated("a"), zones.is_evacuated("b")
(True, False)
>>> zones.apply_listing(Listing(9, ()))
>>> zones.is_evacuated("a"), zones.ended_s("a")
(False, 5.0)
"""

import threading
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bellweir.events.log import emit
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.log_events import EVACUATION_BEGAN, EVACUATION_ENDED
from bellweir.kernel.clock import elapsed_s

NEVER_S = float("-inf")


class Evacuation:
    """An evacuation in force."""

    __slots__ = ("known_since_s", "revision")

    def __init__(self, revision: int, known_since_s: float) -> None:
        """`revision`: store revision of its object; `known_since_s`: monotonic."""
        self.revision = revision
        self.known_since_s = known_since_s


class EvacuatedZones:
    """Evacuations by zone. Reads take no lock."""

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._zones: Mapping[str, Evacuation] = MappingProxyType({})
        self._ended_s: dict[str, float] = {}
        self._last_sent_s: dict[str, float] = {}

    def is_evacuated(self, zone: str) -> bool:
        """Whether the workers of a zone must get no work."""
        return zone in self._zones

    def zones(self) -> Mapping[str, Evacuation]:
        """Return the evacuations in force."""
        return self._zones

    def ended_s(self, zone: str) -> float:
        """Return the monotonic time at which the last evacuation of a zone ended here."""
        return self._ended_s.get(zone, NEVER_S)

    def record_sent(self, zone: str) -> None:
        """Note that a request goes to a worker of a zone; the log tells the last one."""
        self._last_sent_s[zone] = self._now_s()

    def apply_listing(self, listing: Listing) -> None:
        """Replace all evacuations."""
        self._update({record.name: record.revision for record in listing.records})

    def apply_change(self, change: RecordChange) -> None:
        """Apply one change."""
        record: StoredRecord = change.record
        found = {zone: one.revision for zone, one in self._zones.items()}
        found.pop(record.name, None)
        if not change.deleted:
            found[record.name] = record.revision
        self._update(found)

    def _update(self, revisions: Mapping[str, int]) -> None:
        with self._lock:
            now_s = self._now_s()
            before = self._zones
            began = [zone for zone in revisions if zone not in before]
            ended = {zone: one for zone, one in before.items() if zone not in revisions}
            # The end is known before the zone is free: its workers may be cold from then on.
            self._ended_s |= dict.fromkeys(ended, now_s)
            self._zones = MappingProxyType(
                {
                    zone: before[zone] if zone in before else Evacuation(revision, now_s)
                    for zone, revision in revisions.items()
                }
            )
        for zone in began:
            emit(
                EVACUATION_BEGAN,
                zone=zone,
                revision=revisions[zone],
                last_sent_ms=self._ms_since(self._last_sent_s.get(zone), now_s),
            )
        for zone, one in ended.items():
            emit(
                EVACUATION_ENDED,
                zone=zone,
                revision=one.revision,
                after_s=round(now_s - one.known_since_s, 3),
            )

    @staticmethod
    def _ms_since(then_s: float | None, now_s: float) -> int | None:
        return None if then_s is None else round(1000 * (now_s - then_s))
