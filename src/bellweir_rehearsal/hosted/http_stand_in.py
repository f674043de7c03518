"""What the stand-ins' HTTP servers share."""

import contextlib
import json
import socket
import struct
import threading
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar
from urllib.parse import parse_qs, unquote, urlsplit


class StandInHandler(BaseHTTPRequestHandler):
    """One connection; answers carry a length."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm: ClassVar[bool] = True
    wbufsize = -1

    def log_message(self, format: str, *arguments: Any) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """The request's body, chunked or with a length."""
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            return self._read_chunks()
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def _read_chunks(self) -> bytes:
        pieces = []
        while size := int(self.rfile.readline().split(b";")[0], 16):
            pieces.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(pieces)

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
