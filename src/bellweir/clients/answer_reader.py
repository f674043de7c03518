"""Reads one answer of an HTTP/1.1 peer from its connection, head and body."""

import http.client
import io
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from bellweir.clients.answer_head import (
    SINGLE_FIELDS,
    STATUS_LINE_INSIDE,
    AnswerHead,
    Framing,
    MalformedAnswerError,
    parse_fields,
    parse_head,
)

READ_BLOCK_BYTES = 64 * 1024
MAXIMUM_HEAD_BYTES = 64 * 1024
"""Longest head, and longest trailer."""
MAXIMUM_CHUNK_LINE_BYTES = 4 * 1024
"""Longest line with the size of a chunk."""
MAXIMUM_INTERIM_ANSWERS = 16
"""Interim answers (1xx) before the answer proper."""
SWITCHING_PROTOCOLS = 101
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_BEGINNING = b"HTTP/1."
MAXIMUM_LINE_BYTES = 8 * 1024 * 1024
"""Longest line of a streamed body."""
SHOWN_BYTES = 40
"""Bytes of malformed input that an error shows."""
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[\t ]*(?:;[\t -~\x80-\xff]*)?")


class _Connection(Protocol):
    """A socket that stays open while a reader made from it is."""

    def makefile(self, mode: str, buffering: int) -> io.RawIOBase:
        """Return an unbuffered reader."""


