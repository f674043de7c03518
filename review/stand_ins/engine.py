"""Stand-in of a worker that streams events, as the users' protocol page describes one.

It writes its entry to the platform's store, takes requests of one service, makes events at an even
pace, drops a request when its connection closes, goes on after `Last-Event-Id`, and tells what it
began and ended. It takes orders to load a version of its model, and refuses requests meanwhile.
"""

import hashlib
import json
import select
import socket
import threading
from dataclasses import dataclass, field
from typing import Any

from bellweir.kernel.clock import elapsed_s
from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer
from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from stand_ins.record import Record

ID = "X-Bellweir-Attempt-Id"
NOT_EXECUTED = "X-Bellweir-Not-Executed"
SLOTS = 16
MODEL = "draft"
LONG_BODY_BYTES = 100_000
"""Bodies from this length on are long."""
LOAD_S = 0.9
"""Time that a change of version takes."""


@dataclass
class Run:
    """One run of a request at a worker."""

    request_id: str
    worker: str
    began_s: float
    after_event: int
    body_bytes: int = 0
    body_digest: str = ""
    """Digest of the body that the worker was given."""
    ended_s: float | None = None
    """Time at which the worker stopped work on it."""
    end: str = ""
    """`whole`, `dropped` (its connection was closed), or `broken off` by the worker."""


@dataclass
class Rest:
    """What a worker received where the body of a request was due that it had answered before."""

    request_id: str
    worker: str
    content: bytes
    length: int
    """Length that the request had declared."""


@dataclass
class Plan:
    """How long requests take: events and the pause before each, by request id."""

    events: int
    pause_s: float
    pauses: dict[str, float] = field(default_factory=dict)

    def pause_of(self, request_id: str) -> float:
        """Seconds from one event of a request to the next."""
        return self.pauses.get(request_id, self.pause_s)


