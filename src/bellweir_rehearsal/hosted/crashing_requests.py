"""Requests that crash the workers that run them, as a fault of a soak."""

import json
import random
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import call, hand_in, item_documents
from bellweir_rehearsal.hosted.crashing_record import CrashingCall, CrashingJob
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.losses import LossBudget
from bellweir_rehearsal.hosted.touch_log import CONTACT_S, CORE
from bellweir_rehearsal.hosted.worker import CrashingRun, WorkerStandIn

PATHS = ("/price/crash", "/score/crash", "/bid/crash")
STREAM_PATH = "/lines/crash"
PAUSE_S = 0.3
DEADLINE_MS = 1500
SENDERS = 4
"""Calls under way at once for each crashing request."""
MOST_AT_ONCE = 3
"""Different crashing requests, streams and jobs of one strike."""
MOST_ENDS = 3
MOST_LATE = 3
"""Runs that a request may have later than `CONTACT_S` after its third crash."""
AGAIN_SHARE = 0.5
"""Share of requests that have been sent by an earlier strike."""
JOB_ITEMS = 6
CRASHING_ITEMS = 2
"""Items of a job, and those of them that crash engines."""


class CrashingRequests(SoakFault):
    """Requests that end each application worker that runs them.

    They come again and again, at any gateway, each with its own path and body.
    """

    longest_s = 8.0

    def __init__(
        self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random
    ) -> None:
        super().__init__(deployment, budget, chance)
        self._stopping = threading.Event()
        self._senders: list[Future[None]] = []

    def strike(self) -> None:
        """Begin to send some, new or known."""
        self._stopping = threading.Event()
        count = self.chance.randint(1, MOST_AT_ONCE)
        self._pool = ThreadPoolExecutor(
            count * (SENDERS + 1), thread_name_prefix="crashing-requests"
        )
        draws = self.draws()
        self._senders = [self.chance.choice(draws)() for _ in range(count)]

    def draws(self) -> Sequence[Callable[[], Future[None]]]:
        """Return what may be begun."""
        return (self._begin_request,)

    def mend(self) -> None:
        """Send no more."""
        self._stopping.set()
        for sender in self._senders:
            sender.result()
        self._pool.shutdown()

    def _begin_request(self) -> Future[None]:
        return self._begin_calls(self._drawn(PATHS))

    def _begin_stream(self) -> Future[None]:
        return self._begin_calls(self._drawn((STREAM_PATH,)))

    def _begin_calls(self, crashing: CrashingCall) -> Future[None]:
        self._have_crash([crashing.body])
        return self._pool.submit(self._send_all, crashing, self._own_chance(), self._stopping)

    def _begin_job(self) -> Future[None]:
        job_id = self.deployment.crashing.next_job_id()
        items = [f"{job_id}-{number}" for number in range(JOB_ITEMS)]
        bodies = {item: self._new_body() for item in items[:CRASHING_ITEMS]}
        self._have_crash(list(bodies.values()))
        job = CrashingJob(job_id, bodies, tuple(items[CRASHING_ITEMS:]))
        return self._pool.submit(self._hand_in, job, self._own_chance(), self._stopping)

    def _own_chance(self) -> random.Random:
        return random.Random(self.chance.getrandbits(32))

    def _new_body(self) -> bytes:
        return f"crash {self.chance.getrandbits(48):012x}".encode()

    def _have_crash(self, bodies: Sequence[bytes]) -> None:
        for worker in self.deployment.workers:
            worker.faults.crash_bodies |= set(bodies)

    def _drawn(self, paths: Sequence[str]) -> CrashingCall:
        calls = self.deployment.crashing.calls
        known = [each for each in calls if each.path in paths]
        if known and self.chance.random() < AGAIN_SHARE:
            return self.chance.choice(known)
        crashing = CrashingCall(self.chance.choice(paths), self._new_body())
        calls.append(crashing)
        return crashing

    def _send_all(
        self, crashing: CrashingCall, chance: random.Random, stopping: threading.Event
    ) -> None:
        while not stopping.wait(PAUSE_S):
            gateways = self.deployment.running("gateway")
            if gateways:
                self._pool.submit(self._send, chance.choice(gateways), crashing)

    def _send(self, gateway: str, crashing: CrashingCall) -> None:
        address = self.deployment.address(gateway, "front")
        # The id tells the gateway when the run is judged.
        headers = {
            "X-Bellweir-Attempt-Id": f"{gateway}/{time.monotonic_ns()}",
            "X-Bellweir-Deadline-Ms": str(DEADLINE_MS),
        }
        call(address, "POST", crashing.path, crashing.body, headers)

    def _hand_in(self, job: CrashingJob, chance: random.Random, stopping: threading.Event) -> None:
        """Hand a job in until it is accepted."""
        if hand_in(self.deployment, job.job_id, _document(job), chance, stopping):
            self.deployment.crashing.jobs.append(job)


class CrashingWork(CrashingRequests):
    """Crashing requests, and streams and items of batch jobs that end each engine that runs them.

    A job stays open until the end of the run.
    """

    def draws(self) -> Sequence[Callable[[], Future[None]]]:
        """Return what may be begun."""
        return self._begin_request, self._begin_stream, self._begin_job


def _document(job: CrashingJob) -> bytes:
    items = item_documents([*job.bodies, *job.others], job.bodies)
    return json.dumps({"step": 0, "model": "drafts", "minVersion": 1, "items": items}).encode()


def check_crashing_runs(
    check: Check, deployment: HostedDeployment, workers: Sequence[WorkerStandIn]
) -> None:
    """Count the runs of each request later than agreed, from machines that were left alone.

    Only ends that the request itself has caused count as its crashes.
    """
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
            and deployment.touched.left_alone(_senders(deployment, run), run.at_s, run.at_s)
        ]
        told = f"{body.decode()}: {len(late)} runs too late, {len(times_s)} ends; {late[:4]}"
        check.expect(len(late) <= MOST_LATE, told)


def _senders(deployment: HostedDeployment, run: CrashingRun) -> list[str]:
    """Machines that may have sent a run: its gateway, or the leader of the jobs."""
    gateway, _, is_call = run.request_id.partition("/")
    return [gateway] if is_call else [*deployment.names("store"), CORE]
