"""Types and abstract classes of the hosting platform, which an adapter implements."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from returns.result import Result


@dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that clients, gateways and workers exchange."""

    request_id: str
    deadline_ms: str
    expect_instance: str
    not_executed: str
    """On a worker's response: the request was not run."""
    stamp: str
    """A worker's signature of its response."""
    last_event_id: str
    wait_ms: str
    """Maximum time in milliseconds for which a call may be held open."""
    weight_versions: str
    """On a worker's response, and in lower case on an event: the version of the weights."""
    length_hint: str
    """On a request: the caller's estimate of the response length in tokens."""
    tenant: str
    """On a request to a worker: the tenant to which the client's key belongs."""
    urgency: str
    """On a request to a worker: 0 (most urgent) to 9; default 5."""
    authorization: str
    """On a client's request: its key. Not forwarded to workers if tenants are configured."""
    server_load: str
    """On a worker's response: running and waiting requests, slots and current service times."""

    @property
    def of_answers(self) -> frozenset[str]:
        """Lower-case names of headers of workers' answers, each of which has one value."""
        names = (
            self.request_id,
            self.not_executed,
            self.stamp,
            self.weight_versions,
            self.server_load,
        )
        return frozenset(name.lower() for name in names)

    @property
    def client_only(self) -> frozenset[str]:
        """Lower-case names of headers that are not forwarded if tenants are configured."""
        return frozenset({self.tenant.lower(), self.authorization.lower()})


@dataclass(frozen=True)
class CallPaths:
    """Paths of the client interfaces that the platform prescribes."""

    batch_job: str
    """Prefix of a batch job's results and completion, followed by the job id."""
    batch_item: str
    """Prefix of an item's body, followed by the job id."""


class StoreErrorKind(Enum):
    """Cause of a failed call to the object store."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object has another revision, or exists already."""
    COMPACTED = "compacted"
    """The history requested by a watch was compacted; list again."""
    NOT_DONE = "not_done"
    """Certainly without effect: no connection, refused or throttled."""
    UNKNOWN = "unknown"
    """No response: a write may have taken effect, or may still do so."""


@dataclass(frozen=True)
class StoreError:
    """A failed call to the object store."""

    kind: StoreErrorKind
    detail: str


class StoredRecord(msgspec.Struct, frozen=True):
    """One object in the store."""

    kind: str
    name: str
    revision: int
    """Store revision of its last change."""
    spec: Any
    """Decoded JSON: dicts, lists, strings, numbers."""
    status: Any = None


@dataclass(frozen=True)
class UnreadableRecord:
    """An undecodable or invalid object; holds none of its contents, which may be keys."""

    kind: str
    name: str | None
    """None if the name can't be decoded."""
    revision: int | None
    cause: str
    digest: str = ""
    """Digest of its bytes, which identifies it if the revision can't be decoded."""


@dataclass(frozen=True)
class Listing:
    """All objects of a kind at one store revision."""

    revision: int
    records: tuple[StoredRecord, ...]
    unreadable: tuple[UnreadableRecord, ...] = ()
    """Objects that can't be read; treated as absent."""

    @property
    def newest_revision(self) -> int:
        """Highest revision of the listed objects; 0 for an empty list.

        A revision beyond that of the list was not given by the store, and counts for nothing.
        """
        read = (each.revision for each in self.records)
        unreadable = (each.revision or 0 for each in self.unreadable)
        return max((each for each in (*read, *unreadable) if each <= self.revision), default=0)


@dataclass(frozen=True)
class RecordChange:
    """One change reported by a watch."""

    record: StoredRecord
    deleted: bool


@dataclass(frozen=True)
class Changes:
    """Result of a watch; the next watch continues from `revision`."""

    revision: int
    changes: tuple[RecordChange, ...]
    unreadable: tuple[UnreadableRecord, ...] = ()
    """Objects that can't be read; those with a known name are also in `changes` as deleted."""

    @property
    def is_complete(self) -> bool:
        """Whether the object of every change is known; if not, a list is needed."""
        return all(each.name is not None for each in self.unreadable)


class RecordStore(ABC):
    """The hosting platform's object store. Calls block; each has its own timeout."""

    @abstractmethod
    def list_kind(self, kind: str, *, stale: bool = False) -> Result[Listing, StoreError]:
        """Read all objects of a kind; `stale` reads are cheap but may lag by seconds."""

    @abstractmethod
    def read(self, kind: str, name: str) -> Result[StoredRecord, StoreError]:
        """Read one object (linearizable)."""

    @abstractmethod
    def watch(self, kind: str, revision: int, wait_s: float) -> Result[Changes, StoreError]:
        """Return the changes after `revision`, waiting up to `wait_s` for the first."""

    @abstractmethod
    def interrupt_watches(self, kind: str) -> None:
        """Make the pending watches of a kind fail immediately."""

    @abstractmethod
    def create(self, kind: str, name: str, spec: Any) -> Result[StoredRecord, StoreError]:
        """Create an object; `CONFLICT` if it exists."""

    @abstractmethod
    def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's spec if it still has `revision`."""

    @abstractmethod
    def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's status if it still has `revision`."""

    @abstractmethod
    def delete(self, kind: str, name: str, revision: int | None) -> Result[None, StoreError]:
        """Delete an object; with a revision, only if it still has that revision."""


