"""Faults of a soak of the hosted roles: what strikes processes, disks, workers and the store.

Each fault takes the machines that it strikes from a budget, so that no two strike one machine and
no more store machines are lost at once than the deployment tolerates.
"""

import random
import shutil
import signal
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable

from bellweir_rehearsal.hosted.clients import configuration
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.object_store import Outage

CATCH_UP_S = 8.0
"""Time after a store machine's return for which it still counts as lost."""


class LossBudget:
    """Which machines are struck now, and how many store machines may be. Safe for threads.

    >>> budget = LossBudget(stores=5, tolerated=2)
    >>> budget.take(["store-0", "store-1"]), budget.take(["store-2"]), budget.take(["gateway-0"])
    (True, False, True)
    >>> budget.give_back(["store-0"], at_s=0.0)
    >>> budget.take(["store-2"], now_s=1.0), budget.take(["store-2"], now_s=9.0)
    (False, True)
    """

    __slots__ = ("_lock", "_lost_until_s", "_stores", "_struck", "_tolerated")

    def __init__(self, stores: int, tolerated: int) -> None:
        self._stores = stores
        self._tolerated = tolerated
        self._lock = threading.Lock()
        self._struck: set[str] = set()
        self._lost_until_s: dict[str, float] = {}

    def take(self, names: Iterable[str], now_s: float | None = None) -> bool:
        """Take machines; False, with nothing taken, when that may not be now."""
        wanted = set(names)
        with self._lock:
            lost = self._lost(time.monotonic() if now_s is None else now_s)
            stores = {name for name in wanted if name.startswith("store")}
            is_all = len(stores) == self._stores
            # All at once, disks kept, is allowed only while no machine is lost besides.
            allowed = not lost if is_all else len(lost | stores) <= self._tolerated
            if wanted & self._struck or (stores and not allowed):
                return False
            self._struck |= wanted
            return True

    def give_back(self, names: Iterable[str], at_s: float | None = None) -> None:
        """Give machines back that work again; store machines still have to catch up."""
        until_s = (time.monotonic() if at_s is None else at_s) + CATCH_UP_S
        with self._lock:
            for name in names:
                self._struck.discard(name)
                if name.startswith("store"):
                    self._lost_until_s[name] = until_s

    def _lost(self, now_s: float) -> set[str]:
        struck = {name for name in self._struck if name.startswith("store")}
        return struck | {name for name, until_s in self._lost_until_s.items() if until_s > now_s}


class SoakFault(ABC):
    """One fault that may strike again and again; `begin` and `end` are called in turn."""

    longest_s = 4.0
    """Longest time between `begin` and `end`."""

    def __init__(self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random):
        self.deployment = deployment
        self.budget = budget
        self.chance = chance
        self.struck: list[str] = []

    @property
    def name(self) -> str:
        """Name in the soak's report."""
        return type(self).__name__

    def wants(self) -> list[str]:
        """Machines that it would strike now; none when it strikes no machine."""
        return []

    def begin(self) -> bool:
        """Strike; False when the budget does not allow it now."""
        wanted = self.wants()
        if not self.budget.take(wanted):
            return False
        self.struck = wanted
        self.strike()
        return True

    def end(self) -> None:
        """Put everything right again."""
        self.mend()
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
        """Pick one running machine of a role."""
        return [self.chance.choice(self.deployment.running(role))]


class KillGateway(SoakFault):
    """A gateway's process is killed and comes back."""

    def wants(self) -> list[str]:
        """Pick the gateway."""
        return self.one_of("gateway")

    def strike(self) -> None:
        """Kill it."""
        self.deployment.kill(*self.struck)


class KillStore(KillGateway):
    """A store machine's process is killed and comes back with its disk."""

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")


class WipeStore(KillStore):
    """A store machine comes back with an empty disk."""

    def mend(self) -> None:
        """Empty the disk and start it."""
        for name in self.struck:
            shutil.rmtree(self.deployment.machines[name].data_folder, ignore_errors=True)
        super().mend()


class KillAll(KillGateway):
    """Every process is killed at once; disks are kept."""

    longest_s = 0.5

    def wants(self) -> list[str]:
        """Take every machine."""
        return list(self.deployment.machines)


class StopGateway(SoakFault):
    """A gateway is stopped as planned and started again."""

    longest_s = 0.5

    def wants(self) -> list[str]:
        """Pick the gateway."""
        return self.one_of("gateway")

    def strike(self) -> None:
        """Ask it to stop; the deployment keeps its exit code."""
        for name in self.struck:
            self.deployment.stop(name)


class FreezeGateway(SoakFault):
    """A gateway's process stands still and goes on."""

    def wants(self) -> list[str]:
        """Pick the gateway."""
        return self.one_of("gateway")

    def strike(self) -> None:
        """Halt it."""
        for name in self.struck:
            self.deployment.signal(name, signal.SIGSTOP)

    def mend(self) -> None:
        """Let it go on."""
        for name in self.struck:
            self.deployment.signal(name, signal.SIGCONT)


class FreezeStore(FreezeGateway):
    """The same at a store machine; it may lead or hold the lease."""

    longest_s = 8.0

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")


class StoreOutage(SoakFault):
    """The platform's store refuses or says nothing."""

    def strike(self) -> None:
        """Begin the outage."""
        self.deployment.store.begin_outage(self.chance.choice((Outage.REFUSES, Outage.SILENT)))

    def mend(self) -> None:
        """End it."""
        self.deployment.store.end_outage()


class ForgottenHistory(SoakFault):
    """The platform's store forgets its history: watches must list anew."""

    def strike(self) -> None:
        """Forget."""
        self.deployment.store.records.compact()


class LostWrites(SoakFault):
    """Writes to the platform's store are done, some of them late, and get no answer."""

    def strike(self) -> None:
        """Lose some of the next ones."""
        self.deployment.store.faults.lose_writes = 2
        self.deployment.store.faults.late_writes = 2


class BrokenWorkers(SoakFault):
    """Workers break streams off, lose answers, refuse and take orders late."""

    def strike(self) -> None:
        """Have one model worker and one other worker fail some requests."""
        model = self.chance.choice(self.deployment.models)
        model.faults.cut_after_event = self.chance.randint(1, 4)
        model.faults.lose_answer = model.faults.refuse = 2
        model.faults.late_orders = 1
        scorer = self.chance.choice(self.deployment.scorers)
        scorer.faults.lose_answer = scorer.faults.wrong_id = scorer.faults.unsigned = 1


class LostReports(SoakFault):
    """The platform's interface for duties refuses calls, and takes some without an answer."""

    def strike(self) -> None:
        """Refuse some of the next calls, and lose some answers."""
        self.deployment.duties.refuse = self.chance.randint(0, 3)
        self.deployment.duties.lose_answers = self.chance.randint(0, 3)


class NewConfiguration(SoakFault):
    """The operator writes another configuration, which takes a key away and has a new one."""

    def strike(self) -> None:
        """Write one, a version above the newest."""
        kept = self.deployment.store.records.get("config", "main")
        version = (kept.spec["version"] if kept is not None else 0) + self.chance.randint(1, 3)
        written = configuration(version, (f"/new-{version}/",))
        self.deployment.store.records.put("config", "main", written)


ALL_FAULTS: tuple[type[SoakFault], ...] = (
    KillGateway,
    KillStore,
    WipeStore,
    KillAll,
    StopGateway,
    FreezeGateway,
    FreezeStore,
    StoreOutage,
    ForgottenHistory,
    LostWrites,
    BrokenWorkers,
    NewConfiguration,
    LostReports,
)
