"""Stand-in of a worker: runs requests, streams events, takes orders, and fails on purpose.

It may start again under its id, also behind a cut. What it has run and taken stays in its record,
for whoever checks it; the worker itself knows nothing of before but its version.
"""

import hashlib
import json
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from bellweir.hosted.incarnation import Incarnation
from bellweir_rehearsal.hosted.broken_answers import AnswerBreaker
from bellweir_rehearsal.hosted.http_stand_in import (
    BodyBrokenError,
    StandInHandler,
    StandInServer,
)
from bellweir_rehearsal.hosted.text_runs import BY_RUN

STREAM_TYPE = "text/event-stream"
SILENCE_S = 1.5
"""Time for which a stream stands still that falls silent."""
LISTEN_TIMEOUT_S = 5.0
LISTEN_PAUSE_S = 0.05
"""Tries to listen at the address of before, which another program may hold for a moment."""
MS_PER_S = 1000
STATUS_FIELD = "X-Wanted-Status"
"""Status that a worker of an application is to answer."""
SIZE_FIELD = "X-Wanted-Bytes"
"""Least length of its body."""


class EarlyEnd(Enum):
    """What a worker does before it has read the whole body of a request."""

    REFUSE = "refuses"
    """Answer that it was not run, keep the connection and read the rest."""
    REFUSE_AND_CLOSE = "refuses and closes"
    RESET = "resets"
    SILENCE = "is silent"
    """Read no more and answer nothing until the connection ends."""


@dataclass
class WorkerFaults:
    """Faults in force; each number counts down with every request that it strikes."""

    refuse: int = 0
    """Answer that the request was not run."""
    early: int = 0
    """End requests before their bodies are read, as `early_end` says, after `early_bytes`."""
    early_end: EarlyEnd = EarlyEnd.REFUSE
    early_bytes: int = 0
    lose_answer: int = 0
    """Run it and reset the connection."""
    cut_answers: int = 0
    """Run it and close the connection in the middle of the answer."""
    wrong_id: int = 0
    """Answer with another request's id."""
    fail: int = 0
    """Answer 500."""
    fail_ids: frozenset[str] = frozenset()
    """Requests that are answered `fail_status` whenever they come, after `fail_after_s`."""
    fail_after_s: float = 0.0
    fail_status: int = 500
    fail_statuses: dict[str, int] = field(default_factory=dict)
    """The same with a status each."""
    cut_after_event: int | None = None
    """Break the next stream off behind so many events, in the middle of the next one."""
    unsigned: int = 0
    """Answer without a signature."""
    late_orders: int = 0
    """Leave orders unanswered and carry them out `late_s` later, if what they expect holds."""
    crash_bodies: frozenset[bytes] = frozenset()
    """Bodies of requests under which the worker ends, `crash_after_s` after it begins them."""
    crash_after_s: float = 0.08
    back_after_s: float = 1.5
    """Time after such an end until it starts again."""
    late_s: float = 0.5
    delay_s: float = 0.0

    def strikes(self, name: str) -> bool:
        """Whether a counted fault strikes now."""
        left: int = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


@dataclass(frozen=True)
class TakenOrder:
    """An order that was carried out."""

    holder: str
    fence: int
    model: str
    version: int


@dataclass(frozen=True)
class CrashingRun:
    """A run of a request that ends its worker, or the end itself."""

    body: bytes
    request_id: str
    at_s: float
    """Monotonic time."""


@dataclass(frozen=True)
class ReceivedBody:
    """What a worker received where the body of a request was due."""

    request_id: str
    size: int
    """Bytes."""
    digest: str
    """SHA-256 of these bytes, in hexadecimal."""

    def is_of(self, body: bytes, *, is_whole: bool) -> bool:
        """Whether these are the bytes of a body, or its first ones if it need not be whole."""
        if is_whole and self.size != len(body):
            return False
        return self == received_body(self.request_id, body[: self.size])


def received_body(request_id: str, body: bytes) -> ReceivedBody:
    """Return the record of a body.

    >>> received_body("a", b"text").is_of(b"text and more", is_whole=False)
    True
    """
    return ReceivedBody(request_id, len(body), hashlib.sha256(body).hexdigest())


@dataclass(frozen=True)
class MeantAnswer:
    """An answer of an application as its worker meant it, however it was sent."""

    status: int
    stamp: str | None
    body: bytes


