"""Items of batch jobs that fail at each run, as a fault of a soak."""

import json
import random
import threading
import time
from collections.abc import Sequence

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import call, hand_in, item_documents
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.failing_record import FailingJob
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.losses import LossBudget
from bellweir_rehearsal.hosted.worker import WorkerStandIn

ITEMS = 4
"""Items of a job: one fails in its text, one in its score, the others are sound."""
MOST_ATTEMPTS = 3
"""Attempts of the routes."""
SERVER_ERROR, UNPROCESSABLE = 500, 422
MOST_FAILURES = {SERVER_ERROR: 3 * MOST_ATTEMPTS, UNPROCESSABLE: 3}
"""Answers after which an item must reach no worker any more, by status."""
MOST_ENDED_JOBS = 6
"""Jobs with the same items that are ended early, before the one that stays open."""
ENDED_AFTER_S = (0.35, 0.6)
RUN_S = (0.0, 0.3, 1.0)
"""Times that a run takes, of which a strike draws one."""
LISTED_TIMEOUT_S = 30.0
READ_PAUSE_S = 0.2


class FailingItems(SoakFault):
    """Batch jobs are handed in, with the same items, of which some requests fail at each run."""

    longest_s = 3.0

    def __init__(
        self, deployment: HostedDeployment, budget: LossBudget, chance: random.Random
    ) -> None:
        super().__init__(deployment, budget, chance)
        self._stopping = threading.Event()
        self._sender: threading.Thread | None = None

    def strike(self) -> None:
        """Hand the job in until it is accepted."""
        job_id = self.deployment.failing.next_job_id()
        items = tuple(f"{job_id}-{number}" for number in range(ITEMS))
        status = self.chance.choice(tuple(MOST_FAILURES))
        ended_jobs = self.chance.randrange(MOST_ENDED_JOBS + 1)
        failing = (items[0], f"score-{items[1]}")
        job = FailingJob(job_id, items, *failing, MOST_FAILURES[status], ended_jobs)
        run_s = self.chance.choice(RUN_S)
        for worker in self.deployment.workers:
            statuses = {**worker.faults.fail_statuses, **dict.fromkeys(failing, status)}
            worker.faults.fail_statuses = statuses
            worker.faults.fail_after_s = run_s
        self._stopping = threading.Event()
        chance = random.Random(self.chance.getrandbits(32))
        self._sender = threading.Thread(target=self._hand_in, args=(job, chance), daemon=True)
        self._sender.start()

    def mend(self) -> None:
        """Hand it in no more; what was accepted goes on failing."""
        self._stopping.set()
        if self._sender is not None:
            self._sender.join()

    def _hand_in(self, job: FailingJob, chance: random.Random) -> None:
        document = {"step": 0, "model": "drafts", "minVersion": 1}
        content = json.dumps({**document, "items": item_documents(job.items)}).encode()
        for number in range(job.ended_jobs):
            if not self._hand_in_for_a_moment(f"{job.job_id}-early-{number}", content, chance):
                break
        # The last one stays to be checked, also if the fault is mended meanwhile.
        if hand_in(self.deployment, job.job_id, content, chance, threading.Event()):
            self.deployment.failing.jobs.append(job)

    def _hand_in_for_a_moment(self, job_id: str, content: bytes, chance: random.Random) -> bool:
        """Hand a job in and end it; False once the fault is mended."""
        if not hand_in(self.deployment, job_id, content, chance, self._stopping):
            return False
        time.sleep(chance.uniform(*ENDED_AFTER_S))
        while not self._is_ended(job_id, chance):
            time.sleep(READ_PAUSE_S)
        return not self._stopping.is_set()

    def _is_ended(self, job_id: str, chance: random.Random) -> bool:
        gateways = self.deployment.running("gateway")
        if not gateways:
            return False
        address = self.deployment.address(chance.choice(gateways), "front")
        answer = call(address, "DELETE", f"/api/lots/{job_id}")
        return answer is not None and answer.status == 200


def check_failing_items(
    check: Check, deployment: HostedDeployment, workers: Sequence[WorkerStandIn]
) -> None:
    """Compare the failures of each request with the bound, and what its last job lists."""
    for job in list(deployment.failing.jobs):
        for request_id in (job.failing_text, job.failing_score):
            # Runs that workers' ends, leaders' losses and ends of jobs cut off are no answers.
            failures = sum(worker.record.failed[request_id] for worker in workers)
            fault = f"{request_id}: {failures} failures"
            check.expect(failures <= job.most_failures, fault)
        states = _states(deployment, job)
        failing = {job.failing_text, job.failing_score.removeprefix("score-")}
        wanted = {item: "dead" if item in failing else "completed" for item in job.items}
        check.expect(states == wanted, f"{job.job_id}: {states}")


def _states(deployment: HostedDeployment, job: FailingJob) -> dict[str, str]:
    """Return the states that are listed of a job's items, once all are."""
    until_s = time.monotonic() + LISTED_TIMEOUT_S
    found: dict[str, str] = {}
    while len(found) < len(job.items) and time.monotonic() < until_s:
        for name in deployment.running("gateway"):
            found |= _listed_at(deployment.address(name, "front"), job.job_id)
        time.sleep(READ_PAUSE_S)
    return found


def _listed_at(address: str, job_id: str) -> dict[str, str]:
    """Read a job's pages at a gateway; a page may end before the last result that is listed."""
    found: dict[str, str] = {}
    while True:
        answer = call(address, "GET", f"/api/lots/{job_id}?after={len(found)}")
        if answer is None or answer.status != 200:
            return found
        results = json.loads(answer.body)["results"]
        if not results:
            return found
        found |= {result["id"]: result["state"] for result in results}
