"""State of steps and slots as the ledger keeps it: plain data that a snapshot holds whole."""

import msgspec

from bellweir.routing.interface import Segment
from bellweir.samples.interface import StepState
from bellweir.samples.messages import BulkValue, Publication, StepTerms
from bellweir.samples.staleness import StalenessBound


class SlotLease(msgspec.Struct):
    """Who runs an attempt of a slot, and until when it may be believed."""

    holder: str
    attempt_id: str
    expires_at_s: float


class SlotSample(msgspec.Struct):
    """The sample that fills a slot."""

    attempt_id: str
    generation: int
    content: BulkValue
    segments: tuple[Segment, ...]
    score: float | None
    commit_order: int
    """Position among the step's commits; samples are handed over in this order."""


class SlotRecord(msgspec.Struct):
    """One numbered place of a step."""

    generation: int = 0
    """Samples dropped from this slot so far."""
    sample: SlotSample | None = None
    delivered: bool = False
    leases: list[SlotLease] = msgspec.field(default_factory=list)


class StepRecord(msgspec.Struct):
    """One step."""

    terms: StepTerms
    declared_at_s: float
    state: StepState
    slots: list[SlotRecord]
    publications: tuple[Publication, ...] = ()
    now_s: float = 0.0
    """Newest time this step was told of; never goes back."""
    swept_below: int | None = None
    """Samples of older versions than this have been dropped."""
    commits: int = 0
    regenerated: int = 0
    delivery: list[int] = msgspec.field(default_factory=list)
    """Slot numbers in delivery order; only ever appended to."""
    batch_ends: list[int] = msgspec.field(default_factory=list)
    """Cursor behind each batch handed over, so that a repeated pull gives the same batch."""
    acknowledged: int = 0
    ended_at_s: float | None = None

    @property
    def bound(self) -> StalenessBound:
        """The declared staleness bound."""
        terms = self.terms
        return StalenessBound(
            terms.minimum_version, terms.staleness_bound_versions, terms.staleness_bound_s
        )

    @property
    def is_running(self) -> bool:
        """Whether its slots may still be filled."""
        return self.state is StepState.RUNNING

    @property
    def ends_at_s(self) -> float | None:
        """Wall-clock time of its deadline."""
        if self.terms.deadline_s is None:
            return None
        return self.declared_at_s + self.terms.deadline_s


class ShardState(msgspec.Struct):
    """All steps of one shard."""

    steps: dict[str, StepRecord] = msgspec.field(default_factory=dict)
