"""An HTTP connection that knows how many bytes it wrote and keeps one deadline for a whole call.

`http.client` applies a socket's time-out to each single read, so a peer that sends a byte now and
then could hold a caller for ever; here all reads and writes of a call share one deadline. The
count of bytes handed to the operating system is what proves that a failed call has not run.
"""

import fcntl
import http.client
import io
import select
import socket
import sys
import termios
import threading
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, BinaryIO, cast

from bellweir.clients.answer_head import SINGLE_FIELDS
from bellweir.clients.answer_reader import READ_BLOCK_BYTES, AnswerReader
from bellweir.kernel.clock import elapsed_s

if TYPE_CHECKING:
    from _typeshed import WriteableBuffer

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a TCP connection; zones are a few milliseconds apart."""
WRITE_BLOCK_BYTES = 64 * 1024
"""A request's headers and the start of its body are written together up to this length."""
MS_PER_S = 1000
INT_BYTES = 4
"""Size of a C int."""
SEND_STALL_TIMEOUT_S = 3.0
"""A connection whose written bytes stay unacknowledged this long is given up."""
SILENCE_CHECK_S = 0.15
"""Interval of the two checks of a call without an answer; longer than a round trip. Together they
exceed the least retransmission time-out, so that one lost packet is no silence."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


class EarlyAnswerError(ConnectionError):
    """The peer has answered, and no longer reads, before the whole request was written."""


class CallAbortedError(OSError):
    """A call that was ended here; its peer may have more to say."""


class SilentConnectionError(TimeoutError):
    """The peer's system acknowledges nothing on an open connection."""


class DeadlineSocket:
    """A TCP socket whose operations end at a deadline on the monotonic clock.

    The socket itself does not block: a write is tried at once and a read waits first, which
    costs fewer system calls than a time-out set for each operation. It closes once `close` was
    called and every file made from it was closed, as `socket.socket` does, because `http.client`
    closes it before an answer has been read.
    """

    def __init__(self, raw: socket.socket, deadline_s: float) -> None:
        raw.setblocking(False)
        self.raw = raw
        self.deadline_s = deadline_s
        self.bytes_written = 0
        self.on_silence: Callable[[], None] | None = None
        """Called once when the peer does not acknowledge a request; its exceptions are raised."""
        self._readable = select.poll()
        self._readable.register(raw, select.POLLIN)
        self._both_ways = select.poll()
        self._both_ways.register(raw, select.POLLIN | select.POLLOUT)
        self._lock = threading.Lock()
        self._open_files = 0
        self._closing = False
        self._aborted = False

    def write(self, data: memoryview) -> None:
        """Write all of `data`, counting what the operating system has accepted."""
        while data:
            try:
                sent = self.raw.send(data)
            except BlockingIOError:
                self._wait_to_write()
                continue
            self.bytes_written += sent
            data = data[sent:]

    def read_into(self, buffer: "WriteableBuffer") -> int:
        """Read what has come, at least one byte; 0 where the peer has ended its side.

        Raises `CallAbortedError` behind an `abort`.
        """
        self._check_for_silence()
        while True:
            self._wait(self._readable)
            try:
                length = self.raw.recv_into(buffer)
            except BlockingIOError:
                continue  # the kernel may wake a reader for nothing
            if self._aborted:
                raise CallAbortedError("the call was aborted")
            return length

    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that the peer's system has not acknowledged."""
        answer = fcntl.ioctl(self.raw.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
        return int.from_bytes(answer, sys.byteorder)

    def _check_for_silence(self) -> None:
        """Before a call's first read, call `on_silence` if no written byte is acknowledged.

        The peer's system acknowledges at once while the peer is still at work.
        """
        on_silence, self.on_silence = self.on_silence, None
        if on_silence is None or self._is_readable_within(SILENCE_CHECK_S):
            return
        before = self.unacknowledged_bytes()
        if not before or self._is_readable_within(SILENCE_CHECK_S):
            return
        if self.unacknowledged_bytes() >= before:
            on_silence()

    def _is_readable_within(self, seconds: float) -> bool:
        """Wait until there is something to read; at most until the deadline."""
        wait_s = min(seconds, self.deadline_s - elapsed_s())
        return bool(self._readable.poll(max(0.0, wait_s) * MS_PER_S))

    def _wait_to_write(self) -> None:
        """Wait until more can be written; raises `EarlyAnswerError` when an answer comes first."""
        left_s = self.deadline_s - elapsed_s()
        ready = self._both_ways.poll(left_s * MS_PER_S) if left_s > 0 else []
        if not ready:
            raise TimeoutError("deadline passed")
        if not ready[0][1] & select.POLLOUT:
            raise EarlyAnswerError("answered before the request was written")

    def _wait(self, poll: "select.poll") -> None:
        """Wait until the socket is ready; raises `TimeoutError` at the deadline."""
        left_s = self.deadline_s - elapsed_s()
        if left_s <= 0 or not poll.poll(left_s * MS_PER_S):
            raise TimeoutError("deadline passed")

    def makefile(self, mode: str, buffering: int) -> io.RawIOBase:
        """Return a reader without a buffer; only mode `rb` is known."""
        if mode != "rb" or buffering:
            raise ValueError(f"mode {mode!r} with a buffer of {buffering} bytes is not supported")
        with self._lock:
            self._open_files += 1
        return _DeadlineReader(self)

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
        """End both directions at once, so that a reader in another thread wakes up and fails."""
        self._aborted = True
        try:
            self.raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # the peer has closed it already, or it was closed here

    def is_stale(self) -> bool:
        """Whether an idle connection was closed, or written to, by the peer."""
        try:
            self.raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class _DeadlineReader(io.RawIOBase):
    def __init__(self, owner: DeadlineSocket) -> None:
        self._owner = owner

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: "WriteableBuffer") -> int:
        return self._owner.read_into(buffer)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self._owner.file_closed()


