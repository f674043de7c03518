"""A worker's places as this gateway and the others see them."""

import threading
from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.room.interface import WorkerRoom
from bellweir.hosted.sight.interface import Sight
from bellweir.hosted.views.workers import Worker

FRESH_SHARE = 0.5
"""Share of a request's target up to which the age of a word on requests in hand may be for it to
count. All gateways that hear an older one refuse together, then start together. Without it, and
while cut off, this gateway's own requests alone count; they are fewer, so that it rather starts a
request than refuses it."""
ESTIMATE_S = 1.0
"""Age up to which it counts for a time to come back, which is only an estimate."""


class ObservedRoom:
    """Puts together what is known of each worker. Safe for threads."""

    def __init__(
        self,
        in_hand: Callable[[Incarnation], int],
        mean_s: Callable[[Incarnation], float],
        sight: Sight | None = None,
    ) -> None:
        """`in_hand` and `mean_s` are of this gateway's own requests."""
        self._in_hand = in_hand
        self._mean_s = mean_s
        self._sight = sight
        self._service_times = ServiceTimes()

    def of(self, workers: Sequence[Worker], oldest_s: float) -> list[WorkerRoom]:
        """What is known of a service's workers; those set aside count where all are.

        Others' requests in hand count up to an age of `oldest_s`.
        """
        sight = self._sight
        if sight is None:
            return [self._of_one(worker, oldest_s) for worker in workers]
        well = [one for one in workers if not sight.seen(one.incarnation).is_set_aside]
        return [self._of_one(worker, oldest_s) for worker in well or workers]

    def _of_one(self, worker: Worker, oldest_s: float) -> WorkerRoom:
        incarnation, slots = worker.incarnation, worker.entry.slots
        in_hand, usual_s, age_s = float(self._in_hand(incarnation)), 0.0, 0.0
        is_whole = self._sight is None
        if self._sight is not None:
            seen = self._sight.seen(incarnation)
            usual_s = seen.usual_s
            if seen.age_s <= oldest_s:
                in_hand, age_s = max(in_hand, seen.in_hand), seen.age_s
                is_whole = True
            if seen.load is not None and seen.load_age_s <= oldest_s:
                in_hand, age_s = float(max(in_hand, seen.load.requests)), seen.load_age_s
                slots = seen.load.slots or slots
                is_whole = True
        usual_s = usual_s or self._mean_s(incarnation)
        # Beside requests of others that are not known a wait would be taken for the work itself.
        if is_whole:
            service_s = self._service_times.learn(incarnation, usual_s, in_hand, slots)
        else:
            service_s = self._service_times.known_s(incarnation) or usual_s
        return WorkerRoom(slots, in_hand, service_s, age_s)

    def share_taken(self, workers: Sequence[Worker]) -> float:
        """Requests in hand of a service's workers for each of their slots; 0 without workers."""
        rooms = self.of(workers, ESTIMATE_S)
        return sum(room.in_hand for room in rooms) / max(1, sum(room.slots for room in rooms))

    def own_in_hand(self, worker: Worker) -> int:
        """Requests of this gateway at a worker."""
        return self._in_hand(worker.incarnation)

    def forget_others(self, incarnations: Collection[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        self._service_times.forget_others(incarnations)


class ServiceTimes:
    """Times for which a request keeps a slot, from times of answers, which hold waits as well.

    While no request waits at the worker both are the same. While some do, the time of an answer
    shared by the rounds that wait is the least that a slot is kept.

    >>> times, worker = ServiceTimes(), Incarnation("i-1")
    >>> times.learn(worker, 0.04, 3, 6), times.learn(worker, 0.16, 24, 6)
    (0.04, 0.04)
    >>> times.learn(worker, 0.4, 24, 6)
    0.1
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._known: dict[Incarnation, float] = {}

    def learn(self, worker: Incarnation, usual_s: float, in_hand: float, slots: int) -> float:
        """Learn from a worker's usual time now; the time for which a slot is kept, 0: unknown."""
        rounds = max(1.0, in_hand / max(1, slots))
        least_s = usual_s / rounds
        with self._lock:
            service_s = max(least_s, self._known.get(worker, 0.0)) if rounds > 1 else least_s
            if service_s > 0:
                self._known[worker] = service_s
        return service_s

    def known_s(self, worker: Incarnation) -> float:
        """The time learnt last; 0 where there is none."""
        with self._lock:
            return self._known.get(worker, 0.0)

    def forget_others(self, incarnations: Collection[Incarnation]) -> None:
        """Drop workers that are gone."""
        with self._lock:
            self._known = {one: s for one, s in self._known.items() if one in incarnations}
