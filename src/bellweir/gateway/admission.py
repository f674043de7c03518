"""Shares of the request threads, so that slow kinds of work never take the last ones.

waitress gives each running request, streams included, one thread. Every request enters here with
its share before it may wait for anything; one over its share is refused at once.
"""

import threading
from dataclasses import dataclass
from enum import IntEnum
from types import TracebackType

from bellweir.kernel.clock import Clock
from bellweir.resources.models import RequestClass


class ThreadShare(IntEnum):
    """Kinds of work that are bounded apart from each other; numbers, as they index counts."""

    INTERACTIVE = 0
    LOOKUP = 1
    ONCE = 2
    DRAFT = 3
    STREAM = 4
    """Streamed completions."""
    LONG_POLL = 5
    """Trainers waiting for samples, and watches of resources."""
    SYSTEM = 6
    """Health, status, operators: short, and never refused."""

    @property
    def label(self) -> str:
        """Name in status and metrics."""
        return self.name.lower()


SHARE_OF_CLASS = {
    RequestClass.INTERACTIVE: ThreadShare.INTERACTIVE,
    RequestClass.LOOKUP: ThreadShare.LOOKUP,
    RequestClass.ONCE: ThreadShare.ONCE,
    RequestClass.DRAFT: ThreadShare.DRAFT,
}

LARGEST_SHARES = {
    ThreadShare.INTERACTIVE: 0.75,
    ThreadShare.LOOKUP: 0.5,
    ThreadShare.ONCE: 0.75,
    ThreadShare.DRAFT: 0.25,
    ThreadShare.STREAM: 0.8,
    ThreadShare.LONG_POLL: 0.125,
}
"""Largest part of the threads that one share may hold."""

LONG_HELD = frozenset({ThreadShare.DRAFT, ThreadShare.STREAM, ThreadShare.LONG_POLL})
LARGEST_LONG_HELD = 0.875
"""Largest part of the threads that the long-held shares may hold together."""
LARGEST_TOTAL = 0.97
"""Largest part of the threads that all shares may hold; the rest is for `SYSTEM`."""
HOLD_WEIGHT = 0.1
"""Weight of the last hold in the mean, which so follows about the last twenty."""
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 30.0
FAIRNESS_FROM = 0.75
"""Part of the threads in use from which a caller may hold no more than an equal part."""


@dataclass(frozen=True)
class ThreadUse:
    """Threads in use, for status and metrics."""

    threads: int
    by_share: dict[str, int]
    refused: int


class Permit:
    """A place in a share, given back by `release` or at the end of a `with` block."""

    def __init__(
        self, shares: "ThreadShares", share: ThreadShare, caller: str, since_s: float
    ) -> None:
        self._shares = shares
        self.share = share
        self.caller = caller
        self.since_s = since_s
        self._released = False

    def release(self) -> None:
        """Give the place back; twice is no error."""
        if not self._released:
            self._released = True
            self._shares.leave(self)

    def __enter__(self) -> "Permit":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()


class ThreadShares:
    """Counts the threads held by each share and caller."""

    def __init__(self, threads: int, clock: Clock) -> None:
        self._threads = threads
        self._clock = clock
        self._mean_hold_s = [0.0] * len(ThreadShare)
        """For how long places were held lately, by share."""
        self._since_sum_s = [0.0] * len(ThreadShare)
        """Sum of the times at which the places now held were taken, by share."""
        self._lock = threading.Lock()
        self._held = [0] * len(ThreadShare)
        self._total = 0
        """Without `SYSTEM`."""
        self._long_held = 0
        self._held_by_caller: dict[str, int] = {}
        self._refused = 0
        self._bounds = [_part(threads, LARGEST_SHARES.get(each, 1.0)) for each in ThreadShare]
        # Looked up by number: the hash of an enum's member costs a call.
        self._is_long = [each in LONG_HELD for each in ThreadShare]
        self._total_bound = _part(threads, LARGEST_TOTAL)
        self._long_held_bound = _part(threads, LARGEST_LONG_HELD)
        self._fairness_from = _part(threads, FAIRNESS_FROM)

    def enter(self, share: ThreadShare, caller: str) -> Permit | None:
        """Take a place in a share; None when the request must be refused."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not (self._fits(share) and self._is_fair(share, caller)):
                self._refused += 1
                return None
            self._count(share, 1, now_s)
            self._held_by_caller[caller] = self._held_by_caller.get(caller, 0) + 1
        return Permit(self, share, caller, now_s)

    def move(self, permit: Permit, share: ThreadShare) -> bool:
        """Move a held place to another share, once it is known that a request streams or waits.

        False when that share is full; the permit then stays where it was.
        """
        with self._lock:
            self._count(permit.share, -1, permit.since_s)
            admitted = self._fits(share)
            if admitted:
                permit.share = share
            else:
                self._refused += 1
            self._count(permit.share, 1, permit.since_s)
        return admitted

    def leave(self, permit: Permit) -> None:
        """Give a place back."""
        held_s = self._clock.monotonic_s() - permit.since_s
        with self._lock:
            self._count(permit.share, -1, permit.since_s)
            mean_s = self._mean_hold_s[permit.share]
            self._mean_hold_s[permit.share] = mean_s + HOLD_WEIGHT * (held_s - mean_s)
            left = self._held_by_caller[permit.caller] - 1
            if left:
                self._held_by_caller[permit.caller] = left
            else:
                del self._held_by_caller[permit.caller]

    def retry_after_s(self, share: ThreadShare) -> float:
        """When to come back after a refusal: half the time for which places are held.

        That is the time they were held lately, or the age of those held now if that is more.
        Drafts and streams hold theirs for long; asking again each second would only cost the
        node refusals.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            hold_s = self._mean_hold_s[share]
            held = self._held[share]
            if held:
                hold_s = max(hold_s, now_s - self._since_sum_s[share] / held)
        return min(max(SHORTEST_RETRY_S, hold_s / 2), LONGEST_RETRY_S)

    def use(self) -> ThreadUse:
        """Threads in use now."""
        with self._lock:
            by_share = {share.label: self._held[share] for share in ThreadShare}
            return ThreadUse(self._threads, by_share, self._refused)

    def held(self) -> int:
        """Places held now, without `SYSTEM`."""
        with self._lock:
            return self._total

    def _count(self, share: ThreadShare, change: int, since_s: float) -> None:
        self._held[share] += change
        self._since_sum_s[share] += change * since_s
        if share is not ThreadShare.SYSTEM:
            self._total += change
        if self._is_long[share]:
            self._long_held += change

    def _fits(self, share: ThreadShare) -> bool:
        if share is ThreadShare.SYSTEM:
            return True
        if self._total >= self._total_bound or self._held[share] >= self._bounds[share]:
            return False
        return not self._is_long[share] or self._long_held < self._long_held_bound

    def _is_fair(self, share: ThreadShare, caller: str) -> bool:
        if self._total < self._fairness_from or share is ThreadShare.SYSTEM:
            return True
        callers = len(self._held_by_caller) + (caller not in self._held_by_caller)
        return self._held_by_caller.get(caller, 0) < self._threads / callers


def _part(threads: int, fraction: float) -> int:
    return max(1, int(threads * fraction))
