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
MOST_FAILURES = 3 * MOST_ATTEMPTS
"""Answers of 500 after which an item must reach no worker any more."""
RUN_S = (0.0, 0.3, 1.0)
"""Times that a run takes, of which a strike draws one."""
LISTED_TIMEOUT_S = 30.0
READ_PAUSE_S = 0.2


class FailingItems(SoakFault):
    """A batch job is handed in of which some requests answer 500 at each run, for good."""

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
        job = FailingJob(job_id, items, items[0], f"score-{items[1]}")
        run_s = self.chance.choice(RUN_S)
        for worker in self.deployment.workers:
            worker.faults.fail_ids |= {job.failing_text, job.failing_score}
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
        if hand_in(self.deployment, job.job_id, content, chance, self._stopping):
            self.deployment.failing.jobs.append(job)


def check_failing_items(
    check: Check, deployment: HostedDeployment, workers: Sequence[WorkerStandIn]
) -> None:
    """Compare the answers of 500 of each request with the bound, and what its job lists."""
    for job in list(deployment.failing.jobs):
        for request_id in (job.failing_text, job.failing_score):
            runs = sum(worker.record.ran[request_id] for worker in workers)
            check.expect(runs <= MOST_FAILURES, f"{request_id}: {runs} runs")
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
            answer = call(
                deployment.address(name, "front"), "GET", f"/api/lots/{job.job_id}?after=0"
            )
            if answer is not None and answer.status == 200:
                results = json.loads(answer.body)["results"]
                found |= {result["id"]: result["state"] for result in results}
        time.sleep(READ_PAUSE_S)
    return found
