"""A lean HTTP client for load: raw sockets, so that the load costs less than what it measures."""

import itertools
import socket
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Protocol

RECEIVE_BYTES = 256 * 1024
ATTEMPT_PLACEHOLDER = b"attempt-00000000"
HEADERS_END = b"\r\n\r\n"


_attempts = itertools.count()


class Metered(Protocol):
    """Something whose processor time is read before and after a run."""

    def cpu_s(self) -> float:
        """Processor time used so far in seconds."""


@dataclass(frozen=True)
class Target:
    """Where a request goes and what it is."""

    name: str
    address: str
    request: bytes
    """`ATTEMPT_PLACEHOLDER` in it is replaced by a number of its own in each streamed request."""
    process: Metered
    """The process that serves it."""
    marker: bytes = b""
    """Occurs once in each chunk of a streamed answer."""


@dataclass(frozen=True)
class RequestFigures:
    """Result of a run of plain requests."""

    requests: int
    cpu_s: float
    """Processor time that the measured process used."""
    seconds: float
    latencies_s: list[float]

    @property
    def per_second(self) -> float:
        """Requests a second."""
        return self.requests / self.seconds

    @property
    def cpu_ms_each(self) -> float:
        """Processor time for one request in milliseconds."""
        return 1_000 * self.cpu_s / self.requests

    def percentile_ms(self, percent: int) -> float:
        """A percentile of the latency in milliseconds."""
        ordered = sorted(self.latencies_s)
        return 1_000 * ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


@dataclass(frozen=True)
class StreamFigures:
    """Result of a run of streams."""

    chunks: int
    cpu_s: float
    """Processor time that the measured process used."""
    seconds: float
    first_chunk_s: list[float]

    @property
    def per_second(self) -> float:
        """Chunks a second."""
        return self.chunks / self.seconds

    @property
    def cpu_us_each(self) -> float:
        """Processor time for one chunk in microseconds."""
        return 1_000_000 * self.cpu_s / self.chunks

    @property
    def first_chunk_ms(self) -> float:
        """Median time to the first chunk in milliseconds."""
        return 1_000 * statistics.median(self.first_chunk_s)


def post(address: str, path: str, body: bytes, content_type: str = "application/json") -> bytes:
    """The bytes of a POST."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def run_requests(target: Target, connections: int, seconds: float) -> RequestFigures:
    """Send requests one after the other on each of `connections` kept-alive connections."""
    with ThreadPoolExecutor(connections) as pool:
        cpu_s = target.process.cpu_s()
        started = time.perf_counter()
        deadline = started + seconds
        runs = [pool.submit(_repeat, target, deadline) for _ in range(connections)]
        latencies = [latency for run in runs for latency in run.result()]
        elapsed = time.perf_counter() - started
    cpu_s = target.process.cpu_s() - cpu_s
    return RequestFigures(len(latencies), cpu_s, elapsed, latencies)


def run_streams(target: Target, streams: int, seconds: float) -> StreamFigures:
    """Keep `streams` streamed answers open, each followed by the next."""
    with ThreadPoolExecutor(streams) as pool:
        cpu_s = target.process.cpu_s()
        started = time.perf_counter()
        deadline = started + seconds
        runs = [pool.submit(_repeat_stream, target, deadline) for _ in range(streams)]
        results = [run.result() for run in runs]
        elapsed = time.perf_counter() - started
    first = [each for _, times in results for each in times]
    cpu_s = target.process.cpu_s() - cpu_s
    return StreamFigures(sum(count for count, _ in results), cpu_s, elapsed, first)


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=60)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _repeat(target: Target, deadline: float) -> list[float]:
    latencies = []
    with _connect(target.address) as connection:
        while (sent := time.perf_counter()) < deadline:
            connection.sendall(target.request)
            _read_answer(connection)
            latencies.append(time.perf_counter() - sent)
    return latencies


def _read_answer(connection: socket.socket) -> None:
    received = b""
    while HEADERS_END not in received:
        received += _receive(connection)
    head, _, body = received.partition(HEADERS_END)
    if not head.startswith(b"HTTP/1.1 200"):
        raise ConnectionError(received[:400].decode(errors="replace"))
    _, _, after = head.lower().partition(b"content-length:")
    left = int(after.split(b"\r\n", 1)[0]) - len(body)
    while left > 0:
        left -= len(_receive(connection))


def _receive(connection: socket.socket) -> bytes:
    received = connection.recv(RECEIVE_BYTES)
    if not received:
        raise ConnectionError("the answer was cut")
    return received


def _repeat_stream(target: Target, deadline: float) -> tuple[int, list[float]]:
    chunks = 0
    first: list[float] = []
    while (sent := time.perf_counter()) < deadline:
        with _connect(target.address) as connection:
            number = b"attempt-%08d" % next(_attempts)
            connection.sendall(target.request.replace(ATTEMPT_PLACEHOLDER, number))
            tail = b""
            begun = False
            while received := connection.recv(RECEIVE_BYTES):
                if not tail and not received.startswith(b"HTTP/1.1 200"):
                    raise ConnectionError(received[:400].decode(errors="replace"))
                found = (tail + received).count(target.marker)
                tail = received[-len(target.marker) + 1 :]
                if found and not begun:
                    begun = True
                    first.append(time.perf_counter() - sent)
                chunks += found
                if received.endswith(b"\r\n0\r\n\r\n"):
                    break
            if not begun:
                raise ConnectionError("a stream without chunk")
    return chunks, first
