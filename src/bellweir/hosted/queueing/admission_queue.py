"""Decides which requests for a service start, wait or are refused, and releases waiting ones."""

from collections import Counter
from collections.abc import Iterator, Sequence

from bellweir.hosted.queueing.by_priority import displaced_request
from bellweir.hosted.queueing.interface import (
    QueueDiscipline,
    QueuedRequest,
    ReleaseCause,
    ReleasedRequest,
)
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.room.interface import (
    AdmissionAction,
    AdmissionDecision,
    AdmissionPolicy,
    TimeLimits,
    WorkerCapacity,
)

RESERVED_TARGET_SHARE = 0.2
"""Share of the target reserved for requests within their fair share: others start only if expected
this much earlier."""


class AdmissionQueue:
    """Requests for one service that this process has not sent to a worker yet.

    Holds the waiting requests and counts those being dispatched, which are released but not in
    flight at a worker yet. Does no I/O, reads no clock and takes no lock: the caller passes the
    time and the workers' capacity and serializes calls.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        discipline: QueueDiscipline,
        max_length: int,
        shares: RecentShares | None = None,
    ) -> None:
        """`max_length` bounds the queue.

        With `shares`, capacity is reserved for tenants within their fair share.
        """
        self._shares = shares
        self._policy = policy
        self._discipline = discipline
        self._max_length = max_length
        self._dispatching = 0

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._discipline)

    def submit(
        self, request: QueuedRequest, workers: Sequence[WorkerCapacity], now_s: float
    ) -> tuple[AdmissionDecision, QueuedRequest | None]:
        """Decide on a new request; on `WAIT` it is queued until `release_ready` returns it.

        The second value is a request displaced from a full queue to make room. After `START`, the
        request counts as being dispatched until `dispatch_done`.
        """
        if self._shares is not None:
            self._shares.record(request, now_s)
        ahead = fair_position(self._discipline.all(), request)
        decision = self._decide(request, workers, now_s, ahead)
        if decision.action is AdmissionAction.START and ahead and now_s < request.wait_until_s:
            decision = decision.with_action(AdmissionAction.WAIT)
        if decision.action is AdmissionAction.START:
            self._discipline.charge(request)
            self._dispatching += 1
        if decision.action is not AdmissionAction.WAIT:
            return decision, None
        displaced = None
        if len(self._discipline) >= self._max_length:
            displaced = displaced_request(self._discipline.all(), request)
            if displaced is request:
                return decision.with_action(AdmissionAction.REFUSE), None
            self._discipline.remove(displaced, served=False)
        self._discipline.push(request)
        return decision, displaced

    def release_ready(
        self, workers: Sequence[WorkerCapacity], now_s: float
    ) -> Iterator[ReleasedRequest]:
        """Remove and yield the requests that need not wait any longer, in order.

        Each is removed when it is yielded, so that an exception loses none.
        """
        while (first := self._discipline.peek()) is not None:
            decision = self._decide(first, workers, now_s, 0)
            if decision.action is AdmissionAction.WAIT:
                break
            is_refused = decision.action is AdmissionAction.REFUSE
            cause = ReleaseCause.HOPELESS if is_refused else ReleaseCause.ROOM
            yield self._release(first, cause, decision)
        for request in self._discipline.all():
            if now_s >= request.wait_until_s or now_s >= request.deadline_s:
                decision = self._decide(request, workers, now_s, 0)
                is_refused = decision.action is AdmissionAction.REFUSE
                cause = ReleaseCause.HOPELESS if is_refused else ReleaseCause.OVERDUE
                yield self._release(request, cause, decision)

    def _release(
        self, request: QueuedRequest, cause: ReleaseCause, decision: AdmissionDecision
    ) -> ReleasedRequest:
        is_dispatched = cause in (ReleaseCause.ROOM, ReleaseCause.OVERDUE)
        self._discipline.remove(request, served=is_dispatched)
        if is_dispatched:
            self._dispatching += 1
        return ReleasedRequest(request, cause, decision)

    def cancel(self, request: QueuedRequest) -> bool:
        """Remove a request whose client left; False if it was not waiting."""
        return self._discipline.remove(request, served=False)

    def dispatch_done(self) -> None:
        """A dispatched request is in flight at a worker, or has ended."""
        self._dispatching = max(0, self._dispatching - 1)

    def _decide(
        self, request: QueuedRequest, workers: Sequence[WorkerCapacity], now_s: float, ahead: int
    ) -> AdmissionDecision:
        limits = TimeLimits(
            remaining_s=request.deadline_s - now_s,
            target_s=self._target_s(request) - (now_s - request.arrived_s),
            max_wait_s=max(0.0, request.wait_until_s - now_s),
        )
        return self._policy.decide(workers, limits, self._dispatching + ahead)

    def _target_s(self, request: QueuedRequest) -> float:
        exceeds_share = self._shares is not None and self._shares.exceeds_share(request)
        return request.target_s * (1 - RESERVED_TARGET_SHARE if exceeds_share else 1)


def fair_position(queue: Sequence[QueuedRequest], newcomer: QueuedRequest) -> int:
    """Number of requests to be served before a new one.

    These are the more urgent ones, and of the same priority a fair share for each tenant.

    >>> old = [QueuedRequest(f"r{n}", "large", 5, n, 9, 9) for n in range(3)]
    >>> fair_position(old, QueuedRequest("s", "small", 5, 3, 9, 9)), fair_position(old, old[0])
    (1, 3)
    """
    more_urgent = sum(each.priority < newcomer.priority for each in queue)
    counts = Counter(each.tenant for each in queue if each.priority == newcomer.priority)
    turns = counts[newcomer.tenant]
    others = sum(min(n, turns + 1) for tenant, n in counts.items() if tenant != newcomer.tenant)
    return more_urgent + turns + others
