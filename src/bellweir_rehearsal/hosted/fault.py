"""What every fault of a soak of the hosted roles has in common."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.losses import LossBudget
from bellweir_rehearsal.hosted.touch_log import CORE, Strike


class SoakFault(ABC):
    """One fault that may strike again and again; `begin` and `end` are called in turn.

    It takes the machines that it strikes from the budget, so that no two strike one machine and no
    more disks are lost at once than the deployment tolerates.
    """

    longest_s = 4.0
    """Longest time between `begin` and `end`."""
    is_planned = False
    """Whether it is planned work of the operator: it must not be seen by clients."""
    strikes_core = False
    """Whether it disturbs the platform's store."""
    repeats = False
    """Whether it may strike several times in a row."""

    def __init__(
        self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random
    ) -> None:
        self.deployment = deployment
        self.budget = budget
        self.chance = chance
        self.struck: list[str] = []
        self._noted: Strike | None = None

    @property
    def name(self) -> str:
        """Name in the soak's report."""
        return type(self).__name__

    def wants(self) -> list[str]:
        """Machines that it would strike now; none when it strikes no machine."""
        return []

    def least_s(self) -> float:
        """Least time between `begin` and `end` of the strike that has just begun."""
        return 0.0

    def empties(self, wanted: Sequence[str]) -> list[str]:
        """Those of the wanted machines that lose their disks."""
        return []

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Strike; False when the budget does not allow it now.

        `again` names the machines that it struck before, for the same fault in a row.
        """
        wanted = list(again) or self.wants()
        if wanted and not self.budget.take(wanted, disks=self.empties(wanted)):
            return False
        if any(name not in self.deployment.machines for name in wanted):
            # Taken away by another fault since it was picked, or between two strikes in a row.
            self.budget.give_back(wanted)
            return False
        self.struck = wanted
        has_stores = any(name.startswith("store") for name in wanted)
        core = [CORE] if self.strikes_core or has_stores else []
        self._noted = self.deployment.touched.begin([*wanted, *core], planned=self.is_planned)
        self.strike()
        return True

    def end(self) -> None:
        """Put everything right again."""
        self.mend()
        if self._noted is not None:
            self.deployment.touched.end(self._noted)
        self.budget.give_back(self.struck)
        self.struck = []

    @abstractmethod
    def strike(self) -> None:
        """Do the harm."""

    def mend(self) -> None:
        """Undo the harm: start the processes of the struck machines, if there are any."""
        for name in self.struck:
            self.deployment.start_machine(name)

    def one_of(self, role: str) -> list[str]:
        """Pick one running machine of a role; none when there is none."""
        names = self.deployment.running(role)
        return [self.chance.choice(names)] if names else []

    def some_of(self, role: str) -> list[str]:
        """Pick one to half of the running machines of a role that nothing strikes now."""
        names = self.budget.free(self.deployment.running(role))
        if not names:
            return []
        return self.chance.sample(names, self.chance.randint(1, max(1, len(names) // 2)))

    def everyone(self) -> list[str]:
        """Every store machine, and the gateways that nothing strikes now."""
        gateways = self.deployment.names("gateway")
        return [*self.deployment.names("store"), *self.budget.free(gateways)]


class MachineFault(SoakFault):
    """A fault that strikes machines; without one at hand it does not strike."""

    repeats = True

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Strike; False when no machine is at hand or the budget does not allow it now."""
        wanted = list(again) or self.wants()
        return bool(wanted) and super().begin(wanted)