class CountingConnection(http.client.HTTPConnection):
    """An `http.client` connection over a `DeadlineSocket`, with a reader of its own."""

    def __init__(self, host: str, port: int, single_fields: frozenset[str] = SINGLE_FIELDS) -> None:
        """`single_fields` are headers of which an answer has one value, by lower-case name."""
        super().__init__(host, port)
        self.response_class: Any = partial(AnswerReader, single_fields=single_fields)
        self._deadline_socket: DeadlineSocket | None = None
        self._unwritten = bytearray()
        self.idle_since_s = 0.0
        """Monotonic time at which its last answer had been read."""
        self.begun_s = 0.0
        """Monotonic time at which its latest call began."""

    def open(self, deadline_s: float) -> None:
        """Connect before the deadline; raises `OSError` when that fails."""
        left_s = deadline_s - elapsed_s()
        if left_s <= 0:
            raise TimeoutError("deadline passed")
        raw = socket.create_connection((self.host, self.port), min(left_s, CONNECT_TIMEOUT_S))
        _notice_silent_peers(raw)
        self._deadline_socket = DeadlineSocket(raw, deadline_s)
        self.sock: Any = self._deadline_socket

    def begin_call(self, deadline_s: float, on_silence: Callable[[], None] | None = None) -> None:
        """Start a call: set its deadline and count its bytes from zero.

        `on_silence` is called when the peer's system does not acknowledge the request. What it
        raises ends the call.
        """
        self.begun_s = elapsed_s()
        self.deadline_socket.deadline_s = deadline_s
        self.deadline_socket.on_silence = on_silence
        self.deadline_socket.bytes_written = 0
        self._unwritten.clear()

    def read_answer(self) -> AnswerReader:
        """Read the head of the answer; raises `OSError` or `http.client.HTTPException`."""
        return cast(AnswerReader, self.getresponse())

    @property
    def deadline_socket(self) -> DeadlineSocket:
        """The socket; raises `ConnectionError` when there is none."""
        if self._deadline_socket is None:
            raise ConnectionError("not connected")
        return self._deadline_socket

    def send(self, data: Any) -> None:
        """Take bytes to write; short ones wait for more until `flush`.

        `http.client` hands over headers and body one by one; one write of both saves a segment
        and a system call.
        """
        self._unwritten += data
        if len(self._unwritten) >= WRITE_BLOCK_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what waits."""
        data, self._unwritten = self._unwritten, bytearray()
        self.deadline_socket.write(memoryview(data))


def _notice_silent_peers(raw: socket.socket) -> None:
    """Have the system end a connection whose peer vanished without a word."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stall_ms = int(SEND_STALL_TIMEOUT_S * MS_PER_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, stall_ms)


class BodyReadError(Exception):
    """Reading the request's body failed: the caller's failure, not the peer's."""

    def __init__(self, failure: Exception) -> None:
        super().__init__(repr(failure))
        self.failure = failure
        """What the reader raised."""


class BodyLengthError(ValueError):
    """A request body does not have the length that its head declares."""


class RequestBody:
    """A request body read from a file, whose failures are told from those of the connection.

    With a `declared` length in bytes it ends in a failure if the file has fewer or more: what is
    sent next on the connection would be taken for the rest of the body, or the body for a request.
    """

    def __init__(self, file: BinaryIO, declared: int | None = None) -> None:
        self._file = file
        self._declared = declared
        self._sent = 0

    def read(self, size: int = -1) -> bytes:
        """Read a block; raises `BodyReadError` when the file does, or has another length."""
        try:
            block = self._file.read(min(size, READ_BLOCK_BYTES) if size > 0 else READ_BLOCK_BYTES)
            self._count(block)
        except Exception as failure:
            raise BodyReadError(failure) from failure
        return block

    def _count(self, block: bytes) -> None:
        self._sent += len(block)
        declared = self._declared
        if declared is None:
            return
        if self._sent > declared or (not block and self._sent < declared):
            found = f"{self._sent} bytes, or more" if block else f"{self._sent} bytes"
            raise BodyLengthError(f"found a body of {found}, declared {declared}")
