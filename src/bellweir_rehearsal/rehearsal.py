"""One run: starts the deployment, applies load and faults, stops it, checks the promises."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType

from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.load.generator import LoadGenerator
from bellweir_rehearsal.participants import Participants
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.promises.checker import check_promises
from bellweir_rehearsal.promises.loading import load_evidence
from bellweir_rehearsal.promises.mutations import Mutation
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.result import RunResult, summarize
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.resources import deployment_documents
from bellweir_rehearsal.warm_up import warm_up

MAXIMUM_TASKS = 64

Progress = Callable[[str, float], None]
"""Told what the run does now, and the share of its time that has passed."""


class Rehearsal:
    """Runs one plan in a folder. Use it as a context: leaving it ends every process."""

    def __init__(self, plan: RunPlan, folder: RunFolder, progress: Progress | None = None) -> None:
        folder.create()
        self.plan = plan
        self.folder = folder
        self._progress = progress
        self._journal = Journal(folder.journal)
        self._client = HttpClient()
        self.cluster = Cluster(plan.deployment, folder, self._journal, plan.settings)
        self._participants = Participants(plan, self.cluster, self._journal, self._client)
        self._load: LoadGenerator | None = None

    def __enter__(self) -> "Rehearsal":
        """Return the rehearsal; nothing is started by this."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process and close the journal."""
        self.cluster.close()
        self._client.close()
        self._journal.close()

    def start(self) -> None:
        """Start the deployment, apply its resources, and wait until requests are served.

        Raises `ProcessFailedError`, `OperatorError` or `WarmUpError`.
        """
        self._report("starting", 0.0)
        self.cluster.start()
        self._participants.machines.list_all()
        for document in deployment_documents(self.cluster):
            self._participants.operator.apply(document)
        warm_up(self.cluster, self._client)

    def run(self, stop: threading.Event | None = None) -> None:
        """Apply load and faults for the plan's time, and wait for what is in hand."""
        stop = stop or threading.Event()
        ended = threading.Event()
        load = LoadGenerator(self.plan.load, self._participants.callers(), self.plan.seed)
        self._load = load
        with ThreadPoolExecutor(MAXIMUM_TASKS, "rehearsal") as pool:
            observation = pool.submit(self._observe_nodes, pool, ended)
            try:
                self._run_tasks(pool, load, stop)
                self._report("settling", 1.0)
                stop.wait(self.plan.settle_s)
            except BaseException:
                # Also at Ctrl-C: load and faults end early, so that leaving does not wait for them.
                stop.set()
                raise
            finally:
                ended.set()
        for observer in observation.result():
            observer.result()

    def finish(self, mutation: Mutation | None = None) -> RunResult:
        """Stop the deployment as planned, check all promises, and return the result."""
        self._report("stopping", 1.0)
        self.cluster.stop()
        return self.check(mutation)

    def check(self, mutation: Mutation | None = None) -> RunResult:
        """Check all promises on what has been logged so far.

        A mutation breaks the evidence first, to show that the checker notices; it raises
        `NothingToMutateError` when the run has no case of it.
        """
        self._report("checking", 1.0)
        evidence = load_evidence(self.folder)
        if mutation is not None:
            evidence = mutation.apply(evidence)
        verdicts = check_promises(evidence)
        summaries = self._load.summaries() if self._load is not None else ()
        return summarize(self.plan, evidence, verdicts, summaries)

    def _run_tasks(
        self, pool: ThreadPoolExecutor, generator: LoadGenerator, stop: threading.Event
    ) -> None:
        load_over = threading.Event()
        began = time.monotonic()
        load = pool.submit(
            generator.run, self.plan.duration_s, stop, lambda ended: self._tell(began, ended)
        )
        trainers = [
            pool.submit(trainer.run, load_over) for trainer in self._participants.trainers()
        ]
        faults = pool.submit(self._participants.injector().run, stop)
        try:
            _wait(load, began + self.plan.duration_s)
            faults.result()
        finally:
            load_over.set()
        for trainer in trainers:
            trainer.result()

    def _observe_nodes(
        self, pool: ThreadPoolExecutor, ended: threading.Event
    ) -> "list[Future[None]]":
        """Observe every node from when it is there, new machines included."""
        observed: dict[str, Future[None]] = {}
        while not ended.wait(0.2):
            for address in self.cluster.directory.all_nodes():
                if address.node not in observed:
                    run = self._participants.observer().run
                    observed[address.node] = pool.submit(run, ended, address.node)
        return list(observed.values())

    def _tell(self, began: float, ended: int) -> None:
        share = (time.monotonic() - began) / self.plan.duration_s
        self._report(f"{ended} requests ended", min(1.0, share))

    def _report(self, text: str, share: float) -> None:
        if self._progress is not None:
            self._progress(text, share)


def _wait(load: "Future[None]", at_least_until: float) -> None:
    """Wait for the load, and for its whole time also when it has no traffic."""
    load.result()
    time.sleep(max(0.0, at_least_until - time.monotonic()))
