"""Decides which requests for one service start, wait or are refused, and when those that wait go.

State: the requests that wait, and those that were let go and are not in hand of a worker yet. No
input or output, no clock, no threads: the owner passes the time and the workers' room, and holds a
lock. The cost of a look is that of a few passes over the queue, which is bounded, and the workers.
"""

from collections import Counter
from collections.abc import Sequence

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
"""Share of the target that is left to those within their shares: an answer to others must be
expected so much sooner for them to start."""


class AdmissionQueue:
    """Requests for one service that this process has not offered to a worker yet."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        discipline: QueueDiscipline,
        max_length: int,
        shares: RecentShares | None = None,
    ) -> None:
        """`max_length`: most requests that wait at once. With `shares` a reserve is kept by them."""
        self._shares = shares
        self._policy = policy
        self._discipline = discipline
        self._max_length = max_length
        self._dispatching = 0

    def __len__(self) -> int:
        """How many wait."""
        return len(self._discipline)

    def submit(
        self, request: QueuedRequest, workers: Sequence[WorkerCapacity], now_s: float
    ) -> tuple[AdmissionDecision, QueuedRequest | None]:
        """Judge a request that has just come; after `WAIT` it waits until `look` releases it.

        The second value is another request that had to leave a full queue for it. One that starts
        is on its way until `arrived`.
        """
        if self._shares is not None:
            self._shares.record(request, now_s)
        before = fair_position(self._discipline.all(), request)
        decision = self._decide(request, workers, now_s, before)
        if decision.action is AdmissionAction.START and before and now_s < request.wait_until_s:
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
    ) -> list[ReleasedRequest]:
        """Those that need not wait any longer, in the order in which they go."""
        released = []
        while (first := self._discipline.peek()) is not None:
            decision = self._decide(first, workers, now_s, 0)
            if decision.action is AdmissionAction.WAIT:
                break
            is_refused = decision.action is AdmissionAction.REFUSE
            cause = ReleaseCause.HOPELESS if is_refused else ReleaseCause.ROOM
            released.append(self._release(first, cause, decision))
        for request in self._discipline.all():
            if now_s >= request.wait_until_s or now_s >= request.deadline_s:
                decision = self._decide(request, workers, now_s, 0)
                is_refused = decision.action is AdmissionAction.REFUSE
                cause = ReleaseCause.HOPELESS if is_refused else ReleaseCause.OVERDUE
                released.append(self._release(request, cause, decision))
        return released

    def _release(
        self, request: QueuedRequest, cause: ReleaseCause, decision: AdmissionDecision
    ) -> ReleasedRequest:
        goes_on = cause in (ReleaseCause.ROOM, ReleaseCause.OVERDUE)
        self._discipline.remove(request, served=goes_on)
        if goes_on:
            self._dispatching += 1
        return ReleasedRequest(request, cause, decision)

    def cancel(self, request: QueuedRequest) -> bool:
        """A client left; False when its request did not wait any more."""
        return self._discipline.remove(request, served=False)

    def dispatch_done(self) -> None:
        """One that was on its way is in hand of a worker, or has ended."""
        self._dispatching = max(0, self._dispatching - 1)

    def _decide(
        self, request: QueuedRequest, workers: Sequence[WorkerCapacity], now_s: float, before: int
    ) -> AdmissionDecision:
        limits = TimeLimits(
            remaining_s=request.deadline_s - now_s,
            target_s=self._share_of_target(request) - (now_s - request.arrived_s),
            max_wait_s=max(0.0, request.wait_until_s - now_s),
        )
        return self._policy.decide(workers, limits, self._dispatching + before)

    def _share_of_target(self, request: QueuedRequest) -> float:
        exceeds_share = self._shares is not None and self._shares.exceeds_share(request)
        return request.target_s * (1 - RESERVED_TARGET_SHARE if exceeds_share else 1)


def fair_position(queue: Sequence[QueuedRequest], newcomer: QueuedRequest) -> int:
    """How many go before a newcomer: the more urgent, and of its equals each tenant's fair share.

    >>> old = [QueuedRequest(f"r{n}", "large", 5, n, 9, 9) for n in range(3)]
    >>> fair_position(old, QueuedRequest("s", "small", 5, 3, 9, 9)), fair_position(old, old[0])
    (1, 3)
    """
    more_urgent = sum(each.priority < newcomer.priority for each in queue)
    held = Counter(each.tenant for each in queue if each.priority == newcomer.priority)
    turns = held[newcomer.tenant]
    others = sum(min(n, turns + 1) for tenant, n in held.items() if tenant != newcomer.tenant)
    return more_urgent + turns + others
