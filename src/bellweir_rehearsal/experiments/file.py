"""Experiment files."""

import tomllib
from pathlib import Path

from pydantic import Field, ValidationError, field_validator, model_validator

from bellweir_rehearsal.faults.schedule import (
    PlannedFault,
    random_schedule,
    targets_of,
    with_targets,
)
from bellweir_rehearsal.load.mix import Load, TrafficClass
from bellweir_rehearsal.load.standard import MODEST_RATE_FOR_EACH_S, standard_load
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.topology.deployment import (
    Deployment,
    DeploymentError,
    Part,
    describe_findings,
    load_deployment,
)


class Variant(Part):
    """One way of running the deployment."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,40}$")
    strategy: str | None = None
    """Routing strategy of the engine pools."""
    settings: dict[str, dict[str, object]] = Field(default_factory=dict)
    """Settings of all nodes, by concern."""
    extra_traffic: tuple[TrafficClass, ...] = ()
    """Traffic that only this variant has, beside that of the experiment."""


class Experiment(Part):
    """An experiment: variants of one deployment under the same load and faults."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,40}$")
    deployment: str
    """A deployment that ships with the kit, by name, or a file, by path."""
    duration_s: float = Field(default=30.0, gt=0, le=600)
    settle_s: float = Field(default=5.0, ge=0, le=60)
    repetitions: int = Field(default=2, ge=1, le=20)
    seed: int = 1
    rate_for_each_s: float = Field(default=MODEST_RATE_FOR_EACH_S, gt=0, le=500)
    """Rate of each class of the standard load, when no load is given."""
    load: Load | None = None
    faults: tuple[PlannedFault, ...] = ()
    random_faults: bool = False
    """Draw a schedule by the seed instead."""
    variants: tuple[Variant, ...] = Field(min_length=1)

    @field_validator("deployment")
    @classmethod
    def _deployment_is_sound(cls, deployment: str) -> str:
        load_deployment(deployment)
        return deployment

    @model_validator(mode="after")
    def _names_differ(self) -> "Experiment":
        names = [variant.name for variant in self.variants]
        if len(set(names)) != len(names):
            raise ValueError(f"variants share a name: {sorted(names)}")
        if self.random_faults and self.faults:
            raise ValueError("faults and random_faults exclude each other")
        return self

    def plan(self, variant: Variant, repetition: int) -> RunPlan:
        """The run of a variant; all variants of a repetition share load and faults."""
        deployment = load_deployment(self.deployment)
        seed = self.seed * 1_000 + repetition
        targets = targets_of(deployment)
        faults = with_targets(self.faults, targets, seed)
        if self.random_faults:
            faults = random_schedule(targets, self.duration_s, seed)
        load = self.load or standard_load(deployment, self.rate_for_each_s)
        traffic = load.traffic + variant.extra_traffic
        return RunPlan(
            deployment=_with_strategy(deployment, variant.strategy),
            load=load.model_copy(update={"traffic": traffic}),
            duration_s=self.duration_s,
            seed=seed,
            faults=faults,
            settings=variant.settings,
            settle_s=self.settle_s,
        )


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file. Raises `DeploymentError` with all findings."""
    try:
        document = tomllib.loads(path.read_text())
        experiment = Experiment.model_validate(document)
    except (OSError, tomllib.TOMLDecodeError) as failure:
        raise DeploymentError(f"{path}: {failure}") from failure
    except ValidationError as failure:
        raise DeploymentError(describe_findings(str(path), failure)) from failure
    return experiment


def _with_strategy(deployment: Deployment, strategy: str | None) -> Deployment:
    if strategy is None:
        return deployment
    pools = tuple(
        pool.model_copy(update={"strategy": strategy}) for pool in deployment.engine_pools
    )
    return deployment.model_copy(update={"engine_pools": pools})
