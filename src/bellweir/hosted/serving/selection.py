"""Selects the worker for each attempt by requests in flight and latency.

Workers that refused or failed recently are penalized: chosen only if there is no other. With
statistics shared between gateways, ejected workers get only probes unless all are ejected, and
retries stay within the service's retry budget.
"""

import random
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from bellweir.hosted.eligibility.interface import Unrestricted, WorkerEligibility
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.interface import ObservedOutcome, WorkerMonitor
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

REFUSAL_PENALTY_S = 0.15
"""Penalty of a worker that refused a request or responded with an error."""
FAILURE_PENALTY_S = 0.5
"""Penalty of a worker without a usable response; doubled for each consecutive failure."""
MAX_PENALTY_S = 4.0
MAX_DOUBLINGS = 8
BATCHING_SLOWDOWN = 0.25
"""Relative slowdown assumed for a batching worker with all slots in use."""
LATENCY_TOLERANCE_S = 0.05
"""Workers whose expected latency differs by less are considered equal."""
LOAD_ONLY_INTERVAL = 32
"""One in this many choices is made among all workers, so that recovered ones are noticed."""
MIN_HALF_LIFE_S = 0.05
"""Minimum half-life of the load reported by a worker."""
SMOOTHING = 0.2
"""Weight of the newest sample in the exponential moving average."""


@dataclass
class LocalWorkerStats:
    """Statistics of one worker from this process's own requests."""

    in_flight: int = 0
    failures: int = 0
    """Consecutive failures."""
    penalized_until_s: float = 0.0
    mean_s: float = 0.0
    """Moving average of its latency; 0 before the first response."""


