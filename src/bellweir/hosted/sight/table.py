"""Observations of each worker by each gateway, and which of them to gossip next.

A record holds all counts of one origin for one incarnation of a worker, and a newer one replaces
the older: lost, duplicated or reordered records never make an observation count twice.

>>> one, two = ObservationTable("g-1", "a", 100), ObservationTable("g-2", "a", 200)
>>> worker = Incarnation("i-1")
>>> one.record_start(worker, now_s=0.0)
>>> one.record_end(worker, ObservedOutcome.SERVED, 0.1, now_s=0.1)
>>> records = one.next_records(now_s=0.2, local_rounds=2)
>>> [two.receive(record, "a", now_s=5.0, local_rounds=2) for record in (*records, *records)]
[True, False]
>>> (relayed,) = two.next_records(now_s=5.0, local_rounds=2)
>>> round(two.merged(worker, now_s=5.0).served, 2), relayed.age_ms
(0.99, 100)
"""

import threading
from collections.abc import Collection, Iterable

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.messages import ObservationRecord, make_record
from bellweir.hosted.sight.worker_load import WorkerLoad

MAX_RECORDS_PER_MESSAGE = 12
"""About 800 bytes."""
MAX_RECORDS = 6_000
"""About 4 MB; the oldest are evicted first."""
RECORD_TTL_S = 60.0
IN_FLIGHT_MAX_AGE_S = 5.0
"""Age from which a peer's requests in flight are ignored."""
IN_FLIGHT_RENEWAL_S = 1.5
"""Age from which unchanged requests in flight are sent again."""
IN_FLIGHT_MIN_HALF_LIFE_S = 0.25
"""Minimum half-life of a peer's requests in flight."""
FAILURE_WEIGHT = 20.0
"""Weight of a failure against other changes when records are chosen for a message."""


class _Entry:
    """A record and its state in the gossip."""

    __slots__ = (
        "change",
        "counts",
        "in_flight",
        "is_own_zone",
        "load",
        "local_rounds",
        "remote_sends",
        "sequence",
    )

    def __init__(
        self, sequence: int, counts: DecayingCounts, in_flight: int, *, is_own_zone: bool
    ) -> None:
        self.sequence = sequence
        self.counts = counts
        self.in_flight = in_flight
        self.is_own_zone = is_own_zone
        self.local_rounds = 0
        """Remaining rounds in which it is sent within this zone."""
        self.remote_sends = 0
        """Remaining messages to other zones that carry it."""
        self.change = 0.0
        self.load: tuple[WorkerLoad, float] | None = None
        """Load reported by the worker, and when."""


