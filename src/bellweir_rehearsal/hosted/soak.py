"""A soak of the hosted roles as processes: traffic goes on while faults strike at random.

The seed draws which fault strikes when and whom. Two tasks draw at once, so faults overlap. What
the clients and the trainer see is checked all the while, and everything is read again at the end.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

from bellweir_rehearsal.hosted.checks import Check, CheckedTraffic
from bellweir_rehearsal.hosted.clients import NoAnswerError, StepRecord, call, key_of_version
from bellweir_rehearsal.hosted.deployment import BEAT_S, HostedDeployment
from bellweir_rehearsal.hosted.soak_faults import ALL_FAULTS, LossBudget, SoakFault

DISRUPTORS = 2
SHORTEST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 3.0
"""Pauses between two faults of a task."""
SHORTEST_FAULT_S = 0.3
TRIES = 120
"""Tries of a client's call; all processes may be down for a while."""
SETTLED_TIMEOUT_S = 30.0
STEP_REQUESTS = 5
KEPT_SHARE = 0.8
"""Share of the time for which ended jobs are kept in which they must be readable."""


class HostedSoak(CheckedTraffic):
    """Plays the soak; `checks` tells how it went, `strikes` what struck how often."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        gateways: int = 12,
        stores: int = 5,
        told: Callable[[str], None] = lambda _: None,
    ) -> None:
        tolerated = (stores - 1) // 2
        zones = 2 if gateways >= 12 else 3
        super().__init__(HostedDeployment(folder, gateways, stores, zones, tolerated), told)
        self.client.tries = TRIES
        self._seed = seed
        self._seconds = seconds
        self._budget = LossBudget(stores, tolerated)
        self._stopping = threading.Event()
        self.strikes: Counter[str] = Counter()
        self.whole = Check("each step that was accepted comes whole")
        self.configured = Check("the newest configuration is in force everywhere in the end")
        self.stops = Check("a planned stop ends with exit code 0")

    @property
    def checks(self) -> list[Check]:
        """All checks."""
        return [*self.traffic_checks, self.whole, self.configured, self.stops]

    def play(self) -> None:
        """Play until the time is over, then look at everything once more."""
        self.start()
        with self._disrupted():
            until_s = time.monotonic() + self._seconds
            while time.monotonic() < until_s:
                self._one_step()
        self.await_ready()
        for step in self.trainer.steps:
            self._read_again_if_kept(step)
        self.check_orders()
        self.check_tenants()
        self.check_usage()
        self._check_configuration()
        for name, code in self.deployment.exit_codes:
            self.stops.expect(code == 0, f"{name}: exit code {code}")

    def _read_again_if_kept(self, step: StepRecord) -> None:
        """Read a step from its start, unless it ended so long ago that it may be forgotten."""
        kept_s = KEPT_SHARE * self.deployment.status_s
        if step.ended_s is not None and time.monotonic() - step.ended_s > kept_s:
            return
        try:
            self.read_again(step)
        except NoAnswerError as failure:
            self.positions.expect(False, str(failure))

    def _one_step(self) -> None:
        try:
            step = self.trainer.begin_step()
        except NoAnswerError as failure:
            self.whole.expect(False, str(failure))
            return
        try:
            self.send_requests(STEP_REQUESTS)
            self.finish(step)
        except NoAnswerError as failure:
            self.whole.expect(False, f"{step.job_id}: {failure}")
            self.trainer.steps.remove(step)
            return
        self.whole.expect(True, step.job_id)

    @contextmanager
    def _disrupted(self) -> Iterator[None]:
        with ThreadPoolExecutor(DISRUPTORS + 1, thread_name_prefix="soak") as pool:
            tasks: list[Future[None]] = [
                pool.submit(self._disrupt, random.Random(f"{self._seed}/{number}"))
                for number in range(DISRUPTORS)
            ]
            tasks.append(pool.submit(self._beat))
            try:
                yield
            finally:
                self._stopping.set()
                for task in tasks:
                    task.result()

    def _beat(self) -> None:
        while not self._stopping.wait(BEAT_S):
            self.deployment.beat()

    def _disrupt(self, chance: random.Random) -> None:
        while not self._stopping.wait(chance.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)):
            fault = chance.choice(ALL_FAULTS)(self.deployment, self._budget, chance)
            self._strike(fault, chance.uniform(SHORTEST_FAULT_S, fault.longest_s))

    def _strike(self, fault: SoakFault, seconds: float) -> None:
        if not fault.begin():
            return
        self.strikes[fault.name] += 1
        self.told(f"{fault.name} {' '.join(fault.struck[:3])} for {seconds:.1f} s")
        self._stopping.wait(seconds)
        fault.end()

    def _check_configuration(self) -> None:
        kept = self.deployment.store.records.get("config", "main")
        version = kept.spec["version"] if kept is not None else 0
        path = f"/new-{version}/x" if version > 1 else "/price/x"
        until_s = time.monotonic() + SETTLED_TIMEOUT_S
        for name in self.deployment.running("gateway"):
            answer = None
            while time.monotonic() < until_s and (answer is None or answer.status != 200):
                headers = {"X-Bellweir-Attempt-Id": self.next_id("new")}
                address = self.deployment.address(name, "front")
                answer = call(address, "POST", path, b"body", headers)
            shown = answer.status if answer is not None else None
            self.configured.expect(shown == 200, f"{name}: {shown} for {path}")
            self._check_keys(name, version)

    def _check_keys(self, name: str, version: int) -> None:
        """The newest key is served in the end, one that was taken away is not."""
        address = self.deployment.address(name, "front")
        for key, status in ((key_of_version(version), 200), (key_of_version(version - 1), 401)):
            headers = {"X-Bellweir-Attempt-Id": self.next_id("key")}
            answer = call(address, "POST", "/price/x", b"body", headers, key)
            shown = answer.status if answer is not None else None
            self.configured.expect(shown == status, f"{name}: {shown} for {key}, not {status}")
