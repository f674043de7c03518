"""Blocks the threads of requests until admission control releases them."""

import threading
from collections.abc import Callable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.log_events import REQUEST_QUEUED, REQUEST_REFUSED
from bellweir.hosted.queueing.admission_queue import AdmissionQueue
from bellweir.hosted.queueing.interface import (
    CapacityEstimate,
    QueuedRequest,
    ReleaseCause,
    ReleasedRequest,
)
from bellweir.hosted.queueing.retry_after import RateBasedRetryAfter
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.queueing.start_time_fair import StartTimeFairQueueing
from bellweir.hosted.room.interface import AdmissionAction, AdmissionDecision
from bellweir.hosted.room.observed import ESTIMATE_MAX_AGE_S, FRESH_TARGET_SHARE, ObservedCapacity
from bellweir.hosted.room.policy import ExpectedLatencyPolicy
from bellweir.hosted.settings import RoomSettings
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

CHECK_INTERVAL_S = 0.005
"""Polling interval of waiting requests: capacity freed by other gateways raises no event."""
MAX_LOGGED_S = 1e6
DISPATCH_CAUSES = frozenset({ReleaseCause.ROOM, ReleaseCause.OVERDUE})


class _Ticket:
    """A waiting thread and the release of its request."""

    __slots__ = ("event", "released")

    def __init__(self) -> None:
        self.event = threading.Event()
        self.released: ReleasedRequest | None = None


class _ServiceQueue:
    """Queue of one service; its lock is held only while deciding, never while waiting."""

    __slots__ = ("admissions", "last_check_s", "lock", "tickets")

    def __init__(self, admissions: AdmissionQueue) -> None:
        self.admissions = admissions
        self.lock = threading.Lock()
        self.tickets: dict[int, _Ticket] = {}
        self.last_check_s = float("-inf")

    def notify(self, released: ReleasedRequest) -> None:
        """Wake the thread of a released request."""
        ticket = self.tickets.pop(id(released.request), None)
        if ticket is not None:
            ticket.released = released
            ticket.event.set()

    def withdraw(self, request: QueuedRequest, ticket: _Ticket) -> None:
        """Forget a request whose thread ends by an exception, waiting or released."""
        self.tickets.pop(id(request), None)
        released = ticket.released
        if released is None:
            self.admissions.cancel(request)
        elif released.cause in DISPATCH_CAUSES:
            # Others that were released are not counted as being dispatched.
            self.admissions.dispatch_done()


