"""Decides which requests for one service start, wait or are refused, and when those that wait go.

State: the requests that wait, and those that were let go and are not in hand of a worker yet. No
input or output, no clock, no threads: the owner passes the time and the workers' room, and holds a
lock. The cost of a look is that of a few passes over the queue, which is bounded, and the workers.
"""

from collections import Counter
from collections.abc import Sequence

from bellweir.hosted.queueing.by_priority import displaced_by
from bellweir.hosted.queueing.interface import Order, Release, Released, Waiting
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.room.interface import Judgement, Need, RoomJudge, Verdict, WorkerRoom

RESERVE = 0.2
"""Share of the target that is left to those within their shares: an answer to others must be
expected so much sooner for them to start."""


class Admissions:
    """Requests for one service that this process has not offered to a worker yet."""

    def __init__(
        self, judge: RoomJudge, order: Order, longest: int, shares: RecentShares | None = None
    ) -> None:
        """`longest`: most requests that wait at once. With `shares` a reserve is kept by them."""
        self._shares = shares
        self._judge = judge
        self._order = order
        self._longest = longest
        self._on_the_way = 0

    def __len__(self) -> int:
        """How many wait."""
        return len(self._order)

    def ask(
        self, waiting: Waiting, workers: Sequence[WorkerRoom], now_s: float
    ) -> tuple[Judgement, Waiting | None]:
        """Judge a request that has just come; after `WAIT` it waits until `look` releases it.

        The second value is another request that had to leave a full queue for it. One that starts
        is on its way until `arrived`.
        """
        if self._shares is not None:
            self._shares.came(waiting, now_s)
        before = fair_rank(self._order.all(), waiting)
        judgement = self._judged(waiting, workers, now_s, before)
        if judgement.verdict is Verdict.START and before and now_s < waiting.latest_s:
            judgement = judgement.changed_to(Verdict.WAIT)
        if judgement.verdict is Verdict.START:
            self._order.charge(waiting)
            self._on_the_way += 1
        if judgement.verdict is not Verdict.WAIT:
            return judgement, None
        displaced = None
        if len(self._order) >= self._longest:
            displaced = displaced_by(self._order.all(), waiting)
            if displaced is waiting:
                return judgement.changed_to(Verdict.REFUSE), None
            self._order.remove(displaced, served=False)
        self._order.push(waiting)
        return judgement, displaced

    def look(self, workers: Sequence[WorkerRoom], now_s: float) -> list[Released]:
        """Those that need not wait any longer, in the order in which they go."""
        released = []
        while (first := self._order.peek()) is not None:
            judgement = self._judged(first, workers, now_s, 0)
            if judgement.verdict is Verdict.WAIT:
                break
            is_refused = judgement.verdict is Verdict.REFUSE
            release = Release.HOPELESS if is_refused else Release.ROOM
            released.append(self._let_go(first, release, judgement))
        for waiting in self._order.all():
            if now_s >= waiting.latest_s or now_s >= waiting.deadline_s:
                judgement = self._judged(waiting, workers, now_s, 0)
                is_refused = judgement.verdict is Verdict.REFUSE
                release = Release.HOPELESS if is_refused else Release.OVERDUE
                released.append(self._let_go(waiting, release, judgement))
        return released

    def _let_go(self, waiting: Waiting, release: Release, judgement: Judgement) -> Released:
        goes_on = release in (Release.ROOM, Release.OVERDUE)
        self._order.remove(waiting, served=goes_on)
        if goes_on:
            self._on_the_way += 1
        return Released(waiting, release, judgement)

    def leave(self, waiting: Waiting) -> bool:
        """A client left; False when its request did not wait any more."""
        return self._order.remove(waiting, served=False)

    def arrived(self) -> None:
        """One that was on its way is in hand of a worker, or has ended."""
        self._on_the_way = max(0, self._on_the_way - 1)

    def _judged(
        self, waiting: Waiting, workers: Sequence[WorkerRoom], now_s: float, before: int
    ) -> Judgement:
        need = Need(
            left_s=waiting.deadline_s - now_s,
            target_s=self._share_of_target(waiting) - (now_s - waiting.arrived_s),
            wait_s=max(0.0, waiting.latest_s - now_s),
        )
        return self._judge.judge(workers, need, self._on_the_way + before)

    def _share_of_target(self, waiting: Waiting) -> float:
        is_beyond = self._shares is not None and self._shares.is_beyond(waiting)
        return waiting.target_s * (1 - RESERVE if is_beyond else 1)


def fair_rank(waiting: Sequence[Waiting], newcomer: Waiting) -> int:
    """How many go before a newcomer: the more urgent, and of its equals each tenant's fair share.

    >>> old = [Waiting(f"r{n}", "large", 5, n, 9, 9) for n in range(3)]
    >>> fair_rank(old, Waiting("s", "small", 5, 3, 9, 9)), fair_rank(old, old[0])
    (1, 3)
    """
    more_urgent = sum(each.priority < newcomer.priority for each in waiting)
    held = Counter(each.tenant for each in waiting if each.priority == newcomer.priority)
    turns = held[newcomer.tenant]
    others = sum(min(n, turns + 1) for tenant, n in held.items() if tenant != newcomer.tenant)
    return more_urgent + turns + others
