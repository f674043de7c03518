"""Resource kinds: their specs as pydantic models with camelCase keys.

Unknown keys are refused. Status is written by the system only.
"""

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

API_VERSION = "bellweir.dev/v1"


class Model(BaseModel):
    """Base of all resource models: camelCase keys, unknown keys refused, immutable."""

    model_config = ConfigDict(
        alias_generator=to_camel, populate_by_name=True, extra="forbid", frozen=True
    )


class Metadata(Model):
    """Identity and versions of a resource."""

    name: str = Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
    resource_version: int | None = None
    """Store revision of the last write; given on replace, it must match."""
    generation: int = 0
    """Counts changes of the spec."""
    labels: dict[str, str] = Field(default_factory=dict)
    annotations: dict[str, str] = Field(default_factory=dict)


class BackendKind(Enum):
    """What a pool's workers are."""

    ENGINE = "engine"
    APPLICATION = "application"


class Worker(Model):
    """A back end of a pool, by address."""

    name: str
    address: str
    """`host:port`."""
    zone: str
    region: str = "default"
    leaving: bool = False
    """Set by an operator to take the worker out of service."""


class PolicySpec(Model):
    """A policy: a model that is trained and served."""

    model: str
    """Name of the model on engines and in the weight store."""
    version: int | None = None
    """Weight version wanted on the policy's pools; None leaves engines as they are."""
    adapters: tuple[str, ...] = ()


class WeightVersionSpec(Model):
    """A version of a policy's weights that a trainer has put into the weight store."""

    policy: str
    version: int = Field(ge=0)


class RequestClass(Enum):
    """Class of a request, which decides its priority, limits and retries."""

    INTERACTIVE = "interactive"
    """A person waits: price checks, completions."""
    LOOKUP = "lookup"
    """Short, repeatable reads by services; may be hedged."""
    ONCE = "once"
    """Must not be repeated: bids. Needs an idempotency key."""
    DRAFT = "draft"
    """Training samples and other work that nobody waits for at a counter."""


class ClassLimits(Model):
    """Limits of one request class on one node."""

    concurrency: int = Field(default=64, ge=1)
    queue: int = Field(default=128, ge=0)
    timeout_s: float = Field(default=30.0, gt=0)


class PoolSpec(Model):
    """A serving pool: back ends of one kind, with routing and limits."""

    kind: BackendKind
    policies: tuple[str, ...] = ()
    """Policies its engines serve (kind engine)."""
    workers: tuple[Worker, ...] = ()
    from_machine_list: bool = False
    """Take also the machines that the platform's list names for this pool."""
    strategy: str = "least_outstanding"
    """`round_robin`, `least_outstanding` or `prefix_aware`."""
    subset_size: int = Field(default=24, ge=1)
    """Workers of the pool that one node routes over."""
    floor: float = Field(default=0.5, ge=0, le=1)
    """Share of the workers that stays ready for interactive work during a rollout."""
    limits: dict[RequestClass, ClassLimits] = Field(default_factory=dict)
    retry_budget: float = Field(default=0.2, ge=0, le=1)
    """Retries allowed, as a share of recent successes."""
    once_paths: tuple[str, ...] = ()
    """Path prefixes (kind application) whose unsafe methods must not be repeated."""
    generate_keys: bool = False
    """Make an idempotency key for requests of class once that bring none."""
    claim_window_s: float = Field(default=86_400.0, gt=0)
    """How long the outcome of a once request is remembered."""


class Arm(Model):
    """One arm of a comparison."""

    name: str
    policy: str
    version: int | None = None
    share: float = Field(gt=0)
    """Weight relative to the other arms."""


class ComparisonSpec(Model):
    """A comparison of policies or versions on live traffic."""

    policy: str
    """Requests for this policy are split over the arms."""
    arms: tuple[Arm, ...] = Field(min_length=2)
    seed: str = ""


class Condition(Model):
    """One condition of a resource's status."""

    type: str
    status: bool
    reason: str = ""
    message: str = ""
    last_transition: float = 0.0
    """Seconds since 1970 UTC."""


class Status(Model):
    """What the system has made of a spec."""

    observed_generation: int = 0
    conditions: tuple[Condition, ...] = ()
    details: dict[str, Any] = Field(default_factory=dict)


class Resource(Model):
    """Fields that all kinds share."""

    api_version: str = API_VERSION
    metadata: Metadata
    status: Status = Field(default_factory=Status)


class Policy(Resource):
    """Kind `Policy`."""

    kind: str = Field(default="Policy", pattern="^Policy$")
    spec: PolicySpec


class WeightVersion(Resource):
    """Kind `WeightVersion`."""

    kind: str = Field(default="WeightVersion", pattern="^WeightVersion$")
    spec: WeightVersionSpec


class Pool(Resource):
    """Kind `Pool`."""

    kind: str = Field(default="Pool", pattern="^Pool$")
    spec: PoolSpec


class Comparison(Resource):
    """Kind `Comparison`."""

    kind: str = Field(default="Comparison", pattern="^Comparison$")
    spec: ComparisonSpec


AnyResource = Policy | WeightVersion | Pool | Comparison

KINDS: dict[str, type[AnyResource]] = {
    "Policy": Policy,
    "WeightVersion": WeightVersion,
    "Pool": Pool,
    "Comparison": Comparison,
}
