"""The log of a stand-in: one typed record for everything it ran.

Promises are checked against these records, so a record is written before the answer leaves.
"""

import threading
import time
from pathlib import Path
from typing import TypeVar

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="record", tag=True, kw_only=True):
    """Base of log records; `record` names the type in the JSON line."""

    time_s: float = msgspec.field(default_factory=time.time)
    """Seconds since 1970 UTC."""
    standin: str
    """Name of the stand-in that wrote it."""


RecordType = TypeVar("RecordType", bound=Record)


class RunLog:
    """Appends records to a list and, where a path is given, to a file of JSON lines."""

    def __init__(self, standin: str, path: Path | None, kept_records: int = 1_000_000) -> None:
        self.standin = standin
        self._lock = threading.Lock()
        self._records: list[Record] = []
        self._kept_records = kept_records
        self._file = path.open("ab", buffering=0) if path is not None else None

    def append(self, record: Record) -> None:
        """Write one record; a record kept only in memory beyond the limit raises."""
        line = msgspec.json.encode(record) + b"\n"
        with self._lock:
            if self._file is not None:
                # One unbuffered write for each line: a killed process loses no record that an
                # answer could have told of. The lock keeps lines whole; the write is local.
                self._file.write(line)
            elif len(self._records) >= self._kept_records:
                raise MemoryError("too many records kept in memory; give the log a path")
            else:
                self._records.append(record)

    def records(self, kind: type[RecordType]) -> list[RecordType]:
        """Return the records of one type that are kept in memory, in order."""
        with self._lock:
            return [record for record in self._records if isinstance(record, kind)]

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            if self._file is not None:
                self._file.close()