class AnswerReader:
    """One answer on a connection; `http.client` uses it in place of its own reader.

    `begin` reads the head, `read_block` the body. Both raise `MalformedAnswerError` for bytes that
    are no answer, `http.client.IncompleteRead` where the connection ends within it, and `OSError`.
    """

    __slots__ = (
        "_buffer",
        "_file",
        "_is_behind_chunk",
        "_left",
        "_method",
        "_single_fields",
        "framing",
        "head",
        "is_whole",
        "will_close",
    )

    def __init__(
        self,
        connection: _Connection,
        method: str,
        single_fields: frozenset[str] = SINGLE_FIELDS,
    ) -> None:
        """`method` is that of the request; `single_fields` as for `parse_head`."""
        self._file = connection.makefile("rb", 0)
        self._method = method
        self._single_fields = single_fields
        self._buffer = bytearray()
        """What has arrived and was not read yet."""
        self._left = 0
        """Bytes of the body, or of the present chunk, that are still to come."""
        self._is_behind_chunk = False
        """Whether the line end of a chunk comes next."""
        self.head = AnswerHead(1, 0, [])
        self.framing = Framing.LENGTH
        self.is_whole = False
        """Whether the body has been read to its end."""
        self.will_close = True
        """Whether the connection serves no other call after this one."""

    @property
    def has_surplus(self) -> bool:
        """Whether more than the answer has arrived."""
        return self.is_whole and bool(self._buffer)

    @property
    def declared_left(self) -> int:
        """Bytes that are still to come by the length of the body, or of the present chunk."""
        return self._left

    def begin(self) -> None:
        """Read the head of the answer proper; interim answers before it are dropped."""
        self.head = self._read_final_head()
        self.framing, self._left = self.head.framing(self._method)
        self.will_close = self.framing is Framing.CONNECTION or self.head.closes_connection()
        if self.framing is Framing.LENGTH and not self._left:
            self._end()

    def read_block(self) -> bytes:
        """Read the next bytes of the body as they arrive; empty at its end."""
        if self.is_whole:
            return b""
        if self.framing is Framing.CONNECTION:
            block = self._take(READ_BLOCK_BYTES)
            if not block:
                self._end()
            return block
        if self.framing is Framing.CHUNKS and not self._left:
            self._begin_chunk()
            if self.is_whole:
                return b""
        return self._read_declared()

    def read_blocks(self, *, may_end_with_connection: bool = False) -> Iterator[bytes]:
        """Read the body as it arrives; raises what `read_block` does.

        `may_end_with_connection`: whether it needs neither a length nor chunks.
        """
        if self.framing is Framing.CONNECTION and not may_end_with_connection:
            raise MalformedAnswerError("a body with neither a length nor chunks")
        while block := self.read_block():
            yield block

    def isclosed(self) -> bool:
        """Whether nothing more is read; the name is that of `http.client`."""
        return self._file.closed

    def close(self) -> None:
        """Read no more."""
        self._file.close()

    def _end(self) -> None:
        self.is_whole = True
        self.close()

    def _read_declared(self) -> bytes:
        """Read bytes of the declared length of a body or chunk."""
        block = self._take(self._left)
        if not block:
            raise http.client.IncompleteRead(b"", self._left)
        self._left -= len(block)
        if not self._left:
            if self.framing is Framing.CHUNKS:
                self._is_behind_chunk = True
            else:
                self._end()
        return block

    def _begin_chunk(self) -> None:
        """Read up to the first byte of the next chunk, or up to the end behind the last one."""
        if self._is_behind_chunk and self._read_line(MAXIMUM_CHUNK_LINE_BYTES):
            raise MalformedAnswerError("a chunk is longer than its size")
        line = self._read_line(MAXIMUM_CHUNK_LINE_BYTES)
        size = CHUNK_SIZE.fullmatch(line)
        if size is None:
            raise MalformedAnswerError(f"size of a chunk {line[:SHOWN_BYTES]!r}")
        self._left = int(size[1], 16)
        if not self._left:
            self._skip_trailer()
            self._end()

    def _skip_trailer(self) -> None:
        """Read the fields behind the last chunk, which are dropped, and their empty line."""
        length = 0
        while line := self._read_line(MAXIMUM_HEAD_BYTES):
            parse_fields([line])
            length += len(line)
            self._check_length(length, MAXIMUM_HEAD_BYTES)

    def _read_final_head(self) -> AnswerHead:
        for _ in range(MAXIMUM_INTERIM_ANSWERS + 1):
            head = parse_head(self._read_head(), self._single_fields)
            if head.status == SWITCHING_PROTOCOLS:
                raise MalformedAnswerError("status 101 for a request that asks for no upgrade")
            if not head.is_interim:
                return head
        raise MalformedAnswerError(f"more than {MAXIMUM_INTERIM_ANSWERS} interim answers")

    def _read_head(self) -> bytes:
        """Read up to and including the next empty line."""
        scanned = 0
        while (end := HEAD_END.search(self._buffer, scanned)) is None:
            self._check_beginning()
            scanned = max(0, len(self._buffer) - 2)
            self._check_length(len(self._buffer), MAXIMUM_HEAD_BYTES)
            self._fill()
        self._check_length(end.end(), MAXIMUM_HEAD_BYTES)
        return self._cut(end.end())

    def _check_beginning(self) -> None:
        """Refuse what can't become a head, before the rest of it arrives."""
        beginning = bytes(self._buffer[:SHOWN_BYTES])
        if not HEAD_BEGINNING.startswith(beginning[: len(HEAD_BEGINNING)]):
            raise MalformedAnswerError(f"bytes that begin no answer: {beginning!r}")

    def _read_line(self, maximum_bytes: int) -> bytes:
        """Read a line of chunked framing or of a trailer; returns it without its end."""
        while (end := self._buffer.find(b"\n")) < 0:
            self._check_length(len(self._buffer), maximum_bytes)
            self._fill()
        self._check_length(end, maximum_bytes)
        line = self._cut(end + 1)[:-1].removesuffix(b"\r")
        if STATUS_LINE_INSIDE.search(line):
            raise MalformedAnswerError(f"a status line behind chunks: {line[:SHOWN_BYTES]!r}")
        return line

    def _check_length(self, found: int, maximum_bytes: int) -> None:
        if found > maximum_bytes:
            raise MalformedAnswerError(f"a head or line of over {maximum_bytes} bytes")

    def _take(self, maximum_bytes: int) -> bytes:
        """Return bytes that have arrived, or wait for some; empty where the connection ends."""
        if not self._buffer:
            block = self._file.read(READ_BLOCK_BYTES) or b""
            if len(block) <= maximum_bytes:
                return block
            self._buffer += block
        return self._cut(min(maximum_bytes, READ_BLOCK_BYTES))

    def _fill(self) -> None:
        """Wait for more bytes of a head or line."""
        block = self._file.read(READ_BLOCK_BYTES)
        if not block and not self._buffer and not self.head.status:
            raise http.client.RemoteDisconnected("the connection ended without an answer")
        if not block:
            raise http.client.IncompleteRead(bytes(self._buffer))
        self._buffer += block

    def _cut(self, length: int) -> bytes:
        """Return the first bytes of what has arrived, and drop them there."""
        found = bytes(self._buffer[:length])
        del self._buffer[:length]
        return found


def split_lines(
    blocks: Iterable[bytes], hold: Callable[[int], None] = lambda _length: None
) -> Iterator[bytes]:
    r"""Yield the lines of a body, without their ends, as its blocks arrive.

    `hold` is called with the length of what is kept. Raises `MalformedAnswerError` for a line that
    is too long, and `http.client.IncompleteRead` for one without an end.

    >>> list(split_lines([b"one\ntw", b"o\n"]))
    [b'one', b'two']
    """
    pending = bytearray()
    for block in blocks:
        *lines, rest = block.split(b"\n")
        for line in lines:
            yield bytes(pending + line)
            pending.clear()
        pending += rest
        if len(pending) > MAXIMUM_LINE_BYTES:
            raise MalformedAnswerError(f"a line of over {MAXIMUM_LINE_BYTES} bytes")
        hold(len(pending))
    if pending:
        raise http.client.IncompleteRead(bytes(pending))