@dataclass
class WorkerRecord:
    """What a worker has seen."""

    ran: Counter[str] = field(default_factory=Counter)
    """Runs by request id."""
    failed: Counter[str] = field(default_factory=Counter)
    """Answers of requests that fail at each run, to callers that had not left, by request id."""
    arrived_s: list[float] = field(default_factory=list)
    """Monotonic times at which requests came, refused ones included."""
    cold_times: list[tuple[float, float]] = field(default_factory=list)
    """Begin and end of each time in which it was cold."""
    orders: list[TakenOrder] = field(default_factory=list)
    crashing_runs: list[CrashingRun] = field(default_factory=list)
    """Requests that came and end the worker."""
    crashes: list[CrashingRun] = field(default_factory=list)
    """Those under which it ended, with the times of the ends; one of several for each end."""
    refusals: int = 0
    """Requests that were not run."""
    resumed_after: dict[str, int] = field(default_factory=dict)
    """Events after which streams were asked to go on, by request id; 0 for a new one."""
    asked_after: dict[str, int] = field(default_factory=dict)
    """The same by name of the run."""
    ended: Counter[str] = field(default_factory=Counter)
    """Streams made to their end and whole answers, by request id."""
    held_s: dict[str, float] = field(default_factory=dict)
    """Monotonic time at which each request last began or ended to run."""
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    """Headers of what ran, by request id; names in lower case."""
    run_bodies: list[ReceivedBody] = field(default_factory=list)
    """Bodies of what ran."""
    unrun_bodies: list[ReceivedBody] = field(default_factory=list)
    """What came of the bodies of requests that were ended early or cut."""
    meant: dict[str, list[MeantAnswer]] = field(default_factory=dict)
    """Answers of an application, by request id."""


class FormerStartError(ConnectionError):
    """The worker has started again since the connection was made."""


