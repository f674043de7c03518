"""Faults that a stand-in injects on command (`POST /faults`)."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import msgspec


class FaultKind(Enum):
    """What a stand-in can do wrong."""

    DOWN = "down"
    """Close connections without running or answering anything."""
    HANG = "hang"
    """Neither run nor answer anything until the fault ends."""
    SLOW = "slow"
    """Wait `delay_s` before running a call."""
    REFUSE = "refuse"
    """Answer 503 with error `overloaded`, running nothing."""
    ANSWER_LOST = "answer_lost"
    """Run the call, then close the connection instead of answering."""
    ANSWER_CUT = "answer_cut"
    """Run the call, then close the connection after half of the answer's body."""
    CUT_STREAMS = "cut_streams"
    """Engine: end every running generation without a finish reason."""
    STALL = "stall"
    """Engine: accept calls but generate nothing until the fault ends."""
    SLOW_TOKENS = "slow_tokens"
    """Engine: every step takes `factor` times as long."""
    SWAP_FAILS = "swap_fails"
    """Engine: the next swap stops partway and leaves the engine without a version."""
    LAGGING_READS = "lagging_reads"
    """Object API: lists and watches show a state `delay_s` old."""
    COMPACT = "compact"
    """Object API: forget the changes a watch could start from."""


class FaultOrder(msgspec.Struct, frozen=True):
    """One fault to inject."""

    kind: FaultKind
    duration_s: float = 5.0
    """How long it is in force, in wall seconds."""
    count: int | None = None
    """How many calls it hits at most; all when None."""
    delay_s: float = 0.0
    factor: float = 1.0
    method: str | None = None
    """Only calls of this HTTP method."""
    path_prefix: str = ""
    """Only calls whose path begins so."""


@dataclass
class _ActiveFault:
    order: FaultOrder
    until_s: float
    left: int | None


class FaultBoard:
    """The faults in force."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._active: list[_ActiveFault] = []
        self._hits: Counter[FaultKind] = Counter()

    def inject(self, order: FaultOrder) -> None:
        """Put a fault in force."""
        with self._condition:
            until_s = time.monotonic() + order.duration_s
            self._active.append(_ActiveFault(order, until_s, order.count))

    def clear(self) -> None:
        """End all faults."""
        with self._condition:
            self._active.clear()
            self._condition.notify_all()

    def in_force(self) -> tuple[FaultOrder, ...]:
        """Return the faults in force."""
        with self._condition:
            self._drop_ended()
            return tuple(fault.order for fault in self._active)

    def take(self, kind: FaultKind, method: str = "", path: str = "") -> FaultOrder | None:
        """Return a fault of that kind which hits this call, counting the hit."""
        with self._condition:
            self._drop_ended()
            for fault in self._active:
                if fault.order.kind is kind and _hits(fault.order, method, path):
                    if fault.left is not None:
                        fault.left -= 1
                    self._hits[kind] += 1
                    return fault.order
        return None

    def hits(self, kind: FaultKind) -> int:
        """Return how many calls faults of that kind have hit."""
        with self._condition:
            return self._hits[kind]

    def wait_while(self, kind: FaultKind, method: str = "", path: str = "") -> None:
        """Wait until no fault of that kind hits this call."""
        while self._wait_once(kind, method, path):
            pass

    def _wait_once(self, kind: FaultKind, method: str, path: str) -> bool:
        with self._condition:
            self._drop_ended()
            for fault in self._active:
                if fault.order.kind is kind and _hits(fault.order, method, path):
                    self._condition.wait(max(0.0, fault.until_s - time.monotonic()))
                    return True
        return False

    def _drop_ended(self) -> None:
        now_s = time.monotonic()
        self._active = [
            fault for fault in self._active if fault.until_s > now_s and fault.left != 0
        ]


def _hits(order: FaultOrder, method: str, path: str) -> bool:
    return order.method in (None, method) and path.startswith(order.path_prefix)
