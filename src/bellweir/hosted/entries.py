"""Validation of single store entries, which other writers may have made.

An invalid entry counts as absent, even if it replaces a valid one. It is counted, and logged once
per revision without its contents, which may hold keys.

>>> sound = {"service": "s", "address": "h:1", "zone": "z", "slots": 2, "state": "ready"}
>>> invalid_reason(StoredRecord("servers", "a", 5, sound)) is None
True
>>> invalid_reason(StoredRecord("servers", "b", 6, {**sound, "slots": "two"}))
'Expected `int`, got `str` - at `$.slots`'
"""

import threading
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from bellweir.events.log import emit
from bellweir.hosted.interface import (
    Changes,
    Listing,
    RecordChange,
    RecordKind,
    StoredRecord,
    UnreadableRecord,
)
from bellweir.hosted.log_events import ENTRY_UNREADABLE
from bellweir.hosted.records import NamedVersion, WorkerEntry, WorkerModel, WorkerState
from bellweir.kernel.addresses import AddressError, split_address

MAX_NESTING_DEPTH = 32
"""Entries with deeper nesting are rejected before recursion becomes a risk."""
MAX_RELAYED_DEPTH = 24
"""Peers decode frames of 32 levels, of which the message around an entry takes 6."""
MAX_RELAYED_INTEGER = 2**63 - 1
"""Peers decode no integers beyond 64 bits."""
MAX_LOGGED_ENTRIES = 1_024
"""Entries whose last logged revision is kept; beyond it the least recent is logged again."""
MAX_LOGGED_NAME_LENGTH = 128
SCALAR_TYPES = frozenset({str, int, float, bool})
"""Types that need no recursive call."""

NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class InvalidEntryError(ValueError):
    """An entry that is invalid for its kind; the message holds no values of it."""


class _WorkerSpec(msgspec.Struct, rename="camel"):
    """All fields of a worker's entry, also unused ones: any invalid field rejects the entry."""

    service: NonEmptyStr
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: WorkerState
    version: str = ""
    cold_left_ms: NonNegativeFloat = 0.0
    seq: NonNegativeInt = 0
    born: NonNegativeInt = 0
    stage: str = ""
    models: tuple[WorkerModel, ...] = ()


class _ColdSpec(msgspec.Struct, rename="camel"):
    cold_left_ms: NonNegativeFloat | None = None


class _VersionSpec(msgspec.Struct):
    model: NonEmptyStr
    version: Annotated[int, msgspec.Meta(ge=1)]


class _RetirementSpec(msgspec.Struct, rename="camel"):
    duration_s: NonNegativeFloat


class _NodeSpec(msgspec.Struct, rename="camel"):
    peer_address: str
    zone: str


class _PlacementSpec(msgspec.Struct):
    kind: NonEmptyStr
    metadata: dict[str, Any]
    spec: dict[str, Any]


class _LeaseSpec(msgspec.Struct):
    holder: str
    count: int
    idle_s: float = 0.0
    wait_s: NonNegativeFloat = 0.0
    prolongs: int = 0


def worker_entry(spec: Any) -> WorkerEntry:
    """Parse a worker's entry. Raises `InvalidEntryError`.

    >>> worker_entry({"service": "s", "address": "h", "zone": "z", "slots": 1, "state": "ready"})
    Traceback (most recent call last):
    ...
    bellweir.hosted.entries.InvalidEntryError: address is not HOST:PORT
    """
    parsed = _convert(plain_values(spec), _WorkerSpec)
    check_address(parsed.address)
    return WorkerEntry(
        service=parsed.service,
        address=parsed.address,
        zone=parsed.zone,
        slots=parsed.slots,
        state=parsed.state,
        born=parsed.born,
        models=parsed.models,
    )


def cold_left_s(spec: Any) -> float | None:
    """Return for how many seconds a worker says that it is still cold; None if it doesn't say.

    >>> cold_left_s({"coldLeftMs": 1500}), cold_left_s({})
    (1.5, None)
    """
    left_ms = _convert(plain_values(spec), _ColdSpec).cold_left_ms
    return None if left_ms is None else left_ms / 1000


def named_version(spec: Any) -> NamedVersion:
    """Parse a published weight version. Raises `InvalidEntryError`."""
    parsed = _convert(plain_values(spec), _VersionSpec)
    return NamedVersion(parsed.model, parsed.version)


def check_address(address: str) -> None:
    """Check that an address has the form HOST:PORT. Raises `InvalidEntryError`."""
    try:
        split_address(address)
    except AddressError as failure:
        raise InvalidEntryError(str(failure)) from None


def _check_node(spec: Any) -> None:
    check_address(_convert(plain_values(spec), _NodeSpec).peer_address)


def _check_plain(spec: Any) -> None:
    if not isinstance(plain_values(spec), dict):
        raise InvalidEntryError("not an object")


CHECKS: dict[str, Callable[[Any], object]] = {
    RecordKind.WORKERS: worker_entry,
    RecordKind.VERSIONS: named_version,
    RecordKind.RETIREMENTS: lambda spec: _convert(plain_values(spec), _RetirementSpec),
    RecordKind.NODES: _check_node,
    RecordKind.LEDGERS: lambda spec: _convert(plain_values(spec), _PlacementSpec),
    RecordKind.LEASES: lambda spec: _convert(plain_values(spec), _LeaseSpec),
    RecordKind.CONFIGURATION: _check_plain,
}
"""Validators by kind. The parts of a configuration are validated one by one later."""


def invalid_reason(record: StoredRecord) -> str | None:
    """Return why a record is invalid; None for a valid one."""
    check = CHECKS.get(record.kind, lambda _spec: None)
    try:
        _check_relayable(record.revision)
        _check_relayable(record.spec)
        check(record.spec)
    except InvalidEntryError as failure:
        return str(failure)
    return None