class RecordKind:
    """Kinds of objects in the store."""

    CONFIGURATION = "config"
    WORKERS = "servers"
    RETIREMENTS = "retirements"
    VERSIONS = "versions"
    EVACUATIONS = "evacuations"
    """Zones whose workers must get no work, by name."""
    NODES = "bellweir-nodes"
    """Addresses of nodes, for peer discovery. Written only by this service."""
    LEASES = "bellweir-leases"
    """Leases of duties. Written only by this service."""
    LEDGERS = "bellweir-ledgers"
    """Placement of the ledger's replicas. Written only by this service."""


class OrderOutcome(Enum):
    """Outcome of an order to a worker."""

    ACCEPTED = "accepted"
    """In progress."""
    IN_FORCE = "in_force"
    """Already in effect."""
    CONFLICT = "conflict"
    """Another order is in progress, or the expected sequence number differs."""
    FENCED = "fenced"
    WRONG_INSTANCE = "wrong_instance"
    """Another worker has this address."""
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    """Certainly not accepted."""
    UNKNOWN = "unknown"
    """No response; the order may be executed now or seconds later."""


@dataclass(frozen=True)
class VersionOrder:
    """An order to load a version of a model's weights."""

    model: str
    version: int
    mode: str
    """`wait`, `truncate` or `retain`: how running requests are treated."""
    holder: str
    fencing_token: int
    expected_sequence: int | None


class ModelState(msgspec.Struct, frozen=True):
    """A model held by a worker."""

    name: str
    version: int


@dataclass(frozen=True)
class WorkerReport:
    """A worker's report of its own state, which may be some hundred milliseconds old."""

    models: tuple[ModelState, ...]
    order_in_progress: bool
    sequence: int
    """Number of orders accepted since its start."""
    born_ms: int = 0
    """Start time in Unix milliseconds; 0 if unknown."""


class WorkerControl(ABC):
    """Control calls to workers."""

    @abstractmethod
    def report(self, address: str, timeout_s: float) -> WorkerReport | None:
        """Ask a worker for its report; None without a valid response."""

    @abstractmethod
    def order(
        self, address: str, instance: str, order: VersionOrder, timeout_s: float
    ) -> OrderOutcome:
        """Send an order to the worker `instance` at an address."""

    @abstractmethod
    def reset_connections(self, address: str) -> None:
        """Drop pooled connections to an address, since its worker was replaced or restarted."""


class DutyOutcome(Enum):
    """Outcome of a platform call that only one node at a time may make."""

    DONE = "done"
    REFUSED = "refused"
    """Not possible now, for any caller."""
    NOT_DONE = "not_done"
    """Certainly without effect: not reached, busy or throttled."""
    FENCED = "fenced"
    """A holder with a newer fencing token has called."""
    INVALID = "invalid"
    UNKNOWN = "unknown"
    """No response: the call may have taken effect, or may still do so."""


@dataclass(frozen=True)
class UsageReport:
    """Usage by tenant in one time window."""

    window: int
    """Number of the window since the Unix epoch."""
    counts: dict[str, int]
    """Requests started, by tenant."""
    holder: str
    fencing_token: int


@dataclass(frozen=True)
class WorkerCountOrder:
    """Desired number of workers of a service in a zone."""

    service: str
    zone: str
    count: int
    holder: str
    fencing_token: int


class DutyPlatform(ABC):
    """Platform calls that only one node at a time may make, each under a fencing token."""

    @abstractmethod
    def report_usage(self, report: UsageReport, timeout_s: float) -> DutyOutcome:
        """Report a window's usage. Idempotent."""

    @abstractmethod
    def order_workers(self, order: WorkerCountOrder, timeout_s: float) -> DutyOutcome:
        """Order a zone's number of workers; `REFUSED` if the zone has no capacity now."""


@dataclass(frozen=True)
class HostingPlatform:
    """The parts that an adapter provides."""

    headers: HeaderNames
    paths: CallPaths
    store: RecordStore
    control: WorkerControl
    duties_at: Callable[[str], DutyPlatform]
    """Creates the client of the duties interface at `host:port`."""
