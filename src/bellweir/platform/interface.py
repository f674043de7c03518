"""Typed interfaces to the outside systems. Implementations live in one module for each system.

Every call returns `returns.result.Result`; a failure is a `PlatformError`. Times are seconds.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, BinaryIO

from returns.result import Result


class ErrorKind(Enum):
    """What went wrong towards an outside system, as far as it is known."""

    NOT_RUN = "not_run"
    """Proved not to have run: no connection, no byte written, or the system's own refusal."""
    UNKNOWN = "unknown"
    """A byte was written and no whole answer came back; it may have run."""
    CONFLICT = "conflict"
    """A compare-and-set found another version."""
    NOT_FOUND = "not_found"
    COMPACTED = "compacted"
    """The watch's start revision is no longer kept; list again."""
    FENCED = "fenced"
    """The system has accepted a newer order."""
    INVALID = "invalid"
    """The system found the call itself wrong; repeating it is useless."""
    OVERLOADED = "overloaded"
    """Refused for load, proved not run; try later or elsewhere."""
    LEAVING = "leaving"
    """Refused because the back end is leaving, proved not run."""


@dataclass(frozen=True)
class PlatformError:
    """A failed call to an outside system."""

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    answered: bool = False
    """Whether the system itself has answered, with a refusal: it can be reached."""

    @property
    def proves_not_run(self) -> bool:
        """Whether the call surely had no effect."""
        return self.kind is not ErrorKind.UNKNOWN


# --- object API -------------------------------------------------------------------------------


@dataclass(frozen=True)
class StoredObject:
    """One object of the platform's store: a resource document with its version."""

    kind: str
    name: str
    version: int
    """Store revision of the object's last write."""
    document: Mapping[str, Any]
    """The resource document (apiVersion, kind, metadata, spec, status) without the version."""


@dataclass(frozen=True)
class ObjectList:
    """All objects as of one store revision."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class ObjectChange:
    """One change seen by a watch; `deleted` objects carry their last document."""

    revision: int
    stored: StoredObject
    deleted: bool


MUTATION_ANNOTATION = "bellweir.dev/mutation-id"
"""Annotation in which a written document carries the id of its write."""


class ObjectStore(ABC):
    """The platform's object API with versions and watches; it can serve a few readers only."""

    @abstractmethod
    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """Read all objects."""

    @abstractmethod
    def watch(
        self, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ObjectChange, PlatformError]]:
        """Yield changes after `from_revision` until `timeout_s` without change, or an error.

        An error ends the iteration; `COMPACTED` asks for a new list.
        """

    @abstractmethod
    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object, linearizably."""

    @abstractmethod
    def put(
        self, document: Mapping[str, Any], expected_version: int | None, mutation_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Write one object. `expected_version` 0 creates; a number replaces that version.

        `mutation_id` is stored in the document's metadata annotations, so that after an
        `UNKNOWN` answer the writer can read back whether its write took effect.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, expected_version: int) -> Result[int, PlatformError]:
        """Delete that version; the success is the store revision of the deletion."""


# --- machine list -----------------------------------------------------------------------------


class MachineState(Enum):
    """What the platform says of a machine; it lags behind the truth."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Machine:
    """A machine on the platform's list."""

    name: str
    address: str
    """`host:port` of its service: a node's peer port, or a worker's HTTP port."""
    zone: str
    region: str
    role: str
    """`node`, `engine` or `application`."""
    pool: str | None
    state: MachineState


@dataclass(frozen=True)
class MachineSnapshot:
    """The machine list as the platform last published it."""

    revision: int
    machines: tuple[Machine, ...]


class MachineList(ABC):
    """The platform's lagging list of live and leaving machines."""

    @abstractmethod
    def read(self) -> Result[MachineSnapshot, PlatformError]:
        """Read the whole list."""


# --- engines ----------------------------------------------------------------------------------


@dataclass(frozen=True)
class GenerationCall:
    """One attempt to generate on an engine."""

    attempt_id: str
    """Unique for each attempt; cancels and logs name it."""
    request_id: str
    prompt: str
    prefix_tokens: tuple[int, ...]
    """Tokens generated by earlier attempts; the engine goes on after them."""
    max_tokens: int
    """Tokens to generate in all, prefix included."""
    priority: int
    """Lower is served first; 0 interactive, 10 drafts."""
    model: str
    """The policy's model name on the engine."""
    minimum_version: int | None
    """The engine refuses the call when its version is older."""
    deadline_s: float | None
    """Seconds left until the answer is worthless."""
    stop: tuple[str, ...] = ()
    temperature: float = 1.0
    seed: int | None = None
    silence_s: float = 30.0
    """Longest silence of the engine before the client gives the attempt up as unknown.

    Engines send a heartbeat every half second while an attempt waits, so that a frozen engine can
    be told from a busy one."""


class FinishReason(Enum):
    """Why a generation ended; a stream without one was cut."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class TokenChunk:
    """Tokens of one stream frame, all produced by one weight version."""

    tokens: tuple[int, ...]
    text: str
    weight_version: int
    finish_reason: FinishReason | None = None
    cached_prompt_tokens: int | None = None
    """Prompt tokens found in the engine's prefix cache; given on the first chunk."""


class EngineRole(Enum):
    """What an engine serves."""

    MIXED = "mixed"
    INTERACTIVE = "interactive"
    DRAFT = "draft"


