"""What the hosting platform offers, as typed values and abstract classes.

The adapter implements these; everything else of `bellweir.hosted` uses only them.
"""

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
    """On a worker's answer: the request was not run."""
    stamp: str
    """A worker's signature of its answer."""
    last_event_id: str
    wait_ms: str
    """Longest time in milliseconds for which a call may be held."""
    weight_versions: str
    """On a worker's answer, and in lower case on an event: the version of the weights."""
    length_hint: str
    """On a request: tokens that its caller guesses the answer to have."""
    tenant: str
    """On a request to a worker: the tenant whose key the client carried."""
    urgency: str
    """On a request to a worker: 0 to 9, the most urgent first; 5 without it."""
    authorization: str
    """On a client's request: its key. Never sent to a worker of a deployment with tenants."""
    server_load: str
    """On a worker's answer: requests running, waiting, slots, and how long work takes there now."""

    @property
    def client_only(self) -> frozenset[str]:
        """Lower-case names of headers that end here where a deployment has tenants."""
        return frozenset({self.tenant.lower(), self.authorization.lower()})


@dataclass(frozen=True)
class CallPaths:
    """Paths under which clients reach the interfaces whose paths the platform prescribes."""

    batch_job: str
    """Results of a batch job and its end; the job's id follows."""
    batch_item: str
    """Body of an item; the job's id follows."""


class StoreErrorKind(Enum):
    """Why a call to the object store has no result."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object's revision is another one, or it exists already."""
    COMPACTED = "compacted"
    """The history that a watch asks for is gone: list again."""
    NOT_DONE = "not_done"
    """Surely without effect: no connection, refused or throttled."""
    UNKNOWN = "unknown"
    """No answer: a write may have been done, or may still be done."""


@dataclass(frozen=True)
class StoreError:
    """A call to the object store without a result."""

    kind: StoreErrorKind
    detail: str


class StoredRecord(msgspec.Struct, frozen=True):
    """One object of the store."""

    kind: str
    name: str
    revision: int
    """Store revision of its last change."""
    spec: Any
    """Plain values (maps, lists, strings, numbers)."""
    status: Any = None


@dataclass(frozen=True)
class UnreadableRecord:
    """An object that can't be read, of which nothing is used; never holds any of its bytes."""

    kind: str
    name: str | None
    """None where not even the name can be read."""
    revision: int | None
    cause: str
    digest: str = ""
    """Stands for its bytes where its revision can't be read."""


@dataclass(frozen=True)
class Listing:
    """All objects of a kind as of one store revision."""

    revision: int
    records: tuple[StoredRecord, ...]
    unreadable: tuple[UnreadableRecord, ...] = ()
    """Those that can't be read; they count as absent."""

    @property
    def newest_revision(self) -> int:
        """Revision of the newest change that the list shows; 0 without any."""
        read = (each.revision for each in self.records)
        unreadable = (each.revision or 0 for each in self.unreadable)
        return max((*read, *unreadable), default=0)


@dataclass(frozen=True)
class RecordChange:
    """One change that a watch reports."""

    record: StoredRecord
    deleted: bool


@dataclass(frozen=True)
class Changes:
    """What a watch reports; the next watch goes on from `revision`."""

    revision: int
    changes: tuple[RecordChange, ...]
    unreadable: tuple[UnreadableRecord, ...] = ()
    """Objects that can't be read; one whose name can stands among the changes as deleted."""

    @property
    def is_complete(self) -> bool:
        """Whether it is known of each change which object it is of."""
        return all(each.name is not None for each in self.unreadable)


class RecordStore(ABC):
    """The hosting platform's object store. Calls block; each has its own time-out."""

    @abstractmethod
    def list_kind(self, kind: str, *, stale: bool = False) -> Result[Listing, StoreError]:
        """Read all objects of a kind; `stale` may be seconds old and costs little."""

    @abstractmethod
    def read(self, kind: str, name: str) -> Result[StoredRecord, StoreError]:
        """Read one object, linearizably."""

    @abstractmethod
    def watch(self, kind: str, revision: int, wait_s: float) -> Result[Changes, StoreError]:
        """Return the changes after `revision`, as soon as there is one or `wait_s` has passed."""

    @abstractmethod
    def interrupt_watches(self, kind: str) -> None:
        """Have the watches of a kind that are in hand fail now."""

    @abstractmethod
    def create(self, kind: str, name: str, spec: Any) -> Result[StoredRecord, StoreError]:
        """Create an object; `CONFLICT` when it exists."""

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
        """Delete an object; with a revision only if it still has that one."""


