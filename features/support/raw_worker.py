"""A worker that answers with given bytes, whether or not they are an answer."""

import contextlib
import re
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from bellweir_platform.headers import HEADERS

ACCEPT_WAIT_S = 0.1
READ_WAIT_S = 10.0
RESET = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
"""A socket option: close with a reset."""
REQUEST_ID = re.compile(rb"^%s: *(\S+)" % HEADERS.request_id.encode(), re.MULTILINE | re.IGNORECASE)
BODY = b"0123456789" * 80
BLOCK = b"0123456789abcdef" * 4096


def head_of(request_id, *fields, status=b"200 OK", stamp=b"signed"):
    """The head of a worker's answer to a request; `fields` are its further lines."""
    lines = [
        b"HTTP/1.1 " + status,
        b"%s: %s" % (HEADERS.request_id.encode(), request_id),
        b"%s: %s.%s" % (HEADERS.stamp.encode(), stamp, request_id),
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def answer_of(request_id, body=BODY, status=b"200 OK"):
    """A whole answer with a length."""
    fields = (b"Content-Type: text/plain", b"Content-Length: %d" % len(body))
    return head_of(request_id, *fields, status=status) + body


def chunked_answer_of(request_id, body=BODY):
    """A whole answer in two chunks."""
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in (body[:half], body[half:]))
    return head_of(request_id, b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"


class RawWorker:
    """Sends what `answer` returns for each request, and may end the connection behind it.

    `answer` takes the request's id; it returns bytes, or an iterator of blocks that are sent until
    the caller closes.
    """

    def __init__(self, answer, *, keeps_open=False, resets=False):
        self.answer = answer
        self.keeps_open = keeps_open
        self.resets = resets
        self.requests = 0
        self.connections = 0
        self.bytes_sent = 0
        self.callers_gone = threading.Semaphore(0)
        """Released once for each connection that its caller has closed amid an answer."""
        self._lock = threading.Lock()
        self._open = set()
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_WAIT_S)
        self._pool = ThreadPoolExecutor(64)
        self._loop = self._pool.submit(self._accept)

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def stop(self):
        self._stopping.set()
        self._loop.result()
        self._listener.close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._pool.shutdown()

    def _accept(self):
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            connection.settimeout(READ_WAIT_S)
            with self._lock:
                self.connections += 1
                self._open.add(connection)
            self._pool.submit(self._serve, connection)

    def _serve(self, connection):
        try:
            while self._answer_next(connection) and self.keeps_open:
                pass
        except OSError:
            self.callers_gone.release()
        finally:
            if self.resets:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def _answer_next(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            block = connection.recv(65536)
            if not block:
                return False
            data += block
        with self._lock:
            self.requests += 1
        found = REQUEST_ID.search(data)
        answer = self.answer(found[1] if found else b"")
        blocks = (answer,) if isinstance(answer, bytes) else answer
        for block in blocks:
            connection.sendall(block)
            with self._lock:
                self.bytes_sent += len(block)
            if self._stopping.is_set():
                return False
        return True
