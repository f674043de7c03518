"""A ledger in memory with its own machine of claims, reached through nodes that can be killed."""

import enum
import time
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from dataclasses import dataclass, field

from returns.result import Failure, Success

from bellweir.kernel import names
from bellweir.kernel.clock import SystemClock
from bellweir.kernel.executors import Executors
from bellweir.kernel.service import Service
from bellweir.ledger.claims import ClaimKey, ClaimsMachine
from bellweir.ledger.interface import Ledger, LedgerError, LedgerErrorKind
from bellweir.membership.interface import Membership


class NodeKilledError(BaseException):
    """Ends a call at the point where its node died; nothing of that node has effect after it."""


class LedgerFault(enum.Enum):
    """What happens to the next call of the ledger."""

    UNAVAILABLE = "no leader"
    LOST_BEFORE = "sent, never appended"
    LOST_AFTER = "appended, answer lost"


class RequestPoint(enum.Enum):
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

    def run_task(self, name, function):
        """Tests take the steps of tasks by hand."""
        done = Future()
        done.set_result(None)
        return done


class DeferredExecutors(InlineExecutors):
    """Runs submitted calls when the test says so, as a busy node would: later."""

    def __init__(self) -> None:
        super().__init__()
        self.later: list = []

    def submit(self, kind, function, *arguments, **keywords):
        self.later.append(lambda: function(*arguments, **keywords))
        return Future()

    def run_deferred(self) -> None:
        """Run what was submitted; what a killed node submitted has no effect."""
        while self.later:
            with suppress(NodeKilledError):
                self.later.pop(0)()


class OffsetClock(SystemClock):
    """The real clock, which tests move ahead and which waits for nothing."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def monotonic_s(self) -> float:
        return time.monotonic() + self.offset_s

    def wall_s(self) -> float:
        return time.time() + self.offset_s

    def wait(self, event, timeout_s):
        self.offset_s += timeout_s
        return event.is_set()


@dataclass
class PointHooks:
    """What happens at which point of the request under way; each once."""

    at: dict[RequestPoint, Callable[[], None]] = field(default_factory=dict)

    def trigger(self, point: RequestPoint) -> None:
        action = self.at.pop(point, None)
        if action is not None:
            action()


class SharedLedger:
    """The one truth that the ledgers of all nodes reach."""

    def __init__(self) -> None:
        self.machine = ClaimsMachine()
        self.faults: list = []


class NodeLedger(Service, Ledger):
    """One node's way to the shared truth, until the node is killed."""

    name = names.LEDGER

    def __init__(self, shared: SharedLedger, hooks: PointHooks) -> None:
        self._shared = shared
        self._happenings = hooks
        self.killed = False

    def start(self):
        pass

    def stop(self):
        pass

    def register(self, make):
        assert make is ClaimsMachine

    def submit(self, key, command, timeout_s):
        outcome = self._call(lambda: self._shared.machine.apply(command))
        point = RequestPoint.CLAIMED if isinstance(command, ClaimKey) else RequestPoint.RECORDED
        self._happenings.trigger(point)
        self.check()
        return outcome

    def ask(self, key, query, timeout_s):
        return self._call(lambda: self._shared.machine.answer(query))

    def ask_nearby(self, key, query, timeout_s):
        return None

    def leads(self, key):
        return False

    def leader_address(self, key):
        return None

    def local_machine(self, key, make):
        return None

    def shard_of(self, key):
        return 0

    def check(self):
        if self.killed:
            raise NodeKilledError

    def _call(self, take_effect):
        self.check()
        fault = self._shared.faults.pop(0) if self._shared.faults else None
        if fault is LedgerFault.UNAVAILABLE:
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, fault.value))
        if fault is LedgerFault.LOST_BEFORE:
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, fault.value))
        taken = take_effect()
        if fault is LedgerFault.LOST_AFTER:
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, fault.value))
        return Success(taken)


class EmptyMembership(Service, Membership):
    """A membership that has noticed no death yet."""

    name = names.MEMBERSHIP

    def start(self):
        pass

    def stop(self):
        pass

    def self_member(self):
        raise NotImplementedError

    def members(self):
        return ()

    def member(self, node):
        return None

    def subscribe(self, listener):
        pass

    def announce_leaving(self):
        pass
