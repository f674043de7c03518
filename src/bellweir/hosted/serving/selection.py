"""Chooses the worker for an attempt from what this process has seen of each.

Loads are this process's own requests in hand; a worker that refused or failed lately is passed
over for a while, as long as there is another one.
"""

import random
import threading
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import Worker

REFUSAL_PENALTY_S = 0.15
"""Time for which a worker that said it is full is passed over."""
FAILURE_PENALTY_S = 0.5
"""The same for one that gave no usable answer; doubled with each failure in a row."""
LONGEST_PENALTY_S = 4.0
CROWDING = 0.25
"""Share by which a worker that batches is taken to be slower with all of its slots in use."""
SMOOTHING = 0.2
"""Weight of the newest answer's time in the mean."""


@dataclass
class Load:
    """What this process knows of one worker."""

    in_hand: int = 0
    failures: int = 0
    """Failures in a row."""
    avoided_until_s: float = 0.0
    mean_s: float = 0.0
    """Smoothed time of its answers; 0 before the first."""


class WorkerLoads:
    """Loads by incarnation. Safe for threads."""

    def __init__(
        self, own_zone: str, has_connection: Callable[[str], bool] = lambda _address: False
    ) -> None:
        """`has_connection` tells whether a connection to `host:port` is open and free."""
        self._own_zone = own_zone
        self._has_connection = has_connection
        self._lock = threading.Lock()
        self._loads: dict[Incarnation, Load] = {}

    def choose(
        self,
        workers: Iterable[Worker],
        tried: Collection[Incarnation],
        pace_of: Callable[[Incarnation], float] | None = None,
    ) -> Worker | None:
        """Take a place at the best worker not tried yet; release it with `finished`.

        With `pace_of` (seconds for one step of the work, by incarnation) the fastest worker is the
        best one; without it the one whose answer is expected soonest.
        """
        now_s = time.monotonic()
        with self._lock:
            candidates = [worker for worker in workers if worker.incarnation not in tried]
            if not candidates:
                return None
            chosen = min(candidates, key=lambda worker: self._rank(worker, now_s, pace_of))
            self._load(chosen.incarnation).in_hand += 1
            return chosen

    def take(self, worker: Worker) -> None:
        """Take a place at a given worker."""
        with self._lock:
            self._load(worker.incarnation).in_hand += 1

    def in_hand(self, worker: Incarnation) -> int:
        """Requests of this process at a worker."""
        with self._lock:
            return self._load(worker).in_hand

    def is_avoided(self, worker: Incarnation) -> bool:
        """Whether a worker refused or failed lately."""
        with self._lock:
            return self._load(worker).avoided_until_s > time.monotonic()

    def answered(self, worker: Incarnation, seconds: float) -> None:
        """Release a place after a usable answer that took `seconds`."""
        with self._lock:
            load = self._release(worker)
            load.failures = 0
            first = load.mean_s == 0.0
            load.mean_s = seconds if first else load.mean_s + SMOOTHING * (seconds - load.mean_s)

    def refused(self, worker: Incarnation) -> None:
        """Release a place after a worker said that it did not run the request."""
        self._released(worker, REFUSAL_PENALTY_S, failed=False)

    def failed(self, worker: Incarnation) -> None:
        """Release a place after no usable answer."""
        self._released(worker, FAILURE_PENALTY_S, failed=True)

    def released(self, worker: Incarnation) -> None:
        """Release a place without a verdict on the worker."""
        with self._lock:
            self._release(worker)

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
                if one not in incarnations and load.in_hand <= 0
            ]
            for one in gone:
                del self._loads[one]

    def _released(self, worker: Incarnation, penalty_s: float, *, failed: bool) -> None:
        with self._lock:
            load = self._release(worker)
            if failed:
                penalty_s = min(LONGEST_PENALTY_S, penalty_s * 2**load.failures)
                load.failures += 1
            load.avoided_until_s = time.monotonic() + penalty_s

    def _release(self, worker: Incarnation) -> Load:
        load = self._load(worker)
        load.in_hand = max(0, load.in_hand - 1)
        return load

    def _load(self, worker: Incarnation) -> Load:
        return self._loads.setdefault(worker, Load())

    def _rank(
        self, worker: Worker, now_s: float, pace_of: Callable[[Incarnation], float] | None
    ) -> tuple[bool, float, bool, bool, float]:
        load = self._load(worker.incarnation)
        avoided = load.avoided_until_s > now_s
        share = (load.in_hand + 1) / max(1, worker.entry.slots)
        if pace_of is not None:
            pace_s = pace_of(worker.incarnation) * (1 + CROWDING * share)
            return avoided, round(pace_s, 4), False, False, random.random()
        expected_s = share * max(load.mean_s, 0.001)
        other_zone = worker.entry.zone != self._own_zone
        must_connect = not self._has_connection(worker.address)
        return avoided, round(expected_s, 2), must_connect, other_zone, random.random()


Parts = tuple[tuple[str, float], ...]
"""Services of a route with their weights."""


class WeightedParts:
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
