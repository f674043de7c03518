"""How long workers are cold, by what is known of each.

A worker tells in its entry how much longer it is cold. Until its entry can have told so, a worker
counts as cold that has started without a word of it, and all of a zone whose evacuation has just
ended. One that was not reached, fell silent or closed its connections is in doubt: it may have
started again.

>>> now = [10.0]
>>> cold = ColdWorkers(EvacuatedZones(), now_s=lambda: now[0])
>>> cold.apply_listing(Listing(1, ()))
>>> spec = {"service": "s", "address": "h:1", "zone": "a", "slots": 2, "state": "ready"}
>>> def tell(revision: int, cold_left_ms: int) -> None:
...     record = StoredRecord("servers", "i", revision, spec | {"coldLeftMs": cold_left_ms})
...     cold.apply_change(RecordChange(record, deleted=False))
>>> tell(2, 3_000)
>>> worker = Worker("i", worker_entry(spec))
>>> cold.cold_until_s(worker, cold_start_s=9.0)
13.0
>>> tell(3, 0)
>>> cold.cold_until_s(worker, cold_start_s=9.0)
10.0
"""

import threading
from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.eligibility.evacuated_zones import NEVER_S, EvacuatedZones
from bellweir.hosted.entries import InvalidEntryError, cold_left_s, worker_entry
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.log_events import WORKER_COLD
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

ENTRY_DELAY_S = 3.0
"""Time within which a worker's entry tells of a change here: a heartbeat, the pause between two
watches of workers and two relays."""
CONNECT_TIME_S = 1.0
"""A request that finds a connection closed makes another one and is answered over that."""


class _Known:
    """What the newest entry of a worker says."""

    __slots__ = ("born", "cold_until_s", "revision", "started_s")

    def __init__(
        self, born: int, revision: int, cold_until_s: float | None, started_s: float
    ) -> None:
        self.born = born
        self.revision = revision
        self.cold_until_s = cold_until_s
        """None if the entry doesn't say."""
        self.started_s = started_s
        """Time at which a start was seen here; `NEVER_S` for workers of the first list."""


class _Doubt:
    """A sign that a worker may have started again."""

    __slots__ = ("disproved_before_s", "until_s")

    def __init__(self, noted_s: float, slack_s: float) -> None:
        """An answer to a request sent more than `slack_s` before the sign disproves it."""
        self.until_s = noted_s + ENTRY_DELAY_S
        self.disproved_before_s = noted_s - slack_s


class ColdWorkers:
    """Cold times by worker. Reads take no lock."""

    def __init__(self, evacuated: EvacuatedZones, now_s: Callable[[], float] = elapsed_s) -> None:
        self._evacuated = evacuated
        self._now_s = now_s
        self._lock = threading.Lock()
        self._known: dict[str, _Known] = {}
        self._doubts: dict[Incarnation, _Doubt] = {}
        self._has_list = False

    def cold_until_s(self, worker: Worker, cold_start_s: float) -> float:
        """Return the monotonic time until which a worker counts as cold; in the past if it doesn't.

        `cold_start_s`: how long workers of its service are cold after a start.
        """
        known = self._known.get(worker.instance)
        until_s = NEVER_S
        if known is not None and known.cold_until_s is not None:
            until_s = known.cold_until_s
        elif known is not None:
            until_s = known.started_s + cold_start_s
        return max(until_s, self._evacuated.ended_s(worker.entry.zone) + ENTRY_DELAY_S)

    def doubted_until_s(self, worker: Worker) -> float:
        """Return the monotonic time until which this process doubts that a worker is warm."""
        doubt = self._doubts.get(worker.incarnation)
        return NEVER_S if doubt is None else doubt.until_s

    def told_count(self) -> int:
        """Return the number of workers whose entries tell that they are cold."""
        now_s = self._now_s()
        return sum(_is_cold(known, now_s) for known in list(self._known.values()))

    def is_told_cold(self, instance: str) -> bool:
        """Whether a worker's entry tells that it is cold."""
        return _is_cold(self._known.get(instance), self._now_s())

    def note_unanswered(self, worker: Incarnation) -> None:
        """Note that a worker was not reached or fell silent: it may start again under its id."""
        self._doubts[worker] = _Doubt(self._now_s(), 0.0)

    def note_closed(self, worker: Incarnation) -> None:
        """Note that a request found an idle connection closed by a worker."""
        self._doubts[worker] = _Doubt(self._now_s(), CONNECT_TIME_S)

    def note_answer(self, worker: Incarnation, sent_s: float) -> None:
        """Note that a worker answers a request sent at a time; it has not started again since."""
        doubt = self._doubts.get(worker)
        if doubt is not None and sent_s < doubt.disproved_before_s:
            self._doubts.pop(worker, None)

    def apply_listing(self, listing: Listing) -> None:
        """Apply all entries; those of the first list are no starts."""
        with self._lock:
            for record in listing.records:
                self._apply(record)
            listed = {record.name for record in listing.records}
            for name in self._known.keys() - listed:
                del self._known[name]
            self._has_list = True

    def apply_change(self, change: RecordChange) -> None:
        """Apply one changed entry."""
        with self._lock:
            if change.deleted:
                self._known.pop(change.record.name, None)
            else:
                self._apply(change.record)

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        for worker in set(self._doubts) - incarnations:
            self._doubts.pop(worker, None)

    def _apply(self, record: StoredRecord) -> None:
        known = self._known.get(record.name)
        if known is not None and record.revision <= known.revision:
            return
        try:
            entry = worker_entry(record.spec)
            left_s = cold_left_s(record.spec)
        except InvalidEntryError:
            return
        now_s = self._now_s()
        started_s = now_s if self._has_list else NEVER_S
        if known is not None and known.born == entry.born:
            started_s = known.started_s
        until_s = None if left_s is None else now_s + left_s
        if left_s and not _is_cold(known, now_s):
            emit(
                WORKER_COLD,
                instance=record.name,
                zone=entry.zone,
                cold_ms=round(1000 * left_s),
                revision=record.revision,
            )
        self._known[record.name] = _Known(entry.born, record.revision, until_s, started_s)


def _is_cold(known: _Known | None, now_s: float) -> bool:
    return known is not None and known.cold_until_s is not None and known.cold_until_s > now_s
