"""Chooses the worker for an attempt from what this process has seen of each.

Loads are this process's own requests in hand; a worker that refused or failed lately is passed
over for a while, as long as there is another one. Where gateways share their sight, the requests
and times of all of them count, as far as others spoke of a worker; a worker that is set aside gets
trials only, unless all are; and further tries of a request stay within the service's budget.
"""

import random
import threading
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.interface import ObservedOutcome, WorkerMonitor
from bellweir.hosted.views.workers import Worker

REFUSAL_PENALTY_S = 0.15
"""Time for which a worker that said it is full is passed over."""
FAILURE_PENALTY_S = 0.5
"""The same for one that gave no usable answer; doubled with each failure in a row."""
LONGEST_PENALTY_S = 4.0
MOST_DOUBLINGS = 8
CROWDING = 0.25
"""Share by which a worker that batches is taken to be slower with all of its slots in use."""
NOTICED_S = 0.05
"""Callers don't notice that an answer comes later by less."""
CHOICES_BY_TIME = 32
"""Of so many choices one leaves the workers' times aside and goes by load alone."""
SHORTEST_HALF_S = 0.05
"""Shortest time in which half of what a worker said it has is taken to have ended."""
SMOOTHING = 0.2
"""Weight of the newest answer's time in the mean."""


@dataclass
class Load:
    """What this process knows of one worker."""

    in_flight: int = 0
    failures: int = 0
    """Failures in a row."""
    penalized_until_s: float = 0.0
    mean_s: float = 0.0
    """Smoothed time of its answers; 0 before the first."""


