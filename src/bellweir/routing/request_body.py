"""Request bodies that may be sent in several attempts."""

import io
from typing import BinaryIO, cast

READ_SIZE_BYTES = 64 * 1024


class BodyTooLongError(ValueError):
    """The body exceeds the limit."""


class BodyTruncatedError(ValueError):
    """The body ended before its declared length."""


class _ReadTrackingReader(io.RawIOBase):
    """Tracks whether a source was read; does not close it."""

    def __init__(self, source: BinaryIO) -> None:
        self._source = source
        self.was_read = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: "memoryview | bytearray") -> int:  # type: ignore[override]
        self.was_read = True
        data = self._source.read(len(buffer))
        buffer[: len(data)] = data
        return len(data)


class RequestBody:
    """Body of a request, shared by its attempts.

    Bytes and seekable files can be replayed; other sources only until their first read.
    """

    def __init__(self, source: BinaryIO | bytes, length: int | None) -> None:
        self._source = source
        self.length = length
        self._reader: _ReadTrackingReader | None = None
        self._start: int | None = None
        if not isinstance(source, bytes) and source.seekable():
            self._start = source.tell()

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent again from its start."""
        if isinstance(self._source, bytes) or self._start is not None:
            return True
        return self._reader is None or not self._reader.was_read

    def open(self) -> BinaryIO | bytes:
        """Return the body from its first byte; requires `replayable`."""
        source = self._source
        if isinstance(source, bytes):
            return source
        if self._start is not None:
            source.seek(self._start)
        self._reader = _ReadTrackingReader(source)
        return cast(BinaryIO, self._reader)

    def read_whole(self, limit_bytes: int) -> bytes:
        """Read the whole body and keep it in memory.

        Raises `BodyTooLongError` above the limit and `BodyTruncatedError` if the body ends
        before its declared length.
        """
        if isinstance(self._source, bytes):
            whole = self._source
        else:
            whole = _read_up_to(self._source, limit_bytes, self.length)
        if len(whole) > limit_bytes:
            raise BodyTooLongError(f"longer than {limit_bytes} bytes")
        if self.length is not None and len(whole) < self.length:
            raise BodyTruncatedError(f"{len(whole)} of {self.length} bytes")
        self._source = whole
        self.length = len(whole)
        return whole


def _read_up_to(source: BinaryIO, limit_bytes: int, length: int | None) -> bytes:
    wanted = limit_bytes + 1 if length is None else min(length, limit_bytes + 1)
    parts: list[bytes] = []
    while wanted > 0:
        part = source.read(min(wanted, READ_SIZE_BYTES))
        if not part:
            break
        parts.append(part)
        wanted -= len(part)
    return b"".join(parts)
