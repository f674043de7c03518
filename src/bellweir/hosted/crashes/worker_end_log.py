"""Recent ends of workers, by service, whatever they ran.

>>> log = WorkerEndLog()
>>> for number, at_s in enumerate((10.0, 10.1, 11.5)):
...     log.add("llm", Incarnation(f"i-{number}"), at_s)
>>> [worker.instance for worker in log.around("llm", 10.05)]
['i-0', 'i-1']
>>> round(log.calm_in_s("llm", 12.0), 2), log.calm_in_s("llm", 14.5), log.calm_in_s("app", 12.0)
(1.6, 0.0, 0.0)
"""

import itertools
from collections.abc import Collection

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.suspect import SAME_MOMENT_S
from bellweir.hosted.incarnation import Incarnation

KEPT_S = 20.0
MAX_KEPT = 256
"""Ends kept for each service."""
SERIES_S = 10.0
"""Ends that are this far apart belong to no series."""
GAP_FACTOR = 1.5
"""A series is taken for over after this many times the longest pause in it."""
MIN_CALM_S = 0.5
MAX_CALM_S = 3.0


class WorkerEndLog:
    """Ends of incarnations with their times. Not thread-safe.

    The end of a worker that ran a trial is put down to the trial: it belongs to no series.
    """

    __slots__ = ("_calm_from_s", "_ended_s", "_requests", "_under_trials")

    def __init__(self) -> None:
        self._ended_s: dict[str, dict[Incarnation, float]] = {}
        self._calm_from_s: dict[str, float] = {}
        self._requests: dict[Incarnation, set[Fingerprint]] = {}
        """Requests that ran at ended workers."""
        self._under_trials: set[Incarnation] = set()

    def add(
        self,
        service: str,
        worker: Incarnation,
        at_s: float,
        request: Fingerprint | None = None,
        *,
        is_under_trial: bool = False,
    ) -> None:
        """Add an end, and a request that ran there; of several reports the earliest time counts."""
        ended_s = self._ended_s.setdefault(service, {})
        ended_s[worker] = min(at_s, ended_s.get(worker, at_s))
        if request is not None:
            self._requests.setdefault(worker, set()).add(request)
        if is_under_trial:
            self._under_trials.add(worker)
        if len(ended_s) > MAX_KEPT:
            oldest = min(ended_s, key=ended_s.__getitem__)
            del ended_s[oldest]
            self._requests.pop(oldest, None)
        self._note_series(service)

    def requests_at(self, worker: Incarnation) -> Collection[Fingerprint]:
        """Return the requests that ran at a worker when it ended."""
        return self._requests.get(worker, ())

    def ended_s(self, service: str, worker: Incarnation) -> float:
        """Return the time of a worker's end; infinity if none is known."""
        return self._ended_s.get(service, {}).get(worker, float("inf"))

    def around(self, service: str, at_s: float) -> list[Incarnation]:
        """Return the workers of a service that ended at the same moment, not under a trial."""
        return [
            one
            for one, one_s in self._ended_s.get(service, {}).items()
            if abs(one_s - at_s) <= SAME_MOMENT_S and one not in self._under_trials
        ]

    def under_trials_since(self, service: str, since_s: float) -> int:
        """Return how many workers of a service trials have ended since a time."""
        ended_s = self._ended_s.get(service, {})
        return sum(one in self._under_trials and at_s > since_s for one, at_s in ended_s.items())

    def idle_among(self, workers: Collection[Incarnation]) -> int:
        """Return how many of some ended workers ran nothing."""
        return sum(one not in self._requests for one in workers)

    def calm_in_s(self, service: str, now_s: float) -> float:
        """Return the seconds after which no further end is expected; 0 if none is now."""
        return max(0.0, self._calm_from_s.get(service, now_s) - now_s)

    def _note_series(self, service: str) -> None:
        """Note from when on no end is expected any more, by the pauses between recent ones."""
        times_s = sorted(
            at_s for one, at_s in self._ended_s[service].items() if one not in self._under_trials
        )
        if not times_s:
            return
        last_s = times_s[-1]
        recent_s = [at_s for at_s in times_s if at_s > last_s - SERIES_S]
        longest_s = max((b - a for a, b in itertools.pairwise(recent_s)), default=0.0)
        calm_s = min(MAX_CALM_S, max(MIN_CALM_S, GAP_FACTOR * longest_s))
        self._calm_from_s[service] = last_s + calm_s

    def drop_old(self, now_s: float) -> None:
        """Forget ends that belong to no series any more."""
        for service, ended_s in list(self._ended_s.items()):
            kept = {worker: at_s for worker, at_s in ended_s.items() if at_s > now_s - KEPT_S}
            if kept:
                self._ended_s[service] = kept
            else:
                del self._ended_s[service]
                self._calm_from_s.pop(service, None)
        kept_workers = {worker for ended_s in self._ended_s.values() for worker in ended_s}
        self._under_trials &= kept_workers
        self._requests = {one: ran for one, ran in self._requests.items() if one in kept_workers}