class RequestGate:
    """Admission of this gateway's requests before they go to a worker. Safe for threads."""

    def __init__(
        self,
        capacity: ObservedCapacity,
        settings: RoomSettings,
        count_refused: Callable[[str], None] = lambda _cause: None,
        observe_wait: Callable[[str, float], None] = lambda _service, _seconds: None,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`count_refused` gets the cause of each refusal, `observe_wait` a service and a wait."""
        self._capacity = capacity
        self._settings = settings
        self._policy = ExpectedLatencyPolicy(
            waits=settings.queue, refuses=settings.refuse_hopeless, sheds=settings.shed
        )
        self._retry_after = RateBasedRetryAfter()
        self._count_refused = count_refused
        self._observe_wait = observe_wait
        self._now_s = now_s
        self._lock = threading.Lock()
        self._queues: dict[str, _ServiceQueue] = {}

    def queue_length(self) -> int:
        """Number of waiting requests of all services."""
        with self._lock:
            queues = list(self._queues.values())
        return sum(len(queue.admissions) for queue in queues)

    def admit(
        self,
        service: str,
        request: QueuedRequest,
        workers: Sequence[Worker],
        is_cancelled: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Whether a request may go to a worker; blocks at most until its `wait_until_s`.

        After True, the caller must call `dispatch_done` once the request is in flight at a worker,
        or none could be found.
        """
        queue = self._queue(service)
        now_s = self._now_s()
        ticket = _Ticket()
        with queue.lock:
            capacities = self._capacity.for_workers(workers, FRESH_TARGET_SHARE * request.target_s)
            decision, displaced = queue.admissions.submit(request, capacities, now_s)
            if decision.action is AdmissionAction.WAIT:
                queue.tickets[id(request)] = ticket
            if displaced is not None:
                queue.notify(ReleasedRequest(displaced, ReleaseCause.DISPLACED, decision))
        if decision.action is AdmissionAction.START:
            return True
        if decision.action is AdmissionAction.REFUSE:
            self._record_refusal(service, request, "at_once", decision, 0.0)
            return False
        return self._wait(queue, service, request, ticket, workers, is_cancelled)

    def _wait(
        self,
        queue: _ServiceQueue,
        service: str,
        request: QueuedRequest,
        ticket: _Ticket,
        workers: Sequence[Worker],
        is_cancelled: Callable[[], bool],
    ) -> bool:
        try:
            while not ticket.event.wait(CHECK_INTERVAL_S):
                with queue.lock:
                    if is_cancelled() and queue.admissions.cancel(request):
                        queue.tickets.pop(id(request), None)
                        return False
                    self._release_ready(queue, workers, FRESH_TARGET_SHARE * request.target_s)
            return self._record_release(service, request, ticket.released)
        except BaseException:
            with queue.lock:
                queue.withdraw(request, ticket)
            raise

    def _record_release(
        self, service: str, request: QueuedRequest, released: ReleasedRequest | None
    ) -> bool:
        """Log how a request ended its wait; return whether it may go to a worker."""
        waited_s = self._now_s() - request.arrived_s
        if released is None:
            return False
        self._observe_wait(service, waited_s)
        if released.cause not in DISPATCH_CAUSES:
            self._record_refusal(
                service, request, released.cause.value, released.decision, waited_s
            )
            return False
        emit(
            REQUEST_QUEUED,
            request_id=request.request_id,
            service=service,
            tenant=request.tenant,
            priority=request.priority,
            release=released.cause.value,
            **_log_fields(released.decision, waited_s),
        )
        return True

    def _release_ready(
        self, queue: _ServiceQueue, workers: Sequence[Worker], max_age_s: float
    ) -> None:
        """Release requests of the whole queue; at most one of its threads does so per interval."""
        now_s = self._now_s()
        if now_s - queue.last_check_s < CHECK_INTERVAL_S:
            return
        queue.last_check_s = now_s
        capacities = self._capacity.for_workers(workers, max_age_s)
        for released in queue.admissions.release_ready(capacities, self._now_s()):
            queue.notify(released)

    def _record_refusal(
        self,
        service: str,
        request: QueuedRequest,
        cause: str,
        decision: AdmissionDecision,
        waited_s: float,
    ) -> None:
        self._count_refused(cause)
        emit(
            REQUEST_REFUSED,
            request_id=request.request_id,
            service=service,
            tenant=request.tenant,
            priority=request.priority,
            why=cause,
            left_ms=round(1000 * min(request.deadline_s - self._now_s(), MAX_LOGGED_S)),
            target_ms=round(1000 * request.target_s),
            **_log_fields(decision, waited_s),
        )

    def dispatch_done(self, service: str) -> None:
        """An admitted request is in flight at a worker, or no worker could be found."""
        queue = self._queue(service)
        with queue.lock:
            queue.admissions.dispatch_done()

    def retry_after_s(
        self,
        service: str,
        workers: Sequence[Worker],
        target_s: float,
        remaining_s: float,
        remaining_share: float,
    ) -> float | None:
        """Retry-After in seconds for a refused client; None if disabled in the settings."""
        if not self._settings.return_from_room:
            return None
        capacities = self._capacity.for_workers(workers, ESTIMATE_MAX_AGE_S)
        own = sum(self._capacity.local_in_flight(worker) for worker in workers)
        estimate = CapacityEstimate.from_workers(
            capacities, target_s, len(self._queue(service).admissions), own
        )
        retry_after_s = self._retry_after.retry_after_s(
            service, estimate, remaining_s, remaining_share, self._now_s()
        )
        return round(max(0.0, retry_after_s), 3)

    def _queue(self, service: str) -> _ServiceQueue:
        with self._lock:
            if service not in self._queues:
                shares = RecentShares() if self._settings.reserve else None
                max_length = self._settings.longest_queue
                admissions = AdmissionQueue(
                    self._policy, StartTimeFairQueueing(), max_length, shares
                )
                self._queues[service] = _ServiceQueue(admissions)
            return self._queues[service]


def _log_fields(decision: AdmissionDecision, waited_s: float) -> dict[str, float]:
    return {
        "waited_ms": round(1000 * waited_s),
        "expected_ms": round(1000 * min(decision.expected_s, MAX_LOGGED_S)),
        "in_hand": round(decision.in_flight, 1),
        "slots": decision.slots,
        "age_ms": round(1000 * min(decision.age_s, MAX_LOGGED_S)),
    }
