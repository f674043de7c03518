"""Messages with observations of workers, exchanged between gateways."""

import msgspec

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir.wire.interface import Message

WEIGHT_SCALE = 100
"""Counts are sent in hundredths."""
MS_PER_S = 1000
LOAD_FIELD_COUNT = 5


class ObservationRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway, the origin, observed of one worker. Encoded by position.

    >>> counts = DecayingCounts(served=1.5, buckets={4: 1.5}, as_of_s=10.0)
    >>> record = make_record("g-1", 7, Incarnation("i-1", 3), counts, in_flight=2, now_s=10.25)
    >>> record.age_ms, record.in_flight, record.counts(now_s=99.0).as_of_s
    (250, 2, 98.75)
    """

    origin: str
    """Name of the node that observed it."""
    sequence: int
    """Increases with every record of the origin, also across restarts."""
    instance: str
    born_ms: int
    age_ms: int
    """Age of the counts, transit between nodes included as far as known."""
    in_flight: int
    served: int
    """In hundredths, like the counts below."""
    failed: int
    refused: int
    retries: int = 0
    load: tuple[int, ...] = ()
    """Age in ms, running, waiting, slots and pace, as the worker reported them to the origin."""
    latency_buckets: tuple[int, ...] = ()
    """Alternating bucket indices and weights."""

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the worker."""
        return Incarnation(self.instance, self.born_ms)

    def counts(self, now_s: float) -> DecayingCounts:
        """The counts, dated by the receiver's clock at the time of receipt."""
        pairs = zip(self.latency_buckets[::2], self.latency_buckets[1::2], strict=False)
        return DecayingCounts(
            self.served / WEIGHT_SCALE,
            self.failed / WEIGHT_SCALE,
            self.refused / WEIGHT_SCALE,
            {bucket: weight / WEIGHT_SCALE for bucket, weight in pairs},
            now_s - max(0, self.age_ms) / MS_PER_S,
            self.retries / WEIGHT_SCALE,
        )

    def worker_load(self, now_s: float) -> "tuple[WorkerLoad, float] | None":
        """The load that the worker reported, and when by the receiver's clock."""
        if len(self.load) != LOAD_FIELD_COUNT:
            return None
        age_ms, running, waiting, slots, pace = self.load
        reported_s = now_s - max(0, age_ms) / MS_PER_S
        return WorkerLoad(running, waiting, slots, pace), reported_s


class SightNews(Message, frozen=True):
    """Records that are new to the sender; sent as a request, it is answered by `SightHeard`."""

    since_level = 2
    records: tuple[ObservationRecord, ...]


class SightHeard(Message, frozen=True):
    """Confirms that the receiver supports these messages."""

    since_level = 2


def make_record(
    origin: str,
    sequence: int,
    worker: Incarnation,
    counts: DecayingCounts,
    in_flight: int,
    now_s: float,
    load: tuple[WorkerLoad, float] | None = None,
) -> ObservationRecord:
    """Encode a record as of now; `load` comes with the time at which it was reported."""
    weights = (
        (bucket, round(WEIGHT_SCALE * weight)) for bucket, weight in sorted(counts.buckets.items())
    )
    return ObservationRecord(
        origin,
        sequence,
        worker.instance,
        worker.born_ms,
        max(0, round(MS_PER_S * (now_s - counts.as_of_s))),
        in_flight,
        round(WEIGHT_SCALE * counts.served),
        round(WEIGHT_SCALE * counts.failed),
        round(WEIGHT_SCALE * counts.refused),
        round(WEIGHT_SCALE * counts.retries),
        _encode_load(load, now_s),
        tuple(figure for pair in weights if pair[1] for figure in pair),
    )


def _encode_load(load: tuple[WorkerLoad, float] | None, now_s: float) -> tuple[int, ...]:
    if load is None:
        return ()
    reported, reported_s = load
    age_ms = max(0, round(MS_PER_S * (now_s - reported_s)))
    return age_ms, reported.running, reported.waiting, reported.slots, reported.pace
