"""Append-only files of records, one JSON object a line, flushed line by line."""

import threading
from collections.abc import Iterator
from pathlib import Path
from types import TracebackType

import msgspec

from bellweir_rehearsal.records.model import AnyRecord


class Journal:
    """Writes records to one file; safe from several threads."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._file = path.open("ab")
        self._lock = threading.Lock()
        self._encoder = msgspec.json.Encoder()

    def write(self, record: AnyRecord) -> None:
        """Append one record. A record written after `close` is dropped."""
        line = self._encoder.encode(record) + b"\n"
        with self._lock:
            if self._file.closed:
                return
            self._file.write(line)
            self._file.flush()

    def close(self) -> None:
        """Close the file; closing twice is no error."""
        with self._lock:
            self._file.close()

    def __enter__(self) -> "Journal":
        """Return the journal."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file."""
        self.close()


def read_journal(path: Path) -> Iterator[AnyRecord]:
    """Yield the records of a file; a torn last line is left out.

    Raises `msgspec.DecodeError` when another line is no record.
    """
    decoder = msgspec.json.Decoder(AnyRecord)
    with path.open("rb") as lines:
        for line in lines:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
