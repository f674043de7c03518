"""Usage as the replicated log keeps it: counts of each gateway, and what each window came to.

A window is settled once. From then on its sums never change, whoever reports them and however
often: the platform may get the same report twice, but never two that differ.
"""

from typing import Any

import cbor2
import msgspec

from bellweir.ledger.interface import Command, Query, Reply, StateMachine

USAGE_KEY = "usage"
"""Ledger key of all usage."""
KEPT_WINDOWS = 24
"""Settled windows that are kept; a report is due two windows after its end."""


class WindowCounts(msgspec.Struct, frozen=True):
    """Requests that began to run in one window, by tenant."""

    window: int
    """Number of the window since 1970."""
    counts: dict[str, int]


class AddUsage(Command, frozen=True):
    """Note what one process has counted so far in some windows."""

    source: str
    """Node and life of the process; what it tells later replaces what it told before."""
    windows: tuple[WindowCounts, ...]


class SettleUsage(Command, frozen=True):
    """Fix what a window came to; what arrives for it later is not counted any more."""

    window: int


class UsageAdded(Reply, frozen=True):
    """Which windows were settled already, so that the counts told of them are lost."""

    too_late: tuple[int, ...] = ()


class UsageSettled(Reply, frozen=True):
    """What a window came to; the same for everyone who settles it."""

    counts: dict[str, int]
    is_new: bool = True
    is_forgotten: bool = False
    """Whether it was settled so long ago that its counts are not known any more."""


class _Saved(msgspec.Struct, frozen=True):
    counts_by_source: dict[int, dict[str, dict[str, int]]] = msgspec.field(name="told")
    settled: dict[int, dict[str, int]]
    forgotten_up_to: int = -1


class UsageWindows(StateMachine):
    """All usage of a shard."""

    def __init__(self) -> None:
        self.counts_by_source: dict[int, dict[str, dict[str, int]]] = {}
        """Counts by window, process and tenant."""
        self.settled: dict[int, dict[str, int]] = {}
        """Sums by window and tenant."""
        self._forgotten_up_to = -1
        """Windows up to this one are not known any more."""

    def command_types(self) -> tuple[type[Command], ...]:
        """Commands it applies."""
        return (AddUsage, SettleUsage)

    def query_types(self) -> tuple[type[Query], ...]:
        """Queries it answers: none."""
        return ()

    def reply_types(self) -> tuple[type[Reply], ...]:
        """What it may return."""
        return (UsageAdded, UsageSettled)

    def apply(self, command: Command) -> Reply:
        """Apply one command."""
        match command:
            case AddUsage(source, windows):
                return self._add(source, windows)
            case SettleUsage(window):
                return self._settle(window)
        raise TypeError(f"unknown command {type(command).__name__}")

    def _add(self, source: str, windows: tuple[WindowCounts, ...]) -> Reply:
        too_late = []
        for each in windows:
            if self._is_settled(each.window):
                too_late.append(each.window)
                continue
            counts = self.counts_by_source.setdefault(each.window, {}).setdefault(source, {})
            for tenant, count in each.counts.items():
                # Commands of one process may overtake each other; its counts only grow.
                counts[tenant] = max(counts.get(tenant, 0), count)
        return UsageAdded(tuple(too_late))

    def _is_settled(self, window: int) -> bool:
        return window in self.settled or window <= self._forgotten_up_to

    def _settle(self, window: int) -> Reply:
        if self._is_settled(window):
            counts = self.settled.get(window)
            return UsageSettled(counts or {}, False, counts is None)
        sums: dict[str, int] = {}
        for counts in self.counts_by_source.pop(window, {}).values():
            for tenant, count in counts.items():
                sums[tenant] = sums.get(tenant, 0) + count
        self.settled[window] = sums
        self._forget_old()
        return UsageSettled(sums)

    def _forget_old(self) -> None:
        """Forget the oldest windows beyond those that are kept, and what was told up to them.

        They are counted, not measured from the newest one: a holder whose time of day is ahead
        settles windows that are yet to come, and all before these would be refused as too late.
        """
        if len(self.settled) <= KEPT_WINDOWS:
            return
        up_to = sorted(self.settled)[-KEPT_WINDOWS - 1]
        self._forgotten_up_to = up_to
        self.counts_by_source = {
            window: each for window, each in self.counts_by_source.items() if window > up_to
        }
        self.settled = {window: each for window, each in self.settled.items() if window > up_to}

    def answer(self, query: Query) -> Reply:
        """Answer a query: there is none."""
        raise TypeError(f"unknown query {type(query).__name__}")

    def save(self) -> bytes:
        """The whole state."""
        saved = _Saved(self.counts_by_source, self.settled, self._forgotten_up_to)
        return cbor2.dumps(msgspec.to_builtins(saved))

    def load(self, state: bytes) -> None:
        """Replace the state by a saved one."""
        plain: Any = cbor2.loads(state)
        saved = msgspec.convert(plain, _Saved)
        self.counts_by_source = saved.counts_by_source
        self.settled = saved.settled
        self._forgotten_up_to = saved.forgotten_up_to
