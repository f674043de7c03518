"""Commands, queries and replies of the steps' state machine in the ledger.

Times are wall-clock seconds given by the caller; the state machine never reads a clock, and takes
the newest time it has been told, so that every replica decides the same.
"""

from enum import Enum

import msgspec

from bellweir.ledger.interface import Command, Query, Reply
from bellweir.routing.interface import Segment
from bellweir.samples.interface import StepStatus


class BulkValue(msgspec.Struct, frozen=True):
    """Bytes kept inline when small, else a reference into the segment store."""

    inline: bytes | None = None
    reference: str | None = None


class StepTerms(msgspec.Struct, frozen=True):
    """What the ledger keeps of a declaration; the prompts are bulk."""

    step_id: str
    policy: str
    slots: int
    samples_per_prompt: int
    max_tokens: int
    fingerprint: str
    """Digest of the whole declaration; tells a repeat from a conflict."""
    declaration: BulkValue
    minimum_version: int | None
    staleness_bound_versions: int | None
    staleness_bound_s: float | None
    deadline_s: float | None
    scorer: str | None


class Publication(msgspec.Struct, frozen=True):
    """A published weight version and when it was first seen."""

    version: int
    seen_at_s: float
    """Wall-clock seconds; 0 when it was published before anybody watched."""


class Observation(msgspec.Struct, frozen=True):
    """What a caller of the ledger knows of time and of the policy's newest versions."""

    now_s: float
    publications: tuple[Publication, ...] = ()


class DeclareStep(Command, frozen=True):
    """Create a step; a repeat with the same fingerprint changes nothing."""

    terms: StepTerms
    observation: Observation


class LeaseGrant(msgspec.Struct, frozen=True):
    """Leave to run one attempt of a slot."""

    slot: int
    attempt_id: str


class GrantLeases(Command, frozen=True):
    """Record who runs which slots. Leases save work; what a slot holds is decided at commit."""

    step_id: str
    holder: str
    grants: tuple[LeaseGrant, ...]
    expires_at_s: float
    observation: Observation


class CommitSample(Command, frozen=True):
    """Fill a slot; the first commit wins. Idempotent by `attempt_id`."""

    step_id: str
    slot: int
    attempt_id: str
    content: BulkValue
    segments: tuple[Segment, ...]
    score: float | None
    observation: Observation
    replaces_attempt: str | None = None
    """Replace this attempt's sample, when it is still the slot's and not yet handed over."""


class AttachScore(Command, frozen=True):
    """Record a sample's score; the first one stays. Idempotent."""

    step_id: str
    slot: int
    attempt_id: str
    score: float


class HandOver(Command, frozen=True):
    """Fix the next samples in delivery order. Idempotent: a repeat finds them fixed."""

    step_id: str
    cursor: int
    limit: int
    observation: Observation


class AcknowledgeSamples(Command, frozen=True):
    """Move the acknowledged cursor forward, never back."""

    step_id: str
    cursor: int


class CancelStep(Command, frozen=True):
    """End a step; nothing is handed over any more."""

    step_id: str


class ObserveStep(Command, frozen=True):
    """Tell a step of time and new versions: aged samples are dropped, a late step expires."""

    step_id: str
    observation: Observation


class ForgetStep(Command, frozen=True):
    """Remove a step that ended before `ended_before_s`."""

    step_id: str
    ended_before_s: float


class ReadSamples(Query, frozen=True):
    """Samples already fixed in delivery order behind a cursor."""

    step_id: str
    cursor: int
    limit: int


class ReadStatus(Query, frozen=True):
    """Progress of a step."""

    step_id: str


class ReadTerms(Query, frozen=True):
    """Terms of a step."""

    step_id: str


class Outcome(Enum):
    """What a command did."""

    DONE = "done"
    DUPLICATE = "duplicate"
    """The slot holds another attempt's sample."""
    STALE = "stale"
    """The sample's oldest version is outside the bound."""
    TOO_OLD = "too_old"
    """A segment comes from a version older than the step's minimum."""
    MALFORMED = "malformed"
    """The segments don't follow each other, or a number is out of range."""
    ENDED = "ended"
    """The step was cancelled, has expired or is complete."""
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"


class StepReply(Reply, frozen=True):
    """Outcome of a command on a step, and the step's progress after it."""

    outcome: Outcome
    status: StepStatus | None = None


class DeliveredSample(msgspec.Struct, frozen=True):
    """A sample fixed in delivery order."""

    slot: int
    generation: int
    content: BulkValue
    segments: tuple[Segment, ...]
    score: float | None


class SamplesReply(Reply, frozen=True):
    """Samples behind a cursor."""

    outcome: Outcome
    samples: tuple[DeliveredSample, ...] = ()
    cursor: int = 0
    complete: bool = False
    available: int = 0
    """Samples that could be handed over now, before the staleness check."""


class TermsReply(Reply, frozen=True):
    """Terms of a step."""

    outcome: Outcome
    terms: StepTerms | None = None
