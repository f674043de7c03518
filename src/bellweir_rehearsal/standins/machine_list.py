"""Stand-in for the platform's machine list, which shows changes some time after they happened."""

import threading
import time
import uuid
from dataclasses import dataclass

import msgspec

from bellweir.clients.interface import ErrorKind, Machine, MachineSnapshot
from bellweir_rehearsal.standins.base import (
    JSON_TYPE,
    RefusalError,
    Request,
    Response,
    Standin,
    StandinOptions,
    json_response,
)
from bellweir_rehearsal.standins.runlog import Record

MACHINES_PREFIX = "/machines/"


@dataclass(frozen=True)
class MachineListOptions(StandinOptions):
    """Options of the machine list."""

    name: str = "machine-list"
    lag_s: float = 2.0
    """How long after a change the list shows it."""
    machines: tuple[Machine, ...] = ()
    """Machines on the list from the start."""


class MachineChanged(Record, frozen=True, kw_only=True):
    """A machine was added, changed or (None) removed; the list shows it later."""

    name: str
    machine: Machine | None


@dataclass(frozen=True)
class _Version:
    visible_at_s: float
    snapshot: MachineSnapshot


class MachineListStandin(Standin):
    """The machine list: `PUT` and `DELETE /machines/{name}` change it, `GET /machines` lags."""

    def __init__(self, options: MachineListOptions) -> None:
        super().__init__(options)
        self._lag_s = options.lag_s
        self._run_id = uuid.uuid4().hex
        """Keeps entity tags apart from those of an earlier run, whose revisions began at 1 too."""
        self._lock = threading.Lock()
        first = MachineSnapshot(1, options.machines)
        self._versions = [_Version(time.monotonic(), first)]

    def set_machine(self, machine: Machine) -> None:
        """Add or replace a machine."""
        self._change(machine.name, machine)

    def remove_machine(self, name: str) -> None:
        """Remove a machine."""
        self._change(name, None)

    def _change(self, name: str, machine: Machine | None) -> None:
        with self._lock:
            newest = self._versions[-1].snapshot
            kept = tuple(found for found in newest.machines if found.name != name)
            added = (machine,) if machine is not None else ()
            snapshot = MachineSnapshot(newest.revision + 1, kept + added)
            visible_at_s = time.monotonic() + self._lag_s
            self._versions.append(_Version(visible_at_s, snapshot))
            self.log.append(MachineChanged(standin=self.name, name=name, machine=machine))

    def shown(self) -> MachineSnapshot:
        """Return the list as a reader sees it now."""
        with self._lock:
            now_s = time.monotonic()
            while len(self._versions) > 1 and self._versions[1].visible_at_s <= now_s:
                self._versions.pop(0)
            return self._versions[0].snapshot

    def _read(self, request: Request) -> Response:
        snapshot = self.shown()
        entity_tag = f'"{self._run_id}-{snapshot.revision}"'
        headers = (JSON_TYPE, ("ETag", entity_tag))
        if request.headers.get("if-none-match") == entity_tag:
            return Response(304, b"", headers)
        return Response(200, msgspec.json.encode(snapshot), headers)

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        if request.method == "GET" and request.path == "/machines":
            return self._read(request)
        if request.method == "PUT" and request.path.startswith(MACHINES_PREFIX):
            self.set_machine(msgspec.json.decode(request.body.read(), type=Machine))
            return json_response({})
        if request.method == "DELETE" and request.path.startswith(MACHINES_PREFIX):
            self.remove_machine(request.path.removeprefix(MACHINES_PREFIX))
            return json_response({})
        raise RefusalError(ErrorKind.INVALID, f"no {request.method} {request.path}")
