"""Entries of the store that other writers may have made: each is read by itself.

One that can't be read, or that does not say what its kind must say, counts as absent, also where it
takes the place of a good one. It is logged once for each revision, with its kind, its name and the
cause, and counted; its contents are never logged, since they may hold keys.

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

DEEPEST_NESTING = 32
"""Lists and maps within each other beyond which an entry is not looked at; real ones have six."""
REMEMBERED_ENTRIES = 1_024
"""Bad entries whose last logged revision is remembered; of more, one may be logged again."""
LONGEST_NAME_LOGGED = 128
SIMPLE_TYPES = frozenset({str, int, float, bool})
"""Types of values that hold no others, passed over without a call for each."""
HIGHEST_PORT = 65_535

Word = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


class InvalidEntryError(ValueError):
    """An entry that does not say what its kind must say; the text is the cause, without values."""


class _ToldWorker(msgspec.Struct, rename="camel"):
    """Everything that a worker tells of itself, used here or not: one wrong field spoils all."""

    service: Word
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: WorkerState
    version: str = ""
    cold_left_ms: Amount = 0.0
    seq: Count = 0
    born: Count = 0
    stage: str = ""
    models: tuple[WorkerModel, ...] = ()


class _ToldVersion(msgspec.Struct):
    model: Word
    version: Annotated[int, msgspec.Meta(ge=1)]


class _ToldRetirement(msgspec.Struct, rename="camel"):
    duration_s: Amount


class _ToldNode(msgspec.Struct, rename="camel"):
    peer_address: str
    zone: str


class _ToldPlacement(msgspec.Struct):
    kind: Word
    metadata: dict[str, Any]
    spec: dict[str, Any]


class _ToldLease(msgspec.Struct):
    holder: str
    count: int
    idle_s: float = 0.0
    wait_s: Amount = 0.0
    prolongs: int = 0


def worker_entry(spec: Any) -> WorkerEntry:
    """Return a worker's own entry. Raises `InvalidEntryError`.

    >>> worker_entry({"service": "s", "address": "h", "zone": "z", "slots": 1, "state": "ready"})
    Traceback (most recent call last):
    ...
    bellweir.hosted.entries.InvalidEntryError: an address that is not HOST:PORT
    """
    told = _converted(plain_values(spec), _ToldWorker)
    check_address(told.address)
    return WorkerEntry(
        service=told.service,
        address=told.address,
        zone=told.zone,
        slots=told.slots,
        state=told.state,
        born=told.born,
        models=told.models,
    )


def named_version(spec: Any) -> NamedVersion:
    """Return a named version of weights. Raises `InvalidEntryError`."""
    told = _converted(plain_values(spec), _ToldVersion)
    return NamedVersion(told.model, told.version)


def check_address(address: str) -> None:
    """Check that something can be connected to. Raises `InvalidEntryError`."""
    host, _, port = address.rpartition(":")
    is_host = host != "" and host.isprintable() and not any(mark in host for mark in " /@")
    is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) <= HIGHEST_PORT
    if not is_host or not is_port:
        raise InvalidEntryError("an address that is not HOST:PORT")


def _check_node(spec: Any) -> None:
    check_address(_converted(plain_values(spec), _ToldNode).peer_address)


def _check_plain(spec: Any) -> None:
    if not isinstance(plain_values(spec), dict):
        raise InvalidEntryError("not an object")


CHECKS: dict[str, Callable[[Any], object]] = {
    RecordKind.WORKERS: worker_entry,
    RecordKind.VERSIONS: named_version,
    RecordKind.RETIREMENTS: lambda spec: _converted(plain_values(spec), _ToldRetirement),
    RecordKind.NODES: _check_node,
    RecordKind.LEDGERS: lambda spec: _converted(plain_values(spec), _ToldPlacement),
    RecordKind.LEASES: lambda spec: _converted(plain_values(spec), _ToldLease),
    RecordKind.CONFIGURATION: _check_plain,
}
"""What must hold of an entry, by kind. Parts of a configuration are looked at one by one later."""


def invalid_reason(record: StoredRecord) -> str | None:
    """Return why nothing of a record may be used; None for a usable one."""
    check = CHECKS.get(record.kind, lambda _spec: None)
    try:
        check(record.spec)
    except InvalidEntryError as failure:
        return str(failure)
    return None


class EntryValidator:
    """Sorts out what can't be used, and keeps count. Safe for threads."""

    __slots__ = ("_counts", "_lock", "_noted")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._noted: OrderedDict[tuple[str, str], int | str] = OrderedDict()

    def counts(self) -> dict[str, int]:
        """Revisions of entries that could not be used since the start, by kind."""
        with self._lock:
            return dict(self._counts)

    def count(self, kind: str) -> None:
        """Count what could not be used and is logged elsewhere."""
        with self._lock:
            self._counts[kind] += 1

    def validate_listing(self, listing: Listing) -> Listing:
        """Return a list without the entries that can't be used."""
        bad = {
            record.name: cause for record in listing.records if (cause := invalid_reason(record))
        }
        if not bad and not listing.unreadable:
            return listing
        records = tuple(record for record in listing.records if record.name not in bad)
        found = tuple(
            UnreadableRecord(record.kind, record.name, record.revision, bad[record.name])
            for record in listing.records
            if record.name in bad
        )
        unreadable = (*listing.unreadable, *found)
        self.log_invalid_entries(unreadable)
        return Listing(listing.revision, records, unreadable)

    def validate_changes(self, changes: Changes) -> Changes:
        """Return changes in which entries that can't be used are gone."""
        self.log_invalid_entries(changes.unreadable)
        checked = tuple(self._checked_change(change) for change in changes.changes)
        return Changes(changes.revision, checked, changes.unreadable)

    def is_usable(self, record: StoredRecord) -> bool:
        """Whether a record may be used; one that may not is logged and counted."""
        cause = invalid_reason(record)
        if cause is not None:
            self.log_invalid_entry(
                UnreadableRecord(record.kind, record.name, record.revision, cause)
            )
        return cause is None

    def log_invalid_entries(self, found: tuple[UnreadableRecord, ...]) -> None:
        """Log and count what can't be read."""
        for each in found:
            self.log_invalid_entry(each)

    def log_invalid_entry(self, found: UnreadableRecord) -> None:
        """Log and count an entry, once for each of its revisions."""
        mark = found.revision if found.revision is not None else found.digest
        key = (found.kind, found.name if found.name is not None else found.digest)
        with self._lock:
            if self._noted.get(key) == mark:
                return
            self._noted[key] = mark
            self._noted.move_to_end(key)
            if len(self._noted) > REMEMBERED_ENTRIES:
                self._noted.popitem(last=False)
            self._counts[found.kind] += 1
        emit(
            ENTRY_UNREADABLE,
            kind=found.kind,
            name=_loggable(found.name),
            revision=found.revision,
            cause=found.cause,
        )

    def _checked_change(self, change: RecordChange) -> RecordChange:
        if change.deleted or self.is_usable(change.record):
            return change
        return RecordChange(change.record, deleted=True)


