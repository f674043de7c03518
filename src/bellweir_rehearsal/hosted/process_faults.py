"""Faults of a soak that strike processes: kills, stops, frozen ones, reloads.

Signals that a process must heed, for a stop and a reload, are sent once it says that it has
started: until then they end it, as they do any program.
"""

import signal
import time

from bellweir_rehearsal.hosted.builds import OWN_BUILD
from bellweir_rehearsal.hosted.fault import MachineFault

ROLES = ("gateway", "store")
MOST_SIGNALS_BEFORE = 4
LONGEST_SIGNAL_PAUSE_S = 0.2
LONGEST_HAIL_S = 6.0
LONGEST_STOP_S = 1.5
"""Time after which a stop is cut short; one at rest takes less."""


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


class KillLeader(KillStore):
    """The process that leads the batch jobs is killed and comes back with its disk."""

    longest_s = 1.0

    def wants(self) -> list[str]:
        """Pick the leader."""
        leader = self.deployment.jobs_leader()
        return [leader] if leader is not None else []


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


class ChangeBuild(StopGateway):
    """A machine is stopped as planned and goes on with the other build, older or newer.

    How an older build's gateway stops is not judged: that is no fault of this one.
    """

    @property
    def is_planned(self) -> bool:  # type: ignore[override]
        """Whether what it strikes runs this build."""
        machines = self.deployment.machines
        return all(machines[name].build is OWN_BUILD for name in self.struck)

    def wants(self) -> list[str]:
        """Pick a machine of any role, where there is another build."""
        if self.deployment.older is None:
            return []
        return self.one_of(self.chance.choice(ROLES))

    def mend(self) -> None:
        """Start what has stopped with the other build."""
        older = self.deployment.older
        for name in self.struck:
            is_older = self.deployment.machines[name].build is older
            self.deployment.set_build(name, OWN_BUILD if is_older or older is None else older)
        super().mend()


class StopAmidSignals(StopGateway):
    """A machine is stopped as planned while told to reload and to stop, again and again."""

    def wants(self) -> list[str]:
        """Pick a machine of any role."""
        return self.one_of(self.chance.choice(ROLES))

    def strike(self) -> None:
        """Send reloads, the stop, and both by chance until it is gone."""
        for name in self.struck:
            if not self.deployment.await_started(name):
                continue
            for _ in range(self.chance.randint(1, MOST_SIGNALS_BEFORE)):
                self._send(name, signal.SIGHUP)
            self._send(name, signal.SIGTERM)
            until_s = time.monotonic() + LONGEST_HAIL_S
            while self.deployment.machines[name].is_running and time.monotonic() < until_s:
                self._send(name, self.chance.choice((signal.SIGHUP, signal.SIGTERM)))
            self.deployment.stop(name)

    def _send(self, name: str, number: int) -> None:
        self.deployment.signal(name, number)
        time.sleep(self.chance.uniform(0.0, LONGEST_SIGNAL_PAUSE_S))


class StopCutShort(KillGateway):
    """A machine's process is killed while it stops as planned."""

    longest_s = 0.5

    def wants(self) -> list[str]:
        """Pick a machine of any role."""
        return self.one_of(self.chance.choice(ROLES))

    def strike(self) -> None:
        """Ask it to stop, and kill it a moment later."""
        for name in self.struck:
            if self.deployment.await_started(name):
                self.deployment.signal(name, signal.SIGTERM)
                time.sleep(self.chance.uniform(0.0, LONGEST_STOP_S))
        super().strike()


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


class SuspendGateway(FreezeGateway):
    """Gateways' machines are suspended and resumed: their steady clocks leave the time out."""

    longest_s = 8.0

    def strike(self) -> None:
        """Halt them."""
        self._since_s = time.monotonic()
        super().strike()

    def mend(self) -> None:
        """Let them go on."""
        for name in self.struck:
            self.deployment.resume(name, time.monotonic() - self._since_s)


class SuspendStore(SuspendGateway):
    """The same with a store machine; it may lead or hold the lease."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")
