"""An HTTP connection that knows how many bytes it wrote and keeps one deadline for a whole call.

`http.client` applies a socket's time-out to each single read, so a peer that sends a byte now and
then could hold a caller for ever; here all reads and writes of a call share one deadline. The
count of bytes handed to the operating system is what proves that a failed call has not run.
"""

import http.client
import io
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a TCP connection; zones are a few milliseconds apart."""
READ_BLOCK_BYTES = 64 * 1024


class DeadlineSocket:
    """A TCP socket whose operations end at a deadline on the monotonic clock.

    It closes once `close` was called and every file made from it was closed, as
    `socket.socket` does, because `http.client` closes it before an answer has been read.
    """

    def __init__(self, raw: socket.socket, deadline_s: float) -> None:
        self.raw = raw
        self.deadline_s = deadline_s
        self.bytes_written = 0
        self._lock = threading.Lock()
        self._open_files = 0
        self._closing = False

    def arm(self) -> None:
        """Give the next operation the time that is left; raises `TimeoutError` when none is."""
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("deadline passed")
        self.raw.settimeout(left_s)

    def write(self, data: memoryview) -> None:
        """Write all of `data`, counting what the operating system has accepted."""
        while data:
            self.arm()
            sent = self.raw.send(data)
            self.bytes_written += sent
            data = data[sent:]

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader; only mode `rb` is known."""
        if mode != "rb":
            raise ValueError(f"mode {mode!r} is not supported")
        with self._lock:
            self._open_files += 1
        return io.BufferedReader(_DeadlineReader(self), READ_BLOCK_BYTES)

    def close(self) -> None:
        """Close once the last file is closed."""
        with self._lock:
            self._closing = True
            finished = self._open_files == 0
        if finished:
            self.raw.close()

    def file_closed(self) -> None:
        """Note that a file made from this socket was closed."""
        with self._lock:
            self._open_files -= 1
            finished = self._closing and self._open_files == 0
        if finished:
            self.raw.close()

    def abort(self) -> None:
        """End both directions at once, so that a reader in another thread wakes up."""
        try:
            self.raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # the peer has closed it already, or it was closed here

    def is_stale(self) -> bool:
        """Whether an idle connection was closed, or written to, by the peer."""
        try:
            readable, _, _ = select.select([self.raw], [], [], 0)
        except (OSError, ValueError):
            return True
        return bool(readable)


class _DeadlineReader(io.RawIOBase):
    def __init__(self, owner: DeadlineSocket) -> None:
        self._owner = owner

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: "WriteableBuffer") -> int:
        self._owner.arm()
        return self._owner.raw.recv_into(buffer)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self._owner.file_closed()


class CountingConnection(http.client.HTTPConnection):
    """An `http.client` connection over a `DeadlineSocket`."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline_socket: DeadlineSocket | None = None

    def open(self, deadline_s: float) -> None:
        """Connect before the deadline; raises `OSError` when that fails."""
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("deadline passed")
        raw = socket.create_connection((self.host, self.port), min(left_s, CONNECT_TIMEOUT_S))
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._deadline_socket = DeadlineSocket(raw, deadline_s)
        self.sock: Any = self._deadline_socket

    def begin_call(self, deadline_s: float) -> None:
        """Start a call: set its deadline and count its bytes from zero."""
        self.deadline_socket.deadline_s = deadline_s
        self.deadline_socket.bytes_written = 0

    @property
    def deadline_socket(self) -> DeadlineSocket:
        """The socket; raises `ConnectionError` when there is none."""
        if self._deadline_socket is None:
            raise ConnectionError("not connected")
        return self._deadline_socket

    def send(self, data: Any) -> None:
        """Write a bytes-like object, a file or an iterable of bytes."""
        for block in _blocks(data):
            self.deadline_socket.write(memoryview(block))


def _blocks(data: Any) -> Iterable["ReadableBuffer"]:
    if hasattr(data, "read"):
        read: Callable[[int], bytes] = data.read
        return iter(lambda: read(READ_BLOCK_BYTES), b"")
    if isinstance(data, (bytes, bytearray, memoryview)):
        return (data,)
    blocks: Iterable[ReadableBuffer] = data
    return blocks
