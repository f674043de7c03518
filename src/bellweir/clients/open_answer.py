"""An HTTP answer whose body is still to be read, and the end of its connection's use."""

import http.client
import re
import threading
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Protocol

from bellweir.clients.connection import READ_BLOCK_BYTES, CountingConnection
from bellweir.kernel.clock import elapsed_s

MAXIMUM_LINE_BYTES = 8 * 1024 * 1024
"""Longest line of a streamed answer."""
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
"""Longest body of an answer that is read whole."""
FOLD = re.compile(r"[\r\n]+[ \t]*")
"""A line end inside a header's value."""


class Framing(Enum):
    """What ends the body of an answer."""

    LENGTH = "length"
    """The declared number of bytes, also where the status allows no body."""
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection: a body that is cut can't be told from a whole one."""


class ConnectionOwner(Protocol):
    """Where a connection goes once its answer has ended."""

    def give_back(self, connection: CountingConnection, keep_alive: str | None) -> None:
        """Keep a connection whose answer was read whole; with its `Keep-Alive` header."""

    def forget(self, connection: CountingConnection) -> None:
        """Stop tracking a connection that is being closed."""


class OpenAnswer:
    """An answer whose headers have been read; the body is read from it."""

    def __init__(self, connection: CountingConnection, owner: ConnectionOwner) -> None:
        self._connection = connection
        self._owner = owner
        self.reusable = True
        """Whether the connection may serve another call after this one."""
        self.ends_with_connection = False
        """Whether the end of the connection may end a body that declares no length."""
        self._response: http.client.HTTPResponse | None = None
        self._lock = threading.Lock()
        self._released = False

    def read_headers(self) -> None:
        """Read status and headers; raises `OSError` or `HTTPException`."""
        self._response = self._connection.getresponse()

    @property
    def response(self) -> http.client.HTTPResponse:
        """The `http.client` answer."""
        if self._response is None:
            raise ConnectionError("no answer yet")
        return self._response

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.response.status

    @property
    def framing(self) -> Framing:
        """What ends the body; to be asked before the body is read."""
        if self.response.chunked:
            return Framing.CHUNKS
        return Framing.CONNECTION if self.response.length is None else Framing.LENGTH

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer by lower-case name; of repeated ones the last."""
        return {name.lower(): value for name, value in self.response.headers.items()}

    def header_pairs(self) -> list[tuple[str, str]]:
        """Headers in order, as they may be passed on: a value that was folded stands on one line.

        RFC 9112 section 5.2.
        """
        return [(name, FOLD.sub(" ", value)) for name, value in self.response.headers.items()]

    def set_timeout(self, timeout_s: float) -> None:
        """Let reading go on for this long from now."""
        self._connection.deadline_socket.deadline_s = elapsed_s() + timeout_s

    def read_lines(self) -> Iterator[bytes]:
        """Read the body line by line as it arrives, without line ends; raises when it was cut."""
        pending = b""
        for block in self.read_blocks():
            *lines, pending = (pending + block).split(b"\n")
            if len(pending) > MAXIMUM_LINE_BYTES:
                raise http.client.LineTooLong("answer line")
            yield from lines
        if pending:
            raise http.client.IncompleteRead(pending)

    def read_blocks(self) -> Iterator[bytes]:
        """Read the body as it arrives; raises when it was cut."""
        while block := self.response.read1(READ_BLOCK_BYTES):
            yield block
        self._check_length()

    def read_all(self) -> bytes:
        """Read the whole body, at most `MAXIMUM_ANSWER_BYTES`."""
        body = self.response.read(MAXIMUM_ANSWER_BYTES + 1)
        if len(body) > MAXIMUM_ANSWER_BYTES:
            raise http.client.HTTPException("answer too long")
        self._check_length()
        return body

    def _check_length(self) -> None:
        response = self.response
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        unframed = response.length is None and not response.chunked
        if unframed and not self.ends_with_connection:
            raise http.client.HTTPException("body has neither a length nor an end marker")
        if not response.isclosed():
            response.read()  # releases the connection after the last byte

    def finish(self) -> None:
        """Give the connection back when the answer was read to its end, else close it."""
        whole = self._response is not None and self._response.isclosed()
        if not whole or self.response.will_close or not self.reusable:
            self.drop()
        elif self._release():
            self._owner.give_back(self._connection, self.response.headers.get("Keep-Alive"))

    def abort(self) -> None:
        """Have the reading thread fail; from any thread. That thread drops the answer."""
        with self._lock:
            if not self._released:
                self._connection.deadline_socket.abort()

    def drop(self) -> None:
        """Close the connection; by the thread that reads, or when none does."""
        if self._release():
            self._owner.forget(self._connection)
            self._connection.deadline_socket.abort()
            self._connection.close()

    def _release(self) -> bool:
        # Only the first to end the answer may touch the connection: once it is back in the
        # pool, a late `drop` from another thread would cut somebody else's call.
        with self._lock:
            released, self._released = self._released, True
        return not released
