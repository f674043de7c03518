"""Who takes part in a run: callers, trainers, operators, observers and the fault injector."""

from bellweir_rehearsal.callers.caller import Caller
from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.callers.observer import ConfigurationObserver
from bellweir_rehearsal.callers.operator import Operator, OperatorError
from bellweir_rehearsal.faults.actions import FaultStage
from bellweir_rehearsal.faults.injector import FaultInjector
from bellweir_rehearsal.load.mix import TrainerLoad
from bellweir_rehearsal.load.prompts import step_prompts
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.publishing import Publisher
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.machines import MachineWriter
from bellweir_rehearsal.topology.resources import PoolWriter
from bellweir_rehearsal.topology.standins import ControlError
from bellweir_rehearsal.trainer.client import StepClient
from bellweir_rehearsal.trainer.loop import Trainer, TrainerPlan


class Participants:
    """Makes the participants of one run; all of them write into its journal."""

    def __init__(
        self, plan: RunPlan, cluster: Cluster, journal: Journal, client: HttpClient
    ) -> None:
        self._plan = plan
        self._cluster = cluster
        self._journal = journal
        self._client = client
        self._in_flight = InFlight()
        self.machines = MachineWriter(cluster)
        self.operator = self._operator_named("operator-1")
        publisher = self._operator_named("publisher")
        self._publisher = Publisher(plan.deployment, cluster.weight_store, publisher)

    def callers(self) -> list[Caller]:
        """The callers beside each node that is there now."""
        delay_s = self._plan.deployment.client_delay_ms / 1000
        return [
            Caller(
                f"caller-{address.node}-{number}",
                address.node,
                address.zone,
                self._cluster.directory,
                self._journal,
                self._client,
                self._in_flight,
                delay_s,
            )
            for address in self._cluster.directory.all_nodes()
            for number in range(1, self._plan.load.callers_for_each_node + 1)
        ]

    def trainers(self) -> list[Trainer]:
        """All trainers of the plan."""
        return [
            trainer
            for group, entry in enumerate(self._plan.load.trainers, start=1)
            for trainer in self._trainers_of(entry, group)
        ]

    def injector(self) -> FaultInjector:
        """Injects the plan's faults."""
        stage = FaultStage(
            self._cluster,
            self._journal,
            (self.operator, self._operator_named("operator-2")),
            PoolWriter(self._cluster, self.operator),
            self.machines,
            self._in_flight,
            self._plan.seed,
        )
        return FaultInjector(stage, self._plan.faults)

    def observer(self) -> ConfigurationObserver:
        """Asks nodes for the configuration in force."""
        return ConfigurationObserver(
            self._cluster.directory, self._journal, self._client, self._cluster.incarnation_of
        )

    def _trainers_of(self, entry: TrainerLoad, group: int) -> list[Trainer]:
        plan = TrainerPlan(
            policy=entry.policy,
            prompts_for_each_step=entry.prompts_for_each_step,
            samples_per_prompt=entry.samples_per_prompt,
            max_tokens=entry.max_tokens,
            staleness_bound_versions=self._plan.deployment.staleness_bound_versions,
            train_s=entry.train_s,
            step_timeout_s=entry.step_timeout_s,
            scorer=self._cluster.scorer.address,
            steps=entry.steps,
            publish=entry.publishes,
        )
        return [
            Trainer(
                f"trainer-{entry.policy}-{group}-{number}",
                plan,
                StepClient(self._client, self._cluster.directory),
                self._journal,
                self._publisher.newest,
                self._publish,
                step_prompts,
                self._plan.seed * 10_000 + group * 100 + number,
            )
            for number in range(1, entry.trainers + 1)
        ]

    def _publish(self, policy: str) -> None:
        try:
            self._publisher.publish(policy)
        except (ControlError, OperatorError):
            # A fault stands in the way; the trainer publishes again after its next step.
            return

    def _operator_named(self, name: str) -> Operator:
        return Operator(name, self._cluster.directory, self._journal, self._client)
