"""One run: starts the deployment, applies load and faults, stops it, checks the promises."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType

from bellweir_rehearsal.callers.caller import Caller
from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.callers.observer import ConfigurationObserver
from bellweir_rehearsal.callers.operator import Operator, OperatorError
from bellweir_rehearsal.faults.actions import FaultStage
from bellweir_rehearsal.faults.injector import FaultInjector
from bellweir_rehearsal.load.generator import LoadGenerator
from bellweir_rehearsal.load.mix import TrainerLoad
from bellweir_rehearsal.load.prompts import step_prompts
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.promises.checker import check_promises
from bellweir_rehearsal.promises.loading import load_evidence
from bellweir_rehearsal.promises.mutations import Mutation
from bellweir_rehearsal.publishing import Publisher
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.result import RunResult, summarize
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.machines import MachineWriter
from bellweir_rehearsal.topology.resources import PoolWriter, deployment_documents
from bellweir_rehearsal.topology.standins import ControlError
from bellweir_rehearsal.trainer.client import StepClient
from bellweir_rehearsal.trainer.loop import Trainer, TrainerPlan

WARM_UP_TIMEOUT_S = 30.0
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
        self._in_flight = InFlight()
        self.cluster = Cluster(plan.deployment, folder, self._journal, plan.settings)
        self._machines = MachineWriter(self.cluster)
        self._operator = self._operator_named("operator-1")
        self._publisher = Publisher(
            plan.deployment, self.cluster.weight_store, self._operator_named("publisher")
        )
        self._load = LoadGenerator(plan.load, (), plan.seed)

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
        self._machines.list_all()
        for document in deployment_documents(self.cluster):
            self._operator.apply(document)
        self._warm_up()

    def run(self, stop: threading.Event | None = None) -> None:
        """Apply load and faults for the plan's time, and wait for what is in hand."""
        stop = stop or threading.Event()
        ended = threading.Event()
        self._load = LoadGenerator(self.plan.load, self._callers(), self.plan.seed)
        with ThreadPoolExecutor(MAXIMUM_TASKS, "rehearsal") as pool:
            observation = pool.submit(self._observe_nodes, pool, ended)
            try:
                self._run_tasks(pool, stop)
                self._report("settling", 1.0)
                stop.wait(self.plan.settle_s)
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
        return summarize(self.plan, evidence, verdicts, self._load.summaries())

    def _run_tasks(self, pool: ThreadPoolExecutor, stop: threading.Event) -> None:
        load_over = threading.Event()
        began = time.monotonic()
        load = pool.submit(
            self._load.run, self.plan.duration_s, stop, lambda ended: self._tell(began, ended)
        )
        trainers = [
            pool.submit(trainer.run, load_over)
            for entry in self.plan.load.trainers
            for trainer in self._trainers(entry)
        ]
        faults = pool.submit(self._injector().run, stop)
        try:
            _wait(load, began + self.plan.duration_s)
            faults.result()
        finally:
            load_over.set()
        for trainer in trainers:
            trainer.result()

    def _callers(self) -> list[Caller]:
        delay_s = self.plan.deployment.client_delay_ms / 1000
        return [
            Caller(
                f"caller-{address.node}-{number}",
                address.node,
                address.zone,
                self.cluster.directory,
                self._journal,
                self._client,
                self._in_flight,
                delay_s,
            )
            for address in self.cluster.directory.all_nodes()
            for number in range(1, self.plan.load.callers_for_each_node + 1)
        ]

    def _trainers(self, entry: TrainerLoad) -> list[Trainer]:
        plan = TrainerPlan(
            policy=entry.policy,
            prompts_for_each_step=entry.prompts_for_each_step,
            samples_per_prompt=entry.samples_per_prompt,
            max_tokens=entry.max_tokens,
            staleness_bound_versions=self.plan.deployment.staleness_bound_versions,
            train_s=entry.train_s,
            step_timeout_s=entry.step_timeout_s,
            scorer=self.cluster.scorer.address,
            steps=entry.steps,
        )
        return [
            Trainer(
                f"trainer-{entry.policy}-{number}",
                plan,
                StepClient(self._client, self.cluster.directory),
                self._journal,
                self._publisher.newest,
                self._publish,
                step_prompts,
                self.plan.seed * 100 + number,
            )
            for number in range(1, entry.trainers + 1)
        ]

    def _publish(self, policy: str) -> None:
        try:
            self._publisher.publish(policy)
        except (ControlError, OperatorError):
            # A fault stands in the way; the trainer publishes again after its next step.
            return

    def _injector(self) -> FaultInjector:
        stage = FaultStage(
            self.cluster,
            self._journal,
            (self._operator, self._operator_named("operator-2")),
            PoolWriter(self.cluster, self._operator),
            self._machines,
            self._in_flight,
            self.plan.seed,
        )
        return FaultInjector(stage, self.plan.faults)

    def _observer(self) -> ConfigurationObserver:
        return ConfigurationObserver(
            self.cluster.directory, self._journal, self._client, self.cluster.incarnation_of
        )

    def _observe_nodes(
        self, pool: ThreadPoolExecutor, ended: threading.Event
    ) -> "list[Future[None]]":
        """Observe every node from when it is there, new machines included."""
        observed: dict[str, Future[None]] = {}
        while not ended.wait(0.2):
            for address in self.cluster.directory.all_nodes():
                if address.node not in observed:
                    run = self._observer().run
                    observed[address.node] = pool.submit(run, ended, address.node)
        return list(observed.values())

    def _operator_named(self, name: str) -> Operator:
        return Operator(name, self.cluster.directory, self._journal, self._client)

    def _warm_up(self) -> None:
        """Wait until every node serves every policy and application pool."""
        deadline = time.monotonic() + WARM_UP_TIMEOUT_S
        for address in self.cluster.directory.all_nodes():
            while not self._observes_all(address.node):
                if time.monotonic() > deadline:
                    raise WarmUpError(f"{address.node} does not have the configuration in force")
                time.sleep(0.1)

    def _observes_all(self, node: str) -> bool:
        address = self.cluster.directory.find(node)
        seen = self._observer().observe(address) if address is not None else None
        wanted = {
            f"{document['kind']}/{document['metadata']['name']}"
            for document in deployment_documents(self.cluster)
        }
        return seen is not None and wanted <= set(seen.objects)

    def _tell(self, began: float, ended: int) -> None:
        share = (time.monotonic() - began) / self.plan.duration_s
        self._report(f"{ended} requests ended", min(1.0, share))

    def _report(self, text: str, share: float) -> None:
        if self._progress is not None:
            self._progress(text, share)


class WarmUpError(RuntimeError):
    """The deployment did not come into service in time."""


def _wait(load: "Future[None]", at_least_until: float) -> None:
    """Wait for the load, and for its whole time also when it has no traffic."""
    load.result()
    time.sleep(max(0.0, at_least_until - time.monotonic()))
