"""Workers' ends by the request that they ran, and which requests are quarantined.

Records of several nodes are merged without order: an end counts once for each incarnation of a
worker, whoever reports it, and a run that the worker survived clears the ends before it. A worker
that ends takes down all that it ran: ends that another request explains quarantine nothing.

>>> table = CrashTable(now_s=lambda: 100.0)
>>> for instance in ("i-1", "i-2", "i-2", "i-3"):
...     _ = table.add_end(b"digest", "app", Incarnation(instance))
>>> table.ends(b"digest"), table.is_quarantined(b"digest"), table.left_s(b"digest")
(3, True, 600.0)
>>> table.acquit(b"digest")
True
>>> table.ends(b"digest"), table.is_quarantined(b"digest")
(0, False)
"""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.messages import NEVER_MS, CrashRecord, EndRecord, TrialRecord
from bellweir.hosted.crashes.suspect import (
    HOLD_S,
    MAX_ENDS,
    NEVER_S,
    RETENTION_S,
    ROUNDING,
    Suspect,
)
from bellweir.hosted.crashes.worker_end_log import WorkerEndLog
from bellweir.hosted.incarnation import Incarnation
from bellweir.kernel.clock import elapsed_s

MAX_REQUESTS = 512
DEFAULT_CONTACT_S = 3.0
MAX_TOGETHER = 8
"""Simultaneous ends of workers beyond which a further one changes the weights of those before too
little to be worked out anew."""
LONGEST_RUN_S = 10.0
"""Time for which a trial waits for another run of its request."""
MS_PER_S = 1000


