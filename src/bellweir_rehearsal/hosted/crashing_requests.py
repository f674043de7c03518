"""Requests that crash the workers that run them, as a fault of a soak."""

import random
import threading
import time
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import call
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.losses import LossBudget
from bellweir_rehearsal.hosted.touch_log import CONTACT_S
from bellweir_rehearsal.hosted.worker import WorkerStandIn

PATHS = ("/price/crash", "/score/crash", "/bid/crash")
PAUSE_S = 0.3
DEADLINE_MS = 1500
SENDERS = 4
MOST_ENDS = 3
MOST_LATE = 3
"""Runs that a request may have later than `CONTACT_S` after its third crash."""
AGAIN_SHARE = 0.5
"""Share of strikes that send a request of an earlier one."""


class CrashingRequests(SoakFault):
    """A request that ends each application worker that runs it comes again and again.

    It has its own path and body, and comes at any gateway.
    """

    longest_s = 8.0

    def __init__(
        self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random
    ) -> None:
        super().__init__(deployment, budget, chance)
        self._known: list[tuple[str, bytes]] = []
        self._stopping = threading.Event()

    def strike(self) -> None:
        """Begin to send one, new or known."""
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(SENDERS + 1, thread_name_prefix="crashing")
        path, body = self._drawn()
        for worker in self.deployment.scorers:
            worker.faults.crash_bodies |= {body}
        self._sender: Future[None] = self._pool.submit(self._send_all, path, body, self._stopping)

    def mend(self) -> None:
        """Send no more."""
        self._stopping.set()
        self._sender.result()
        self._pool.shutdown()

    def _drawn(self) -> tuple[str, bytes]:
        if self._known and self.chance.random() < AGAIN_SHARE:
            return self.chance.choice(self._known)
        path = self.chance.choice(PATHS)
        self._known.append((path, f"crash {self.chance.getrandbits(48):012x}".encode()))
        return self._known[-1]

    def _send_all(self, path: str, body: bytes, stopping: threading.Event) -> None:
        chance = random.Random(self.chance.getrandbits(32))
        while not stopping.wait(PAUSE_S):
            gateways = self.deployment.running("gateway")
            if gateways:
                self._pool.submit(self._send, chance.choice(gateways), path, body)

    def _send(self, gateway: str, path: str, body: bytes) -> None:
        address = self.deployment.address(gateway, "front")
        # The id tells the gateway when the run is judged.
        headers = {
            "X-Bellweir-Attempt-Id": f"{gateway}/{time.monotonic_ns()}",
            "X-Bellweir-Deadline-Ms": str(DEADLINE_MS),
        }
        call(address, "POST", path, body, headers)


def check_crashing_runs(
    check: Check, deployment: HostedDeployment, workers: Sequence[WorkerStandIn]
) -> None:
    """Count the runs of each request later than agreed, from gateways that were left alone."""
    crashes_s: dict[bytes, list[float]] = defaultdict(list)
    for worker in workers:
        for run in worker.record.crashes:
            crashes_s[run.body].append(run.at_s)
    for body, times_s in crashes_s.items():
        if len(times_s) < MOST_ENDS:
            continue
        bound_s = sorted(times_s)[MOST_ENDS - 1] + CONTACT_S
        late = [
            run
            for worker in workers
            for run in worker.record.crashing_runs
            if run.body == body
            and run.at_s > bound_s
            and deployment.touched.left_alone([run.request_id.split("/")[0]], run.at_s, run.at_s)
        ]
        told = f"{body.decode()}: {len(late)} runs too late, {len(times_s)} ends; {late[:4]}"
        check.expect(len(late) <= MOST_LATE, told)
