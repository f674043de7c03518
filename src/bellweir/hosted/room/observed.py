"""Capacity of workers, from own requests and the shared statistics."""

import threading
from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.room.interface import WorkerCapacity
from bellweir.hosted.sight.interface import WorkerMonitor
from bellweir.hosted.views.workers import Worker

FRESH_TARGET_SHARE = 0.5
"""Maximum age of remote figures for admission, as a share of the request's target. With older
figures all gateways would refuse together, then start together. Own requests alone underestimate
the load, which errs towards starting a request."""
ESTIMATE_MAX_AGE_S = 1.0
"""Maximum age of remote figures for Retry-After estimates."""


class ObservedCapacity:
    """Combines own and remote figures on each worker. Safe for threads."""

    def __init__(
        self,
        in_flight: Callable[[Incarnation], int],
        mean_s: Callable[[Incarnation], float],
        monitor: WorkerMonitor | None = None,
    ) -> None:
        """`in_flight` and `mean_s` count this gateway's own requests only."""
        self._in_flight = in_flight
        self._mean_s = mean_s
        self._monitor = monitor
        self._service_times = ServiceTimes()

    def for_workers(self, workers: Sequence[Worker], max_age_s: float) -> list[WorkerCapacity]:
        """Capacity of a service's workers without ejected ones, unless all are ejected.

        Remote figures older than `max_age_s` are ignored.
        """
        monitor = self._monitor
        if monitor is None:
            return [self._for_worker(worker, max_age_s) for worker in workers]
        healthy = [one for one in workers if not monitor.stats(one.incarnation).is_ejected]
        return [self._for_worker(worker, max_age_s) for worker in healthy or workers]

    def _for_worker(self, worker: Worker, max_age_s: float) -> WorkerCapacity:
        incarnation, slots = worker.incarnation, worker.entry.slots
        in_flight, typical_s, age_s = float(self._in_flight(incarnation)), 0.0, 0.0
        is_complete = self._monitor is None
        if self._monitor is not None:
            stats = self._monitor.stats(incarnation)
            typical_s = stats.median_s
            if stats.age_s <= max_age_s:
                in_flight, age_s = max(in_flight, stats.in_flight), stats.age_s
                is_complete = True
            if stats.load is not None and stats.load_age_s <= max_age_s:
                in_flight, age_s = float(max(in_flight, stats.load.requests)), stats.load_age_s
                slots = stats.load.slots or slots
                is_complete = True
        typical_s = typical_s or self._mean_s(incarnation)
        # If requests of others are unknown, queueing time would be taken for service time.
        if is_complete:
            service_s = self._service_times.update(incarnation, typical_s, in_flight, slots)
        else:
            service_s = self._service_times.last_s(incarnation) or typical_s
        return WorkerCapacity(slots, in_flight, service_s, age_s)

    def utilization(self, workers: Sequence[Worker]) -> float:
        """Requests in flight per slot of a service's workers; 0 without workers."""
        capacities = self.for_workers(workers, ESTIMATE_MAX_AGE_S)
        return sum(capacity.in_flight for capacity in capacities) / max(
            1, sum(capacity.slots for capacity in capacities)
        )

    def local_in_flight(self, worker: Worker) -> int:
        """Requests of this gateway in flight at a worker."""
        return self._in_flight(worker.incarnation)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the state of workers not listed."""
        self._service_times.retain(incarnations)


class ServiceTimes:
    """Estimates how long a request occupies a slot, from latencies that include queueing.

    Without requests waiting at the worker, the latency is the service time. Otherwise latency
    divided by the rounds of slots in flight is a lower bound of it.

    >>> times, worker = ServiceTimes(), Incarnation("i-1")
    >>> times.update(worker, 0.04, 3, 6), times.update(worker, 0.16, 24, 6)
    (0.04, 0.04)
    >>> times.update(worker, 0.4, 24, 6)
    0.1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._service_times_s: dict[Incarnation, float] = {}

    def update(self, worker: Incarnation, typical_s: float, in_flight: float, slots: int) -> float:
        """Update the estimate for a worker and return it; 0 while unknown."""
        rounds = max(1.0, in_flight / max(1, slots))
        least_s = typical_s / rounds
        with self._lock:
            service_s = (
                max(least_s, self._service_times_s.get(worker, 0.0)) if rounds > 1 else least_s
            )
            if service_s > 0:
                self._service_times_s[worker] = service_s
        return service_s

    def last_s(self, worker: Incarnation) -> float:
        """The last estimate; 0 without one."""
        with self._lock:
            return self._service_times_s.get(worker, 0.0)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the estimates of workers not listed."""
        with self._lock:
            self._service_times_s = {
                one: s for one, s in self._service_times_s.items() if one in incarnations
            }