class WorkerLoads:
    """Loads by incarnation. Safe for threads."""

    def __init__(
        self,
        own_zone: str,
        has_connection: Callable[[str], bool] = lambda _address: False,
        sight: WorkerMonitor | None = None,
        *,
        chooses_by_all: bool = True,
        choices_made: int = 0,
    ) -> None:
        """`has_connection` tells whether a connection to `host:port` is open and free.

        `sight` is told of each request; `chooses_by_all`: the choice uses others' requests.
        With different `choices_made` gateways don't all go by load alone at the same time.
        """
        self._choices_made = choices_made
        self._sight = sight
        self._chooses_by_all = chooses_by_all
        self._own_usual_s = 0.0
        self._own_zone = own_zone
        self._has_connection = has_connection
        self._lock = threading.Lock()
        self._loads: dict[Incarnation, Load] = {}

    def choose(
        self,
        workers: Iterable[Worker],
        tried: Collection[Incarnation],
        pace_of: Callable[[Incarnation], float] | None = None,
        *,
        is_bounded: bool = True,
    ) -> Worker | None:
        """Take a place at the best worker not tried yet.

        With `pace_of` (seconds for one step of the work, by incarnation) the fastest worker is the
        best one; without it the one whose answer is expected soonest.

        After a first try None also when no worker in good standing is left, or when the budget of
        further tries is spent, by which all but streams in the making are `is_bounded`.
        """
        now_s = time.monotonic()
        candidates = [worker for worker in workers if worker.incarnation not in tried]
        if self._sight is not None:
            candidates = _admitted(candidates, tried, self._sight, is_bounded=is_bounded)
        if not candidates:
            return None
        with self._lock:
            self._choices_made += 1
            if pace_of is None:
                candidates = self._soon(candidates, now_s)
            chosen = min(candidates, key=lambda worker: self._rank(worker, now_s, pace_of))
            self._load(chosen.incarnation).in_flight += 1
        if self._sight is not None:
            begun = self._sight.record_retry if tried else self._sight.record_start
            begun(chosen.entry.service, chosen.incarnation)
        return chosen

    def acquire(self, worker: Worker) -> None:
        """Take a place at a given worker."""
        with self._lock:
            self._load(worker.incarnation).in_flight += 1
        if self._sight is not None:
            self._sight.record_start(worker.entry.service, worker.incarnation)

    def in_flight(self, worker: Incarnation) -> int:
        """Requests of this process at a worker."""
        with self._lock:
            return self._load(worker).in_flight

    def is_penalized(self, worker: Incarnation) -> bool:
        """Whether a worker refused or failed lately."""
        with self._lock:
            return self._load(worker).penalized_until_s > time.monotonic()

    def record_success(self, worker: Incarnation, seconds: float) -> None:
        """Release a place after a usable answer that took `seconds`."""
        with self._lock:
            load = self._decrement(worker)
            load.failures = 0
            first = load.mean_s == 0.0
            load.mean_s = seconds if first else load.mean_s + SMOOTHING * (seconds - load.mean_s)
            self._note_own_time(seconds)
        self._tell(worker, ObservedOutcome.SERVED, seconds)

    def record_refusal(self, worker: Incarnation) -> None:
        """Release a place after a worker said that it did not run the request."""
        self._release_with_penalty(worker, REFUSAL_PENALTY_S, failed=False)
        self._tell(worker, ObservedOutcome.REFUSED)

    def record_error_response(self, worker: Incarnation) -> None:
        """Release a place after a worker's answer that is a failure of its own."""
        self._release_with_penalty(worker, REFUSAL_PENALTY_S, failed=False)
        self._tell(worker, ObservedOutcome.FAILED)

    def record_failure(self, worker: Incarnation) -> None:
        """Release a place after no usable answer."""
        self._release_with_penalty(worker, FAILURE_PENALTY_S, failed=True)
        self._tell(worker, ObservedOutcome.FAILED)

    def record_timeout(self, worker: Incarnation, seconds: float) -> None:
        """Release a place after a try that was given up since it took `seconds` or more."""
        self._release_with_penalty(worker, FAILURE_PENALTY_S, failed=True)
        with self._lock:
            self._note_own_time(seconds)
        self._tell(worker, ObservedOutcome.LATE, seconds)

    def release(
        self,
        worker: Incarnation,
        outcome: ObservedOutcome = ObservedOutcome.UNKNOWN,
        seconds: float = 0.0,
    ) -> None:
        """Release a place without a verdict on the worker here; others are told the outcome."""
        with self._lock:
            self._decrement(worker)
        self._tell(worker, outcome, seconds)

    def own_usual_s(self) -> float:
        """Smoothed time of all answers here, those given up included; 0 before the first."""
        return self._own_usual_s

    def may_try_again(self, service: str) -> bool:
        """Whether a further try at a service's workers is within its budget."""
        return self._sight is None or self._sight.may_retry(service)

    def fellows_slow_s(self, service: str) -> float:
        """The 95th percentile of a service's sound workers in seconds; 0 while unknown."""
        return 0.0 if self._sight is None else self._sight.service_p95_s(service)

    def fellows_usual_s(self, service: str) -> float:
        """The median time of a service's sound workers in seconds; 0 while unknown."""
        return 0.0 if self._sight is None else self._sight.service_median_s(service)

    def mean_s(self, worker: Incarnation) -> float:
        """Smoothed time of a worker's answers."""
        with self._lock:
            return self._load(worker).mean_s

    def forget_others(self, incarnations: Collection[Incarnation]) -> None:
        """Drop what is known of workers that are gone and hold nothing of ours."""
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
                penalty_s = min(
                    LONGEST_PENALTY_S, penalty_s * 2 ** min(load.failures, MOST_DOUBLINGS)
                )
                load.failures += 1
            load.penalized_until_s = time.monotonic() + penalty_s

    def _tell(self, worker: Incarnation, outcome: ObservedOutcome, seconds: float = 0.0) -> None:
        if self._sight is not None:
            self._sight.record_end(worker, outcome, seconds)

    def _note_own_time(self, seconds: float) -> None:
        before_s = self._own_usual_s
        self._own_usual_s = seconds if not before_s else before_s + SMOOTHING * (seconds - before_s)

    def _decrement(self, worker: Incarnation) -> Load:
        load = self._load(worker)
        load.in_flight = max(0, load.in_flight - 1)
        return load

    def _load(self, worker: Incarnation) -> Load:
        return self._loads.setdefault(worker, Load())

    def _rank(
        self, worker: Worker, now_s: float, pace_of: Callable[[Incarnation], float] | None
    ) -> tuple[bool, float, bool, bool, float]:
        load = self._load(worker.incarnation)
        is_penalized = load.penalized_until_s > now_s
        in_flight, usual_s, slots = self._load_of_all(worker, load)
        share = (in_flight + 1) / max(1, slots)
        if pace_of is not None:
            pace_s = pace_of(worker.incarnation) * (1 + CROWDING * share)
            return is_penalized, round(pace_s, 4), False, False, random.random()
        expected_s = share * max(usual_s, 0.001)
        other_zone = worker.entry.zone != self._own_zone
        must_connect = not self._has_connection(worker.address)
        return is_penalized, round(expected_s, 2), must_connect, other_zone, random.random()

    def _soon(self, workers: list[Worker], now_s: float) -> list[Worker]:
        """The workers whose answers are expected about as soon as the soonest one's.

        Up to its slots a worker answers in its usual time however many it has. A choice by load
        alone would send a slow one with free slots its part of the requests, each of them late.
        Now and then load alone counts all the same, so that a worker that is slow no more is seen.
        """
        by_load = self._choices_made % CHOICES_BY_TIME == 0
        if self._sight is None or not self._chooses_by_all or by_load:
            return workers
        well = [one for one in workers if self._load(one.incarnation).penalized_until_s <= now_s]
        if any(self._sight.stats(one.incarnation).age_s == float("inf") for one in well):
            # Nothing says when one of them answers: it would get all requests, or none.
            return workers
        answers = [(self._answer_s(one), one) for one in well or workers]
        soonest_s = min(answer_s for answer_s, _ in answers)
        return [one for answer_s, one in answers if answer_s < soonest_s + NOTICED_S]

    def _answer_s(self, worker: Worker) -> float:
        """Time to a worker's answer, as all gateways tell."""
        in_flight, usual_s, slots = self._load_of_all(worker, self._load(worker.incarnation))
        return usual_s * max(1.0, (in_flight + 1) / max(1, slots))

    def _load_of_all(self, worker: Worker, load: Load) -> tuple[float, float, int]:
        """Requests at a worker, its usual time and its slots, as all gateways and itself tell."""
        in_flight, usual_s, slots = float(load.in_flight), load.mean_s, worker.entry.slots
        if self._sight is None:
            return in_flight, usual_s, slots
        seen = self._sight.stats(worker.incarnation)
        if self._chooses_by_all and seen.age_s != float("inf"):
            in_flight = max(in_flight, seen.in_flight)
            usual_s = seen.median_s or usual_s
        if seen.load is not None:
            half_s = max(SHORTEST_HALF_S, usual_s)
            told = seen.load.requests * float(0.5 ** (seen.load_age_s / half_s))
            in_flight = max(in_flight, told)
            usual_s *= seen.load.slowness(seen.load_age_s)
            slots = seen.load.slots or slots
        return in_flight, usual_s, slots


