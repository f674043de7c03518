"""Faults of a soak that strike disks: lost ones, and losses of power with what was not synced.

At a loss of power the processes are killed first; then each store machine's disk is left as the
rig says that a disk may be: with everything that was synced, and the rest there, missing or torn.
"""

from collections.abc import Sequence

from bellweir_rehearsal.hosted.fault import MachineFault


class WipeStore(MachineFault):
    """A store machine comes back with an empty disk."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")

    def empties(self, wanted: Sequence[str]) -> list[str]:
        """Its disk is lost."""
        return list(wanted)

    def strike(self) -> None:
        """Kill it."""
        self.deployment.kill(*self.struck)

    def mend(self) -> None:
        """Empty the disk and start it."""
        for name in self.struck:
            self.deployment.empty_disk(name)
        super().mend()


class PowerLossOfStore(MachineFault):
    """A store machine loses power and comes back with what was synced."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")

    def strike(self) -> None:
        """Take the power away."""
        self.deployment.lose_power(self.struck, self.chance)


class PowerLossOfStores(PowerLossOfStore):
    """All machines that count lose power at once."""

    longest_s = 1.0

    def wants(self) -> list[str]:
        """Take every store machine."""
        return self.deployment.names("store")


class PowerLossOfAll(PowerLossOfStores):
    """All machines, gateways too, lose power at once."""

    def wants(self) -> list[str]:
        """Take every machine."""
        return self.everyone()


class DisksLostWithoutPower(PowerLossOfAll):
    """As many disks as tolerated are lost while all other machines, gateways too, lose power."""

    def wants(self) -> list[str]:
        """Take every machine, the ones that lose their disks first."""
        stores = self.deployment.names("store")
        self.chance.shuffle(stores)
        gateways = self.budget.free(self.deployment.names("gateway"))
        return [*stores, *gateways]

    def empties(self, wanted: Sequence[str]) -> list[str]:
        """The first ones."""
        return list(wanted[: self.deployment.tolerated])

    def strike(self) -> None:
        """Take the power away, and the disks."""
        super().strike()
        for name in self.empties(self.struck):
            self.deployment.empty_disk(name)


class LastFault(DisksLostWithoutPower):
    """The same as the last fault of a run: it comes right after something was accepted."""