def _check_relayable(value: Any, depth: int = 0) -> None:
    """Check that peers can decode a value. Raises `InvalidEntryError`.

    A frame that can't be decoded ends the connection, and all that waits on it is lost.
    """
    if type(value) is int:
        if abs(value) > MAX_RELAYED_INTEGER:
            raise InvalidEntryError("integer out of range")
    elif isinstance(value, dict | list):
        if depth >= MAX_RELAYED_DEPTH:
            raise InvalidEntryError("nested too deeply")
        for each in value.values() if isinstance(value, dict) else value:
            if type(each) is not str:
                _check_relayable(each, depth + 1)


class EntryValidator:
    """Drops, logs and counts invalid entries. Thread-safe."""

    __slots__ = ("_counts", "_lock", "_logged_revisions")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._logged_revisions: OrderedDict[tuple[str, str], int | str] = OrderedDict()

    def counts(self) -> dict[str, int]:
        """Number of invalid entry revisions since the start, by kind."""
        with self._lock:
            return dict(self._counts)

    def count(self, kind: str) -> None:
        """Count an invalid entry that is logged elsewhere."""
        with self._lock:
            self._counts[kind] += 1

    def validate_listing(self, listing: Listing) -> Listing:
        """Return a listing whose invalid entries are moved to `unreadable`."""
        listing = self._without_odd_statuses(listing)
        invalid = {
            record.name: cause for record in listing.records if (cause := invalid_reason(record))
        }
        if not invalid and not listing.unreadable:
            return listing
        records = tuple(record for record in listing.records if record.name not in invalid)
        found = tuple(
            UnreadableRecord(record.kind, record.name, record.revision, invalid[record.name])
            for record in listing.records
            if record.name in invalid
        )
        unreadable = (*listing.unreadable, *found)
        self.log_invalid_entries(unreadable)
        return Listing(listing.revision, records, unreadable)

    def validate_changes(self, changes: Changes) -> Changes:
        """Return changes in which invalid entries appear as deleted."""
        self.log_invalid_entries(changes.unreadable)
        validated = tuple(self._validate_change(change) for change in changes.changes)
        return Changes(changes.revision, validated, changes.unreadable)

    def is_usable(self, record: StoredRecord) -> bool:
        """Whether a record is valid; an invalid one is logged and counted."""
        cause = invalid_reason(record)
        if cause is not None:
            self.log_invalid_entry(
                UnreadableRecord(record.kind, record.name, record.revision, cause)
            )
        return cause is None

    def log_invalid_entries(self, found: tuple[UnreadableRecord, ...]) -> None:
        """Log and count several invalid entries."""
        for each in found:
            self.log_invalid_entry(each)

    def log_invalid_entry(self, found: UnreadableRecord) -> None:
        """Log and count an invalid entry, once per revision."""
        version = found.revision if found.revision is not None else found.digest
        key = (found.kind, found.name if found.name is not None else found.digest)
        with self._lock:
            if self._logged_revisions.get(key) == version:
                return
            self._logged_revisions[key] = version
            self._logged_revisions.move_to_end(key)
            if len(self._logged_revisions) > MAX_LOGGED_ENTRIES:
                self._logged_revisions.popitem(last=False)
            self._counts[found.kind] += 1
        emit(
            ENTRY_UNREADABLE,
            kind=found.kind,
            name=_loggable(found.name),
            revision=found.revision,
            cause=found.cause,
        )

    def _validate_change(self, change: RecordChange) -> RecordChange:
        if change.deleted:
            return change
        record = self._without_odd_status(change.record)
        return RecordChange(record, deleted=not self.is_usable(record))

    def _without_odd_statuses(self, listing: Listing) -> Listing:
        records = tuple(self._without_odd_status(record) for record in listing.records)
        return Listing(listing.revision, records, listing.unreadable)

    def _without_odd_status(self, record: StoredRecord) -> StoredRecord:
        """Return a record without a status that peers can't decode; its spec stays in effect."""
        try:
            _check_relayable(record.status)
        except InvalidEntryError as failure:
            cause = f"status: {failure}"
            found = UnreadableRecord(record.kind, record.name, record.revision, cause)
            self.log_invalid_entry(found)
            return msgspec.structs.replace(record, status=None)
        return record


def _loggable(name: str | None) -> str | None:
    if name is None:
        return None
    return name[:MAX_LOGGED_NAME_LENGTH].encode("ascii", "backslashreplace").decode()


def plain_values(spec: Any, depth: int = 0) -> Any:
    """Return decoded JSON without null members. Raises `InvalidEntryError` if nested too deeply.

    >>> plain_values({"a": None, "b": [1, {"c": None}]})
    {'b': [1, {}]}
    """
    if depth > MAX_NESTING_DEPTH:
        raise InvalidEntryError("nested too deeply")
    if isinstance(spec, dict):
        return {
            key: value if type(value) in SCALAR_TYPES else plain_values(value, depth + 1)
            for key, value in spec.items()
            if value is not None
        }
    if isinstance(spec, list):
        return [plain_values(value, depth + 1) for value in spec]
    return spec


def _convert(value: Any, into: Any) -> Any:
    try:
        return msgspec.convert(value, into)
    except msgspec.ValidationError as failure:
        raise InvalidEntryError(validation_message(failure)) from None


def validation_message(failure: msgspec.ValidationError) -> str:
    """Return the message of a validation error without the invalid value.

    >>> validation_message(msgspec.ValidationError("Invalid enum value 'secret' - at `$.state`"))
    'unknown enum value - at `$.state`'
    """
    text = str(failure)
    if not text.startswith("Invalid enum value"):
        return text
    return "unknown enum value - at " + text.rpartition(" - at ")[2]
