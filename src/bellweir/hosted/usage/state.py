"""Replicated state of usage: counts of each gateway, and the totals of settled windows.

A window is settled once, after which its totals never change. The platform may get the same report
twice, but never two different ones for a window.
"""

from typing import Any

import cbor2
import msgspec

from bellweir.ledger.interface import Command, Query, Reply, StateMachine

USAGE_KEY = "usage"
"""Ledger key of the usage state."""
MAX_SETTLED_WINDOWS = 24
"""Number of settled windows kept; a window is reported within two windows of its end."""


class WindowCounts(msgspec.Struct, frozen=True):
    """Requests started in one window, by tenant."""

    window: int
    """Index of the window since the Unix epoch."""
    counts: dict[str, int]


class AddUsage(Command, frozen=True):
    """Store the counts of one process for some windows."""

    source: str
    """Node and run of the process; later counts of a source replace earlier ones."""
    windows: tuple[WindowCounts, ...]


class SettleUsage(Command, frozen=True):
    """Fix the totals of a window; later counts for it are ignored."""

    window: int


class UsageAdded(Reply, frozen=True):
    """Reply to `AddUsage`: windows that were already settled, whose new counts are lost."""

    too_late: tuple[int, ...] = ()


class UsageSettled(Reply, frozen=True):
    """Totals of a window; the same for every command that settles it."""

    counts: dict[str, int]
    is_new: bool = True
    is_forgotten: bool = False
    """Whether the window is too old, so that its totals are no longer kept."""


class _Saved(msgspec.Struct, frozen=True):
    counts_by_source: dict[int, dict[str, dict[str, int]]] = msgspec.field(name="told")
    settled: dict[int, dict[str, int]]
    forgotten_up_to: int = -1


class UsageWindows(StateMachine):
    """Usage counts and settled totals of a shard."""

    def __init__(self) -> None:
        self.counts_by_source: dict[int, dict[str, dict[str, int]]] = {}
        """Counts by window, source and tenant."""
        self.settled: dict[int, dict[str, int]] = {}
        """Totals by window and tenant."""
        self._forgotten_up_to = -1
        """Latest window that has been discarded, with all before it."""

    def command_types(self) -> tuple[type[Command], ...]:
        """Return the commands it applies."""
        return (AddUsage, SettleUsage)

    def query_types(self) -> tuple[type[Query], ...]:
        """Return the queries it answers: none."""
        return ()

    def reply_types(self) -> tuple[type[Reply], ...]:
        """Return the replies it may give."""
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
                # Commands of one source may be reordered; its counts only grow.
                counts[tenant] = max(counts.get(tenant, 0), count)
        return UsageAdded(tuple(too_late))

    def _is_settled(self, window: int) -> bool:
        return window in self.settled or window <= self._forgotten_up_to

    def _settle(self, window: int) -> Reply:
        if self._is_settled(window):
            counts = self.settled.get(window)
            return UsageSettled(counts or {}, False, counts is None)
        totals: dict[str, int] = {}
        for counts in self.counts_by_source.pop(window, {}).values():
            for tenant, count in counts.items():
                totals[tenant] = totals.get(tenant, 0) + count
        self.settled[window] = totals
        self._discard_old()
        return UsageSettled(totals)

    def _discard_old(self) -> None:
        """Discard settled windows beyond `MAX_SETTLED_WINDOWS`, oldest first, and earlier counts.

        The limit is a number of windows, not a distance from the newest one: a holder whose clock
        is ahead settles future windows, which must not make current ones count as too late.
        """
        if len(self.settled) <= MAX_SETTLED_WINDOWS:
            return
        up_to = sorted(self.settled)[-MAX_SETTLED_WINDOWS - 1]
        self._forgotten_up_to = up_to
        self.counts_by_source = {
            window: each for window, each in self.counts_by_source.items() if window > up_to
        }
        self.settled = {window: each for window, each in self.settled.items() if window > up_to}

    def answer(self, query: Query) -> Reply:
        """Raise `TypeError`, as there are no queries."""
        raise TypeError(f"unknown query {type(query).__name__}")

    def save(self) -> bytes:
        """Return the state as a snapshot."""
        saved = _Saved(self.counts_by_source, self.settled, self._forgotten_up_to)
        return cbor2.dumps(msgspec.to_builtins(saved))

    def load(self, state: bytes) -> None:
        """Replace the state by a snapshot."""
        plain: Any = cbor2.loads(state)
        saved = msgspec.convert(plain, _Saved)
        self.counts_by_source = saved.counts_by_source
        self.settled = saved.settled
        self._forgotten_up_to = saved.forgotten_up_to
