"""A worker's places as this gateway and the others see them."""

import threading
from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.room.interface import WorkerCapacity
from bellweir.hosted.sight.interface import WorkerMonitor
from bellweir.hosted.views.workers import Worker

FRESH_TARGET_SHARE = 0.5
"""Share of a request's target up to which the age of a word on requests in hand may be for it to
count. All gateways that hear an older one refuse together, then start together. Without it, and
while cut off, this gateway's own requests alone count; they are fewer, so that it rather starts a
request than refuses it."""
ESTIMATE_MAX_AGE_S = 1.0
"""Age up to which it counts for a time to come back, which is only an estimate."""


class ObservedCapacity:
    """Puts together what is known of each worker. Safe for threads."""

    def __init__(
        self,
        in_flight: Callable[[Incarnation], int],
        mean_s: Callable[[Incarnation], float],
        monitor: WorkerMonitor | None = None,
    ) -> None:
        """`in_flight` and `mean_s` are of this gateway's own requests."""
        self._in_flight = in_flight
        self._mean_s = mean_s
        self._monitor = monitor
        self._service_times = ServiceTimes()

    def for_workers(self, workers: Sequence[Worker], max_age_s: float) -> list[WorkerCapacity]:
        """What is known of a service's workers; those set aside count where all are.

        Others' requests in hand count up to an age of `max_age_s`.
        """
        monitor = self._monitor
        if monitor is None:
            return [self._for_worker(worker, max_age_s) for worker in workers]
        well = [one for one in workers if not monitor.stats(one.incarnation).is_ejected]
        return [self._for_worker(worker, max_age_s) for worker in well or workers]

    def _for_worker(self, worker: Worker, max_age_s: float) -> WorkerCapacity:
        incarnation, slots = worker.incarnation, worker.entry.slots
        in_flight, median_s, age_s = float(self._in_flight(incarnation)), 0.0, 0.0
        is_whole = self._monitor is None
        if self._monitor is not None:
            seen = self._monitor.stats(incarnation)
            median_s = seen.median_s
            if seen.age_s <= max_age_s:
                in_flight, age_s = max(in_flight, seen.in_flight), seen.age_s
                is_whole = True
            if seen.load is not None and seen.load_age_s <= max_age_s:
                in_flight, age_s = float(max(in_flight, seen.load.requests)), seen.load_age_s
                slots = seen.load.slots or slots
                is_whole = True
        median_s = median_s or self._mean_s(incarnation)
        # Beside requests of others that are not known a wait would be taken for the work itself.
        if is_whole:
            service_s = self._service_times.update(incarnation, median_s, in_flight, slots)
        else:
            service_s = self._service_times.last_s(incarnation) or median_s
        return WorkerCapacity(slots, in_flight, service_s, age_s)

    def utilization(self, workers: Sequence[Worker]) -> float:
        """Requests in hand of a service's workers for each of their slots; 0 without workers."""
        capacities = self.for_workers(workers, ESTIMATE_MAX_AGE_S)
        return sum(capacity.in_flight for capacity in capacities) / max(
            1, sum(capacity.slots for capacity in capacities)
        )

    def local_in_flight(self, worker: Worker) -> int:
        """Requests of this gateway at a worker."""
        return self._in_flight(worker.incarnation)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        self._service_times.retain(incarnations)


class ServiceTimes:
    """Times for which a request keeps a slot, from times of answers, which hold waits as well.

    While no request waits at the worker both are the same. While some do, the time of an answer
    shared by the rounds that wait is the least that a slot is kept.

    >>> times, worker = ServiceTimes(), Incarnation("i-1")
    >>> times.update(worker, 0.04, 3, 6), times.update(worker, 0.16, 24, 6)
    (0.04, 0.04)
    >>> times.update(worker, 0.4, 24, 6)
    0.1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._known: dict[Incarnation, float] = {}

    def update(self, worker: Incarnation, median_s: float, in_flight: float, slots: int) -> float:
        """Learn from a worker's usual time now; the time for which a slot is kept, 0: unknown."""
        rounds = max(1.0, in_flight / max(1, slots))
        least_s = median_s / rounds
        with self._lock:
            service_s = max(least_s, self._known.get(worker, 0.0)) if rounds > 1 else least_s
            if service_s > 0:
                self._known[worker] = service_s
        return service_s

    def last_s(self, worker: Incarnation) -> float:
        """The time learnt last; 0 where there is none."""
        with self._lock:
            return self._known.get(worker, 0.0)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop workers that are gone."""
        with self._lock:
            self._known = {one: s for one, s in self._known.items() if one in incarnations}
