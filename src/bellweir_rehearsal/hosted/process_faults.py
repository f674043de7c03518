"""Faults of a soak that strike processes: kills, stops, frozen ones, reloads.

Signals that a process must heed, for a stop and a reload, are sent once it says that it has
started: until then they end it, as they do any program.
"""

import signal

from bellweir_rehearsal.hosted.fault import MachineFault


class KillGateway(MachineFault):
    """Gateways' processes are killed and come back."""

    def wants(self) -> list[str]:
        """Pick the gateways."""
        return self.some_of("gateway")

    def strike(self) -> None:
        """Kill them."""
        self.deployment.kill(*self.struck)


class KillStore(KillGateway):
    """A store machine's process is killed and comes back with its disk."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")


class KillAll(KillGateway):
    """Every process is killed at once; disks are kept."""

    longest_s = 0.5

    def wants(self) -> list[str]:
        """Take every machine."""
        return self.everyone()


class StopGateway(MachineFault):
    """A gateway is stopped as planned and started again."""

    longest_s = 0.5
    is_planned = True

    def wants(self) -> list[str]:
        """Pick the gateway."""
        return self.one_of("gateway")

    def strike(self) -> None:
        """Ask it to stop; the deployment keeps its exit code."""
        for name in self.struck:
            if self.deployment.await_started(name):
                self.deployment.stop(name)


class StopStore(StopGateway):
    """A store machine is stopped as planned and comes back with its disk."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")


class HangUp(MachineFault):
    """Machines are told to read their settings again."""

    longest_s = 0.4
    is_planned = True

    def wants(self) -> list[str]:
        """Pick gateways; that strikes no disk."""
        return self.some_of("gateway")

    def strike(self) -> None:
        """Tell them."""
        for name in self.struck:
            self.deployment.write_settings(name)
            if self.deployment.await_started(name):
                self.deployment.signal(name, signal.SIGHUP)

    def mend(self) -> None:
        """Nothing stands still."""


class FreezeGateway(MachineFault):
    """Gateways' processes stand still and go on."""

    def wants(self) -> list[str]:
        """Pick the gateways."""
        return self.some_of("gateway")

    def strike(self) -> None:
        """Halt them."""
        for name in self.struck:
            self.deployment.signal(name, signal.SIGSTOP)

    def mend(self) -> None:
        """Let them go on."""
        for name in self.struck:
            self.deployment.signal(name, signal.SIGCONT)


class FreezeStore(FreezeGateway):
    """The same at a store machine; it may lead or hold the lease."""

    longest_s = 8.0

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")