class WorkerLoads:
    """Load statistics by incarnation, and selection of workers by them. Thread-safe."""

    def __init__(
        self,
        own_zone: str,
        has_connection: Callable[[str], bool] = lambda _address: False,
        monitor: WorkerMonitor | None = None,
        *,
        uses_shared_stats: bool = True,
        choice_count: int = 0,
        eligibility: WorkerEligibility | None = None,
        distance_s: Callable[[str], float] = lambda _zone: 0.0,
    ) -> None:
        """`has_connection` returns whether an idle connection to `host:port` is open.

        `monitor` is notified of each request; `uses_shared_stats`: rank by the requests of all
        gateways. Different initial values of `choice_count` keep gateways from making their
        choices by load alone at the same time. `eligibility` tells which workers may get work.
        `distance_s` returns what a request to a zone takes longer than one to the own zone.
        """
        self._distance_s = distance_s
        self.eligibility = eligibility if eligibility is not None else Unrestricted()
        self._choice_count = choice_count
        self._monitor = monitor
        self._uses_shared_stats = uses_shared_stats
        self._local_mean_s = 0.0
        self._own_zone = own_zone
        self._has_connection = has_connection
        self._lock = threading.Lock()
        self._loads: dict[Incarnation, LocalWorkerStats] = {}

    def choose(
        self,
        workers: Iterable[Worker],
        tried: Collection[Incarnation],
        event_time_of: Callable[[Incarnation], float] | None = None,
        *,
        is_budgeted: bool = True,
    ) -> Worker | None:
        """Acquire and return the best worker not tried yet.

        With `event_time_of` (seconds per event, by incarnation) the fastest worker is the
        best; otherwise the one with the lowest expected latency.

        For a retry (`tried` not empty) the result is also None if all remaining workers are
        ejected or, with `is_budgeted`, if the retry budget is spent.
        """
        now_s = elapsed_s()
        untried = [worker for worker in workers if worker.incarnation not in tried]
        candidates = [worker for worker in untried if self.eligibility.may_start(worker)]
        candidates = self._warm_first(candidates)
        if self._monitor is not None:
            candidates = _eligible(candidates, tried, self._monitor, is_budgeted=is_budgeted)
        if not candidates:
            return None
        with self._lock:
            self._choice_count += 1
            if event_time_of is None:
                candidates = self._fastest(candidates, now_s)
            ranked = sorted(candidates, key=lambda worker: self._rank(worker, now_s, event_time_of))
            # Another thread may have used up a cold worker's rate meanwhile.
            chosen = next((one for one in ranked if self.eligibility.try_start(one)), None)
            if chosen is None:
                return None
            self._load(chosen.incarnation).in_flight += 1
        if self._monitor is not None:
            begun = self._monitor.record_retry if tried else self._monitor.record_start
            begun(chosen.entry.service, chosen.incarnation)
        return chosen

    def acquire(self, worker: Worker) -> bool:
        """Count a request in flight at a given worker; False if it may not get one now."""
        if not self.eligibility.try_start(worker):
            return False
        with self._lock:
            self._load(worker.incarnation).in_flight += 1
        if self._monitor is not None:
            self._monitor.record_start(worker.entry.service, worker.incarnation)
        return True

    def in_flight(self, worker: Incarnation) -> int:
        """Return the number of this process's requests in flight at a worker."""
        with self._lock:
            return self._load(worker).in_flight

    def is_penalized(self, worker: Incarnation) -> bool:
        """Return whether a worker refused or failed recently."""
        with self._lock:
            return self._load(worker).penalized_until_s > elapsed_s()

    def record_success(self, worker: Incarnation, seconds: float) -> None:
        """End a request after a usable response that took `seconds`."""
        with self._lock:
            load = self._decrement(worker)
            load.failures = 0
            first = load.mean_s == 0.0
            load.mean_s = seconds if first else load.mean_s + SMOOTHING * (seconds - load.mean_s)
            self._update_local_mean(seconds)
        self._report(worker, ObservedOutcome.SERVED, seconds)

    def record_refusal(self, worker: Incarnation) -> None:
        """End a request that the worker refused to run."""
        self._release_with_penalty(worker, REFUSAL_PENALTY_S, failed=False)
        self._report(worker, ObservedOutcome.REFUSED)

    def record_error_response(self, worker: Incarnation) -> None:
        """End a request after an error response of the worker."""
        self._release_with_penalty(worker, REFUSAL_PENALTY_S, failed=False)
        self._report(worker, ObservedOutcome.FAILED)

    def record_failure(self, worker: Incarnation) -> None:
        """End a request without a usable response."""
        self._release_with_penalty(worker, FAILURE_PENALTY_S, failed=True)
        self._report(worker, ObservedOutcome.FAILED)

    def record_timeout(self, worker: Incarnation, seconds: float) -> None:
        """End a request that timed out after `seconds`."""
        self._release_with_penalty(worker, FAILURE_PENALTY_S, failed=True)
        with self._lock:
            self._update_local_mean(seconds)
        self._report(worker, ObservedOutcome.LATE, seconds)

    def release(
        self,
        worker: Incarnation,
        outcome: ObservedOutcome = ObservedOutcome.UNKNOWN,
        seconds: float = 0.0,
    ) -> None:
        """End a request without changing the local statistics; other gateways learn the outcome."""
        with self._lock:
            self._decrement(worker)
        self._report(worker, outcome, seconds)

    def local_mean_s(self) -> float:
        """Return the moving average latency over all workers, timeouts included; 0 at first."""
        return self._local_mean_s

    def may_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows another retry."""
        return self._monitor is None or self._monitor.may_retry(service)

    def service_p95_s(self, service: str) -> float:
        """Return the 95th percentile latency of a service's healthy workers; 0 while unknown."""
        return 0.0 if self._monitor is None else self._monitor.service_p95_s(service)

    def service_median_s(self, service: str) -> float:
        """Return the median latency of a service's healthy workers; 0 while unknown."""
        return 0.0 if self._monitor is None else self._monitor.service_median_s(service)

    def mean_s(self, worker: Incarnation) -> float:
        """Return the moving average latency of a worker."""
        with self._lock:
            return self._load(worker).mean_s

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the statistics of other workers that have no requests in flight."""
        self.eligibility.retain(incarnations)
        with self._lock:
            gone = [
                one
                for one, load in self._loads.items()
                if one not in incarnations and load.in_flight <= 0
            ]
            for one in gone:
                del self._loads[one]

    def _release_with_penalty(self, worker: Incarnation, penalty_s: float, *, failed: bool) -> None:
        with self._lock:
            load = self._decrement(worker)
            if failed:
                penalty_s = min(MAX_PENALTY_S, penalty_s * 2 ** min(load.failures, MAX_DOUBLINGS))
                load.failures += 1
            load.penalized_until_s = elapsed_s() + penalty_s

    def _report(self, worker: Incarnation, outcome: ObservedOutcome, seconds: float = 0.0) -> None:
        if self._monitor is not None:
            self._monitor.record_end(worker, outcome, seconds)

    def _update_local_mean(self, seconds: float) -> None:
        mean_s = self._local_mean_s
        self._local_mean_s = seconds if not mean_s else mean_s + SMOOTHING * (seconds - mean_s)

    def _decrement(self, worker: Incarnation) -> LocalWorkerStats:
        load = self._load(worker)
        load.in_flight = max(0, load.in_flight - 1)
        return load

    def _load(self, worker: Incarnation) -> LocalWorkerStats:
        return self._loads.setdefault(worker, LocalWorkerStats())

    def _rank(
        self, worker: Worker, now_s: float, event_time_of: Callable[[Incarnation], float] | None
    ) -> tuple[bool, float, bool, bool, float]:
        load = self._load(worker.incarnation)
        is_penalized = load.penalized_until_s > now_s
        in_flight, typical_s, slots = self._combined_load(worker, load)
        share = (in_flight + 1) / max(1, slots)
        if event_time_of is not None:
            time_per_event_s = event_time_of(worker.incarnation) * (1 + BATCHING_SLOWDOWN * share)
            return is_penalized, round(time_per_event_s, 4), False, False, random.random()
        expected_s = share * max(typical_s, 0.001) + self._distance_s(worker.entry.zone)
        other_zone = worker.entry.zone != self._own_zone
        must_connect = not self._has_connection(worker.address)
        return is_penalized, round(expected_s, 2), must_connect, other_zone, random.random()

    def _warm_first(self, workers: list[Worker]) -> list[Worker]:
        """Leave out cold workers while a warm one has a free slot."""
        warm = [one for one in workers if not self.eligibility.is_cold(one)]
        if len(warm) == len(workers):
            return workers
        with self._lock:
            has_room = any(self._has_free_slot(one) for one in warm)
        return warm if has_room else workers

    def _has_free_slot(self, worker: Worker) -> bool:
        in_flight, _, slots = self._combined_load(worker, self._load(worker.incarnation))
        return in_flight < slots

    def _fastest(self, workers: list[Worker], now_s: float) -> list[Worker]:
        """Return the workers whose expected latency is close to the lowest one.

        A worker's latency is independent of its load until its slots are full, so a choice by load
        alone would keep sending requests to a slow worker with free slots. Every
        `LOAD_ONLY_INTERVAL` choices all workers are returned, so that one that has recovered is
        noticed.
        """
        by_load = self._choice_count % LOAD_ONLY_INTERVAL == 0
        if self._monitor is None or not self._uses_shared_stats or by_load:
            return workers
        healthy = [one for one in workers if self._load(one.incarnation).penalized_until_s <= now_s]
        if any(self._monitor.stats(one.incarnation).age_s == float("inf") for one in healthy):
            # A worker of unknown latency would get either all requests or none.
            return workers
        expected_times = [(self._expected_response_s(one), one) for one in healthy or workers]
        lowest_s = min(expected_s for expected_s, _ in expected_times)
        return [
            one for expected_s, one in expected_times if expected_s < lowest_s + LATENCY_TOLERANCE_S
        ]

    def _expected_response_s(self, worker: Worker) -> float:
        """Return the expected latency of a worker by the combined statistics."""
        in_flight, typical_s, slots = self._combined_load(worker, self._load(worker.incarnation))
        return typical_s * max(1.0, (in_flight + 1) / max(1, slots))

    def _combined_load(self, worker: Worker, load: LocalWorkerStats) -> tuple[float, float, int]:
        """Return requests in flight, latency and slots by local, shared and self-reported load."""
        in_flight, typical_s, slots = float(load.in_flight), load.mean_s, worker.entry.slots
        if self._monitor is None:
            return in_flight, typical_s, slots
        stats = self._monitor.stats(worker.incarnation)
        if self._uses_shared_stats and stats.age_s != float("inf"):
            in_flight = max(in_flight, stats.in_flight)
            typical_s = stats.median_s or typical_s
        if stats.load is not None:
            half_life_s = max(MIN_HALF_LIFE_S, typical_s)
            reported = stats.load.requests * float(0.5 ** (stats.load_age_s / half_life_s))
            in_flight = max(in_flight, reported)
            typical_s *= stats.load.slowness(stats.load_age_s)
            slots = stats.load.slots or slots
        return in_flight, typical_s, slots


def _eligible(
    candidates: list[Worker],
    tried: Collection[Incarnation],
    monitor: WorkerMonitor,
    *,
    is_budgeted: bool,
) -> list[Worker]:
    """Return the workers that may get a request's next attempt.

    A first attempt probes an ejected worker if a probe is due, and may go to an ejected worker if
    all are ejected. A retry does neither, since it would likely fail again.
    """
    healthy = [one for one in candidates if not monitor.stats(one.incarnation).is_ejected]
    if tried:
        return _within_budget(healthy, monitor) if is_budgeted else healthy
    if len(healthy) < len(candidates):
        probe_candidates = (one for one in candidates if monitor.may_probe(one.incarnation))
        probe = next(probe_candidates, None)
        if probe is not None:
            return [probe]
    return healthy or candidates


def _within_budget(candidates: list[Worker], monitor: WorkerMonitor) -> list[Worker]:
    """Drop the workers of services whose retry budget is spent."""
    allowed = {}
    for service in {one.entry.service for one in candidates}:
        allowed[service] = monitor.may_retry(service)
        if not allowed[service]:
            monitor.record_retry_refused(service)
    return [one for one in candidates if allowed[one.entry.service]]


Parts = tuple[tuple[str, float], ...]
"""Services of a route with their weights."""


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    Smooth weighted round robin as in nginx: with each request every service's credit grows by its
    weight; the service with the most credit is chosen and pays the sum of all weights.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._credits: dict[tuple[object, ...], dict[str, float]] = {}

    def order(self, parts: Parts, key: tuple[object, ...]) -> list[str]:
        """Return the services in the order to try them, and charge the first one.

        `key` identifies the route and its configuration. Services of weight 0 are left out unless
        all weights are 0.
        """
        ordered = self.peek(parts, key)
        self.charge(parts, key, ordered[0])
        return ordered

    def peek(self, parts: Parts, key: tuple[object, ...]) -> list[str]:
        """Return the order without charging a service, for a request that may have to wait."""
        if len(parts) == 1:
            return [parts[0][0]]
        with self._lock:
            credits = self._credits_of(parts, key)
            weighted = [part for part in parts if part[1] > 0] or [parts[0]]
            chosen = max(weighted, key=lambda part: credits[part[0]] + part[1])[0]
        others = sorted((part for part in weighted if part[0] != chosen), key=lambda part: -part[1])
        return [chosen, *(service for service, _ in others)]

    def charge(self, parts: Parts, key: tuple[object, ...], chosen: str) -> None:
        """Charge a service for a request sent to it."""
        if len(parts) == 1:
            return
        with self._lock:
            credits = self._credits_of(parts, key)
            for service, weight in parts:
                credits[service] += weight
            credits[chosen] -= sum(weight for _, weight in parts)

    def _credits_of(self, parts: Parts, key: tuple[object, ...]) -> dict[str, float]:
        if len(self._credits) > MAX_ROUTES:
            self._credits.clear()
        return self._credits.setdefault(key, _random_start(parts))


MAX_ROUTES = 4_096


def _random_start(parts: Parts) -> dict[str, float]:
    """Random initial credits, so that processes started together do not choose in step."""
    total = sum(weight for _, weight in parts)
    return {service: random.uniform(0.0, total) for service, _ in parts}
