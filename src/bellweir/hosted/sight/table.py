"""Records of what each gateway saw of each worker, and which of them are to be told on.

One record stands for one origin and one incarnation of a worker. It holds all that still weighs of
what the origin saw, so the newest one replaces the one before: a record that is lost, comes twice,
late or by several ways counts once at most. Ages are added up on the way, and counts halve with
age, so what is stale counts less by itself and is forgotten at last.

>>> one, two = ObservationTable("g-1", "a", 100), ObservationTable("g-2", "a", 200)
>>> worker = Incarnation("i-1")
>>> one.record_start(worker, now_s=0.0)
>>> one.record_end(worker, ObservedOutcome.SERVED, 0.1, now_s=0.1)
>>> told = one.next_records(now_s=0.2, tells=2)
>>> [two.receive(record, "a", now_s=5.0, tells=2) for record in (*told, *told)]
[True, False]
>>> round(two.merged(worker, now_s=5.0).served, 2), two.next_records(now_s=5.0, tells=2)[0].age_ms
(0.99, 100)
"""

import threading
from collections.abc import Collection, Iterable

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.messages import ObservationRecord, record_of
from bellweir.hosted.sight.worker_load import WorkerLoad

MOST_RECORDS_OF_MESSAGE = 12
"""About 800 bytes."""
MOST_RECORDS = 6_000
"""About 4 MB; beyond it the oldest go."""
FORGOTTEN_AFTER_S = 60.0
"""Counts have halved seven times by then."""
IN_FLIGHT_MAX_AGE_S = 5.0
"""Age after which nothing that was in hand elsewhere is taken to be so any more."""
IN_FLIGHT_RENEWAL_S = 1.5
"""Age at which what is in hand is told again."""
IN_FLIGHT_MIN_HALF_LIFE_S = 0.25
"""Shortest time in which half of what was in hand elsewhere is taken to have ended."""
FAILURE_CHANGE = 20.0
"""Requests that a failure outweighs when the most changed records are chosen: it stays ahead of
them though each telling halves it."""


class _Held:
    """One record as held here."""

    __slots__ = (
        "change",
        "counts",
        "crosses_left",
        "in_flight",
        "is_own_zone",
        "load",
        "sequence",
        "tells",
    )

    def __init__(
        self, sequence: int, counts: DecayingCounts, in_flight: int, *, is_own_zone: bool
    ) -> None:
        self.sequence = sequence
        self.counts = counts
        self.in_flight = in_flight
        self.is_own_zone = is_own_zone
        self.tells = 0
        """Rounds of this zone in which it is still to be told."""
        self.crosses_left = 0
        """Messages to other zones in which it is still to be told."""
        self.change = 0.0
        self.load: tuple[WorkerLoad, float] | None = None
        """The worker's own word and when it was given."""