class ObservationTable:
    """Records held by one node. Safe for threads."""

    def __init__(self, node: str, zone: str, first_sequence: int) -> None:
        """`first_sequence` must exceed all sequence numbers sent before a restart.

        The time in ms since the epoch does.
        """
        self._node = node
        self._zone = zone
        self._sequence = first_sequence
        self._lock = threading.Lock()
        self._own: dict[Incarnation, _Entry] = {}
        self._changed_own: set[Incarnation] = set()
        self._remote: dict[Incarnation, dict[str, _Entry]] = {}
        self._remote_count = 0

    def record_start(self, worker: Incarnation, now_s: float, *, is_retry: bool = False) -> None:
        """Count a request of this node as in flight at a worker."""
        with self._lock:
            entry = self._own_record(worker, now_s)
            entry.in_flight += 1
            entry.counts.retries += is_retry
            self._changed_own.add(worker)

    def record_end(
        self, worker: Incarnation, outcome: ObservedOutcome, seconds: float, now_s: float
    ) -> None:
        """Count the outcome of a request of this node."""
        with self._lock:
            entry = self._own_record(worker, now_s)
            entry.in_flight = max(0, entry.in_flight - 1)
            entry.counts.add(outcome, seconds, now_s)
            entry.change += FAILURE_WEIGHT if outcome is ObservedOutcome.FAILED else 1.0
            self._changed_own.add(worker)

    def receive(
        self,
        record: ObservationRecord,
        zone: str | None,
        now_s: float,
        local_rounds: int,
        remote_sends: int = 1,
    ) -> bool:
        """Store a record of a peer; False if it is not newer than the one held.

        `zone` is that of the origin, None if unknown. The record is relayed in `local_rounds`
        rounds within this zone and, if its origin is in this zone, in `remote_sends` messages to
        other zones.
        """
        if record.origin == self._node:
            return False
        worker = record.incarnation
        counts = record.counts(now_s)
        if now_s - counts.as_of_s > RECORD_TTL_S:
            return False
        with self._lock:
            by_origin = self._remote.setdefault(worker, {})
            previous = by_origin.get(record.origin)
            if previous is not None and previous.sequence >= record.sequence:
                return False
            entry = _Entry(
                record.sequence, counts, record.in_flight, is_own_zone=zone == self._zone
            )
            entry.load = record.worker_load(now_s)
            entry.local_rounds = local_rounds
            entry.remote_sends = remote_sends if entry.is_own_zone else 0
            entry.change = _change(previous, entry)
            by_origin[record.origin] = entry
            self._remote_count += previous is None
        return True

    def next_records(
        self, now_s: float, local_rounds: int, remote_sends: int = 1, *, to_other_zone: bool = False
    ) -> tuple[ObservationRecord, ...]:
        """The pending records with the largest changes; counts each as sent once."""
        with self._lock:
            self._renew_in_flight(now_s)
            self._assign_sequences(local_rounds, remote_sends)
            pending = [
                (entry.change, origin, worker, entry)
                for origin, worker, entry in self._all()
                if (entry.remote_sends if to_other_zone else entry.local_rounds) > 0
            ]
            pending.sort(key=lambda each: (-each[0], each[1], each[2]))
            chosen = pending[:MAX_RECORDS_PER_MESSAGE]
            for _, _, _, entry in chosen:
                entry.local_rounds -= not to_other_zone
                entry.remote_sends -= to_other_zone
                entry.change /= 1 if to_other_zone else 2
            return tuple(
                make_record(
                    origin, entry.sequence, worker, entry.counts, entry.in_flight, now_s, entry.load
                )
                for _, origin, worker, entry in chosen
            )

    def merged(self, worker: Incarnation, now_s: float) -> DecayingCounts:
        """Counts of a worker by all gateways as of now."""
        merged = DecayingCounts(as_of_s=now_s)
        with self._lock:
            for entry in self._of_worker(worker):
                merged.merge(entry.counts.as_of(now_s))
        return merged

    def record_load(self, worker: Incarnation, load: WorkerLoad, now_s: float) -> None:
        """Store the load that a worker reported with an answer."""
        with self._lock:
            self._own_record(worker, now_s).load = (load, now_s)

    def load(self, worker: Incarnation) -> tuple[WorkerLoad, float] | None:
        """The latest load a worker reported to any gateway, and when."""
        with self._lock:
            reported = [entry.load for entry in self._of_worker(worker) if entry.load is not None]
            return max(reported, key=lambda each: each[1], default=None)

    def local_in_flight(self, worker: Incarnation) -> int:
        """Requests of this node in flight at a worker."""
        with self._lock:
            own = self._own.get(worker)
            return own.in_flight if own else 0

    def remote_in_flight(self, worker: Incarnation, median_s: float, now_s: float) -> float:
        """Estimated requests of other gateways in flight at a worker.

        Reported figures decay with the worker's median latency as half-life.
        """
        half_s = max(IN_FLIGHT_MIN_HALF_LIFE_S, median_s)
        with self._lock:
            remote = self._remote.get(worker, {}).values()
            ages = (
                (entry.in_flight, now_s - entry.counts.as_of_s)
                for entry in remote
                if entry.in_flight
            )
            return sum(
                (
                    count * float(0.5 ** (max(0.0, age_s) / half_s))
                    for count, age_s in ages
                    if age_s < IN_FLIGHT_MAX_AGE_S
                ),
                0.0,
            )

    def last_report_s(self, worker: Incarnation) -> float:
        """Time of the latest report of another gateway; minus infinity without any."""
        with self._lock:
            remote = self._remote.get(worker, {}).values()
            return max((entry.counts.as_of_s for entry in remote), default=float("-inf"))

    def workers(self) -> set[Incarnation]:
        """Workers with any record."""
        with self._lock:
            return set(self._own) | set(self._remote)

    def active_origins(self, now_s: float, within_s: float) -> int:
        """Number of other gateways with a record younger than `within_s`."""
        with self._lock:
            return len(
                {
                    origin
                    for by_origin in self._remote.values()
                    for origin, entry in by_origin.items()
                    if now_s - entry.counts.as_of_s < within_s
                }
            )

    def evict(self, present: Collection[Incarnation], now_s: float) -> None:
        """Drop expired records and records of workers that are not present."""
        with self._lock:
            for worker in [one for one in self._remote if one not in present]:
                del self._remote[worker]
            self._drop_older(now_s - RECORD_TTL_S)
            if self._remote_count > MAX_RECORDS:
                ages = sorted(
                    entry.counts.as_of_s
                    for each in self._remote.values()
                    for entry in each.values()
                )
                self._drop_older(ages[-MAX_RECORDS])
            gone = [
                worker
                for worker, entry in self._own.items()
                if not entry.in_flight
                and (worker not in present or entry.counts.as_of(now_s).is_empty)
            ]
            for worker in gone:
                del self._own[worker]
                self._changed_own.discard(worker)

    def _drop_older(self, than_s: float) -> None:
        for worker, by_origin in list(self._remote.items()):
            for origin in [
                one for one, entry in by_origin.items() if entry.counts.as_of_s < than_s
            ]:
                del by_origin[origin]
            if not by_origin:
                del self._remote[worker]
        self._remote_count = sum(len(by_origin) for by_origin in self._remote.values())

    def _own_record(self, worker: Incarnation, now_s: float) -> _Entry:
        if worker not in self._own:
            self._own[worker] = _Entry(0, DecayingCounts(as_of_s=now_s), 0, is_own_zone=True)
        entry = self._own[worker]
        entry.counts.decay_to(now_s)
        return entry

    def _renew_in_flight(self, now_s: float) -> None:
        """Mark records whose requests in flight would soon expire at the peers as changed."""
        for worker, entry in self._own.items():
            if entry.in_flight and now_s - entry.counts.as_of_s > IN_FLIGHT_RENEWAL_S:
                entry.counts.decay_to(now_s)
                self._changed_own.add(worker)

    def _assign_sequences(self, local_rounds: int, remote_sends: int) -> None:
        """Give changed own records a new sequence number and schedule them for sending."""
        for worker in self._changed_own:
            entry = self._own[worker]
            self._sequence += 1
            entry.sequence = self._sequence
            entry.local_rounds = local_rounds
            entry.remote_sends = remote_sends
        self._changed_own.clear()

    def _all(self) -> Iterable[tuple[str, Incarnation, _Entry]]:
        for worker, entry in self._own.items():
            yield self._node, worker, entry
        for worker, by_origin in self._remote.items():
            for origin, entry in by_origin.items():
                yield origin, worker, entry

    def _of_worker(self, worker: Incarnation) -> Iterable[_Entry]:
        if worker in self._own:
            yield self._own[worker]
        yield from self._remote.get(worker, {}).values()


def _change(previous: _Entry | None, now: _Entry) -> float:
    """How much a record differs from its predecessor."""
    counts = now.counts
    earlier = previous.counts.as_of(counts.as_of_s) if previous else DecayingCounts()
    return (
        abs(counts.served - earlier.served)
        + FAILURE_WEIGHT * abs(counts.failed - earlier.failed)
        + abs(counts.refused - earlier.refused)
        + abs(now.in_flight - (previous.in_flight if previous else 0))
    )
