"""Typed interface of training steps, used by the gateway's trainers' API."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Result

from bellweir.routing.interface import Segment


class StepDeclaration(msgspec.Struct, frozen=True):
    """A step as a trainer declares it."""

    step_id: str
    """Chosen by the trainer; declaring the same step twice is no error."""
    policy: str
    prompts: tuple[str, ...]
    samples_per_prompt: int
    max_tokens: int
    minimum_version: int | None = None
    """No token of a sample may come from an older version."""
    staleness_bound_versions: int | None = None
    """Oldest version of a sample against the newest published when it is handed over."""
    staleness_bound_s: float | None = None
    """Seconds since a newer version than the sample's oldest was published."""
    deadline_s: float | None = None
    """Seconds from the declaration."""
    scorer: str | None = None
    """`host:port` of a scoring service."""


class StepState(Enum):
    """State of a step."""

    RUNNING = "running"
    COMPLETE = "complete"
    """Every slot has been acknowledged."""
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Sample(msgspec.Struct, frozen=True):
    """A sample as handed to a trainer."""

    sample_id: str
    """`step_id/slot/generation number`."""
    step_id: str
    slot: int
    prompt_index: int
    prompt: str
    text: str
    tokens: tuple[int, ...]
    segments: tuple[Segment, ...]
    score: float | None


class SampleBatch(msgspec.Struct, frozen=True):
    """Samples after a cursor, in delivery order."""

    samples: tuple[Sample, ...]
    cursor: int
    """Cursor behind the last sample; pull with it to go on, acknowledge it to move on."""
    complete: bool
    """Whether no samples will follow."""


class StepStatus(msgspec.Struct, frozen=True):
    """Progress of a step."""

    step_id: str
    state: StepState
    slots: int
    filled: int
    running: int
    waiting: int
    regenerated: int
    delivered: int
    acknowledged: int
    expected_end_s: float | None
    """Seconds from now."""


class StepErrorKind(Enum):
    """Why a step call failed."""

    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The step id was declared before with other contents."""
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class StepError:
    """A failed step call."""

    kind: StepErrorKind
    detail: str
    retry_after_s: float | None = None


class Samples(ABC):
    """Training steps; any node serves them. Service `samples`."""

    @abstractmethod
    def declare(self, declaration: StepDeclaration) -> Result[StepStatus, StepError]:
        """Declare a step; its generation starts at once."""

    @abstractmethod
    def pull(
        self, step_id: str, cursor: int, limit: int, wait_s: float
    ) -> Result[SampleBatch, StepError]:
        """Samples after `cursor`; waits up to `wait_s` for the first one.

        The same cursor gives the same samples in the same order.
        """

    @abstractmethod
    def acknowledge(self, step_id: str, cursor: int) -> Result[StepStatus, StepError]:
        """The trainer has durably taken everything before `cursor`; it never moves back."""

    @abstractmethod
    def status(self, step_id: str) -> Result[StepStatus, StepError]:
        """Progress of a step."""

    @abstractmethod
    def cancel(self, step_id: str) -> Result[StepStatus, StepError]:
        """Cancel a step and its running generations."""
