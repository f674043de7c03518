"""A client that sends one request for a stream on a new connection and reads it to its end."""

import http.client
import threading

from bellweir.kernel.clock import elapsed_s
from stand_ins.engine import ID, MODEL, event_of
from stand_ins.record import Record

DEADLINE_MS = 12_000
PIECE_BYTES = 32 * 1024


class StreamRequest:
    """One client attempt; `join` waits for its end."""

    def __init__(
        self,
        request_id: str,
        address: str,
        host: str,
        path: str,
        record: Record,
        body: bytes = b"",
        *,
        is_chunked: bool = False,
    ) -> None:
        """Without a `body` a short one is sent; `is_chunked`: in chunks, not with its length."""
        self.request_id = request_id
        self.body = body or f"prompt of {request_id}".encode()
        self._is_chunked = is_chunked
        self.address = address
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.status: int | None = None
        self.is_whole = False
        """Whether the answer came to its proper end."""
        self.received = b""
        self.failure = ""
        self._host = host
        self._path = path
        self._record = record
        self._thread = threading.Thread(target=self._run, daemon=True)

    def send(self) -> None:
        """Send the request."""
        self._thread.start()

    def join(self, timeout_s: float) -> None:
        """Wait for the end."""
        self._thread.join(timeout_s)

    def has_all(self, events: int) -> bool:
        """Whether just the events of one run stand in the answer, in order."""
        expected = b"".join(event_of(self.request_id, number) for number in range(1, events + 1))
        return self.received == expected

    def _pieces(self) -> list[bytes]:
        starts = range(0, len(self.body), PIECE_BYTES)
        return [self.body[start : start + PIECE_BYTES] for start in starts]

    def _run(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=DEADLINE_MS / 1000)
        headers = {
            "Host": self._host,
            ID: self.request_id,
            "X-Bellweir-Deadline-Ms": DEADLINE_MS,
            "X-Bellweir-Model": MODEL,
        }
        try:
            connection.connect()
            self.sent_s = elapsed_s()
            self._record.note(
                f"client: sends {self.request_id} to {self.address}, {len(self.body)} bytes",
                self.sent_s,
            )
            if self._is_chunked:
                headers["Transfer-Encoding"] = "chunked"
                pieces = iter(self._pieces())
                connection.request("POST", self._path, pieces, headers, encode_chunked=True)
            else:
                connection.request("POST", self._path, self.body, headers)
            answer = connection.getresponse()
            self.status = answer.status
            while piece := answer.read1(65_536):
                self.received += piece
            self.is_whole = answer.isclosed()
        except (OSError, http.client.HTTPException) as failure:
            self.failure = repr(failure)
        finally:
            self.ended_s = elapsed_s()
            connection.close()
        events = self.received.count(b"\n\n")
        end = "whole" if self.is_whole else f"closed without its end ({self.failure})"
        self._record.note(f"client: {self.request_id} status {self.status}, {events} events, {end}")
