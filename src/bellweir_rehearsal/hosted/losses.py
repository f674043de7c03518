"""Which machines may be struck now, so that losses stay within what a deployment tolerates.

The platform's pages bound the disks that may be lost at once. A machine counts as lost while it is
struck and, after that, for the time in which it catches up. All store machines may go at once as
long as their disks are kept, and as many disks as tolerated may be lost at the moment at which all
other machines lose power, provided that nothing else is lost.
"""

import threading
import time
from collections.abc import Iterable

CATCH_UP_S = 4.3
"""Time after a store machine's return for which it still counts as lost, as hosted deployments
agree on it (`catchUpS`)."""


class LossBudget:
    """Which machines are struck now, and how many store machines may be. Safe for threads.

    Store machines are known by name and may come and go. Times are of the monotonic clock.

    >>> budget = LossBudget([f"store-{number}" for number in range(5)], tolerated=2)
    >>> budget.take(["store-0", "store-1"]), budget.take(["store-2"]), budget.take(["gateway-0"])
    (True, False, True)
    >>> budget.give_back(["store-0"], at_s=0.0)
    >>> budget.take(["store-2"], now_s=1.0), budget.take(["store-2"], now_s=5.0)
    (False, True)
    """

    __slots__ = (
        "_caught_up_s",
        "_disks",
        "_ghosts",
        "_lock",
        "_lost_until_s",
        "_restruck",
        "_settled",
        "_stores",
        "_struck",
        "_tolerated",
    )

    def __init__(
        self, stores: Iterable[str], tolerated: int, catch_up_s: float = CATCH_UP_S
    ) -> None:
        self._stores = set(stores)
        self._tolerated = tolerated
        self._caught_up_s = catch_up_s
        self._lock = threading.Lock()
        self._struck: set[str] = set()
        self._disks: set[str] = set()
        """Store machines whose disk is lost and has not been caught up yet."""
        self._lost_until_s: dict[str, float] = {}
        self._ghosts: dict[str, set[str]] = {}
        """Removed machines by their successor, until that one has caught up."""
        self._restruck: set[str] = set()
        """Successors that were struck before they had caught up."""
        self._settled: set[str] = set()
        """Machines that nobody may remove: somebody else is about to."""

    def take(
        self, names: Iterable[str], now_s: float | None = None, *, disks: Iterable[str] = ()
    ) -> bool:
        """Take machines; False, with nothing taken, when that may not be now.

        `disks` names those of them that lose their disks. Beside what is tolerated, all store
        machines may be taken at once: with their disks while no disk is missing, or with as many
        disks lost as tolerated while nothing at all is lost.
        """
        wanted, emptied = set(names), set(disks)
        with self._lock:
            lost = self._lost(time.monotonic() if now_s is None else now_s)
            self._forget_ghosts(lost)
            stores = wanted & self._stores
            if wanted & self._struck or (stores and not self._allows(stores, emptied, lost)):
                return False
            self._struck |= wanted
            self._disks = (self._disks & lost) | emptied
            self._restruck |= wanted & set(self._ghosts)
            return True

    def _allows(self, stores: set[str], emptied: set[str], lost: set[str]) -> bool:
        # A removed machine and its successor are one loss, but two if that one is struck as well.
        restruck = set(self._ghosts) & (self._restruck | stores)
        ghosts = {gone for name in restruck for gone in self._ghosts[name]}
        if len(lost | stores | ghosts) <= self._tolerated:
            return True
        if stores != self._stores:
            return False
        if emptied:
            return not lost and len(emptied) <= self._tolerated
        return not lost & self._disks

    def give_back(self, names: Iterable[str], at_s: float | None = None) -> None:
        """Give machines back that work again; store machines still have to catch up."""
        until_s = (time.monotonic() if at_s is None else at_s) + self._caught_up_s
        with self._lock:
            for name in names:
                self._struck.discard(name)
                if name in self._stores:
                    self._lost_until_s[name] = until_s

    def late(self, now_s: float | None = None) -> list[str]:
        """Return the store machines that are back and have not caught up yet."""
        at_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            return sorted(self._late(at_s) & self._stores - self._struck)

    def postpone(self, names: Iterable[str], at_s: float | None = None) -> None:
        """Have machines whose processes have not begun by then catch up from then on.

        Where many processes share a machine, a start may take as long as the whole time to catch
        up; a disk that is lost then, beside an empty one, is one loss too many.
        """
        until_s = (time.monotonic() if at_s is None else at_s) + self._caught_up_s
        with self._lock:
            for name in names:
                if name in self._lost_until_s:
                    self._lost_until_s[name] = max(until_s, self._lost_until_s[name])

    def add(self, name: str, at_s: float | None = None) -> None:
        """Know of a new store machine, which is empty and has to catch up from now on."""
        until_s = (time.monotonic() if at_s is None else at_s) + self._caught_up_s
        with self._lock:
            self._stores.add(name)
            self._disks.add(name)
            self._lost_until_s[name] = until_s

    def replace(self, gone: str, successor: str, at_s: float | None = None) -> None:
        """Have an empty machine take the place of a struck one, which never comes back.

        The removed one ceases to count once its successor has caught up. Until then both are one
        loss, as long as the successor is not struck.
        """
        self.add(successor, at_s)
        with self._lock:
            self._ghosts[successor] = {gone} | self._ghosts.pop(gone, set())
            if gone in self._restruck:
                self._restruck.add(successor)
        self.remove(gone)

    def remove(self, name: str) -> None:
        """Forget a store machine that was emptied first or has a successor."""
        with self._lock:
            self._stores.discard(name)
            self._struck.discard(name)
            self._settled.discard(name)
            self._disks.discard(name)
            self._lost_until_s.pop(name, None)
            self._restruck.discard(name)

    def settle(self, name: str) -> bool:
        """Reserve a machine's removal; False when another fault has done so.

        It still works and may be struck meanwhile.
        """
        with self._lock:
            if name in self._settled or name not in self._stores:
                return False
            self._settled.add(name)
            return True

    def unsettle(self, name: str) -> None:
        """Give the removal up."""
        with self._lock:
            self._settled.discard(name)

    def hold(self, name: str) -> bool:
        """Keep all others off a machine without a loss, so that it can be removed."""
        with self._lock:
            if name in self._struck:
                return False
            self._struck.add(name)
            return True

    def free(self, names: Iterable[str]) -> list[str]:
        """Return those of the machines that nothing strikes now."""
        with self._lock:
            return [name for name in names if name not in self._struck]

    def _forget_ghosts(self, lost: set[str]) -> None:
        """A removed machine whose successor has caught up counts no more."""
        for successor in set(self._ghosts) - lost:
            del self._ghosts[successor]
            self._restruck.discard(successor)

    def _lost(self, now_s: float) -> set[str]:
        return (self._struck & self._stores) | self._late(now_s)

    def _late(self, now_s: float) -> set[str]:
        return {name for name, until_s in self._lost_until_s.items() if until_s > now_s}
