"""A ledger in memory, shared by the nodes of a test, whose answers can be lost on purpose."""

import threading
from collections.abc import Callable
from typing import Any

import cbor2
import msgspec
import xxhash
from returns.result import Failure, Result, Success

from bellweir.kernel import names
from bellweir.kernel.service import Service
from bellweir.ledger.interface import (
    Command,
    Ledger,
    LedgerError,
    LedgerErrorKind,
    Query,
    Reply,
    SegmentStore,
    StateMachine,
)

UNAVAILABLE = LedgerError(LedgerErrorKind.UNAVAILABLE, "made unavailable by the test")
UNKNOWN = LedgerError(LedgerErrorKind.UNKNOWN, "answer lost by the test")


def over_the_wire(value: Any) -> Any:
    """Encode and decode a struct as nodes do, so that an unserialisable one fails here."""
    plain = msgspec.to_builtins(value, builtin_types=(bytes,))
    return msgspec.convert(
        cbor2.loads(cbor2.dumps(plain)), type=type(value), builtin_types=(bytes,)
    )


class SharedLog:
    """The truth behind all `MemoryLedger`s of a cluster."""

    def __init__(self, shards: int = 4) -> None:
        self.shards = shards
        self.lock = threading.RLock()
        self.machines: dict[tuple[int, type[StateMachine]], StateMachine] = {}
        self.leaders: dict[int, str] = {}
        self.commands: list[Command] = []
        self.fault: Callable[[str, Command], LedgerErrorKind | None] | None = None

    def lead_all(self, node: str) -> None:
        with self.lock:
            self.leaders = dict.fromkeys(range(self.shards), node)

    def machine_for(self, shard: int, types: str, message: object) -> StateMachine:
        for (number, _), machine in self.machines.items():
            if number == shard and type(message) in getattr(machine, types)():
                return machine
        raise LookupError(f"no machine takes {type(message).__name__}")


class MemorySegments(Service, SegmentStore):
    """Blobs in memory, shared by the nodes of a test; the first call for each may fail."""

    name = names.SEGMENTS
    dependencies = ()

    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}
        self.fails_first = False
        self._asked: set[tuple[str, str]] = set()

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def put(self, key: str, blob: bytes, timeout_s: float) -> Result[str, LedgerError]:
        reference = f"{key}/{xxhash.xxh64_hexdigest(blob)}"
        self.blobs[reference] = blob
        return Failure(UNAVAILABLE) if self._fails("put", reference) else Success(reference)

    def get(self, key: str, reference: str, timeout_s: float) -> Result[bytes, LedgerError]:
        if self._fails("get", reference):
            return Failure(UNAVAILABLE)
        return Success(self.blobs[reference])

    def _fails(self, call: str, reference: str) -> bool:
        is_first = (call, reference) not in self._asked
        self._asked.add((call, reference))
        return self.fails_first and is_first


class MemoryLedger(Service, Ledger):
    """One node's view of a `SharedLog`."""

    name = names.LEDGER
    dependencies = ()

    def __init__(self, log: SharedLog, node: str) -> None:
        self._log = log
        self._node = node

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def register(self, make: type[StateMachine]) -> None:
        with self._log.lock:
            for shard in range(self._log.shards):
                self._log.machines.setdefault((shard, make), make())

    def submit(self, key: str, command: Command, timeout_s: float) -> Result[Reply, LedgerError]:
        fault = self._log.fault(self._node, command) if self._log.fault else None
        if fault is LedgerErrorKind.UNAVAILABLE:
            return Failure(UNAVAILABLE)
        with self._log.lock:
            received = over_the_wire(command)
            self._log.commands.append(received)
            machine = self._log.machine_for(self.shard_of(key), "command_types", received)
            reply = over_the_wire(machine.apply(received))
        return Failure(UNKNOWN) if fault is LedgerErrorKind.UNKNOWN else Success(reply)

    def ask(self, key: str, query: Query, timeout_s: float) -> Result[Reply, LedgerError]:
        with self._log.lock:
            machine = self._log.machine_for(self.shard_of(key), "query_types", query)
            return Success(over_the_wire(machine.answer(over_the_wire(query))))

    def ask_nearby(self, key: str, query: Query, timeout_s: float) -> Reply | None:
        return None

    def leads(self, key: str) -> bool:
        return self._log.leaders.get(self.shard_of(key)) == self._node

    def leader_address(self, key: str) -> str | None:
        return self._log.leaders.get(self.shard_of(key))

    def local_machine(self, key: str, make: type[StateMachine]) -> StateMachine | None:
        return self._log.machines.get((self.shard_of(key), make))

    def shard_of(self, key: str) -> int:
        return xxhash.xxh64_intdigest(key.encode()) % self._log.shards
