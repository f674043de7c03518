"""Deployments: zones, regions, nodes, workers and the delays between them."""

import tomllib
from importlib import resources
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator


class DeploymentError(ValueError):
    """A deployment or experiment file has faults; the message lists them all."""


class Part(BaseModel):
    """Base of all parts of a file: unknown keys refused, immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Zone(Part):
    """A zone with its nodes."""

    name: str
    region: str = "region-1"
    nodes: int = Field(default=1, ge=0, le=16)
    """Nodes in the zone; each serves the callers beside it."""
    nodes_with_data: int = Field(default=1, ge=0, le=16)
    """How many of the nodes have a data folder."""


class Policy(Part):
    """A policy and the model that engines load for it."""

    name: str
    model: str
    first_version: int = 1


class EnginePool(Part):
    """A pool of model engines."""

    name: str
    policies: tuple[str, ...]
    workers: tuple[str, ...]
    """Zone of each engine."""
    strategy: str = "least_outstanding"
    maximum_batch: int = Field(default=16, ge=1)


class ApplicationPool(Part):
    """A pool of application workers."""

    name: str
    workers: tuple[str, ...]
    """Zone of each worker."""
    once_paths: tuple[str, ...] = ()


class Deployment(Part):
    """What runs where."""

    name: str
    zone_delay_ms: float = Field(default=0.0, ge=0)
    """One-way delay between two zones of a region, in milliseconds."""
    region_delay_ms: float = Field(default=20.0, ge=0)
    """One-way delay between two regions, in milliseconds."""
    client_delay_ms: float = Field(default=0.0, ge=0)
    """One-way delay between a caller and its node, in milliseconds."""
    staleness_bound_versions: int = Field(default=1, ge=0)
    """Bound that the deployment's trainers agree on, in versions."""
    time_scale: float = Field(default=10.0, gt=0)
    """Seconds of the engines' model time in one second of wall time."""
    zones: tuple[Zone, ...] = Field(min_length=1)
    policies: tuple[Policy, ...] = ()
    engine_pools: tuple[EnginePool, ...] = ()
    application_pools: tuple[ApplicationPool, ...] = ()
    node_settings: dict[str, dict[str, object]] = Field(default_factory=dict)
    """Settings for every node, by concern, over the kit's own."""

    @model_validator(mode="after")
    def _zones_exist(self) -> "Deployment":
        zones = {zone.name for zone in self.zones}
        named = [zone for pool in self.engine_pools for zone in pool.workers]
        named += [zone for pool in self.application_pools for zone in pool.workers]
        unknown = sorted(set(named) - zones)
        if unknown:
            raise ValueError(f"workers in unknown zones {unknown}; known are {sorted(zones)}")
        return self

    def region_of(self, zone: str) -> str:
        """Region of a zone."""
        return next(candidate.region for candidate in self.zones if candidate.name == zone)

    def one_way_delay_ms(self, zone: str, other: str) -> float:
        """One-way delay between two zones, in milliseconds."""
        if zone == other:
            return 0.0
        if self.region_of(zone) == self.region_of(other):
            return self.zone_delay_ms
        return self.region_delay_ms


def load_deployment(name_or_path: str) -> Deployment:
    """Read a deployment that ships with the kit, by name, or a file, by path.

    Raises `DeploymentError` with all findings.
    """
    if name_or_path in shipped_deployments():
        shipped = resources.files("bellweir_rehearsal.deployments") / f"{name_or_path}.toml"
        return parse_deployment(shipped.read_text(), name_or_path)
    try:
        text = Path(name_or_path).read_text()
    except OSError as failure:
        known = ", ".join(shipped_deployments())
        raise DeploymentError(
            f"{name_or_path}: neither a file nor one of the deployments {known}: {failure}"
        ) from failure
    return parse_deployment(text, name_or_path)


def shipped_deployments() -> tuple[str, ...]:
    """Names of the deployments that ship with the kit."""
    folder = resources.files("bellweir_rehearsal.deployments")
    return tuple(
        sorted(
            entry.name.removesuffix(".toml")
            for entry in folder.iterdir()
            if entry.name.endswith(".toml")
        )
    )


def parse_deployment(text: str, source: str) -> Deployment:
    """Check the text of a deployment file. Raises `DeploymentError` with all findings."""
    try:
        return Deployment.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as failure:
        raise DeploymentError(f"{source}: {failure}") from failure
    except ValidationError as failure:
        raise DeploymentError(describe_findings(source, failure)) from failure


def describe_findings(source: str, failure: ValidationError) -> str:
    """One line for each finding: file, key path and what was wrong."""
    return "\n".join(
        f"{source}: {'.'.join(str(part) for part in finding['loc']) or 'file'}: {finding['msg']}"
        for finding in failure.errors()
    )
