"""What load is made of: request classes, their rates and their shapes."""

from typing import Literal

from pydantic import Field, model_validator

from bellweir_rehearsal.topology.deployment import Part


class ArrivalShape(Part):
    """How requests of a class arrive."""

    shape: Literal["poisson", "bursts", "diurnal", "trace"] = "poisson"
    period_s: float = Field(default=10.0, gt=0)
    """Bursts: time between two of them."""
    burst_s: float = Field(default=1.0, gt=0)
    """Bursts: how long each lasts."""
    factor: float = Field(default=5.0, gt=0)
    """Bursts: rate within one, as a multiple."""
    day_s: float = Field(default=60.0, gt=0)
    """Diurnal: length of the day."""
    swing: float = Field(default=0.8, ge=0, le=1)
    """Diurnal: how far the rate swings around its mean."""
    trace_file: str | None = None
    """Trace: file of one JSON object a line with `at_s`."""
    speed: float = Field(default=1.0, gt=0)
    """Trace: how much faster it is replayed."""

    @model_validator(mode="after")
    def _trace_has_file(self) -> "ArrivalShape":
        if self.shape == "trace" and self.trace_file is None:
            raise ValueError("a trace needs trace_file")
        return self


class TrafficClass(Part):
    """Requests of one kind."""

    name: str
    kind: Literal["completion", "application"]
    request_class: Literal["interactive", "lookup", "once", "draft"]
    rate_for_each_s: float = Field(ge=0, le=2000)
    """Arrivals a second, over all callers."""
    arrivals: ArrivalShape = ArrivalShape()
    target: str
    """Policy, or application pool."""
    method: Literal["GET", "POST"] = "POST"
    path: str = "/"
    median_tokens: int = Field(default=24, ge=1)
    body_bytes: int = Field(default=200, ge=0, le=1 << 20)
    streamed_share: float = Field(default=0.5, ge=0, le=1)
    deadline_ms: int = Field(default=5_000, ge=1)


class TrainerLoad(Part):
    """Trainers of one policy."""

    policy: str
    trainers: int = Field(default=1, ge=0, le=16)
    prompts_for_each_step: int = Field(default=8, ge=1)
    samples_per_prompt: int = Field(default=2, ge=1)
    max_tokens: int = Field(default=200, ge=1)
    train_s: float = Field(default=2.0, ge=0)
    step_timeout_s: float = Field(default=45.0, gt=0)
    steps: int | None = Field(default=None, ge=1)
    """Steps of each trainer; as many as fit into the run when left out."""
    publishes: bool = True
    """Whether a new version is published after each step."""


class Load(Part):
    """All load of a run; bounded in count and time."""

    callers_for_each_node: int = Field(default=2, ge=1, le=64)
    maximum_requests: int = Field(default=20_000, ge=1, le=1_000_000)
    maximum_in_flight: int = Field(default=128, ge=1, le=512)
    traffic: tuple[TrafficClass, ...] = ()
    trainers: tuple[TrainerLoad, ...] = ()
