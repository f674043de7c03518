"""A raw HTTP server that closes its connections at a chosen point, and counts what it has read."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

ACCEPT_WAIT_S = 0.1
BODY = b'{"score": 0.25}'


class LossPoint(Enum):
    """Where the server closes the connection."""

    NOWHERE = "nowhere"
    BEFORE_READING = "before reading"
    AFTER_HALF_THE_REQUEST = "after half the request"
    AFTER_THE_REQUEST = "after the request"
    WITHIN_THE_HEADERS = "within the headers"
    BEFORE_THE_BODY = "before the body"
    WITHIN_THE_BODY = "within the body"
    BEFORE_THE_END_MARKER = "before the end marker"


class LossyServer:
    """Answers `BODY` to `healthy_calls` calls of each connection, then loses the next one."""

    def __init__(self, point, *, chunked=False, healthy_calls=0, reset=False):
        self.point = point
        self.chunked = chunked
        self.healthy_calls = healthy_calls
        self.reset = reset
        self.bytes_read = 0
        self.requests_read = 0
        self.connections_seen = 0
        self.whole_answers = 0
        """Answers of which every byte was sent that the client needs to know it as whole."""
        self._stopping = threading.Event()
        self._connections = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(ACCEPT_WAIT_S)
        self._pool = ThreadPoolExecutor(16)
        self._loop = self._pool.submit(self._accept)

    @property
    def connections_open(self):
        return len(self._connections)

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def stop(self):
        self._stopping.set()
        self._loop.result()
        self._listener.close()
        for connection in list(self._connections):
            connection.close()
        self._pool.shutdown()

    def _accept(self):
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            connection.settimeout(5)
            self.connections_seen += 1
            self._connections.add(connection)
            self._pool.submit(self._serve, connection)

    def _serve(self, connection):
        try:
            for _ in range(self.healthy_calls):
                self._read_request(connection)
                self.whole_answers += 1
                connection.sendall(self._answer())
            self._lose(connection)
        except OSError:
            pass  # the client went first
        finally:
            self._close(connection)

    def _lose(self, connection):
        if self.point is LossPoint.BEFORE_READING:
            return
        if self.point is LossPoint.AFTER_HALF_THE_REQUEST:
            self.bytes_read += len(connection.recv(20))
            return
        self._read_request(connection)
        answer = self._answer()
        head = answer.index(b"\r\n\r\n") + 4
        ends = {
            LossPoint.AFTER_THE_REQUEST: 0,
            LossPoint.WITHIN_THE_HEADERS: head // 2,
            LossPoint.BEFORE_THE_BODY: head,
            LossPoint.WITHIN_THE_BODY: answer.index(BODY) + len(BODY) // 2,
            LossPoint.BEFORE_THE_END_MARKER: answer.index(BODY) + len(BODY) + 2,
            LossPoint.NOWHERE: len(answer),
        }
        whole_at = len(answer) if self.chunked else answer.index(BODY) + len(BODY)
        self.whole_answers += ends[self.point] >= whole_at
        connection.sendall(answer[: ends[self.point]])
        if self.point is LossPoint.NOWHERE:
            connection.recv(1)  # until the client closes

    def _read_request(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive(connection)
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += self._receive(connection)
        self.requests_read += 1

    def _receive(self, connection):
        data = connection.recv(65536)
        if not data:
            raise ConnectionError("client closed")
        self.bytes_read += len(data)
        return data

    def _answer(self):
        if self.chunked:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)

    def _close(self, connection):
        if self.reset:
            linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # Whoever sees it gone may rely on its end having been sent.
        connection.close()
        self._connections.discard(connection)


class TricklingServer(LossyServer):
    """Sends one byte of its answer now and then, for ever."""

    def __init__(self, period_s):
        self._period_s = period_s
        super().__init__(LossPoint.NOWHERE)

    def _lose(self, connection):
        self._read_request(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        while not self._stopping.is_set():
            connection.sendall(b" ")
            time.sleep(self._period_s)
