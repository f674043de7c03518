"""Resource kinds: their specs as pydantic models with camelCase keys.

Unknown keys are refused. Status is written by the system only. The docstrings below the fields
are what `bellweir explain` and docs/RESOURCES.md show.
"""

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from bellweir.resources.api_version import API_VERSION as API_VERSION


class Model(BaseModel):
    """Base of all resource models: camelCase keys, unknown keys refused, immutable."""

    model_config = ConfigDict(
        alias_generator=to_camel,
        populate_by_name=True,
        extra="forbid",
        frozen=True,
        use_attribute_docstrings=True,
        allow_inf_nan=False,
    )


class Metadata(Model):
    """Identity and versions of a resource."""

    name: str = Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
    """Unique within its kind: lower-case letters, digits, dots and hyphens."""
    resource_version: int | None = None
    """Store revision of the last write, filled in by the system; a replacement must name it."""
    generation: int = 0
    """Counts changes of the spec; written by the system."""
    labels: dict[str, str] = Field(default_factory=dict)
    """Free to use; they mean nothing to the system."""
    annotations: dict[str, str] = Field(default_factory=dict)
    """Free to use; keys that begin with `bellweir.dev/` are reserved."""


class BackendKind(Enum):
    """What a pool's workers are."""

    ENGINE = "engine"
    APPLICATION = "application"


class Worker(Model):
    """A back end of a pool, by address."""

    name: str
    """Unique within the pool."""
    address: str
    """`host:port`, with an IP number."""
    zone: str
    """Zone it runs in, for routing nearby."""
    region: str = "default"
    """Region of that zone."""
    leaving: bool = False
    """Set by an operator to take the worker out of service."""


class PolicySpec(Model):
    """A policy: a model that is trained and served."""

    model: str
    """Name of the model on engines and in the weight store."""
    version: int | None = None
    """Weight version wanted on the policy's pools; None leaves engines as they are."""
    adapters: tuple[str, ...] = ()
    """Adapters that the engines load with the model."""
    keep_versions: int = Field(default=128, ge=2)
    """Newest weight versions of the policy that are kept; older ones that nothing names are
    deleted."""


class WeightVersionSpec(Model):
    """A version of a policy's weights that a trainer has put into the weight store."""

    policy: str
    """The policy whose weights these are."""
    version: int = Field(ge=0)
    """Number of the version in the weight store; higher is newer."""


class RequestClass(Enum):
    """Class of a request, which decides its priority, limits and retries."""

    INTERACTIVE = "interactive"
    """A person waits: completions, requests of a page."""
    LOOKUP = "lookup"
    """Short, repeatable reads by services; may be hedged."""
    ONCE = "once"
    """Must not be repeated, such as an order. Needs an idempotency key."""
    DRAFT = "draft"
    """Training samples and other work that nobody waits for at a counter."""


class ClassLimits(Model):
    """Limits of one request class on one node."""

    concurrency: int = Field(default=64, ge=1)
    """Requests of the class that run at once."""
    queue: int = Field(default=128, ge=0)
    """Requests of the class that may wait."""
    timeout_s: float = Field(default=30.0, gt=0)
    """Time for a request that names no deadline, in seconds."""


class PoolSpec(Model):
    """A serving pool: back ends of one kind, with routing and limits."""

    kind: BackendKind
    """What its workers are: `engine` or `application`."""
    policies: tuple[str, ...] = ()
    """Policies its engines serve (kind engine)."""
    workers: tuple[Worker, ...] = ()
    """Workers by address; for more than a few hundred use the machine list instead."""
    from_machine_list: bool = False
    """Take also the machines that the platform's list names for this pool."""
    strategy: str = "least_outstanding"
    """`round_robin`, `least_outstanding` or `prefix_aware`."""
    subset_size: int = Field(default=24, ge=1)
    """Workers of the pool that one node routes over."""
    floor: float = Field(default=0.5, ge=0, le=1)
    """Share of the workers that stays ready for interactive work during a rollout."""
    limits: dict[RequestClass, ClassLimits] = Field(default_factory=dict)
    """Limits by request class: `interactive`, `lookup`, `once`, `draft`."""
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
    """Unique within the comparison."""
    policy: str
    """The policy that serves this arm's requests."""
    version: int | None = None
    """Weight version; None takes whichever the policy's engines serve."""
    share: float = Field(gt=0)
    """Weight relative to the other arms."""


class ComparisonSpec(Model):
    """A comparison of policies or versions on live traffic."""

    policy: str
    """Requests for this policy are split over the arms."""
    arms: tuple[Arm, ...] = Field(min_length=2)
    """Two or more; changing a share moves as few units as possible."""
    seed: str = ""
    """Part of the hash that assigns units to arms; another seed shuffles them."""


class Condition(Model):
    """One condition of a resource's status."""

    type: str
    """What the condition is about, such as `InForce`; each type has one reporter."""
    status: bool
    """Whether it holds."""
    reason: str = ""
    """One word for programs."""
    message: str = ""
    """A sentence for people, with what is missing."""
    observed_generation: int | None = None
    """Generation of the spec that the condition is about, where its reporter says so."""
    last_transition: float = 0.0
    """When `status` last changed, in seconds since 1970 UTC."""


class Status(Model):
    """What the system has made of a spec."""

    observed_generation: int = 0
    """Generation of the spec that the conditions are about."""
    conditions: tuple[Condition, ...] = ()
    """One for each type."""
    details: dict[str, Any] = Field(default_factory=dict)
    """Figures by reporter, such as results by arm."""


class Resource(Model):
    """Fields that all kinds share."""

    api_version: str = API_VERSION
    """`bellweir.dev/v1`."""
    metadata: Metadata
    """Identity and versions."""
    status: Status = Field(default_factory=Status)
    """What the system has made of the spec; ignored when operators write it."""


class Policy(Resource):
    """A model that is trained and served."""

    kind: str = Field(default="Policy", pattern="^Policy$")
    """`Policy`."""
    spec: PolicySpec
    """What is wanted."""


class WeightVersion(Resource):
    """A version of a policy's weights in the weight store."""

    kind: str = Field(default="WeightVersion", pattern="^WeightVersion$")
    """`WeightVersion`."""
    spec: WeightVersionSpec
    """What is wanted."""


class Pool(Resource):
    """Back ends of one kind that serve requests."""

    kind: str = Field(default="Pool", pattern="^Pool$")
    """`Pool`."""
    spec: PoolSpec
    """What is wanted."""


class Comparison(Resource):
    """A split of a policy's live traffic over several arms."""

    kind: str = Field(default="Comparison", pattern="^Comparison$")
    """`Comparison`."""
    spec: ComparisonSpec
    """What is wanted."""


AnyResource = Policy | WeightVersion | Pool | Comparison

KINDS: dict[str, type[AnyResource]] = {
    "Policy": Policy,
    "WeightVersion": WeightVersion,
    "Pool": Pool,
    "Comparison": Comparison,
}

PLURALS: dict[str, str] = {
    "policies": "Policy",
    "weightversions": "WeightVersion",
    "pools": "Pool",
    "comparisons": "Comparison",
}
"""Kinds by their names in the paths of the resource API."""
