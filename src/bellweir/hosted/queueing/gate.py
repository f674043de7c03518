"""Holds the threads of requests until the decisions let them go."""

import threading
import time
from collections.abc import Callable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.log_events import REQUEST_QUEUED, REQUEST_REFUSED
from bellweir.hosted.queueing.admissions import Admissions
from bellweir.hosted.queueing.interface import Outlook, Release, Released, Waiting
from bellweir.hosted.queueing.return_times import FromRates
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.queueing.start_time_fair import StartTimeFair
from bellweir.hosted.room.interface import Judgement, Verdict
from bellweir.hosted.room.judge import ExpectedTimes
from bellweir.hosted.room.observed import ESTIMATE_S, FRESH_SHARE, ObservedRoom
from bellweir.hosted.settings import RoomSettings
from bellweir.hosted.views.workers import Worker

LOOK_S = 0.005
"""Pause between two looks of a request that waits: room that others see made is not told."""
LONGEST_AGE_S = 1e6
STARTS = frozenset({Release.ROOM, Release.OVERDUE})


class _Ticket:
    """A thread that waits, and what became of its request."""

    __slots__ = ("event", "released")

    def __init__(self) -> None:
        self.event = threading.Event()
        self.released: Released | None = None


class _Line:
    """One service's requests; its lock is held over decisions only."""

    __slots__ = ("admissions", "lock", "looked_s", "tickets")

    def __init__(self, admissions: Admissions) -> None:
        self.admissions = admissions
        self.lock = threading.Lock()
        self.tickets: dict[int, _Ticket] = {}
        self.looked_s = float("-inf")

    def let_go(self, released: Released) -> None:
        """Wake the thread of one that no longer waits."""
        ticket = self.tickets.pop(id(released.waiting), None)
        if ticket is not None:
            ticket.released = released
            ticket.event.set()


class RequestGate:
    """Requests of this gateway before they are offered to a worker. Safe for threads."""

    def __init__(
        self,
        room: ObservedRoom,
        settings: RoomSettings,
        count_refused: Callable[[str], None] = lambda _cause: None,
        observe_wait: Callable[[str, float], None] = lambda _service, _seconds: None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`count_refused` gets the cause of each refusal, `observe_wait` a service and a wait."""
        self._room = room
        self._settings = settings
        self._judge = ExpectedTimes(
            waits=settings.queue, refuses=settings.refuse_hopeless, sheds=settings.shed
        )
        self._return_times = FromRates()
        self._count_refused = count_refused
        self._observe_wait = observe_wait
        self._now_s = now_s
        self._lock = threading.Lock()
        self._lines: dict[str, _Line] = {}

    def waiting(self) -> int:
        """Requests that wait now, of all services."""
        with self._lock:
            lines = list(self._lines.values())
        return sum(len(line.admissions) for line in lines)

    def admit(
        self,
        service: str,
        waiting: Waiting,
        workers: Sequence[Worker],
        has_left: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Whether a request is to be offered to a worker; blocks at most until its `latest_s`.

        After True, `arrived` is due as soon as a place at a worker is taken, or none can be.
        """
        line = self._line(service)
        now_s = self._now_s()
        ticket = _Ticket()
        with line.lock:
            rooms = self._room.of(workers, FRESH_SHARE * waiting.target_s)
            judgement, displaced = line.admissions.ask(waiting, rooms, now_s)
            if judgement.verdict is Verdict.WAIT:
                line.tickets[id(waiting)] = ticket
            if displaced is not None:
                line.let_go(Released(displaced, Release.DISPLACED, judgement))
        if judgement.verdict is Verdict.START:
            return True
        if judgement.verdict is Verdict.REFUSE:
            self._refused(service, waiting, "at_once", judgement, 0.0)
            return False
        return self._wait(line, service, waiting, ticket, workers, has_left)

    def _wait(
        self,
        line: _Line,
        service: str,
        waiting: Waiting,
        ticket: _Ticket,
        workers: Sequence[Worker],
        has_left: Callable[[], bool],
    ) -> bool:
        try:
            while not ticket.event.wait(LOOK_S):
                with line.lock:
                    if has_left() and line.admissions.leave(waiting):
                        line.tickets.pop(id(waiting), None)
                        return False
                    self._look(line, workers, FRESH_SHARE * waiting.target_s)
        except BaseException:
            with line.lock:
                line.tickets.pop(id(waiting), None)
                if not line.admissions.leave(waiting):
                    line.admissions.arrived()
            raise
        waited_s = self._now_s() - waiting.arrived_s
        released = ticket.released
        if released is None:
            return False
        self._observe_wait(service, waited_s)
        if released.release not in STARTS:
            self._refused(service, waiting, released.release.value, released.judgement, waited_s)
            return False
        emit(
            REQUEST_QUEUED,
            request_id=waiting.request_id,
            service=service,
            tenant=waiting.tenant,
            priority=waiting.priority,
            release=released.release.value,
            **_shown(released.judgement, waited_s),
        )
        return True

    def _look(self, line: _Line, workers: Sequence[Worker], oldest_s: float) -> None:
        """Look for the whole line; one of its threads does so in each pause, for all."""
        now_s = self._now_s()
        if now_s - line.looked_s < LOOK_S:
            return
        line.looked_s = now_s
        rooms = self._room.of(workers, oldest_s)
        for released in line.admissions.look(rooms, self._now_s()):
            line.let_go(released)

    def _refused(
        self, service: str, waiting: Waiting, why: str, judgement: Judgement, waited_s: float
    ) -> None:
        self._count_refused(why)
        emit(
            REQUEST_REFUSED,
            request_id=waiting.request_id,
            service=service,
            tenant=waiting.tenant,
            priority=waiting.priority,
            why=why,
            left_ms=round(1000 * min(waiting.deadline_s - self._now_s(), LONGEST_AGE_S)),
            target_ms=round(1000 * waiting.target_s),
            **_shown(judgement, waited_s),
        )

    def arrived(self, service: str) -> None:
        """A place at a worker was taken for a request that was let go, or none can be."""
        line = self._line(service)
        with line.lock:
            line.admissions.arrived()

    def after_s(
        self,
        service: str,
        workers: Sequence[Worker],
        target_s: float,
        left_s: float,
        left_share: float,
    ) -> float | None:
        """Seconds after which a refused client is to come back; None where that is switched off."""
        if not self._settings.return_from_room:
            return None
        rooms = self._room.of(workers, ESTIMATE_S)
        own = sum(self._room.own_in_hand(worker) for worker in workers)
        outlook = Outlook.of(rooms, target_s, len(self._line(service).admissions), own)
        after_s = self._return_times.after_s(service, outlook, left_s, left_share, self._now_s())
        return round(max(0.0, after_s), 3)

    def _line(self, service: str) -> _Line:
        with self._lock:
            if service not in self._lines:
                shares = RecentShares() if self._settings.reserve else None
                longest = self._settings.longest_queue
                admissions = Admissions(self._judge, StartTimeFair(), longest, shares)
                self._lines[service] = _Line(admissions)
            return self._lines[service]


def _shown(judgement: Judgement, waited_s: float) -> dict[str, float]:
    return {
        "waited_ms": round(1000 * waited_s),
        "expected_ms": round(1000 * min(judgement.expected_s, LONGEST_AGE_S)),
        "in_hand": round(judgement.in_hand, 1),
        "slots": judgement.slots,
        "age_ms": round(1000 * min(judgement.age_s, LONGEST_AGE_S)),
    }
