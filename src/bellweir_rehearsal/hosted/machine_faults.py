"""Faults of a soak that change which store machines there are: added, replaced, emptied ones."""

import time
from collections.abc import Sequence

from bellweir_rehearsal.hosted.fault import MachineFault, SoakFault

MOST_MORE = 2
"""Store machines that a deployment may have beyond those it began with."""
EMPTIED_TIMEOUT_S = 15.0
REMOVED_TIMEOUT_S = 20.0
POLL_S = 0.1


class AddStore(MachineFault):
    """A store machine is added, empty and at an address of its own."""

    repeats = False

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Add it, unless there are enough or it would be one loss too many."""
        if len(self.deployment.names("store")) >= self.deployment.stores + MOST_MORE:
            return False
        name = self.deployment.add_store()
        self.budget.add(name)
        if super().begin([name]):
            return True
        self.budget.remove(name)
        self.deployment.remove_machine(name)
        return False

    def empties(self, wanted: Sequence[str]) -> list[str]:
        """It has nothing on its disk."""
        return list(wanted)

    def strike(self) -> None:
        """Start it."""
        for name in self.struck:
            self.deployment.start_machine(name)

    def mend(self) -> None:
        """It runs."""


class ReplaceStore(MachineFault):
    """A store machine is gone for good; an empty one comes at another address."""

    def wants(self) -> list[str]:
        """Pick the store machine, if nothing else is about to remove it."""
        picked = self.one_of("store")
        return picked if picked and self.budget.settle(picked[0]) else []

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Strike; a series goes on with another machine, since this one is gone."""
        wanted = self.wants()
        if wanted and super().begin(wanted):
            return True
        for name in wanted:
            self.budget.unsettle(name)
        return False

    def empties(self, wanted: Sequence[str]) -> list[str]:
        """Its disk goes with it."""
        return list(wanted)

    def strike(self) -> None:
        """Kill it."""
        self.deployment.kill(*self.struck)

    def mend(self) -> None:
        """Start the successor."""
        for name in self.struck:
            # Given up only once it is gone: else its end would count as one of its own.
            self.deployment.remove_machine(name)
            successor = self.deployment.add_store()
            self.budget.replace(name, successor)
            self.deployment.start_machine(successor)
        self.struck = []


class RetireStore(SoakFault):
    """The operator has a store machine emptied, and takes it away once it is."""

    longest_s = 0.5
    is_planned = True

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Wish a machine away; False when another fault is about to remove it."""
        picked = self.one_of("store")
        if not picked or not self.budget.settle(picked[0]):
            return False
        self._wished = picked[0]
        return super().begin()

    def strike(self) -> None:
        """Write the wish."""
        self.deployment.wish_retired(self._wished)

    def mend(self) -> None:
        """Take the machine away if it is reported emptied in time, else withdraw the wish."""
        name = self._wished
        until_s = time.monotonic() + EMPTIED_TIMEOUT_S
        while time.monotonic() < until_s and not self.deployment.is_emptied(name):
            time.sleep(POLL_S)
        if not self.deployment.withdraw_wish(name):
            self.budget.unsettle(name)
            return
        until_s = time.monotonic() + REMOVED_TIMEOUT_S
        while not self.budget.hold(name):
            if time.monotonic() > until_s:
                self.budget.unsettle(name)
                return
            time.sleep(POLL_S)
        self.deployment.kill(name)
        self.deployment.remove_machine(name)
        self.budget.remove(name)
