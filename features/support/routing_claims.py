"""Claims in memory, as the ledger keeps them, reached through nodes that can be killed."""

import enum
import time
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field

from returns.result import Failure, Success

from bellweir.kernel import names
from bellweir.kernel.clock import SystemClock
from bellweir.kernel.executors import Executors
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Claim, Claims, ClaimState, LedgerError, LedgerErrorKind

IN_PROGRESS_LIMIT_S = 120.0
KEPT_WINDOWS = 8
"""Windows after which a key is forgotten and may be claimed anew."""


class NodeKilledError(BaseException):
    """Ends a call at the point where its node died; nothing of that node has effect after it."""


class LedgerFault(enum.Enum):
    """What happens to the next call of the ledger."""

    UNAVAILABLE = "no leader"
    LOST_BEFORE = "sent, never appended"
    LOST_AFTER = "appended, answer lost"


class Point(enum.Enum):
    """Points of a request's way at which something may happen."""

    CLAIMED = "after the claim"
    BEFORE_RUN = "after the write, before the run"
    AFTER_RUN = "after the run, before the answer"
    RECORDED = "after the record"


class InlineExecutors(Executors):
    """Runs submitted calls at once on the caller's thread, so that examples can be repeated."""

    def submit(self, kind, function, *arguments, **keywords):
        done = Future()
        try:
            done.set_result(function(*arguments, **keywords))
        except NodeKilledError as killed:
            done.set_exception(killed)
        return done


class OffsetClock(SystemClock):
    """The real clock, which tests move ahead and which waits for nothing."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def monotonic_s(self) -> float:
        return time.monotonic() + self.offset_s

    def wait(self, event, timeout_s):
        self.offset_s += timeout_s
        return event.is_set()


@dataclass
class Happenings:
    """What happens at which point of the request under way; each once."""

    at: dict[Point, Callable[[], None]] = field(default_factory=dict)

    def reach(self, point: Point) -> None:
        action = self.at.pop(point, None)
        if action is not None:
            action()


@dataclass
class Held:
    fingerprint: str
    attempt_id: str
    state: ClaimState
    claimed_s: float
    window_s: float
    answer: object = None


@dataclass
class SharedClaims:
    """The truth that all nodes reach."""

    clock: OffsetClock
    held: dict[str, Held] = field(default_factory=dict)
    faults: list = field(default_factory=list)

    def claim(self, key, fingerprint, attempt_id, window_s):
        held = self.find(key)
        if held is None or (held.state is ClaimState.NOT_RUN and held.attempt_id != attempt_id):
            now_s = self.clock.monotonic_s()
            self.held[key] = Held(fingerprint, attempt_id, ClaimState.CLAIMED, now_s, window_s)
            return Claim(ClaimState.CLAIMED)
        if held.fingerprint != fingerprint and not self._expired(held):
            return Claim(ClaimState.MISMATCH)
        if held.state is ClaimState.CLAIMED and held.attempt_id == attempt_id:
            return Claim(ClaimState.CLAIMED)
        return self.describe(held)

    def record(self, key, attempt_id, state, answer):
        held = self.find(key)
        if held is None or held.attempt_id != attempt_id:
            return Claim(ClaimState.MISMATCH)
        if held.state in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            held.state, held.answer = state, answer
        return self.describe(held)

    def find(self, key):
        held = self.held.get(key)
        kept_s = held.window_s * KEPT_WINDOWS if held else 0.0
        return held if held and self.clock.monotonic_s() - held.claimed_s <= kept_s else None

    def describe(self, held):
        if held.state is not ClaimState.NOT_RUN and self._expired(held):
            return Claim(ClaimState.EXPIRED)
        if held.state is ClaimState.CLAIMED:
            late = self.clock.monotonic_s() - held.claimed_s > IN_PROGRESS_LIMIT_S
            return Claim(ClaimState.UNKNOWN if late else ClaimState.IN_PROGRESS)
        return Claim(held.state, held.answer)

    def _expired(self, held):
        return self.clock.monotonic_s() - held.claimed_s > held.window_s


class NodeClaims(Service, Claims):
    """One node's way to the shared claims."""

    name = names.CLAIMS

    def __init__(self, shared: SharedClaims, happenings: Happenings) -> None:
        self._shared = shared
        self._happenings = happenings
        self.killed = False

    def start(self):
        pass

    def stop(self):
        pass

    def claim(self, key, fingerprint, attempt_id, window_s, timeout_s):
        outcome = self._call(lambda: self._shared.claim(key, fingerprint, attempt_id, window_s))
        self._happenings.reach(Point.CLAIMED)
        self._check()
        return outcome

    def record(self, key, attempt_id, state, answer, timeout_s):
        outcome = self._call(lambda: self._shared.record(key, attempt_id, state, answer))
        self._happenings.reach(Point.RECORDED)
        self._check()
        return outcome

    def look_up(self, key, timeout_s):
        def find():
            held = self._shared.find(key)
            return None if held is None else self._shared.describe(held)

        return self._call(find)

    def _call(self, take_effect):
        self._check()
        fault = self._shared.faults.pop(0) if self._shared.faults else None
        if fault is LedgerFault.UNAVAILABLE:
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, fault.value))
        if fault is LedgerFault.LOST_BEFORE:
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, fault.value))
        taken = take_effect()
        if fault is LedgerFault.LOST_AFTER:
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, fault.value))
        return Success(taken)

    def _check(self):
        if self.killed:
            raise NodeKilledError
