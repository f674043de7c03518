"""Applies committed entries to a shard's state machines and completes who waits for them."""

from collections.abc import Iterable
from concurrent.futures import Future

import msgspec
from returns.result import Failure, Success

from bellweir.events.log import emit
from bellweir.ledger.entries import Entry, EntryKind
from bellweir.ledger.interface import (
    Command,
    LedgerError,
    LedgerErrorKind,
    Query,
    StateMachine,
)
from bellweir.ledger.leadership import Outcome, OutcomeFuture
from bellweir.ledger.log_events import APPLY_FAILED, COMMAND_UNKNOWN
from bellweir.ledger.machines import Codec, ShardMachines, UnknownTypeError

MAXIMUM_WAITING = 8192
"""Proposals of one shard that may wait at once; more are refused, so that memory is bounded."""


class Applier:
    """Guarded by its replica's lock. Futures are completed by `release`, outside of it."""

    def __init__(self, shard: int, codec: Codec, machine_types: Iterable[type[StateMachine]]):
        self._shard = shard
        self._codec = codec
        self._machine_types = tuple(machine_types)
        self.machines = ShardMachines(self._machine_types)
        self.applied_index = 0
        self.held_index: int | None = None
        """Index of an entry that is not applied here, nor anything after it."""
        self._waiting: dict[int, list[tuple[int, OutcomeFuture]]] = {}
        self._waiting_count = 0
        self._completed: list[tuple[OutcomeFuture, Outcome]] = []

    @property
    def is_full(self) -> bool:
        """Whether no more proposals may wait."""
        return self._waiting_count >= MAXIMUM_WAITING

    def wait_for(self, index: int, term: int) -> OutcomeFuture:
        """Future of the entry at `index`, if that of `term` is the one committed there."""
        future: OutcomeFuture = Future()
        self._waiting.setdefault(index, []).append((term, future))
        self._waiting_count += 1
        return future

    @property
    def is_held(self) -> bool:
        """Whether the next entry is a command that this build does not know."""
        return self.held_index is not None

    def apply(self, entry: Entry) -> bool:
        """Apply the entry after the last applied one; False where this build does not know it.

        Others apply it, so that passing over it would make this replica's state another one.
        """
        try:
            outcome = self._outcome_of(entry)
        except UnknownTypeError:
            self._hold(entry.index)
            return False
        self.applied_index = entry.index
        for term, future in self._take_waiting(entry.index):
            # An entry of another term was committed here, so the waiter's own never will be.
            self.complete(future, outcome if term == entry.term else _overwritten())
        return True

    def answer(self, query: Query, future: OutcomeFuture) -> None:
        """Complete a query's future from the state."""
        try:
            self.complete(future, Success(self.machines.answer(query)))
        except Exception as failure:
            self.complete(future, _failed(LedgerErrorKind.UNAVAILABLE, repr(failure)))

    def load(self, index: int, state: bytes) -> None:
        """Replace the state by a snapshot; who waits for an entry in it never learns its reply."""
        self.machines = ShardMachines(self._machine_types)
        self.machines.load(state)
        self.applied_index = index
        self.held_index = None
        for waited in [at for at in self._waiting if at <= index]:
            for _, future in self._take_waiting(waited):
                self.complete(future, _failed(LedgerErrorKind.UNKNOWN, "passed by a snapshot"))

    def abandon(self, cause: str) -> None:
        """Nobody here will learn what becomes of what is waited for."""
        for waited in list(self._waiting):
            for _, future in self._take_waiting(waited):
                self.complete(future, _failed(LedgerErrorKind.UNKNOWN, cause))

    def complete(self, future: OutcomeFuture, outcome: Outcome) -> None:
        """Note an outcome; its future is completed at the next `release`."""
        self._completed.append((future, outcome))

    def take_completed(self) -> list[tuple[OutcomeFuture, Outcome]]:
        """Outcomes to hand out now that the lock is free; see `release`."""
        completed, self._completed = self._completed, []
        return completed

    def _take_waiting(self, index: int) -> list[tuple[int, OutcomeFuture]]:
        taken = self._waiting.pop(index, [])
        self._waiting_count -= len(taken)
        return taken

    def _hold(self, index: int) -> None:
        if self.held_index is None:
            emit(COMMAND_UNKNOWN, shard=self._shard, index=index)
        self.held_index = index

    def _outcome_of(self, entry: Entry) -> Outcome:
        if entry.kind == EntryKind.RECOVERED:
            self.machines.recovered(msgspec.msgpack.decode(entry.payload, type=float))
        if entry.kind != EntryKind.COMMAND:
            return _failed(LedgerErrorKind.UNKNOWN, "not a command")
        try:
            command = self._codec.decode(entry.payload, Command)
            return Success(self.machines.apply(command))
        except UnknownTypeError:
            raise
        except Exception as failure:
            # Deterministic, so every replica skips the command alike and the log goes on.
            emit(APPLY_FAILED, shard=self._shard, index=entry.index, error=repr(failure))
            return _failed(LedgerErrorKind.UNKNOWN, f"applying it failed: {failure!r}")


def release(completed: list[tuple[OutcomeFuture, Outcome]]) -> None:
    """Complete futures, without any lock: their callbacks may send messages."""
    for future, outcome in completed:
        if future.set_running_or_notify_cancel():
            future.set_result(outcome)


def _failed(kind: LedgerErrorKind, detail: str) -> Outcome:
    return Failure(LedgerError(kind, detail))


def _overwritten() -> Outcome:
    return _failed(LedgerErrorKind.UNAVAILABLE, "another leader's entry took its place")
