"""What gateways tell each other of workers."""

import msgspec

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir.wire.interface import Message

PARTS = 100
"""Counts travel in hundredths."""
MS_PER_S = 1000
LOAD_FIGURES = 5


class ObservationRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway, the origin, saw of one worker by itself.

    >>> counts = DecayingCounts(served=1.5, buckets={4: 1.5}, as_of_s=10.0)
    >>> record = record_of("g-1", 7, Incarnation("i-1", 3), counts, in_flight=2, now_s=10.25)
    >>> record.age_ms, record.in_flight, record.counts(now_s=99.0).as_of_s
    (250, 2, 98.75)
    """

    origin: str
    """Node that saw it."""
    sequence: int
    """Rises with each record of its origin, also over its restarts."""
    instance: str
    born_ms: int
    age_ms: int
    """Time since the counts weighed what they say here, on the way included as far as known."""
    in_flight: int
    served: int
    """This and the counts below are in hundredths."""
    failed: int
    refused: int
    retries: int = 0
    load: tuple[int, ...] = ()
    """Age in ms, running, waiting, slots and pace, as the worker told the origin."""
    times: tuple[int, ...] = ()
    """Bucket and its count by turns."""

    @property
    def incarnation(self) -> Incarnation:
        """The worker."""
        return Incarnation(self.instance, self.born_ms)

    def counts(self, now_s: float) -> DecayingCounts:
        """The counts, on the clock of the node that was told them just now."""
        pairs = zip(self.times[::2], self.times[1::2], strict=False)
        return DecayingCounts(
            self.served / PARTS,
            self.failed / PARTS,
            self.refused / PARTS,
            {bucket: weight / PARTS for bucket, weight in pairs},
            now_s - max(0, self.age_ms) / MS_PER_S,
            self.retries / PARTS,
        )

    def worker_load(self, now_s: float) -> "tuple[WorkerLoad, float] | None":
        """The worker's own word, and when it was given by the clock here."""
        if len(self.load) != LOAD_FIGURES:
            return None
        age_ms, running, waiting, slots, pace = self.load
        last_report_s = now_s - max(0, age_ms) / MS_PER_S
        return WorkerLoad(running, waiting, slots, pace), last_report_s


class SightNews(Message, frozen=True):
    """Records that are new to the sender; answered by `SightHeard` where it is a request."""

    since_level = 2
    records: tuple[ObservationRecord, ...]


class SightHeard(Message, frozen=True):
    """The receiver knows such messages."""

    since_level = 2


def record_of(
    origin: str,
    sequence: int,
    worker: Incarnation,
    counts: DecayingCounts,
    in_flight: int,
    now_s: float,
    load: tuple[WorkerLoad, float] | None = None,
) -> ObservationRecord:
    """A record as it is told now; `load` with the time at which the worker told it."""
    weights = ((bucket, round(PARTS * weight)) for bucket, weight in sorted(counts.buckets.items()))
    return ObservationRecord(
        origin,
        sequence,
        worker.instance,
        worker.born_ms,
        max(0, round(MS_PER_S * (now_s - counts.as_of_s))),
        in_flight,
        round(PARTS * counts.served),
        round(PARTS * counts.failed),
        round(PARTS * counts.refused),
        round(PARTS * counts.retries),
        _load_figures(load, now_s),
        tuple(figure for pair in weights if pair[1] for figure in pair),
    )


def _load_figures(load: tuple[WorkerLoad, float] | None, now_s: float) -> tuple[int, ...]:
    if load is None:
        return ()
    told, last_report_s = load
    age_ms = max(0, round(MS_PER_S * (now_s - last_report_s)))
    return age_ms, told.running, told.waiting, told.slots, told.pace
