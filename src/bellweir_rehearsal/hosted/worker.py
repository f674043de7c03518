"""Stand-in of a worker: runs requests, streams events, takes orders, and fails on purpose."""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer

STREAM_TYPE = "text/event-stream"
SILENCE_S = 1.5
"""Time for which a stream stands still that falls silent."""


@dataclass
class WorkerFaults:
    """Faults in force; each number counts down with every request that it strikes."""

    refuse: int = 0
    """Answer that the request was not run."""
    lose_answer: int = 0
    """Run it and reset the connection."""
    wrong_id: int = 0
    """Answer with another request's id."""
    fail: int = 0
    """Answer 500."""
    fail_ids: frozenset[str] = frozenset()
    """Requests that are answered 500 whenever they come."""
    cut_after_event: int | None = None
    """Break the next stream off behind so many events, in the middle of the next one."""
    unsigned: int = 0
    """Answer without a signature."""
    late_orders: int = 0
    """Leave orders unanswered and carry them out `late_s` later, if what they expect holds."""
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


@dataclass
class WorkerRecord:
    """What a worker has seen."""

    ran: Counter[str] = field(default_factory=Counter)
    """Runs by request id."""
    orders: list[TakenOrder] = field(default_factory=list)
    refusals: int = 0
    """Requests that were not run."""
    resumed_after: dict[str, int] = field(default_factory=dict)
    """Events after which streams were asked to go on, by request id; 0 for a new one."""
    ended: Counter[str] = field(default_factory=Counter)
    """Streams made to their end, by request id."""
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    """Headers of what ran, by request id; names in lower case."""


class WorkerStandIn:
    """One incarnation of a worker at one address of loopback."""

    def __init__(
        self,
        instance: str,
        host: str = "127.0.0.1",
        model: str = "",
        version: int = 1,
        events: int = 6,
    ) -> None:
        self.instance = instance
        self.model = model
        self.version = version
        self.events = events
        self.event_pause_s = 0.0
        self.silent_after: int | None = None
        """Events after which its streams stand still, without an end."""
        self.load_s = 0.1
        self.told_load = ""
        """What its answers say of its load; empty: nothing."""
        self.faults = WorkerFaults()
        self.record = WorkerRecord()
        self.sequence = 0
        self._loading_until_s = 0.0
        self._lock = threading.Lock()
        stand_in = self

        class Handler(StandInHandler):
            """One connection to the worker."""

            def do_GET(self) -> None:
                """Report."""
                self.answer_json(200, stand_in._report())

            def do_POST(self) -> None:
                """An order or a request."""
                body = self.read_body()
                if self.path == "/api/order":
                    stand_in._take_order(self, json.loads(body))
                else:
                    stand_in._run(self, body)

        self.server = StandInServer(Handler, host)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self.server.address

    def close(self) -> None:
        """Crash."""
        self.server.close()

    def refuse_for(self, seconds: float) -> None:
        """Refuse requests for a while, as during a load of weights."""
        self._loading_until_s = time.monotonic() + seconds

    def entry(self, service: str, zone: str = "a", state: str = "ready") -> dict[str, Any]:
        """The worker's entry in the store."""
        models = [{"name": self.model, "version": self.version}] if self.model else []
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "slots": 8,
            "state": state,
            "models": models,
            "seq": self.sequence,
        }

    def _report(self) -> dict[str, Any]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        loading = time.monotonic() < self._loading_until_s
        return {"models": models, "inFlight": loading, "seq": self.sequence}

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

    def _run(self, handler: StandInHandler, body: bytes) -> None:
        request_id = handler.headers.get("X-Bellweir-Attempt-Id", "")
        expected = handler.headers.get("X-Bellweir-Expect-Instance")
        echo = {"X-Bellweir-Attempt-Id": request_id}
        if expected not in (None, self.instance):
            handler.answer(421, b"", {**echo, "X-Bellweir-Not-Executed": "1"})
            return
        if self.faults.strikes("refuse") or time.monotonic() < self._loading_until_s:
            self.record.refusals += 1
            handler.answer(503, b"", {**echo, "X-Bellweir-Not-Executed": "1"})
            return
        with self._lock:
            self.record.ran[request_id] += 1
            found = {name.lower(): value for name, value in handler.headers.items()}
            self.record.headers[request_id] = found
        time.sleep(self.faults.delay_s)
        if self.faults.strikes("lose_answer"):
            handler.reset()
        elif self.faults.strikes("fail") or request_id in self.faults.fail_ids:
            handler.answer(500, b"failed", {**echo, "X-Bellweir-Server-Stamp": "failed"})
        elif self.model:
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
        handler.answer(200, answer_to(request_id, body), echo)

    def _stream(self, handler: StandInHandler, request_id: str, echo: dict[str, str]) -> None:
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        self.record.resumed_after[request_id] = first - 1
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
            event = event_of(request_id, number)
            if self.version != version:
                version = self.version
                event = b"x-bellweir-weight-versions: %d\n" % version + event
            if cut is not None and number > cut:
                _write_chunk(handler, event[: len(event) // 2])
                handler.reset()
                return
            _write_chunk(handler, event)
            time.sleep(self.event_pause_s)
            if number == self.silent_after:
                time.sleep(SILENCE_S)
        self.record.ended[request_id] += 1
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


def _write_chunk(handler: StandInHandler, data: bytes) -> None:
    handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
    handler.wfile.flush()


def stamp_of(request_id: str) -> str:
    """A worker's signature of its answer to a request."""
    return f"signed.{request_id}"


def answer_to(request_id: str, body: bytes) -> bytes:
    """The body of a worker's answer."""
    return b"answer to %s: %d bytes" % (request_id.encode(), len(body))


def event_of(request_id: str, number: int) -> bytes:
    """One event of a worker's stream."""
    return b"id: %d\ndata: piece %d of %s\n\n" % (number, number, request_id.encode())


def text_of(request_id: str, events: int) -> str:
    """The whole text of a stream, as a batch job's result shows it."""
    return "\n".join(f"piece {number} of {request_id}" for number in range(1, events + 1))
