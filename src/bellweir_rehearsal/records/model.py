"""The records that the kit writes, one JSON object a line; times are seconds since 1970 UTC."""

from enum import Enum
from typing import TypeAlias

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="record"):
    """Base of all records."""

    time_s: float


class CallKind(Enum):
    """What a caller asked for."""

    COMPLETION = "completion"
    APPLICATION = "application"


class CallOutcome(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    """The whole answer arrived: full length or end marker."""
    REFUSED = "refused"
    """A whole refusal arrived."""
    CUT = "cut"
    """A byte was written, and no whole answer came back."""
    NOT_CONNECTED = "not_connected"
    """No connection could be made, so nothing was sent."""


class CallSent(Record, frozen=True):
    """A caller is about to send a request to a node."""

    call_id: str
    """Unique for each HTTP request; sent as `X-Request-Id`."""
    caller: str
    node: str
    kind: CallKind
    request_class: str
    target: str
    """Policy of a completion, or pool and path of an application request."""
    method: str = "POST"
    idempotency_key: str | None = None
    prompt: str | None = None
    max_tokens: int | None = None
    body_sha256: str | None = None
    streamed: bool = False
    deadline_ms: int | None = None
    scheduled_s: float = 0.0
    """When the call was due; latencies count from here."""


class VersionRange(msgspec.Struct, frozen=True):
    """A run of tokens that one weight version is said to have produced."""

    weight_version: int
    first_token: int
    token_count: int


class CallEnded(Record, frozen=True):
    """A call has ended for its caller."""

    call_id: str
    outcome: CallOutcome
    status: int | None = None
    run_state: str | None = None
    """`not_run`, `unknown` or `ran`, as the refusal says."""
    reason: str | None = None
    detail: str = ""
    text: str | None = None
    finish_reason: str | None = None
    token_count: int | None = None
    versions: tuple[VersionRange, ...] = ()
    answer_request_id: str | None = None
    """Request that a completion says it is for."""
    answer_method: str | None = None
    """Application answers: what the worker says it ran."""
    answer_target: str | None = None
    """Path and query."""
    answer_body_sha256: str | None = None
    answer_run_id: str | None = None
    """Attempt id of the run."""
    connection_reused: bool = False
    timed_out: bool = False
    """Whether the caller gave up waiting."""
    first_byte_s: float | None = None


class StepDeclared(Record, frozen=True):
    """A trainer's step was accepted by a node."""

    step_id: str
    trainer: str
    node: str
    policy: str
    prompts: tuple[str, ...]
    samples_per_prompt: int
    minimum_version: int | None
    staleness_bound_versions: int | None
    staleness_bound_s: float | None
    sent_s: float


class SampleReceived(Record, frozen=True):
    """A sample arrived at a trainer, for the first or a further time."""

    step_id: str
    sample_id: str
    slot: int
    position: int
    """Place in the step's delivery order, from 0."""
    prompt: str
    tokens: tuple[int, ...]
    text: str
    versions: tuple[VersionRange, ...]
    node: str
    pulled_s: float
    """When the pull that brought it was sent."""


class SamplesAcknowledged(Record, frozen=True):
    """A trainer has taken everything before a cursor; `accepted` once a node said so."""

    step_id: str
    cursor: int
    accepted: bool


class StepEnded(Record, frozen=True):
    """A trainer has left a step."""

    step_id: str
    state: str
    """`complete`, `cancelled`, `expired`, or `abandoned` when the run ended first."""
    received: int
    expected: int


class TrainerIdle(Record, frozen=True):
    """A trainer waited for samples."""

    trainer: str
    step_id: str
    idle_s: float


class WriteAccepted(Record, frozen=True):
    """An operator's write was accepted."""

    operator: str
    node: str
    kind: str
    name: str
    revision: int
    sent_s: float
    deleted: bool = False
    published_policy: str | None = None
    """Policy whose new weight version this write published."""
    published_version: int | None = None


class WriteFailed(Record, frozen=True):
    """An operator's write was not accepted, or its outcome is unknown."""

    operator: str
    node: str
    kind: str
    name: str
    status: int | None
    detail: str
    unknown: bool
    """Whether it may have taken effect, as the answer says or as no answer came."""
    mark: str | None = None
    """Label by which the store's log tells this write from others."""


class ConfigurationSeen(Record, frozen=True):
    """The revision that a node had in force."""

    node: str
    incarnation: int
    """Counts the starts of the node's process."""
    revision: int
    asked_s: float
    objects: dict[str, int] = {}
    """Version of each object, by `Kind/name`."""


class FaultBegan(Record, frozen=True):
    """A fault was injected."""

    fault_id: str
    kind: str
    targets: tuple[str, ...]
    planned: bool
    """Whether it is a planned act, such as a stop, and no failure."""


NOT_ENDED = "not ended"
"""Begins the detail of a fault whose targets did not come back."""


class FaultEnded(Record, frozen=True):
    """A fault is over: the target works again, or has been replaced."""

    fault_id: str
    kind: str
    targets: tuple[str, ...]
    detail: str = ""


class NodeStarted(Record, frozen=True):
    """A node's process is up."""

    node: str
    has_data_folder: bool


class NodeStopping(Record, frozen=True):
    """A node was sent SIGTERM."""

    node: str


class NodeExited(Record, frozen=True):
    """A node's process ended."""

    node: str
    exit_code: int
    planned: bool


class WorkerLeaving(Record, frozen=True):
    """A worker was marked as leaving; from here on it must soon get no new work."""

    worker: str
    how: str
    """`operator`, `own_answer` or `machine_list`."""


class WorkerReturned(Record, frozen=True):
    """A worker that was leaving takes work again."""

    worker: str


AnyRecord: TypeAlias = (
    CallSent
    | CallEnded
    | StepDeclared
    | SampleReceived
    | SamplesAcknowledged
    | StepEnded
    | TrainerIdle
    | WriteAccepted
    | WriteFailed
    | ConfigurationSeen
    | FaultBegan
    | FaultEnded
    | NodeStarted
    | NodeStopping
    | NodeExited
    | WorkerLeaving
    | WorkerReturned
)