class ObservationTable:
    """The records of one node. Safe for threads."""

    def __init__(self, node: str, zone: str, first_sequence: int) -> None:
        """`first_sequence`: above all that the node told before its start, as is the time in ms."""
        self._node = node
        self._zone = zone
        self._sequence = first_sequence
        self._lock = threading.Lock()
        self._own: dict[Incarnation, _Held] = {}
        self._changed_own: set[Incarnation] = set()
        self._others: dict[Incarnation, dict[str, _Held]] = {}
        self._count = 0

    def record_start(self, worker: Incarnation, now_s: float, *, is_further: bool = False) -> None:
        """Note that a request of this node goes to a worker, `is_further`: not as its first try."""
        with self._lock:
            held = self._own_record(worker, now_s)
            held.in_flight += 1
            held.counts.retries += is_further
            self._changed_own.add(worker)

    def record_end(
        self, worker: Incarnation, outcome: ObservedOutcome, seconds: float, now_s: float
    ) -> None:
        """Note that a request of this node ended."""
        with self._lock:
            held = self._own_record(worker, now_s)
            held.in_flight = max(0, held.in_flight - 1)
            held.counts.add(outcome, seconds, now_s)
            held.change += FAILURE_CHANGE if outcome is ObservedOutcome.FAILED else 1.0
            self._changed_own.add(worker)

    def receive(
        self,
        record: ObservationRecord,
        zone: str | None,
        now_s: float,
        tells: int,
        crosses: int = 1,
    ) -> bool:
        """Take a record that was told; False when it is no news.

        `zone` is the origin's, None while unknown. The record is told on in `tells` rounds here,
        and in `crosses` messages to other zones where the origin is of this one.
        """
        if record.origin == self._node:
            return False
        worker = record.incarnation
        counts = record.counts(now_s)
        if now_s - counts.as_of_s > FORGOTTEN_AFTER_S:
            return False
        with self._lock:
            known = self._others.setdefault(worker, {})
            before = known.get(record.origin)
            if before is not None and before.sequence >= record.sequence:
                return False
            held = _Held(record.sequence, counts, record.in_flight, is_own_zone=zone == self._zone)
            held.load = record.worker_load(now_s)
            held.tells = tells
            held.crosses_left = crosses if held.is_own_zone else 0
            held.change = _change(before, held)
            known[record.origin] = held
            self._count += before is None
        return True

    def next_records(
        self, now_s: float, tells: int, crosses: int = 1, *, to_other_zone: bool = False
    ) -> tuple[ObservationRecord, ...]:
        """The most changed records that are still to be told, each told once more by it."""
        with self._lock:
            self._renew_in_hand(now_s)
            self._number_changed(tells, crosses)
            waiting = [
                (held.change, origin, worker, held)
                for origin, worker, held in self._all()
                if (held.crosses_left if to_other_zone else held.tells) > 0
            ]
            waiting.sort(key=lambda each: (-each[0], each[1], each[2]))
            chosen = waiting[:MOST_RECORDS_OF_MESSAGE]
            for _, _, _, held in chosen:
                held.tells -= not to_other_zone
                held.crosses_left -= to_other_zone
                held.change /= 1 if to_other_zone else 2
            return tuple(
                record_of(
                    origin, held.sequence, worker, held.counts, held.in_flight, now_s, held.load
                )
                for _, origin, worker, held in chosen
            )

    def merged(self, worker: Incarnation, now_s: float) -> DecayingCounts:
        """What all gateways saw of a worker, as it weighs now."""
        merged = DecayingCounts(as_of_s=now_s)
        with self._lock:
            for held in self._of_worker(worker):
                merged.plus(held.counts.as_of(now_s))
        return merged

    def record_load(self, worker: Incarnation, load: WorkerLoad, now_s: float) -> None:
        """Note what a worker says of itself; it is told with the request that it answered."""
        with self._lock:
            self._own_record(worker, now_s).load = (load, now_s)

    def load(self, worker: Incarnation) -> tuple[WorkerLoad, float] | None:
        """The newest word of a worker on itself to any gateway, and when it was given."""
        with self._lock:
            told = [held.load for held in self._of_worker(worker) if held.load is not None]
            return max(told, key=lambda each: each[1], default=None)

    def local_in_flight(self, worker: Incarnation) -> int:
        """Requests of this node at a worker."""
        with self._lock:
            own = self._own.get(worker)
            return own.in_flight if own else 0

    def remote_in_flight(self, worker: Incarnation, median_s: float, now_s: float) -> float:
        """Requests of other gateways at a worker, as far as they still may run.

        Half of them are taken to have ended after `median_s`, the worker's usual time.
        """
        half_s = max(IN_FLIGHT_MIN_HALF_LIFE_S, median_s)
        with self._lock:
            others = self._others.get(worker, {}).values()
            ages = (
                (held.in_flight, now_s - held.counts.as_of_s) for held in others if held.in_flight
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
        """Time as of which another gateway spoke of a worker last; minus infinity if none did."""
        with self._lock:
            others = self._others.get(worker, {}).values()
            return max((held.counts.as_of_s for held in others), default=float("-inf"))

    def workers(self) -> set[Incarnation]:
        """Workers of which anything is known."""
        with self._lock:
            return set(self._own) | set(self._others)

    def active_origins(self, now_s: float, within_s: float) -> int:
        """Other gateways that saw something of a worker lately."""
        with self._lock:
            return len(
                {
                    origin
                    for known in self._others.values()
                    for origin, held in known.items()
                    if now_s - held.counts.as_of_s < within_s
                }
            )

    def evict(self, present: Collection[Incarnation], now_s: float) -> None:
        """Drop records that weigh nothing any more, and those of workers that are gone."""
        with self._lock:
            for worker in [one for one in self._others if one not in present]:
                del self._others[worker]
            self._drop_older(now_s - FORGOTTEN_AFTER_S)
            if self._count > MOST_RECORDS:
                ages = sorted(
                    held.counts.as_of_s for each in self._others.values() for held in each.values()
                )
                self._drop_older(ages[-MOST_RECORDS])
            gone = [
                worker
                for worker, held in self._own.items()
                if not held.in_flight
                and (worker not in present or held.counts.as_of(now_s).is_empty)
            ]
            for worker in gone:
                del self._own[worker]
                self._changed_own.discard(worker)

    def _drop_older(self, than_s: float) -> None:
        for worker, known in list(self._others.items()):
            for origin in [one for one, held in known.items() if held.counts.as_of_s < than_s]:
                del known[origin]
            if not known:
                del self._others[worker]
        self._count = sum(len(known) for known in self._others.values())

    def _own_record(self, worker: Incarnation, now_s: float) -> _Held:
        if worker not in self._own:
            self._own[worker] = _Held(0, DecayingCounts(as_of_s=now_s), 0, is_own_zone=True)
        held = self._own[worker]
        held.counts.age_to(now_s)
        return held

    def _renew_in_hand(self, now_s: float) -> None:
        """Have what still runs told again before the others take it to have ended."""
        for worker, held in self._own.items():
            if held.in_flight and now_s - held.counts.as_of_s > IN_FLIGHT_RENEWAL_S:
                held.counts.age_to(now_s)
                self._changed_own.add(worker)

    def _number_changed(self, tells: int, crosses: int) -> None:
        """Give what changed here since the last round a new sequence, so that it is told."""
        for worker in self._changed_own:
            held = self._own[worker]
            self._sequence += 1
            held.sequence = self._sequence
            held.tells = tells
            held.crosses_left = crosses
        self._changed_own.clear()

    def _all(self) -> Iterable[tuple[str, Incarnation, _Held]]:
        for worker, held in self._own.items():
            yield self._node, worker, held
        for worker, known in self._others.items():
            for origin, held in known.items():
                yield origin, worker, held

    def _of_worker(self, worker: Incarnation) -> Iterable[_Held]:
        if worker in self._own:
            yield self._own[worker]
        yield from self._others.get(worker, {}).values()


def _change(before: _Held | None, now: _Held) -> float:
    """How much a record says that the one before did not."""
    counts = now.counts
    earlier = before.counts.as_of(counts.as_of_s) if before else DecayingCounts()
    return (
        abs(counts.served - earlier.served)
        + FAILURE_CHANGE * abs(counts.failed - earlier.failed)
        + abs(counts.refused - earlier.refused)
        + abs(now.in_flight - (before.in_flight if before else 0))
    )