class RecordKind:
    """Kinds of objects in the store."""

    CONFIGURATION = "config"
    WORKERS = "servers"
    RETIREMENTS = "retirements"
    VERSIONS = "versions"
    NODES = "bellweir-nodes"
    """Own kind: addresses of the nodes, to find peers by."""
    LEASES = "bellweir-leases"
    """Own kind: leases of duties."""
    LEDGERS = "bellweir-ledgers"
    """Own kind: where the ledger's replicas are."""


class OrderOutcome(Enum):
    """What a worker said to an order."""

    ACCEPTED = "accepted"
    """Under way."""
    IN_FORCE = "in_force"
    """It held already."""
    CONFLICT = "conflict"
    """Another order is under way, or the expected sequence number is another one."""
    FENCED = "fenced"
    WRONG_INSTANCE = "wrong_instance"
    """Another worker has the address."""
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    """Surely not taken."""
    UNKNOWN = "unknown"
    """No answer; it may be carried out now or seconds later."""


@dataclass(frozen=True)
class VersionOrder:
    """An order to load a version of a model's weights."""

    model: str
    version: int
    mode: str
    """`wait`, `truncate` or `retain`: what becomes of running requests."""
    holder: str
    fencing_token: int
    expected_sequence: int | None


class ModelState(msgspec.Struct, frozen=True):
    """A model as a worker holds it."""

    name: str
    version: int


@dataclass(frozen=True)
class WorkerReport:
    """A worker's own account, some hundred milliseconds old."""

    models: tuple[ModelState, ...]
    order_in_progress: bool
    sequence: int
    """Orders taken since its start."""
    born_ms: int = 0
    """Unix millisecond of its start; 0 where it does not tell it."""


class WorkerControl(ABC):
    """Calls to workers besides requests."""

    @abstractmethod
    def report(self, address: str, timeout_s: float) -> WorkerReport | None:
        """Ask a worker for its report; None without a usable answer."""

    @abstractmethod
    def order(
        self, address: str, instance: str, order: VersionOrder, timeout_s: float
    ) -> OrderOutcome:
        """Give an order to the worker `instance` at an address."""

    @abstractmethod
    def reset_connections(self, address: str) -> None:
        """Use no connection of before: another worker is there, or one that started again."""


class DutyOutcome(Enum):
    """What the platform said to a call that is a duty of one node at a time."""

    DONE = "done"
    REFUSED = "refused"
    """It can't be done now, whoever asks."""
    NOT_DONE = "not_done"
    """Surely without effect: not reached, busy or throttled."""
    FENCED = "fenced"
    """A newer holder has called."""
    INVALID = "invalid"
    UNKNOWN = "unknown"
    """No answer: it may have been done, or may still be done."""


@dataclass(frozen=True)
class UsageReport:
    """What the tenants have used in one window."""

    window: int
    """Number of the window since the beginning of 1970."""
    counts: dict[str, int]
    """Requests that began to run, by tenant."""
    holder: str
    fencing_token: int


@dataclass(frozen=True)
class WorkerCountOrder:
    """How many workers of a service a zone is to hold."""

    service: str
    zone: str
    count: int
    holder: str
    fencing_token: int


class DutyPlatform(ABC):
    """Calls to the platform that are a duty of one node at a time. Each has its own time-out."""

    @abstractmethod
    def report_usage(self, report: UsageReport, timeout_s: float) -> DutyOutcome:
        """Report a window's usage; the same report again does no harm."""

    @abstractmethod
    def order_workers(self, order: WorkerCountOrder, timeout_s: float) -> DutyOutcome:
        """Order a zone's number of workers; `REFUSED` when none can be had there now."""


@dataclass(frozen=True)
class HostingPlatform:
    """Everything an adapter provides."""

    headers: HeaderNames
    paths: CallPaths
    store: RecordStore
    control: WorkerControl
    duties_at: Callable[[str], DutyPlatform]
    """Makes the client of the duties' interface at `host:port`."""
