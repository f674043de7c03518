"""Stand-in of the hosting platform's metadata store, over HTTP, with its faults."""

import json
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer
from bellweir_rehearsal.hosted.records import (
    HistoryGoneError,
    KeptObject,
    ObjectRecords,
    WriteRefusal,
    documents,
)

STATUS_OF_REFUSAL = {WriteRefusal.MISSING: 404, WriteRefusal.CONFLICT: 409}
MAXIMUM_WAIT_S = 30.0


class Outage(Enum):
    """How the store fails."""

    NONE = "none"
    REFUSES = "refuses"
    """It answers 503."""
    SILENT = "silent"
    """It takes connections and says nothing, watches in hand included, until it ends."""


@dataclass
class StoreFaults:
    """Faults in force; changed by tests while the store runs."""

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lose_writes: int = 0
    """So many of the next writes are done and get no answer."""
    late_writes: int = 0
    """So many get no answer and are done `late_s` later, if their condition still holds."""
    late_s: float = 0.5


class PlatformStoreStandIn:
    """The store at one address of loopback."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.records = ObjectRecords()
        self.faults = StoreFaults()
        self.calls = 0
        self._silence = threading.Condition()
        stand_in = self

        class Handler(StandInHandler):
            """One connection to the store."""

            def do_GET(self) -> None:
                """Read or watch."""
                stand_in._serve(self, writes=False)

            def do_POST(self) -> None:
                """Create."""
                stand_in._serve(self, writes=True)

            def do_PUT(self) -> None:
                """Replace."""
                stand_in._serve(self, writes=True)

            def do_DELETE(self) -> None:
                """Remove."""
                stand_in._serve(self, writes=True)

        self.server = StandInServer(Handler, host, port)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self.server.address

    def close(self) -> None:
        """Stop serving."""
        self.end_outage()
        self.server.close()

    def begin_outage(self, outage: Outage) -> None:
        """Fail from now on."""
        self.faults.outage = outage

    def end_outage(self) -> None:
        """Answer again; connections that were silent are reset."""
        with self._silence:
            self.faults.outage = Outage.NONE
            self._silence.notify_all()

    def _serve(self, handler: StandInHandler, *, writes: bool) -> None:
        self.calls += 1
        body = handler.read_body()
        if self.faults.outage is Outage.REFUSES:
            handler.answer(503)
            return
        if self._was_silent():
            handler.reset()
            return
        time.sleep(self.faults.delay_s)
        content = json.loads(body) if body else None
        if writes and self._is_late(handler, content):
            return
        answer = self._answer(handler, content)
        if self._was_silent() or (writes and self._loses_answer()):
            handler.reset()
            return
        handler.answer_json(*answer)

    def _was_silent(self) -> bool:
        with self._silence:
            if self.faults.outage is not Outage.SILENT:
                return False
            self._silence.wait_for(lambda: self.faults.outage is not Outage.SILENT)
            return True

    def _is_late(self, handler: StandInHandler, content: Any) -> bool:
        if self.faults.late_writes <= 0:
            return False
        self.faults.late_writes -= 1
        later = threading.Timer(self.faults.late_s, self._answer, (handler, content))
        later.daemon = True
        later.start()
        handler.reset()
        return True

    def _loses_answer(self) -> bool:
        if self.faults.lose_writes <= 0:
            return False
        self.faults.lose_writes -= 1
        return True

    def _answer(self, handler: StandInHandler, body: Any) -> tuple[int, object]:
        parts, query = handler.parts()
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        method = handler.command
        if method == "GET":
            return self._read(kind, name, query)
        revision = query.get("revision") or (body or {}).get("metadata", {}).get("revision")
        expected = None if revision is None else int(revision)
        if method == "POST":
            return _written(self.records.create(kind, body["metadata"]["name"], body.get("spec")))
        if method == "DELETE":
            refused = self.records.delete(kind, str(name), expected)
            return (STATUS_OF_REFUSAL[refused], {}) if refused else (200, {})
        if parts[4:] == ["status"]:
            fields = {"status": body.get("status")}
        else:
            fields = {"spec": body.get("spec")}
        return _written(self.records.replace(kind, str(name), expected, **fields))

    def _read(self, kind: str, name: str | None, query: dict[str, str]) -> tuple[int, object]:
        if name is not None:
            found = self.records.get(kind, name)
            return (404, {}) if found is None else (200, found.document())
        if "watch" in query:
            wait_s = min(MAXIMUM_WAIT_S, float(query.get("waitMs", "0")) / 1000)
            return self._watch(kind, int(query["watch"]), wait_s)
        revision, listed = self.records.listing(kind)
        after = query.get("after", "")
        shown = [each for each in listed if each.name > after]
        return 200, {"items": documents(shown), "hasMore": False, "at": revision}

    def _watch(self, kind: str, after: int, wait_s: float) -> tuple[int, object]:
        try:
            revision, changes = self.records.changes(kind, after, wait_s)
        except HistoryGoneError:
            return 410, {}
        events = [{"object": each.found.document(), "deleted": each.deleted} for each in changes]
        return 200, {"events": events, "at": revision}


def _written(made: KeptObject | WriteRefusal) -> tuple[int, object]:
    if isinstance(made, WriteRefusal):
        return STATUS_OF_REFUSAL[made], {}
    return 200, made.document()
