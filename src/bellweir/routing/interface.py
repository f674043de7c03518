"""Typed interfaces of routing: dispatching generations and application requests."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import BinaryIO

import msgspec
from returns.result import Result

from bellweir.clients.interface import ApplicationAnswer, FinishReason
from bellweir.resources.models import RequestClass


class RunState(Enum):
    """What is known about whether a refused request has run."""

    NOT_RUN = "not_run"
    """Proved: no back end has run any of it."""
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalReason(Enum):
    """Why a request was refused; the gateway maps each to an HTTP status."""

    INVALID = "invalid"
    NO_SUCH_POOL = "no_such_pool"
    NO_SUCH_POLICY = "no_such_policy"
    NO_BACKEND = "no_backend"
    """No ready back end serves an admissible version."""
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    """The deadline passed, or cannot be met."""
    KEY_MISSING = "key_missing"
    KEY_EXPIRED = "key_expired"
    KEY_IN_PROGRESS = "key_in_progress"
    """The first request with this key is still running."""
    KEY_MISMATCH = "key_mismatch"
    """The key was used for a different request."""
    BACKEND_FAILED = "backend_failed"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    DRAINING = "draining"


@dataclass(frozen=True)
class Refusal:
    """The final answer to a request that has no result."""

    reason: RefusalReason
    run_state: RunState
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class GenerationRequest:
    """A generation asked for by a caller or by a training step."""

    request_id: str
    policy: str
    prompt: str
    max_tokens: int
    request_class: RequestClass
    deadline_monotonic_s: float | None
    """On the kernel's monotonic clock."""
    caller: str = ""
    """Who asks, for fairness between callers."""
    unit: str | None = None
    """Unit key of comparisons; the caller when absent."""
    minimum_version: int | None = None
    prefix_tokens: tuple[int, ...] = ()
    """Tokens had from an earlier, interrupted generation."""
    avoid_workers: tuple[str, ...] = ()
    stop: tuple[str, ...] = ()
    temperature: float = 1.0
    seed: int | None = None


class Segment(msgspec.Struct, frozen=True):
    """A run of tokens produced by one weight version."""

    weight_version: int
    first_token: int
    token_count: int


@dataclass(frozen=True)
class GenerationChunk:
    """Tokens of a generation, in order and without gaps or repeats across attempts."""

    tokens: tuple[int, ...]
    text: str
    weight_version: int
    worker: str
    finish_reason: FinishReason | None = None
    """Set on the last chunk of a whole answer only."""


class Generation(ABC):
    """A running generation; iterate it to its end or cancel it."""

    @abstractmethod
    def __iter__(self) -> Iterator[Result[GenerationChunk, Refusal]]:
        """Yield chunks; resumed on another engine when one fails. A refusal ends it."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancel on the engine and end the iteration; from any thread, any number of times."""


@dataclass(frozen=True)
class ApplicationRequest:
    """A request to an application pool."""

    request_id: str
    pool: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: BinaryIO | bytes
    body_length: int | None
    request_class: RequestClass
    deadline_monotonic_s: float | None
    caller: str = ""
    idempotency_key: str | None = None


@dataclass(frozen=True)
class ArmStatistics:
    """Generations of one arm of a comparison on this node, since its start."""

    comparison: str
    arm: str
    started: int
    completed: int
    failed: int
    tokens: int
    first_token_s: float
    """Sum of times to the first token, in seconds, over `first_tokens` generations."""
    first_tokens: int
    whole_s: float
    """Sum of times of completed generations, in seconds."""


@dataclass(frozen=True)
class DispatchStatistics:
    """Counters for status and metrics."""

    by_outcome: dict[str, int] = field(default_factory=dict)
    attempts: int = 0
    requests: int = 0
    by_arm: tuple[ArmStatistics, ...] = ()


class Dispatcher(ABC):
    """Serves requests on back ends. Service `dispatcher`."""

    @abstractmethod
    def generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        """Admit a generation and start its first attempt; a refusal is final and immediate."""

    @abstractmethod
    def forward(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        """Forward to an application worker: limits, claim (class once), retries."""

    @abstractmethod
    def statistics(self) -> DispatchStatistics:
        """Counters since the start."""


@dataclass(frozen=True)
class BackendView:
    """What this node believes of one back end of its subset."""

    worker: str
    address: str
    pool: str
    zone: str
    ready: bool
    leaving: bool
    weight_version: int | None
    outstanding_here: int
    reported_load: int
    age_s: float
    """Seconds since the owner's report was made."""


class BackendViews(ABC):
    """Views of the back ends this node routes over. Service `backend_views`."""

    @abstractmethod
    def views(self, pool: str) -> tuple[BackendView, ...]:
        """The subset of one pool."""