class CrashTable:
    """Requests under which workers have ended. Thread-safe and bounded.

    When it is full the request with the fewest ends is evicted, of these the one whose last end is
    longest ago: many harmless requests can't evict a quarantined one.
    """

    def __init__(
        self,
        lifted: Collection[Fingerprint] = (),
        now_s: Callable[[], float] = elapsed_s,
        contact_s: float = DEFAULT_CONTACT_S,
    ) -> None:
        """`lifted`: requests that an operator has released; they are never quarantined.

        `contact_s`: time after which each node has to know of an end.
        """
        self._now_s = now_s
        self._contact_s = contact_s
        self._lifted = frozenset(lifted)
        self._lock = threading.Lock()
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._worker_ends = WorkerEndLog()
        self._running: dict[Fingerprint, dict[Incarnation, float]] = {}
        """Times of the beginnings of runs under way here, of suspected requests only."""

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected of anything. Takes no lock."""
        return not self._suspects

    def lift(self, lifted: Collection[Fingerprint]) -> None:
        """Replace the requests that an operator has released."""
        self._lifted = frozenset(lifted)

    def ends(self, request: Fingerprint) -> int:
        """Return the number of workers' ends that count against a request; 0 for a released one."""
        if request in self._lifted:
            return 0
        with self._lock:
            suspect = self._suspects.get(request)
            return len(suspect.counted(self._now_s())) if suspect is not None else 0

    def blame(self, request: Fingerprint) -> float:
        """Return the ends that count against a request, weighed by what they prove."""
        if request in self._lifted:
            return 0.0
        with self._lock:
            suspect = self._suspects.get(request)
            return suspect.blame(self._now_s()) if suspect is not None else 0.0

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Whether a request is sent to workers by single trials only, or not at all."""
        return self.left_s(request) > 0

    def left_s(self, request: Fingerprint) -> float:
        """Return the seconds for which a request is still quarantined; 0 if it is not."""
        if request in self._lifted:
            return 0.0
        with self._lock:
            suspect = self._suspects.get(request)
            return self._left_s(suspect) if suspect is not None else 0.0

    def trials_left(self, request: Fingerprint, *, is_owed: bool = False) -> int | None:
        """Return how often a suspended request may still run; None if it is not suspended.

        One that `is_owed` always may once more.
        """
        if request in self._lifted:
            return None
        with self._lock:
            suspect = self._suspects.get(request)
            if suspect is None:
                return None
            if is_owed:
                return suspect.owed_trials_left(self._now_s(), self._contact_s)
            return suspect.trials_left(self._now_s(), self._contact_s)

    def hold_left_s(self, request: Fingerprint) -> float:
        """Return the seconds until a suspended request without trials may run again."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(request)
            ended = suspect.counted(now_s).values() if suspect is not None else ()
            return max(0.0, max(ended, default=NEVER_S) + HOLD_S - now_s)

    def last_s(self, request: Fingerprint) -> tuple[float, float]:
        """Return the times of a request's last end and last trial; minus infinity without one."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(request)
            if suspect is None:
                return NEVER_S, NEVER_S
            ended = max(suspect.counted(now_s).values(), default=NEVER_S)
            return ended, max(suspect.counted_trials(now_s).values(), default=NEVER_S)

    def failed_trials(self, request: Fingerprint) -> int:
        """Return how many trials of a request ended their workers."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(request)
            if suspect is None:
                return 0
            return suspect.failed_trials(now_s)

    def tried_at(self, request: Fingerprint) -> Collection[Incarnation]:
        """Return the workers that a suspended request had trials at."""
        with self._lock:
            suspect = self._suspects.get(request)
            return tuple(suspect.trials_s) if suspect is not None else ()

    def service_of(self, request: Fingerprint) -> str:
        """Return the service whose workers ended under a request; empty if none did."""
        with self._lock:
            suspect = self._suspects.get(request)
            return suspect.service if suspect is not None else ""

    def calm_in_s(self, service: str) -> float:
        """Return the seconds after which the workers of a service count as staying."""
        with self._lock:
            return self._worker_ends.calm_in_s(service, self._now_s())

    def ended_by_trials(self, service: str, within_s: float) -> int:
        """Return how many workers of a service trials have ended within a time until now."""
        with self._lock:
            return self._worker_ends.under_trials_since(service, self._now_s() - within_s)

    def has_ended(self, service: str, worker: Incarnation, before_s: float) -> bool:
        """Whether a worker is known to have ended before a time."""
        with self._lock:
            return self._worker_ends.ended_s(service, worker) < before_s

    def quarantined(self) -> list[tuple[Fingerprint, str]]:
        """Return the quarantined requests with their services."""
        with self._lock:
            return [
                (request, suspect.service)
                for request, suspect in self._suspects.items()
                if request not in self._lifted and self._left_s(suspect) > 0
            ]

    def add_end(
        self,
        request: Fingerprint,
        service: str,
        worker: Incarnation,
        at_s: float | None = None,
    ) -> bool:
        """Record that a worker ended while it ran a request; False if that is known."""
        now_s = self._now_s()
        ended_s = now_s if at_s is None else at_s
        with self._lock:
            suspect = self._suspects.setdefault(request, Suspect(service))
            is_new = suspect.add_end(worker, ended_s)
            self._note_worker_end(service, worker, ended_s, request)
            self._evict(now_s)
            return is_new

    def add_worker_end(self, service: str, worker: Incarnation, at_s: float) -> None:
        """Record that a worker ended, whatever it ran."""
        with self._lock:
            self._note_worker_end(service, worker, at_s)

    def add_trial(self, request: Fingerprint, worker: Incarnation) -> None:
        """Record that a trial of a suspended request was granted."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(request)
            if suspect is not None:
                suspect.add_trial(worker, now_s)

    def withdraw_trial(self, request: Fingerprint, worker: Incarnation) -> bool:
        """Record that a worker did not run a trial; False if there was none to withdraw."""
        with self._lock:
            suspect = self._suspects.get(request)
            return suspect is not None and suspect.withdraw_trial(worker)

    def begin_run(self, request: Fingerprint, worker: Incarnation) -> None:
        """Note that this node sends a request to a worker."""
        with self._lock:
            if request in self._suspects:
                self._running.setdefault(request, {})[worker] = self._now_s()

    def end_run(self, request: Fingerprint, worker: Incarnation) -> None:
        """Note that a run of this node has ended."""
        with self._lock:
            running = self._running.get(request, {})
            running.pop(worker, None)
            if not running:
                self._running.pop(request, None)

    def is_running(self, request: Fingerprint) -> bool:
        """Whether a run of this node is under way; one without an end is not waited for long."""
        since_s = self._now_s() - LONGEST_RUN_S
        with self._lock:
            return any(began_s > since_s for began_s in self._running.get(request, {}).values())

    def acquit(self, request: Fingerprint) -> bool:
        """Record that a worker survived a request; False if there is nothing against it."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(request)
            return suspect is not None and bool(suspect.counted(now_s)) and suspect.acquit(now_s)

    def receive(self, record: CrashRecord) -> bool:
        """Merge another node's record; return whether anything in it was new."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.get(record.fingerprint)
            if suspect is None:
                if not record.ends:
                    return False
                suspect = self._suspects[record.fingerprint] = Suspect(record.service)
            is_new = self._receive_ends(suspect, record, now_s)
            for trial in record.trials:
                worker = Incarnation(trial.instance, trial.born_ms)
                at_s = now_s - max(0, trial.age_ms) / MS_PER_S
                # Ages are told in whole milliseconds and lack the way.
                is_known = worker in suspect.trials_s and at_s <= suspect.trials_s[worker] + 1.0
                is_new |= not is_known and suspect.add_trial(worker, at_s)
                is_new |= trial.is_withdrawn and suspect.withdraw_trial(worker)
            if record.acquitted_age_ms != NEVER_MS:
                at_s = now_s - max(0, record.acquitted_age_ms) / MS_PER_S
                is_new |= at_s > suspect.acquitted_s + 1.0 and suspect.acquit(at_s)
            self._evict(now_s)
            return is_new

    def _receive_ends(self, suspect: Suspect, record: CrashRecord, now_s: float) -> bool:
        found: list[tuple[Incarnation, float]] = []
        is_new = False
        for end in record.ends:
            worker = Incarnation(end.instance, end.born_ms)
            at_s = now_s - max(0, end.age_ms) / MS_PER_S
            if suspect.add_end(worker, at_s):
                found.append((worker, at_s))
            is_new |= suspect.hear_beside(worker, end.beside)
        # All ends must be there before any is weighed.
        for worker, at_s in found:
            self._note_worker_end(suspect.service, worker, at_s, record.fingerprint)
        return is_new or bool(found)

    def _note_worker_end(
        self, service: str, worker: Incarnation, at_s: float, request: Fingerprint | None = None
    ) -> None:
        """Log a worker's end, and weigh anew the ends at the same moment."""
        tried = {one for one in self._suspects.values() if one.ends_trial(worker, at_s)}
        is_under_trial = bool(tried)
        self._worker_ends.add(service, worker, at_s, request, is_under_trial=is_under_trial)
        if is_under_trial:
            self._excuse_beside(worker, tried)
        together = self._worker_ends.around(service, at_s)
        idle = self._worker_ends.idle_among(together)
        is_many = len(together) > MAX_TOGETHER
        for ended in together if not is_many else {worker}.intersection(together):
            for one in self._worker_ends.requests_at(ended):
                suspect = self._suspects.get(one)
                if suspect is not None:
                    others = sum(other not in suspect.ended_s for other in together)
                    suspect.set_beside(ended, others, idle)

    def _excuse_beside(self, worker: Incarnation, tried: Collection[Suspect]) -> None:
        """Put the end of a worker down to the trials there, not to what ran beside them."""
        for one in self._worker_ends.requests_at(worker):
            suspect = self._suspects.get(one)
            if suspect is not None and suspect not in tried and worker in suspect.ended_s:
                suspect.excused.add(worker)

    def records(
        self, requests: Iterable[Fingerprint] | None = None, most: int = MAX_REQUESTS
    ) -> tuple[CrashRecord, ...]:
        """Return `most` records of some requests, or of all, the most dangerous ones first."""
        now_s = self._now_s()
        with self._lock:
            wanted = list(self._suspects) if requests is None else list(requests)
            found = [(one, self._suspects[one]) for one in wanted if one in self._suspects]
            found.sort(key=lambda pair: self._danger(pair[1], now_s), reverse=True)
            return tuple(self._record(request, suspect, now_s) for request, suspect in found[:most])

    def _record(self, request: Fingerprint, suspect: Suspect, now_s: float) -> CrashRecord:
        ends = tuple(
            EndRecord(
                worker.instance,
                worker.born_ms,
                _age_ms(at_s, now_s),
                self._idle_beside(suspect, worker),
            )
            for worker, at_s in suspect.ended_s.items()
        )
        trials = tuple(
            TrialRecord(
                worker.instance,
                worker.born_ms,
                _age_ms(at_s, now_s),
                worker in suspect.withdrawn,
            )
            for worker, at_s in suspect.trials_s.items()
        )
        acquitted_s = suspect.acquitted_s
        acquitted_age_ms = NEVER_MS if acquitted_s == NEVER_S else _age_ms(acquitted_s, now_s)
        return CrashRecord(request, suspect.service, ends, acquitted_age_ms, trials)

    def _idle_beside(self, suspect: Suspect, worker: Incarnation) -> int:
        """Return how many workers that ran nothing ended at the moment of a worker's end."""
        ended_s = self._worker_ends.ended_s(suspect.service, worker)
        # The log is right while it goes back that far: what has been told may be too much.
        if ended_s < float("inf"):
            return self._worker_ends.idle_among(self._worker_ends.around(suspect.service, ended_s))
        return suspect.idle_beside(worker)

    def drop_old(self) -> None:
        """Forget requests of which all ends are longer ago than they are remembered."""
        now_s = self._now_s()
        with self._lock:
            self._worker_ends.drop_old(now_s)
            for request, suspect in list(self._suspects.items()):
                if all(at_s <= now_s - RETENTION_S for at_s in suspect.ended_s.values()):
                    del self._suspects[request]
                    self._running.pop(request, None)

    def _left_s(self, suspect: Suspect) -> float:
        now_s = self._now_s()
        counted = suspect.counted(now_s)
        if len(counted) < MAX_ENDS or suspect.blame(now_s) + ROUNDING < MAX_ENDS:
            return 0.0
        if self._is_explained(suspect, counted, now_s):
            return 0.0
        return max(0.0, max(counted.values()) + HOLD_S - now_s)

    def _is_explained(
        self, suspect: Suspect, counted: Mapping[Incarnation, float], now_s: float
    ) -> bool:
        """Whether another request ran at each of the workers, so that it may have ended them all.

        Their next runs, apart from each other, show which of the two it was.
        """
        return any(
            counted.keys() <= other.counted(now_s).keys()
            for other in self._suspects.values()
            if other is not suspect and len(other.ended_s) >= MAX_ENDS
        )

    def _danger(self, suspect: Suspect, now_s: float) -> tuple[int, float]:
        counted = suspect.counted(now_s)
        return len(counted), max(suspect.ended_s.values(), default=NEVER_S)

    def _evict(self, now_s: float) -> None:
        while len(self._suspects) > MAX_REQUESTS:
            least = min(self._suspects, key=lambda one: self._danger(self._suspects[one], now_s))
            del self._suspects[least]
            self._running.pop(least, None)


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round(MS_PER_S * (now_s - at_s)))
