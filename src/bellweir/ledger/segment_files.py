"""Blobs in append-only files of one node's data folder.

A record is a header (magic, length, digest, checksum of the header) and the blob. At the start
the headers are read to rebuild the index; a torn tail is cut off, and behind a damaged header the
rest of that file is left alone: other replicas hold its blobs. A blob's digest is checked at each
read. Whole files are deleted when they are older than the retention.
"""

import hashlib
import os
import struct
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import xxhash

from bellweir.events.log import emit
from bellweir.ledger.durable_files import make_folder, sync_file, sync_folder
from bellweir.ledger.log_events import SEGMENT_DAMAGED

MAGIC = 0x42575347
DIGEST_BYTES = 16
HEADER = struct.Struct(f"<II{DIGEST_BYTES}sQ")
"""Magic, length of the blob, its digest, checksum of these three."""
FILE_BYTES = 64 * 1024 * 1024
"""A file that has grown beyond this is followed by a new one."""
FILE_AGE_S = 3600.0
"""A file older than this is followed by a new one, so that retention can delete it."""
MAXIMUM_BLOB_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True)
class _Place:
    file: int
    offset: int
    length: int


@dataclass(frozen=True)
class _Unsynced:
    """A record that no sync has covered yet."""

    digest: bytes
    offset: int
    end_bytes: int


def digest_of(blob: bytes) -> bytes:
    """Digest by which a blob is known; blake2b, so that nobody can make two blobs with one."""
    return hashlib.blake2b(blob, digest_size=DIGEST_BYTES).digest()


