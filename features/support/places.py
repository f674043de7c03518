"""Placement rules with evacuations and cold workers that a test sets."""

import time

from bellweir.hosted.eligibility.cold_rates import CoordinatorShare, SenderShare
from bellweir.hosted.eligibility.cold_workers import ColdWorkers
from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.eligibility.homes import Regions
from bellweir.hosted.eligibility.rules import PlacementRules
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.records import Engine, ServiceEntry
from bellweir.hosted.settings import PlacesSettings

COLD_PER_S = 7.9
COLD_START_S = 3.0
SETTINGS = PlacesSettings(follow_evacuations=True, limit_cold=True, cold_over=1.5, cold_slack=5.0)
REGIONS = {"a": "north", "b": "south"}
BOUND = COLD_PER_S * SETTINGS.cold_over + SETTINGS.cold_slack


class NoShare(SenderShare):
    """A process that others are chosen instead of."""

    def allowed(self, worker, limit, *, has_engines):
        return 0


def services(*names):
    engine = Engine(slots=8)
    return {
        name: ServiceEntry(name, engine=engine, cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S)
        for name in names
    }


class Places:
    """The rules of one process, and what the store tells it."""

    def __init__(self, share=None, now_s=time.monotonic):
        self.evacuated = EvacuatedZones(now_s)
        self.cold = ColdWorkers(self.evacuated, now_s)
        self.revision = 0
        self.cold.apply_listing(Listing(0, ()))
        self.rules = PlacementRules(
            SETTINGS,
            self.evacuated,
            self.cold,
            share or CoordinatorShare(),
            lambda: services("app", "llm"),
            Regions(REGIONS),
            now_s,
        )

    def evacuate(self, *zones):
        for zone in zones:
            self.evacuated.apply_change(RecordChange(self._record("evacuations", zone, {}), False))

    def give_back(self, zone):
        self.evacuated.apply_change(RecordChange(self._record("evacuations", zone, {}), True))

    def tell_entry(self, instance, entry, cold_left_ms=None):
        """A worker's entry; without `cold_left_ms` it doesn't say whether it is cold."""
        told = {} if cold_left_ms is None else {"coldLeftMs": cold_left_ms}
        record = self._record("servers", instance, {**entry, **told})
        self.cold.apply_change(RecordChange(record, False))

    def _record(self, kind, name, spec):
        self.revision += 1
        return StoredRecord(kind, name, self.revision, spec)