def _loggable(name: str | None) -> str | None:
    if name is None:
        return None
    return name[:LONGEST_NAME_LOGGED].encode("ascii", "backslashreplace").decode()


def plain_values(spec: Any, depth: int = 0) -> Any:
    """Return plain values without nulls. Raises `InvalidEntryError` for deep ones.

    >>> plain_values({"a": None, "b": [1, {"c": None}]})
    {'b': [1, {}]}
    """
    if depth > DEEPEST_NESTING:
        raise InvalidEntryError("nested too deep")
    if isinstance(spec, dict):
        return {
            key: value if type(value) in SIMPLE_TYPES else plain_values(value, depth + 1)
            for key, value in spec.items()
            if value is not None
        }
    if isinstance(spec, list):
        return [plain_values(value, depth + 1) for value in spec]
    return spec


def _converted(plain: Any, into: Any) -> Any:
    try:
        return msgspec.convert(plain, into)
    except msgspec.ValidationError as failure:
        raise InvalidEntryError(validation_message(failure)) from None


def validation_message(failure: msgspec.ValidationError) -> str:
    """Return what a check found, without the value that it found.

    >>> validation_message(msgspec.ValidationError("Invalid enum value 'secret' - at `$.state`"))
    'a word that is not known - at `$.state`'
    """
    text = str(failure)
    if not text.startswith("Invalid enum value"):
        return text
    return "a word that is not known - at " + text.rpartition(" - at ")[2]