class SegmentFiles:
    """The segment files of one node."""

    def __init__(self, folder: Path, retention_s: float) -> None:
        make_folder(folder)
        self._folder = folder
        self._retention_s = retention_s
        self._index: dict[bytes, _Place] = {}
        self._append_lock = threading.Lock()
        self._sync_lock = threading.Lock()
        self._synced_bytes = 0
        self._written_bytes = 0
        self._lost_bytes = -1
        """Bytes written before the last sync that failed: they count as lost."""
        self._unsynced: list[_Unsynced] = []
        for path in self._paths():
            # A former process may have been killed before its sync, and blobs in the index count
            # as durable.
            sync_file(path)
            self._read_headers(path)
        self._file = max((_number_of(path) for path in self._paths()), default=0)
        self._descriptor = -1
        self._next_file()
        self._first_file = self._file

    def close(self) -> None:
        """Close the file written to; a second call does nothing."""
        with self._sync_lock, self._append_lock:
            if self._descriptor >= 0:
                os.close(self._descriptor)
                self._descriptor = -1

    def holds(self, digest: bytes) -> bool:
        """Whether a blob is in the index."""
        return digest in self._index

    def append(self, blob: bytes) -> None:
        """Write a blob and return when it is durable; one sync serves all who wait for it."""
        digest = digest_of(blob)
        with self._append_lock:
            if not self._is_whole(digest):
                self._write(digest, blob)
            target_bytes = self._written_bytes
        with self._sync_lock:
            if target_bytes <= self._lost_bytes:
                raise OSError("a segment file could not be synced")
            if self._synced_bytes >= target_bytes:
                return
            with self._append_lock:
                written_bytes, descriptor = self._written_bytes, self._descriptor
            try:
                os.fdatasync(descriptor)
            except OSError:
                with self._append_lock:
                    self._abandon_unsynced()
                raise
            self._synced_bytes = written_bytes
            with self._append_lock:
                self._unsynced = [one for one in self._unsynced if one.end_bytes > written_bytes]
            if self._is_full():
                with self._append_lock:
                    self._roll_when_synced()

    def read(self, digest: bytes) -> bytes | None:
        """A blob, verified; None when it is not here or damaged."""
        place = self._index.get(digest)
        if place is None:
            return None
        try:
            with (self._folder / _file_name(place.file)).open("rb") as file:
                file.seek(place.offset)
                blob = file.read(place.length)
        except OSError:
            blob = b""
        if digest_of(blob) != digest:
            emit(SEGMENT_DAMAGED, file=_file_name(place.file), offset=place.offset)
            self._index.pop(digest, None)
            return None
        return blob

    def delete_expired(self) -> int:
        """Delete the files older than the retention; return how many."""
        limit_s = time.time() - self._retention_s
        deleted = 0
        for path in self._paths():
            number = _number_of(path)
            if number == self._file or path.stat().st_mtime > limit_s:
                continue
            for digest in [one for one, at in list(self._index.items()) if at.file == number]:
                self._index.pop(digest, None)
            path.unlink()
            deleted += 1
        return deleted

    def _is_whole(self, digest: bytes) -> bool:
        """Whether a blob is here; one of a former process may be torn behind a whole header."""
        place = self._index.get(digest)
        if place is None:
            return False
        return place.file >= self._first_file or self.read(digest) is not None

    def _write(self, digest: bytes, blob: bytes) -> None:
        if self._descriptor < 0:
            self._next_file()
        record = _header(len(blob), digest) + blob
        offset = os.lseek(self._descriptor, 0, os.SEEK_END)
        if os.write(self._descriptor, record) != len(record):
            os.ftruncate(self._descriptor, offset)
            raise OSError("a segment file took only a part of a record")
        self._index[digest] = _Place(self._file, offset + HEADER.size, len(blob))
        self._written_bytes += len(record)
        self._unsynced.append(_Unsynced(digest, offset, self._written_bytes))

    def _abandon_unsynced(self) -> None:
        """Forget what a sync that failed should have covered, and go on in another file.

        A later sync may succeed without it: the system counts pages as written once their sync has
        failed, so that only writing them again makes them durable.
        """
        offset = min(one.offset for one in self._unsynced)
        for one in self._unsynced:
            self._index.pop(one.digest, None)
        self._unsynced.clear()
        self._lost_bytes = self._written_bytes
        self._written_bytes += 1
        self._synced_bytes = self._written_bytes
        descriptor, self._descriptor = self._descriptor, -1
        try:
            # Else the next start would take the records for durable.
            os.ftruncate(descriptor, offset)
        except OSError:
            emit(SEGMENT_DAMAGED, file=_file_name(self._file), offset=offset)
        finally:
            os.close(descriptor)

    def _is_full(self) -> bool:
        status = os.fstat(self._descriptor)
        return status.st_size > FILE_BYTES or time.time() - self._opened_s > FILE_AGE_S

    def _roll_when_synced(self) -> None:
        if self._written_bytes == self._synced_bytes:
            self._next_file()

    def _next_file(self) -> None:
        # Its number may belong to another file once it is closed, and the next open may fail.
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)
        self._file += 1
        path = self._folder / _file_name(self._file)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._opened_s = time.time()
        sync_folder(self._folder)

    def _paths(self) -> list[Path]:
        return sorted(self._folder.glob("segment-*.bin"), key=_number_of)

    def _read_headers(self, path: Path) -> None:
        number, size = _number_of(path), path.stat().st_size
        offset = 0
        with path.open("rb") as file:
            while offset < size:
                file.seek(offset)
                header = file.read(HEADER.size)
                found = _parse_header(header)
                if found is None:
                    emit(SEGMENT_DAMAGED, file=path.name, offset=offset)
                    return
                length, digest = found
                if offset + HEADER.size + length > size:
                    emit(SEGMENT_DAMAGED, file=path.name, offset=offset)
                    return
                self._index[digest] = _Place(number, offset + HEADER.size, length)
                offset += HEADER.size + length


def _header(length: int, digest: bytes) -> bytes:
    fields = struct.pack(f"<II{DIGEST_BYTES}s", MAGIC, length, digest)
    return fields + struct.pack("<Q", xxhash.xxh3_64_intdigest(fields))


def _parse_header(header: bytes) -> tuple[int, bytes] | None:
    if len(header) < HEADER.size:
        return None
    magic, length, digest, checksum = HEADER.unpack(header)
    if magic != MAGIC or checksum != xxhash.xxh3_64_intdigest(header[:-8]):
        return None
    return int(length), bytes(digest)


def _file_name(number: int) -> str:
    return f"segment-{number:08d}.bin"


def _number_of(path: Path) -> int:
    return int(path.stem.rsplit("-", 1)[1])
