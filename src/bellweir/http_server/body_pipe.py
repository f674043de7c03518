"""A request body on its way from the connection's loop to a request thread."""

import threading
from collections import deque
from collections.abc import Callable

FULL_BYTES = 256 * 1024
"""The connection is not read while this much waits."""


class BodyCutError(OSError):
    """The caller did not send the body to its end."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        """HTTP status that tells the caller."""


class BodyPipe:
    """A bounded queue of bytes with one writer, the loop, and one reader, a request thread.

    Stands where waitress keeps a buffer, hence the names `append`, `getfile` and `close`.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._pieces: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._received_bytes = 0
        self._ended = False
        self._closed = False
        self._cut: BodyCutError | None = None
        self.on_drained: Callable[[], None] = lambda: None
        """Called by the reader once the pipe is no longer full."""

    def __len__(self) -> int:
        return self._received_bytes

    @property
    def is_full(self) -> bool:
        """Whether the connection must not be read for now."""
        return self._waiting_bytes >= FULL_BYTES

    @property
    def was_cut(self) -> BodyCutError | None:
        """Why the rest of the body did not come; None if it did or still may."""
        return self._cut

    def append(self, data: bytes) -> None:
        """Add bytes; dropped once the reader has closed."""
        with self._condition:
            self._received_bytes += len(data)
            if self._closed or not data:
                return
            self._pieces.append(data)
            self._waiting_bytes += len(data)
            self._condition.notify()

    def end(self) -> None:
        """Note that the body is whole."""
        with self._condition:
            self._ended = True
            self._condition.notify()

    def cut(self, status: int, why: str) -> None:
        """Note that the rest of the body will not come; no matter after its end."""
        with self._condition:
            if not self._ended and self._cut is None:
                self._cut = BodyCutError(status, why)
            self._condition.notify()

    def getfile(self) -> "BodyPipe":
        """The reader's side."""
        return self

    def seekable(self) -> bool:
        """Tell that the body can be read once only."""
        return False

    def readable(self) -> bool:
        """Tell that the body can be read."""
        return True

    def read(self, size: int = -1) -> bytes:
        """Wait for bytes and return at most `size`, all without a size; empty at the end.

        Raises `BodyCutError` when the caller does not send the rest. The wait ends because the
        connection ends bodies that come too slowly.
        """
        if size < 0:
            return b"".join(iter(lambda: self.read(FULL_BYTES), b""))
        with self._condition:
            self._condition.wait_for(lambda: self._pieces or self._ended or self._cut)
            if self._cut is not None:
                raise self._cut
            was_full = self.is_full
            data = self._take(size)
            drained = was_full and not self.is_full
        if drained:
            self.on_drained()
        return data

    def close(self) -> None:
        """End reading; what still comes is dropped."""
        with self._condition:
            self._closed = True
            self._pieces.clear()
            self._waiting_bytes = 0
        self.on_drained()

    def _take(self, size: int) -> bytes:
        if not self._pieces:
            return b""
        piece = self._pieces.popleft()
        if len(piece) > size:
            self._pieces.appendleft(piece[size:])
            piece = piece[:size]
        self._waiting_bytes -= len(piece)
        return piece
