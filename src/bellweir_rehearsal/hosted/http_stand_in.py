"""What the stand-ins' HTTP servers share."""

import contextlib
import json
import socket
import struct
import threading
from collections.abc import Iterator, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar
from urllib.parse import parse_qs, unquote, urlsplit

BLOCK_BYTES = 64 * 1024


class BodyBrokenError(ConnectionError):
    """A request's body ended early, or other bytes came where it was due."""

    def __init__(self, what: str, found: bytes = b"") -> None:
        super().__init__(what)
        self.found = found
        """Bytes that are not of the body; empty if the connection ended."""


class StandInHandler(BaseHTTPRequestHandler):
    """One connection; answers carry a length."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm: ClassVar[bool] = True
    wbufsize = -1

    def log_message(self, format: str, *arguments: Any) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """The request's body, chunked or with a length."""
        return b"".join(self.body_blocks())

    def body_blocks(self) -> Iterator[bytes]:
        """Read the request's body block by block. Raises `BodyBrokenError` where it is cut."""
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            yield from self._chunks()
            return
        left = int(self.headers.get("Content-Length") or 0)
        while left:
            block = self.rfile.read(min(left, BLOCK_BYTES))
            if not block:
                raise BodyBrokenError(f"{left} bytes are missing")
            left -= len(block)
            yield block

    def _chunks(self) -> Iterator[bytes]:
        while size := self._chunk_size():
            chunk = self.rfile.read(size)
            if len(chunk) < size:
                raise BodyBrokenError(f"{size - len(chunk)} bytes of a chunk are missing")
            self.rfile.readline()
            yield chunk
        self.rfile.readline()

    def _chunk_size(self) -> int:
        line = self.rfile.readline()
        try:
            return int(line.split(b";")[0], 16)
        except ValueError as exc:
            raise BodyBrokenError(f"{line[:60]!r} in place of a chunk's size", line) from exc

    def answer(
        self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Write a whole answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if "Content-Length" not in (headers or {}):
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def answer_json(self, status: int, content: object) -> None:
        """Write a JSON answer."""
        self.answer(status, json.dumps(content).encode(), {"Content-Type": "application/json"})

    def reset(self) -> None:
        """Reset the connection."""
        self.close_connection = True
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connection.close()

    def parts(self) -> tuple[list[str], dict[str, str]]:
        """Parts of the path and the query's last values."""
        split = urlsplit(self.path)
        query = {name: values[-1] for name, values in parse_qs(split.query).items()}
        return [unquote(part) for part in split.path.strip("/").split("/")], query


class StandInServer(ThreadingHTTPServer):
    """Serves on a thread of its own until `close`."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handler: type[StandInHandler], host: str, port: int = 0) -> None:
        super().__init__((host, port), handler)
        self._open: set[socket.socket] = set()
        self._thread = threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """`host:port`."""
        host, port = self.server_address[:2]
        return f"{host!s}:{port}"

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread of its own."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    def break_off(self) -> None:
        """Break all open connections off, as the end of a process does."""
        for each in list(self._open):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A caller that goes away is no fault here."""

    def close(self) -> None:
        """Stop serving."""
        self.shutdown()
        self.server_close()
        self._thread.join(5.0)
