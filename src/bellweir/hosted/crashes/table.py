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
from bellweir.hosted.crashes.messages import NEVER_MS, CrashRecord, EndRecord
from bellweir.hosted.incarnation import Incarnation
from bellweir.kernel.clock import elapsed_s

MAX_ENDS = 3
"""Ends of workers from which on a request is quarantined."""
HOLD_S = 600.0
"""Time for which a request is quarantined after the last end."""
RETENTION_S = 3_600.0
"""Time for which ends are remembered: after its quarantine one more end renews it at once."""
MAX_REQUESTS = 512
MAX_KEPT_ENDS = 8
"""Ends kept for each request, the newest ones."""
MS_PER_S = 1000
NEVER_S = float("-inf")


class _Suspect:
    """What is known of one request."""

    __slots__ = ("acquitted_s", "ended_s", "service")

    def __init__(self, service: str) -> None:
        self.service = service
        self.ended_s: dict[Incarnation, float] = {}
        """Time of each worker's end."""
        self.acquitted_s = NEVER_S

    def counted(self, now_s: float) -> dict[Incarnation, float]:
        """Times of the ends that count, by worker."""
        since_s = max(self.acquitted_s, now_s - RETENTION_S)
        return {worker: at_s for worker, at_s in self.ended_s.items() if at_s > since_s}

    def add_end(self, worker: Incarnation, at_s: float) -> bool:
        if worker in self.ended_s:
            return False
        self.ended_s[worker] = at_s
        if len(self.ended_s) > MAX_KEPT_ENDS:
            oldest = min(self.ended_s, key=self.ended_s.__getitem__)
            del self.ended_s[oldest]
            return oldest != worker
        return True

    def acquit(self, at_s: float) -> bool:
        if at_s <= self.acquitted_s:
            return False
        self.acquitted_s = at_s
        return True


class CrashTable:
    """Requests under which workers have ended. Thread-safe and bounded.

    When it is full the request with the fewest ends is evicted, of these the one whose last end is
    longest ago: many harmless requests can't evict a quarantined one.
    """

    def __init__(
        self,
        lifted: Collection[Fingerprint] = (),
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`lifted`: requests that an operator has released; they are never quarantined."""
        self._now_s = now_s
        self._lifted = frozenset(lifted)
        self._lock = threading.Lock()
        self._suspects: dict[Fingerprint, _Suspect] = {}

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

    def is_quarantined(self, request: Fingerprint) -> bool:
        """Whether a request must not be sent to any worker now."""
        return self.left_s(request) > 0

    def left_s(self, request: Fingerprint) -> float:
        """Return the seconds for which a request is still quarantined; 0 if it is not."""
        if request in self._lifted:
            return 0.0
        with self._lock:
            suspect = self._suspects.get(request)
            return self._left_s(suspect) if suspect is not None else 0.0

    def isolated(self, least: int) -> list[Fingerprint]:
        """Return the requests with that many ends which are not quarantined, in order."""
        now_s = self._now_s()
        with self._lock:
            return sorted(
                request
                for request, suspect in self._suspects.items()
                if request not in self._lifted
                and len(suspect.counted(now_s)) >= least
                and not self._left_s(suspect)
            )

    def quarantined(self) -> list[tuple[Fingerprint, str]]:
        """Return the quarantined requests with their services."""
        with self._lock:
            return [
                (request, suspect.service)
                for request, suspect in self._suspects.items()
                if request not in self._lifted and self._left_s(suspect) > 0
            ]

    def add_end(self, request: Fingerprint, service: str, worker: Incarnation) -> bool:
        """Record that a worker ended while it ran a request; False if that is known."""
        now_s = self._now_s()
        with self._lock:
            suspect = self._suspects.setdefault(request, _Suspect(service))
            is_new = suspect.add_end(worker, now_s)
            self._evict(now_s)
            return is_new

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
                suspect = self._suspects[record.fingerprint] = _Suspect(record.service)
            is_new = False
            for end in record.ends:
                worker = Incarnation(end.instance, end.born_ms)
                is_new |= suspect.add_end(worker, now_s - max(0, end.age_ms) / MS_PER_S)
            if record.acquitted_age_ms != NEVER_MS:
                at_s = now_s - max(0, record.acquitted_age_ms) / MS_PER_S
                # Ages are told in whole milliseconds and lack the way.
                is_new |= at_s > suspect.acquitted_s + 1.0 and suspect.acquit(at_s)
            self._evict(now_s)
            return is_new

    def records(self, requests: Iterable[Fingerprint] | None = None) -> tuple[CrashRecord, ...]:
        """Return the records of some requests, or of all, the most dangerous ones first."""
        now_s = self._now_s()
        with self._lock:
            wanted = list(self._suspects) if requests is None else list(requests)
            found = [(one, self._suspects[one]) for one in wanted if one in self._suspects]
            found.sort(key=lambda pair: self._danger(pair[1], now_s), reverse=True)
            return tuple(_record(request, suspect, now_s) for request, suspect in found)

    def drop_old(self) -> None:
        """Forget requests of which all ends are longer ago than they are remembered."""
        now_s = self._now_s()
        with self._lock:
            for request, suspect in list(self._suspects.items()):
                if all(at_s <= now_s - RETENTION_S for at_s in suspect.ended_s.values()):
                    del self._suspects[request]

    def _left_s(self, suspect: _Suspect) -> float:
        now_s = self._now_s()
        counted = suspect.counted(now_s)
        if len(counted) < MAX_ENDS or self._is_explained(suspect, counted, now_s):
            return 0.0
        return max(0.0, max(counted.values()) + HOLD_S - now_s)

    def _is_explained(
        self, suspect: _Suspect, counted: Mapping[Incarnation, float], now_s: float
    ) -> bool:
        """Whether another request ran at each of the workers, so that it may have ended them all.

        Until their next runs, apart from each other, show which of the two it was.
        """
        return any(
            counted.keys() <= other.counted(now_s).keys()
            for other in self._suspects.values()
            if other is not suspect and len(other.ended_s) >= MAX_ENDS
        )

    def _danger(self, suspect: _Suspect, now_s: float) -> tuple[int, float]:
        counted = suspect.counted(now_s)
        return len(counted), max(suspect.ended_s.values(), default=NEVER_S)

    def _evict(self, now_s: float) -> None:
        while len(self._suspects) > MAX_REQUESTS:
            least = min(self._suspects, key=lambda one: self._danger(self._suspects[one], now_s))
            del self._suspects[least]


def _record(request: Fingerprint, suspect: _Suspect, now_s: float) -> CrashRecord:
    ends = tuple(
        EndRecord(worker.instance, worker.born_ms, _age_ms(at_s, now_s))
        for worker, at_s in suspect.ended_s.items()
    )
    acquitted_s = suspect.acquitted_s
    acquitted_age_ms = NEVER_MS if acquitted_s == NEVER_S else _age_ms(acquitted_s, now_s)
    return CrashRecord(request, suspect.service, ends, acquitted_age_ms)


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round(MS_PER_S * (now_s - at_s)))
