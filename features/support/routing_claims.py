"""In-memory ledger with a claims state machine, used through nodes that can be killed."""

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
    """Unwinds a call on a killed node, which has no effect from then on."""


class LedgerFault(enum.Enum):
    """Fault injected into the next call of the ledger."""

    UNAVAILABLE = "no leader"
    LOST_BEFORE = "sent, never appended"
    LOST_AFTER = "appended, answer lost"


class RequestPoint(enum.Enum):
    """Points of a request at which a fault can be injected."""

    CLAIMED = "after the claim"
    BEFORE_RUN = "after the write, before the run"
    AFTER_RUN = "after the run, before the answer"
    RECORDED = "after the record"


class InlineExecutors(Executors):
    """Runs submitted calls synchronously on the caller's thread, for deterministic examples."""

    def submit(self, kind, function, *arguments, **keywords):
        done = Future()
        try:
            done.set_result(function(*arguments, **keywords))
        except NodeKilledError as killed:
            done.set_exception(killed)
        return done

    def run_task(self, name, function):
        """Do not start the task; tests execute its steps explicitly."""
        done = Future()
        done.set_result(None)
        return done


class DeferredExecutors(InlineExecutors):
    """Defers submitted calls until the test runs them, like a busy node."""

    def __init__(self) -> None:
        super().__init__()
        self.later: list = []

    def submit(self, kind, function, *arguments, **keywords):
        self.later.append(lambda: function(*arguments, **keywords))
        return Future()

    def run_deferred(self) -> None:
        """Run the deferred calls; those of a killed node have no effect."""
        while self.later:
            with suppress(NodeKilledError):
                self.later.pop(0)()


class OffsetClock(SystemClock):
    """System clock with an adjustable offset; waits advance the offset instead of blocking."""

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
    """Actions to run at points of the current request, once each."""

    at: dict[RequestPoint, Callable[[], None]] = field(default_factory=dict)

    def trigger(self, point: RequestPoint) -> None:
        action = self.at.pop(point, None)
        if action is not None:
            action()


class SharedLedger:
    """Claims state shared by the ledgers of all nodes."""

    def __init__(self) -> None:
        self.machine = ClaimsMachine()
        self.faults: list = []


class NodeLedger(Service, Ledger):
    """A node's access to the shared ledger, until the node is killed."""

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
    """Membership without members, which never reports a failed node."""

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