@dataclass(frozen=True)
class EngineState:
    """An engine's own report; load lags."""

    engine: str
    ready: bool
    leaving: bool
    model: str | None
    weight_version: int | None
    """None while a swap is unfinished or failed; the engine then refuses generation."""
    adapters: tuple[str, ...]
    role: EngineRole
    order_fence: tuple[int, int]
    """(configuration revision, version) of the newest accepted order."""
    running: int
    waiting: int
    cache_used_tokens: int
    cache_capacity_tokens: int
    maximum_batch: int
    swap_error: str | None = None


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix block stored in or evicted from an engine's cache."""

    sequence: int
    """Consecutive for each engine; a jump is a gap."""
    stored: bool
    block_hash: int
    """xxh64 of the prompt's text up to the block's end, see `PREFIX_BLOCK_CHARACTERS`."""


PREFIX_BLOCK_CHARACTERS = 64
"""Length of the prompt block that cache events name, in characters."""


@dataclass(frozen=True)
class CacheEventBatch:
    """Cache events after a sequence number; `complete` is false when the engine dropped some."""

    events: tuple[CacheEvent, ...]
    next_sequence: int
    complete: bool


@dataclass(frozen=True)
class EngineOrder:
    """A fenced order: the engine refuses one whose fence is older than the newest it accepted."""

    fence: tuple[int, int]
    """(configuration revision, version number)."""
    model: str
    weight_version: int
    adapters: tuple[str, ...]
    role: EngineRole
    sources: tuple[str, ...]
    """Where to fetch weights, in order of preference: `host:port` of engines or of the store."""


class EngineStream(ABC):
    """A running generation: iterate the chunks, then close it."""

    @abstractmethod
    def __iter__(self) -> Iterator[Result[TokenChunk, PlatformError]]:
        """Yield chunks; the last one has a finish reason, or an error ends the stream."""

    @abstractmethod
    def close(self) -> None:
        """Drop the connection; safe from another thread and twice."""


class Engine(ABC):
    """Client of one model engine."""

    @abstractmethod
    def generate(self, call: GenerationCall) -> Result[EngineStream, PlatformError]:
        """Start an attempt; success means that the engine has accepted it."""

    @abstractmethod
    def cancel(self, attempt_id: str) -> Result[None, PlatformError]:
        """Cancel an attempt; unknown ones are no error."""

    @abstractmethod
    def read_state(self, timeout_s: float) -> Result[EngineState, PlatformError]:
        """Read the engine's report; used as its health probe."""

    @abstractmethod
    def read_cache_events(self, after_sequence: int) -> Result[CacheEventBatch, PlatformError]:
        """Read cache events after a sequence number."""

    @abstractmethod
    def order(self, order: EngineOrder) -> Result[EngineState, PlatformError]:
        """Send an order; `FENCED` when the engine holds a newer one."""


# --- applications -----------------------------------------------------------------------------


@dataclass(frozen=True)
class ApplicationCall:
    """One attempt of an application request."""

    attempt_id: str
    method: str
    path: str
    """Path and query, as sent."""
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers only."""
    body: BinaryIO | bytes
    body_length: int | None
    timeout_s: float


@dataclass(frozen=True)
class ApplicationAnswer:
    """An answer whose headers have arrived; the body streams."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    """Raises `IncompleteBodyError` when it ends short of its length or end marker."""
    leaving: bool = False


class IncompleteBodyError(IOError):
    """A body ended before its declared length or end marker."""


class Application(ABC):
    """Client of one application worker."""

    @abstractmethod
    def send(self, call: ApplicationCall) -> Result[ApplicationAnswer, PlatformError]:
        """Send one attempt; an error tells whether it may have run."""

    @abstractmethod
    def read_ready(self, timeout_s: float) -> Result["ApplicationState", PlatformError]:
        """Read the worker's own report; used as its health probe."""


@dataclass(frozen=True)
class ApplicationState:
    """An application worker's own report."""

    worker: str
    ready: bool
    leaving: bool
    running: int


# --- weight store and scorers -----------------------------------------------------------------


class WeightStore(ABC):
    """The rate-limited store of weights; engines read from it when an order names it."""

    address: str
    """`host:port` that orders name as a source."""

    @abstractmethod
    def read_manifest(self, model: str, version: int) -> Result["WeightManifest", PlatformError]:
        """Read what the store holds of a version."""


@dataclass(frozen=True)
class WeightManifest:
    """A version held by the weight store."""

    model: str
    version: int
    size_bytes: int
    checksum: str


@dataclass(frozen=True)
class ScoreCall:
    """A finished sample to score."""

    sample_id: str
    prompt: str
    text: str


class Scorer(ABC):
    """A service that scores samples; scoring may be repeated."""

    @abstractmethod
    def score(self, call: ScoreCall, timeout_s: float) -> Result[float, PlatformError]:
        """Score one sample."""


# --- construction -----------------------------------------------------------------------------


@dataclass(frozen=True)
class PlatformAddresses:
    """Where the platform's own services listen, `host:port`; None where there is none."""

    object_api: str | None
    machine_list: str | None
    weight_store: str | None
    extra: Mapping[str, str] = field(default_factory=dict)


class PlatformClients(ABC):
    """Makes clients; the only way other packages reach outside systems."""

    @abstractmethod
    def object_store(self) -> ObjectStore:
        """Client of the object API."""

    @abstractmethod
    def machine_list(self) -> MachineList:
        """Client of the machine list."""

    @abstractmethod
    def weight_store(self) -> WeightStore:
        """Client of the weight store."""

    @abstractmethod
    def engine(self, address: str) -> Engine:
        """Client of the engine at `host:port`; pooled, the same for the same address."""

    @abstractmethod
    def application(self, address: str) -> Application:
        """Client of the application worker at `host:port`; pooled."""

    @abstractmethod
    def scorer(self, address: str) -> Scorer:
        """Client of the scorer at `host:port`; pooled."""

    @abstractmethod
    def close(self) -> None:
        """Close every pooled connection."""