class WorkerStandIn:
    """One worker at one address of loopback, through all of its starts."""

    def __init__(
        self,
        instance: str,
        host: str = "127.0.0.1",
        model: str = "",
        version: int = 1,
        events: int = 6,
        port: int = 0,
        on_run: Callable[[str], None] = lambda _request_id: None,
    ) -> None:
        """`on_run` is called with the id of each request that begins to run."""
        self.instance = instance
        self.born_ms = round(MS_PER_S * time.time())
        self.starts = 1
        self._on_run = on_run
        self.model = model
        self.version = version
        self.events = events
        self.event_pause_s = 0.0
        self.silent_after: int | None = None
        """Events after which its streams stand still, without an end."""
        self.load_s = 0.1
        self.cold_s = 0.0
        """How long it is cold after a start; 0: it tells nothing of being cold."""
        self.names_runs = False
        """Whether its events name the run that made them."""
        self.told_load = ""
        """What its answers say of its load; empty: nothing."""
        self.faults = WorkerFaults()
        self.record = WorkerRecord()
        self.breaker = AnswerBreaker()
        self.in_hand: Counter[str] = Counter()
        """Runs that go on now, by request id."""
        self.sequence = 0
        self._loading_until_s = 0.0
        self._lock = threading.Lock()
        self._reachable = threading.Event()
        self._reachable.set()
        self._running = True
        self.down_since_s: float | None = None
        """Monotonic time at which it crashed or was cut off; None while it can be reached."""
        stand_in = self

        class Handler(StandInHandler):
            """One connection to one start of the worker."""

            start = 0

            def setup(self) -> None:
                """Note the start that the connection leads to."""
                super().setup()
                self.start = stand_in.starts

            def do_GET(self) -> None:
                """Report."""
                if not stand_in._is_heard(self):
                    return
                stand_in.breaker.send_late(self)
                self.answer_json(200, stand_in._report())

            def do_POST(self) -> None:
                """An order or a request."""
                body = stand_in._receive(self)
                if body is None or not stand_in._is_heard(self):
                    return
                stand_in.breaker.send_late(self)
                if self.path == "/api/order":
                    stand_in._take_order(self, json.loads(body))
                    return
                request_id = self.headers.get("X-Bellweir-Attempt-Id", "")
                with stand_in.breaker.answering(self, request_id):
                    stand_in._run(self, body)

            def send_response(self, code: int, message: str | None = None) -> None:
                """Begin an answer, unless the worker can't be reached."""
                stand_in._await_way(self)
                super().send_response(code, message)

        self._handler = Handler
        self.server = StandInServer(Handler, host, port)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self.server.address

    @property
    def incarnation(self) -> Incarnation:
        """The start that runs, as the service names it."""
        return Incarnation(self.instance, self.born_ms)

    def close(self) -> None:
        """End for good."""
        self._reachable.set()
        if self._running:
            self.server.close()

    def crash(self) -> None:
        """End now: connections break, and nobody listens until `start_again`."""
        self.down_since_s = time.monotonic()
        self._running = False
        self.server.close()
        self.server.break_off()

    def crash_for(self, seconds: float) -> bool:
        """End now and start again after so many seconds; False if it is down."""
        start = self.starts
        if not self._take_end(start):
            return False
        self.crash()
        self._come_back_after(seconds, start)
        return True

    def _crash_under(self, handler: Any, run: CrashingRun) -> None:
        """End by a request that runs, and start again later; once for all that run it."""
        self.record.crashing_runs.append(run)
        time.sleep(self.faults.crash_after_s)
        if self._take_end(handler.start):
            self.record.crashes.append(CrashingRun(run.body, run.request_id, time.monotonic()))
            self.crash()
            self._come_back_after(self.faults.back_after_s, handler.start)
        handler.close_connection = True

    def _take_end(self, start: int) -> bool:
        """Be the one cause of the end of a start; False if that start has ended."""
        with self._lock:
            if start != self.starts or self.down_since_s is not None:
                return False
            self.down_since_s = time.monotonic()
            return True

    def _come_back_after(self, seconds: float, start: int) -> None:
        back = threading.Timer(seconds, self._come_back, (start,))
        back.daemon = True
        back.start()

    def _come_back(self, start: int) -> None:
        if self.starts == start and self.down_since_s is not None:
            self.start_again()

    def go_dark(self) -> None:
        """Be cut off: nothing comes through, and connections stay open in silence."""
        self.down_since_s = time.monotonic()
        self._reachable.clear()

    def start_again(self, clock_ms: int = 0) -> None:
        """Start anew under the same id and address, with the version that it had.

        Behind a cut its former connections stay as they are: whoever uses one is reset.
        `clock_ms` puts its clock off, so that its start may have a smaller time than the last.
        """
        with self._lock:
            self.starts += 1
            self.sequence = 0
            self._loading_until_s = 0.0
            started_ms = round(MS_PER_S * time.time()) + clock_ms
            self.born_ms = started_ms + (started_ms == self.born_ms)
        if not self._running:
            self._listen_again()
        elif self._reachable.is_set():
            self.server.break_off()
        self.down_since_s = None
        self.turn_cold()
        self._reachable.set()

    def turn_cold(self) -> None:
        """Be cold from now on, for `cold_s`."""
        if self.cold_s:
            now_s = time.monotonic()
            self.record.cold_times.append((now_s, now_s + self.cold_s))

    def _cold_left_ms(self) -> int:
        ends_s = (end_s for _, end_s in self.record.cold_times[-1:])
        return max(0, *(round(MS_PER_S * (end_s - time.monotonic())) for end_s in ends_s), 0)

    def _listen_again(self) -> None:
        host, port = self.server.server_address[:2]
        until_s = time.monotonic() + LISTEN_TIMEOUT_S
        while not self._running:
            try:
                self.server = StandInServer(self._handler, str(host), int(port))
                self._running = True
            except OSError:
                if time.monotonic() >= until_s:
                    raise
                time.sleep(LISTEN_PAUSE_S)

    def _is_heard(self, handler: Any) -> bool:
        """Wait until a request has come through; one to a former start is reset."""
        self._reachable.wait()
        if handler.start == self.starts:
            return True
        handler.reset()
        return False

    def _await_way(self, handler: Any) -> None:
        """Wait until bytes can go out; what a former start had in hand never goes on."""
        self._reachable.wait()
        if handler.start != self.starts:
            while handler.connection.recv(1 << 16):
                """Silent until the caller gives up."""
            raise FormerStartError(f"start {handler.start} of {self.starts}")

    def refuse_for(self, seconds: float) -> None:
        """Refuse requests for a while, as during a load of weights."""
        self._loading_until_s = time.monotonic() + seconds

    def entry(self, service: str, zone: str = "a", state: str = "ready") -> dict[str, Any]:
        """The worker's entry in the store."""
        models = [{"name": self.model, "version": self.version}] if self.model else []
        told = {"coldLeftMs": self._cold_left_ms()} if self.cold_s else {}
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "slots": 8,
            "state": state,
            "models": models,
            "seq": self.sequence,
            "born": self.born_ms,
            **told,
        }

    def _report(self) -> dict[str, Any]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        loading = time.monotonic() < self._loading_until_s
        told = {"models": models, "inFlight": loading, "seq": self.sequence}
        return {**told, "born": self.born_ms}

    def _take_order(self, handler: StandInHandler, order: dict[str, Any]) -> None:
        if self.faults.strikes("late_orders"):
            later = threading.Timer(self.faults.late_s, self._carry_out, (order,))
            later.daemon = True
            later.start()
            handler.reset()
            return
        handler.answer(self._carry_out(order))

    def _carry_out(self, order: dict[str, Any]) -> int:
        """Carry an order out if it may be; the status that answers it."""
        with self._lock:
            is_loading = time.monotonic() < self._loading_until_s
            if is_loading or order.get("expected") not in (None, self.sequence):
                return 409
            if self.version == order["version"]:
                return 200
            self.sequence += 1
            self._loading_until_s = time.monotonic() + self.load_s
            self.version = order["version"]
            fence, holder = order["fencingToken"], order["holder"]
            self.record.orders.append(TakenOrder(holder, fence, order["model"], order["version"]))
            return 202

    def _receive(self, handler: StandInHandler) -> bytes | None:
        """Read a body; None if its request was ended early, or its connection."""
        request_id = handler.headers.get("X-Bellweir-Attempt-Id", "")
        ends_early = handler.path != "/api/order" and self.faults.strikes("early")
        received = bytearray()
        try:
            blocks = handler.body_blocks()
            while ends_early and len(received) < self.faults.early_bytes:
                block = next(blocks, b"")
                received += block
                ends_early = bool(block)
            if ends_early and not self._end_early(handler, request_id):
                self.record.unrun_bodies.append(received_body(request_id, bytes(received)))
                return None
            for block in blocks:
                received += block
        except BodyBrokenError as exc:
            received += exc.found
            handler.close_connection = True
            self.record.unrun_bodies.append(received_body(request_id, bytes(received)))
            return None
        if ends_early:
            self.record.unrun_bodies.append(received_body(request_id, bytes(received)))
            return None
        return bytes(received)

    def _end_early(self, handler: StandInHandler, request_id: str) -> bool:
        """End a request amid its body; whether the rest of it is still read."""
        end = self.faults.early_end
        if end is EarlyEnd.RESET:
            handler.reset()
            return False
        if end is EarlyEnd.SILENCE:
            time.sleep(SILENCE_S)
            handler.close_connection = True
            return False
        self.record.refusals += 1
        refused = {"X-Bellweir-Attempt-Id": request_id, "X-Bellweir-Not-Executed": "1"}
        if end is EarlyEnd.REFUSE_AND_CLOSE:
            handler.close_connection = True
            refused["Connection"] = "close"
        handler.answer(503, b"", refused)
        return end is EarlyEnd.REFUSE

    def _run(self, handler: StandInHandler, body: bytes) -> None:
        request_id = handler.headers.get("X-Bellweir-Attempt-Id", "")
        expected = handler.headers.get("X-Bellweir-Expect-Instance")
        echo = {"X-Bellweir-Attempt-Id": request_id}
        if expected not in (None, self.instance):
            handler.answer(421, b"", {**echo, "X-Bellweir-Not-Executed": "1"})
            return
        self.record.arrived_s.append(time.monotonic())
        if self.faults.strikes("refuse") or time.monotonic() < self._loading_until_s:
            self.record.refusals += 1
            handler.answer(503, b"", {**echo, "X-Bellweir-Not-Executed": "1"})
            return
        with self._lock:
            self.record.ran[request_id] += 1
            found = {name.lower(): value for name, value in handler.headers.items()}
            self.record.headers[request_id] = found
            self.record.run_bodies.append(received_body(request_id, body))
        self._on_run(request_id)
        self._count_run(request_id, 1)
        try:
            self._work(handler, request_id, body, echo)
        finally:
            self._count_run(request_id, -1)

    def _count_run(self, request_id: str, change: int) -> None:
        with self._lock:
            self.in_hand[request_id] += change
            if not self.in_hand[request_id]:
                del self.in_hand[request_id]
            self.record.held_s[request_id] = time.monotonic()

    def _work(
        self, handler: StandInHandler, request_id: str, body: bytes, echo: dict[str, str]
    ) -> None:
        if body in self.faults.crash_bodies:
            self._crash_under(handler, CrashingRun(body, request_id, time.monotonic()))
            return
        time.sleep(self.faults.delay_s)
        if self.faults.strikes("lose_answer"):
            handler.reset()
        elif request_id in self.faults.fail_ids or request_id in self.faults.fail_statuses:
            time.sleep(self.faults.fail_after_s)
            status = self.faults.fail_statuses.get(request_id, self.faults.fail_status)
            self.record.failed[request_id] += not _has_left(handler)
            handler.answer(status, b"failed", {**echo, "X-Bellweir-Server-Stamp": "failed"})
        elif self.faults.strikes("fail"):
            handler.answer(500, b"failed", {**echo, "X-Bellweir-Server-Stamp": "failed"})
        elif self.model:
            if self.told_load:
                echo = {**echo, "X-Bellweir-Server-Load": self.told_load}
            self._stream(handler, request_id, echo)
        else:
            self._answer(handler, request_id, body, echo)

    def _answer(
        self, handler: StandInHandler, request_id: str, body: bytes, echo: dict[str, str]
    ) -> None:
        if self.faults.strikes("wrong_id"):
            echo = {"X-Bellweir-Attempt-Id": "another"}
        if self.told_load:
            echo = {**echo, "X-Bellweir-Server-Load": self.told_load}
        if not self.faults.strikes("unsigned"):
            echo = {**echo, "X-Bellweir-Server-Stamp": stamp_of(request_id)}
        whole = padded(answer_to(request_id, body), int(handler.headers.get(SIZE_FIELD) or 0))
        status = int(handler.headers.get(STATUS_FIELD) or 200)
        meant = MeantAnswer(status, echo.get("X-Bellweir-Server-Stamp"), whole)
        with self._lock:
            self.record.meant.setdefault(request_id, []).append(meant)
        if self.faults.strikes("cut_answers"):
            handler.close_connection = True
            handler.answer(200, whole[:2], {**echo, "Content-Length": str(len(whole))})
        else:
            handler.answer(status, whole, echo)
            self.record.ended[request_id] += 1

    def _stream(self, handler: StandInHandler, request_id: str, echo: dict[str, str]) -> None:
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        self.record.resumed_after[request_id] = first - 1
        with self._lock:
            run = f"{self.instance}/{len(self.record.asked_after)}"
            self.record.asked_after[run] = first - 1
        cut, self.faults.cut_after_event = self.faults.cut_after_event, None
        version = self.version
        handler.send_response(200)
        for name, value in echo.items():
            handler.send_header(name, value)
        handler.send_header("X-Bellweir-Server-Stamp", stamp_of(request_id))
        handler.send_header("X-Bellweir-Weight-Versions", str(version))
        handler.send_header("Content-Type", STREAM_TYPE)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, self.events + 1):
            event = event_of(request_id, number, run if self.names_runs else "")
            if self.version != version:
                version = self.version
                event = b"x-bellweir-weight-versions: %d\n" % version + event
            self._await_way(handler)
            if cut is not None and number > cut:
                _write_chunk(handler, event[: len(event) // 2])
                handler.reset()
                return
            _write_chunk(handler, event)
            time.sleep(self.event_pause_s)
            if number == self.silent_after:
                time.sleep(SILENCE_S)
        self._await_way(handler)
        self.record.ended[request_id] += 1
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


def _write_chunk(handler: StandInHandler, data: bytes) -> None:
    handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
    handler.wfile.flush()


def _has_left(handler: StandInHandler) -> bool:
    """Whether the caller has closed its connection, or the worker's own end has."""
    try:
        readable, _, _ = select.select([handler.connection], [], [], 0)
        return bool(readable) and not handler.connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        # A closed socket has no valid descriptor.
        return True


def stamp_of(request_id: str) -> str:
    """A worker's signature of its answer to a request."""
    return f"signed.{request_id}"


def answer_to(request_id: str, body: bytes) -> bytes:
    """The body of a worker's answer."""
    return b"answer to %s: %d bytes" % (request_id.encode(), len(body))


def padded(text: bytes, size: int) -> bytes:
    """Return a text, repeated up to at least so many bytes.

    >>> padded(b"abc", 4)
    b'abcabc'
    """
    return text * max(1, -(-size // len(text)))


def event_of(request_id: str, number: int, run: str = "") -> bytes:
    """One event of a worker's stream; names the run that made it, if there is a name."""
    by = BY_RUN + run if run else ""
    return b"id: %d\ndata: piece %d of %s%s\n\n" % (
        number,
        number,
        request_id.encode(),
        by.encode(),
    )


def text_of(request_id: str, events: int) -> str:
    """The whole text of a stream, as a batch job's result shows it."""
    return "\n".join(f"piece {number} of {request_id}" for number in range(1, events + 1))