class Engine:
    """One worker at one loopback address."""

    def __init__(
        self,
        name: str,
        service: str,
        plan: Plan,
        store: PlatformStoreStandIn,
        record: Record,
        zone: str = "zone-a",
    ) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.rests: list[Rest] = []
        self.draining_acknowledged_s: float | None = None
        """Time at which the store had taken that it drains."""
        self._service = service
        self._zone = zone
        self._state = "ready"
        self._version = 1
        self._sequence = 0
        self._loads_until_s = float("-inf")
        self._plan = plan
        self._store = store
        self._record = record
        self._lock = threading.Lock()
        self._ended = threading.Event()
        engine = self

        class Handler(StandInHandler):
            """One connection."""

            def do_GET(self) -> None:  # noqa: N802 - the name is http.server's
                """Report."""
                self.answer_json(200, engine.report())

            def do_POST(self) -> None:  # noqa: N802 - the name is http.server's
                """Take an order or a request."""
                if engine.answers_early(self):
                    return
                body = self.read_body()
                if len(body) < int(self.headers.get("Content-Length") or 0):
                    self.close_connection = True
                elif self.path == "/api/order":
                    self.answer(engine.take_order(json.loads(body)))
                else:
                    engine.take(self, body)

        self._server = StandInServer(Handler, "127.0.0.1")

    def write_entry(self, state: str = "ready") -> None:
        """Write the worker's entry; it changes when the state does."""
        self._state = state
        entry = {
            "service": self._service,
            "address": self._server.address,
            "zone": self._zone,
            "version": "1",
            "slots": SLOTS,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "stage": "both",
            "models": self._models(),
        }
        self._store.records.put("servers", self.name, entry)
        if state == "draining":
            self.draining_acknowledged_s = elapsed_s()
        self._record.note(f"worker {self.name}: the store has taken that it is {state}")

    def end(self) -> None:
        """End as planned: the entry goes, what still runs is broken off, nobody listens."""
        self._ended.set()
        self._store.records.delete("servers", self.name)
        self._server.close()
        self._server.break_off()
        self._record.note(f"worker {self.name}: has ended")

    def close(self) -> None:
        """End, unless it has."""
        if not self._ended.is_set():
            self._ended.set()
            self._server.close()
            self._server.break_off()

    def answers_early(self, handler: Any) -> bool:
        """Refuse a request with a long body before that has been read, and read it then.

        The connection stays open, as the users' page on rules says of workers.
        """
        length = int(handler.headers.get("Content-Length") or 0)
        if length < LONG_BODY_BYTES or not self._is_loading():
            return False
        request_id = handler.headers.get(ID, "")
        handler.answer(503, b"", {ID: request_id, NOT_EXECUTED: "1"})
        rest = handler.rfile.read(length)
        if len(rest) < length:
            handler.close_connection = True
        with self._lock:
            self.rests.append(Rest(request_id, self.name, rest, length))
        self._record.note(
            f"worker {self.name}: {request_id} is not run, status 503 before its body; "
            f"{len(rest)} of its {length} bytes came"
        )
        return True

    def report(self) -> dict[str, object]:
        """What the worker says of itself."""
        return {
            "stage": "both",
            "models": [{**one, "adapters": []} for one in self._models()],
            "inFlight": self._is_loading(),
            "seq": self._sequence,
            "waiting": 0,
            "running": sum(run.ended_s is None for run in list(self.runs)),
            "kvUsed": 0,
            "kvTotal": 100_000,
            "capabilities": 0,
        }

    def take_order(self, order: dict[str, Any]) -> int:
        """Take an order to load a version; the status that answers it."""
        with self._lock:
            if order.get("operation") != "version" or order.get("model") != MODEL:
                return 400
            if self._is_loading() or order.get("expected") not in (None, self._sequence):
                return 409
            if order["version"] == self._version:
                return 200
            self._sequence += 1
            self._version = order["version"]
            self._loads_until_s = elapsed_s() + LOAD_S
        self._record.note(f"worker {self.name}: loads version {order['version']}")
        done = threading.Timer(LOAD_S, self.write_entry, (self._state,))
        done.daemon = True
        done.start()
        return 202

    def _is_loading(self) -> bool:
        return elapsed_s() < self._loads_until_s

    def _models(self) -> list[dict[str, object]]:
        return [{"name": MODEL, "version": self._version}]

    def take(self, handler: Any, body: bytes) -> None:
        """Run a request, or say that it was not run."""
        request_id = handler.headers.get(ID, "")
        echo = {ID: request_id}
        if handler.headers.get("X-Bellweir-Expect-Instance") not in (None, self.name):
            handler.answer(421, b"", {**echo, NOT_EXECUTED: "1"})
            return
        if self._is_loading():
            self._record.note(f"worker {self.name}: {request_id} is not run, status 503")
            handler.answer(503, b"", {**echo, NOT_EXECUTED: "1"})
            return
        after = int(handler.headers.get("Last-Event-Id") or 0)
        digest = hashlib.sha256(body).hexdigest()
        run = Run(request_id, self.name, elapsed_s(), after, len(body), digest)
        with self._lock:
            self.runs.append(run)
        self._record.note(
            f"worker {self.name}: begins {request_id} after event {after}, "
            f"with a body of {len(body)} bytes"
        )
        try:
            run.end = self._stream(handler, run, echo)
        except OSError:
            run.end = "broken off" if self._ended.is_set() else "dropped"
        run.ended_s = elapsed_s()
        if run.end != "whole":
            handler.close_connection = True
        self._record.note(f"worker {self.name}: {request_id} is {run.end}")

    def _stream(self, handler: Any, run: Run, echo: dict[str, str]) -> str:
        handler.send_response(200)
        headers = {
            **echo,
            "X-Bellweir-Server-Stamp": f"signed.{run.request_id}",
            "X-Bellweir-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.flush()
        pause_s = self._plan.pause_of(run.request_id)
        due_s = run.began_s
        for number in range(run.after_event + 1, self._plan.events + 1):
            due_s += pause_s
            if not self._wait_until(due_s, handler.connection):
                return "broken off" if self._ended.is_set() else "dropped"
            _write_chunk(handler, event_of(run.request_id, number))
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()
        return "whole"

    def _wait_until(self, due_s: float, connection: socket.socket) -> bool:
        """Wait for the next event's time; False if the worker ends or the caller leaves."""
        while (left_s := due_s - elapsed_s()) > 0:
            if self._ended.is_set():
                return False
            readable, _, _ = select.select([connection], [], [], min(left_s, 0.02))
            if readable:
                return False
        return not self._ended.is_set()


def event_of(request_id: str, number: int) -> bytes:
    """One event of a worker's stream."""
    return b"id: %d\ndata: piece %d of %s\n\n" % (number, number, request_id.encode())


def _write_chunk(handler: Any, data: bytes) -> None:
    handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
    handler.wfile.flush()