def _admitted(
    candidates: list[Worker],
    tried: Collection[Incarnation],
    sight: WorkerMonitor,
    *,
    is_bounded: bool,
) -> list[Worker]:
    """The workers that may get a request's next try.

    A first try is a trial where one is due, and may go to a worker that is set aside when all are.
    A further one does neither: it would go from one failure to the next.
    """
    well = [one for one in candidates if not sight.stats(one.incarnation).is_ejected]
    if tried:
        return _within_budget(well, sight) if is_bounded else well
    if len(well) < len(candidates):
        on_trial = (one for one in candidates if sight.may_probe(one.incarnation))
        trial = next(on_trial, None)
        if trial is not None:
            return [trial]
    return well or candidates


def _within_budget(candidates: list[Worker], sight: WorkerMonitor) -> list[Worker]:
    """None of a service whose further tries have used up their share."""
    allowed = {}
    for service in {one.entry.service for one in candidates}:
        allowed[service] = sight.may_retry(service)
        if not allowed[service]:
            sight.record_retry_refused(service)
    return [one for one in candidates if allowed[one.entry.service]]


Parts = tuple[tuple[str, float], ...]
"""Services of a route with their weights."""


class WeightedRoundRobin:
    """Shares requests of a route among its services by weight, evenly over short times.

    Smooth weighted round robin: each service's credit grows by its weight with each request, and
    the one with most credit is chosen and pays the sum of all weights.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._credits: dict[tuple[object, ...], dict[str, float]] = {}

    def order(self, parts: Parts, key: tuple[object, ...]) -> list[str]:
        """The services of a route in the order in which to try them for one request.

        `key` names the route and its configuration; parts without weight get no request while
        another one has a worker. The first service is charged for the request.
        """
        ordered = self.peek(parts, key)
        self.charge(parts, key, ordered[0])
        return ordered

    def peek(self, parts: Parts, key: tuple[object, ...]) -> list[str]:
        """The same order, with nobody charged: the request may still have to wait."""
        if len(parts) == 1:
            return [parts[0][0]]
        with self._lock:
            credits = self._credits_of(parts, key)
            weighted = [part for part in parts if part[1] > 0] or [parts[0]]
            chosen = max(weighted, key=lambda part: credits[part[0]] + part[1])[0]
        others = sorted((part for part in weighted if part[0] != chosen), key=lambda part: -part[1])
        return [chosen, *(service for service, _ in others)]

    def charge(self, parts: Parts, key: tuple[object, ...], chosen: str) -> None:
        """Count a request that goes to a service of a route."""
        if len(parts) == 1:
            return
        with self._lock:
            credits = self._credits_of(parts, key)
            for service, weight in parts:
                credits[service] += weight
            credits[chosen] -= sum(weight for _, weight in parts)

    def _credits_of(self, parts: Parts, key: tuple[object, ...]) -> dict[str, float]:
        if len(self._credits) > MAXIMUM_ROUTES:
            self._credits.clear()
        return self._credits.setdefault(key, _random_start(parts))


MAXIMUM_ROUTES = 4_096


def _random_start(parts: Parts) -> dict[str, float]:
    """Different credits in each process, so that all together share evenly from the start."""
    total = sum(weight for _, weight in parts)
    return {service: random.uniform(0.0, total) for service, _ in parts}
