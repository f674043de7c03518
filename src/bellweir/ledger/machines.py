"""The state machines of one shard, and the encoding of their commands, queries and replies."""

from collections.abc import Iterable
from typing import Any, TypeVar

import cbor2
import msgspec

from bellweir.ledger.interface import Command, Query, Reply, StateMachine
from bellweir.wire.interface import FIRST_LEVEL

Encodable = Command | Query | Reply
Kind = TypeVar("Kind", Command, Query, Reply)


class UnknownTypeError(ValueError):
    """No registered state machine knows the type; it may run on a newer release."""


class Codec:
    """Encodes commands, queries and replies of the registered state machines as cbor2 maps."""

    def __init__(self, machine_types: Iterable[type[StateMachine]]) -> None:
        self._types: dict[str, type[Any]] = {}
        self._has_later = False
        for machine_type in machine_types:
            machine = machine_type()
            self._add(machine.command_types())
            self._add(machine.query_types())
            self._add(machine.reply_types())

    def _add(self, types: Iterable[type[Any]]) -> None:
        for known in types:
            if self._types.setdefault(known.__name__, known) is not known:
                raise ValueError(f"two ledger types are called {known.__name__}")
            self._has_later |= getattr(known, "since_level", FIRST_LEVEL) > FIRST_LEVEL

    def level_of(self, payload: bytes) -> int:
        """Level since which an encoded command is known; looked up only where any is a later one.

        Raises as `decode`.
        """
        if not self._has_later:
            return FIRST_LEVEL
        return self.decode(payload, Command).since_level

    def encode(self, value: Encodable) -> bytes:
        """Bytes of a command, query or reply."""
        return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))

    def decode(self, data: bytes, base: type[Kind]) -> Kind:
        """Inverse of `encode`.

        Raises `UnknownTypeError` for a type that nobody registered, `msgspec.ValidationError`
        and `cbor2.CBORDecodeError` for wrong contents.
        """
        fields = cbor2.loads(data)
        tag = fields.get("type") if isinstance(fields, dict) else None
        found = self._types.get(str(tag))
        if found is None or not issubclass(found, base):
            raise UnknownTypeError(f"not a known {base.__name__}")
        return msgspec.convert(fields, found)


class ShardMachines:
    """One instance of each registered state machine, for one shard."""

    def __init__(self, machine_types: Iterable[type[StateMachine]]) -> None:
        self._machines = {made: made() for made in machine_types}
        self._by_command: dict[type[Command], StateMachine] = {}
        self._by_query: dict[type[Query], StateMachine] = {}
        for machine in self._machines.values():
            self._by_command |= dict.fromkeys(machine.command_types(), machine)
            self._by_query |= dict.fromkeys(machine.query_types(), machine)

    def apply(self, command: Command) -> Reply:
        """Apply a command to the machine that knows it."""
        return self._by_command[type(command)].apply(command)

    def answer(self, query: Query) -> Reply:
        """Let the machine that knows a query answer it."""
        return self._by_query[type(query)].answer(query)

    def machine(self, made: type[StateMachine]) -> StateMachine | None:
        """The machine of one class."""
        return self._machines.get(made)

    def recovered(self, at_s: float) -> None:
        """Tell every machine of an operator's recovery."""
        for machine in self._machines.values():
            machine.recovered(at_s)

    def save(self) -> bytes:
        """The states of all machines by class name."""
        return cbor2.dumps({made.__name__: held.save() for made, held in self._machines.items()})

    def load(self, state: bytes) -> None:
        """Replace the states of the machines named in `state`."""
        saved: dict[str, bytes] = cbor2.loads(state)
        for made, machine in self._machines.items():
            if made.__name__ in saved:
                machine.load(saved[made.__name__])
