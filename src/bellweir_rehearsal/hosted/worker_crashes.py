"""Workers that crash by themselves in series, as a fault of a soak."""

import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.losses import LossBudget
from bellweir_rehearsal.hosted.touch_log import CONTACT_S
from bellweir_rehearsal.hosted.worker import WorkerStandIn

FEWEST_ROUNDS = 5
MOST_ROUNDS = 9
FEWEST_WORKERS = 2
SHORTEST_BACK_S = 0.5
LONGEST_BACK_S = 1.2
"""Time after its end until a worker is back."""
SHORTEST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 1.5
"""Time between the return of all and the next round."""
PEACE_S = CONTACT_S + 5.0
"""Time after a series in which the service has no other: what it ran must get workers by then."""


class WorkerCrashes(SoakFault):
    """Several workers of one service end at the same moment, are soon back, and end again."""

    longest_s = 14.0

    def __init__(
        self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random
    ) -> None:
        super().__init__(deployment, budget, chance)
        self._stopping = threading.Event()
        self._service = ""
        self._workers: Sequence[WorkerStandIn] = ()

    def begin(self, again: Sequence[str] = ()) -> bool:
        """Strike; False while both services have a series or the peace after one."""
        services = {"llm": self.deployment.models, "app": self.deployment.scorers}
        for service in self.chance.sample(list(services), len(services)):
            if self.deployment.crashing.begin_series(service, time.monotonic()):
                self._service, self._workers = service, services[service]
                return super().begin(again)
        return False

    def strike(self) -> None:
        """Begin the series."""
        self._stopping = threading.Event()
        workers = self._workers
        chance = random.Random(self.chance.getrandbits(32))
        self._pool = ThreadPoolExecutor(1 + len(workers), thread_name_prefix="worker-crashes")
        self._series: Future[None] = self._pool.submit(self._crash_in_series, workers, chance)

    def mend(self) -> None:
        """End the series, not before it has had its fewest rounds."""
        self._stopping.set()
        self._series.result()
        self._pool.shutdown()
        self.deployment.crashing.end_series(self._service, time.monotonic(), PEACE_S)

    def _crash_in_series(self, workers: Sequence[WorkerStandIn], chance: random.Random) -> None:
        for number in range(chance.randint(FEWEST_ROUNDS, MOST_ROUNDS)):
            if number >= FEWEST_ROUNDS and self._stopping.is_set():
                return
            struck = chance.sample(workers, chance.randint(FEWEST_WORKERS, len(workers)))
            away_s = [chance.uniform(SHORTEST_BACK_S, LONGEST_BACK_S) for _ in struck]
            self._crash_together(struck, away_s)
            pause_s = chance.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
            time.sleep(max(away_s) + pause_s)

    def _crash_together(self, workers: Sequence[WorkerStandIn], away_s: Sequence[float]) -> None:
        ends = [
            self._pool.submit(worker.crash_for, seconds)
            for worker, seconds in zip(workers, away_s, strict=True)
        ]
        for end in ends:
            end.result()
