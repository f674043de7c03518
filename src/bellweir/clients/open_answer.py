"""An HTTP answer whose body is still to be read, and the end of its connection's use."""

import threading
from collections.abc import Iterator, Mapping
from typing import Protocol

from bellweir.clients.answer_head import STATUS_LINE_INSIDE, Framing, MalformedAnswerError
from bellweir.clients.answer_memory import PROCESS_MEMORY, AnswerHolding, AnswerMemory
from bellweir.clients.answer_reader import AnswerReader, split_lines
from bellweir.clients.connection import CountingConnection
from bellweir.clients.log_events import SURPLUS_BYTES
from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s


class ConnectionOwner(Protocol):
    """Where a connection goes once its answer has ended."""

    def give_back(self, connection: CountingConnection, keep_alive: str | None) -> None:
        """Keep a connection whose answer was read whole; with its `Keep-Alive` header."""

    def forget(self, connection: CountingConnection) -> None:
        """Stop tracking a connection that is being closed."""


class OpenAnswer:
    """An answer whose headers have been read; the body is read from it."""

    def __init__(
        self,
        connection: CountingConnection,
        owner: ConnectionOwner,
        memory: AnswerMemory = PROCESS_MEMORY,
    ) -> None:
        """`memory` bounds what this answer and others hold of their bodies."""
        self._connection = connection
        self._owner = owner
        self._holding = AnswerHolding(memory)
        self.reusable = True
        """Whether the connection may serve another call after this one."""
        self.ends_with_connection = False
        """Whether the end of the connection may end a body that declares no length."""
        self.is_request_sent = False
        """Whether the whole request was written; a failed write may have consumed a reset, behind
        which a read finds the same end as behind the peer's close."""
        self._reader: AnswerReader | None = None
        self._lock = threading.Lock()
        self._released = False

    def read_headers(self) -> None:
        """Read status and headers; raises `OSError` or `HTTPException`."""
        self._reader = self._connection.read_answer()

    @property
    def _answer(self) -> AnswerReader:
        if self._reader is None:
            raise ConnectionError("no answer yet")
        return self._reader

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._answer.head.status

    @property
    def framing(self) -> Framing:
        """What ends the body."""
        return self._answer.framing

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer by lower-case name; of repeated ones the last."""
        return self._answer.head.values

    def header_pairs(self) -> list[tuple[str, str]]:
        """Headers in order, as they may be passed on: a value that was folded stands on one line.

        RFC 9112 section 5.2.
        """
        return list(self._answer.head.fields)

    def set_timeout(self, timeout_s: float) -> None:
        """Let reading go on for this long from now."""
        self._connection.deadline_socket.deadline_s = elapsed_s() + timeout_s

    def read_lines(self) -> Iterator[bytes]:
        """Read the body line by line as it arrives, without line ends; raises when it was cut."""
        return split_lines(self.read_blocks(), self.hold)

    def read_blocks(self) -> Iterator[bytes]:
        """Read the body as it arrives; raises when it was cut."""
        may_end = self.ends_with_connection and self.is_request_sent
        return self._answer.read_blocks(may_end_with_connection=may_end)

    def read_all(self) -> bytes:
        """Read the whole body; raises `AnswerTooLongError` where there is no memory for it."""
        blocks: list[bytes] = []
        length = 0
        self._holding.check_declared(self._answer.declared_left)
        for block in self.read_blocks():
            blocks.append(block)
            length += len(block)
            self.hold(length)
        body = b"".join(blocks)
        if self._answer.has_surplus and STATUS_LINE_INSIDE.search(body):
            raise MalformedAnswerError("a second answer begins in the body and goes on behind it")
        return body

    def hold(self, length: int) -> None:
        """Count `length` bytes of this answer as kept; raises `AnswerTooLongError`."""
        self._holding.resize(length)

    def finish(self) -> None:
        """Give the connection back when the answer was read to its end, else close it."""
        reader = self._reader
        if reader is None or not self._may_be_reused(reader):
            self.drop()
        elif self._release():
            self._owner.give_back(self._connection, reader.head.values.get("keep-alive"))

    def _may_be_reused(self, reader: AnswerReader) -> bool:
        if reader.has_surplus:
            emit(SURPLUS_BYTES, address=f"{self._connection.host}:{self._connection.port}")
            return False
        is_ended = reader.is_whole and not reader.will_close
        return is_ended and self.reusable and self.is_request_sent

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
        self._holding.release()
        return not released
