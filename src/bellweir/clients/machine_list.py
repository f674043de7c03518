"""Client of the platform's machine list; wire format in docs/PLATFORM.md.

The list of thousands of machines is long and changes seldom, so a reading is conditional: the
service answers 304 as long as the list carries the entity tag that was read last.
"""

import threading
from dataclasses import dataclass

from returns.result import Result, Success

from bellweir.clients.answers import decode_answer
from bellweir.clients.interface import MachineList, MachineSnapshot, PlatformError
from bellweir.clients.pool import ConnectionPool, HttpAnswer, HttpCall

STATUS_NOT_MODIFIED = 304


@dataclass(frozen=True)
class _LastRead:
    entity_tag: str
    snapshot: MachineSnapshot


class HttpMachineList(MachineList):
    """Reads the list over a pool of connections; keeps the last one read."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._last: _LastRead | None = None

    def read(self) -> Result[MachineSnapshot, PlatformError]:
        """Read the whole list; repeated once when the connection was lost."""
        with self._lock:
            last = self._last
        headers = {"If-None-Match": last.entity_tag} if last is not None else {}
        call = HttpCall("GET", "/machines", self._timeout_s, headers)
        return self._pool.call_repeatable(call).bind(lambda answer: self._read(answer, last))

    def _read(
        self, answer: HttpAnswer, last: _LastRead | None
    ) -> Result[MachineSnapshot, PlatformError]:
        if answer.status == STATUS_NOT_MODIFIED and last is not None:
            return Success(last.snapshot)
        read = decode_answer(answer, MachineSnapshot)
        entity_tag = answer.headers.get("etag")
        if isinstance(read, Success) and entity_tag is not None:
            with self._lock:
                self._last = _LastRead(entity_tag, read.unwrap())
        return read
