"""An attempt at one slot: what it is asked to do, and how far it has come."""

import threading
import uuid
from dataclasses import dataclass

import msgspec

from bellweir.routing.interface import Generation


class Assignment(msgspec.Struct, frozen=True):
    """One attempt at one slot, as the coordinator gives it to a node."""

    step_id: str
    slot: int
    attempt_id: str
    policy: str
    prompt: str
    max_tokens: int
    minimum_version: int | None
    staleness_bound_versions: int | None
    staleness_bound_s: float | None
    ends_at_s: float | None
    """Wall-clock time after which the step takes no sample."""
    scorer: str | None
    avoid_workers: tuple[str, ...] = ()
    replaces_attempt: str | None = None


def new_attempt_id() -> str:
    """A name that no other attempt has."""
    return uuid.uuid4().hex


@dataclass(frozen=True)
class AttemptProgress:
    """How far a running attempt has come."""

    assignment: Assignment
    started_s: float
    """On the kernel's monotonic clock."""
    tokens: int
    oldest_version: int | None
    worker: str | None
    is_committing: bool


class RunningAttempt:
    """State of one attempt, shared between its own thread and those who watch or cancel it."""

    def __init__(self, assignment: Assignment, started_s: float) -> None:
        self.assignment = assignment
        self._started_s = started_s
        self._lock = threading.Lock()
        self._generation: Generation | None = None
        self._cancelled = threading.Event()
        self._tokens = 0
        self._oldest_version: int | None = None
        self._worker: str | None = None
        self._is_committing = False

    @property
    def is_cancelled(self) -> bool:
        """Whether somebody cancelled it."""
        return self._cancelled.is_set()

    def attach(self, generation: Generation) -> None:
        """Take the generation it now reads; cancelled at once when the attempt already is."""
        with self._lock:
            self._generation = generation
        if self.is_cancelled:
            generation.cancel()

    def cancel(self) -> None:
        """Stop the attempt; any number of times, from any thread."""
        self._cancelled.set()
        with self._lock:
            generation = self._generation
        if generation is not None:
            generation.cancel()

    def note(self, tokens: int, oldest_version: int | None, worker: str | None) -> None:
        """Record progress."""
        with self._lock:
            self._tokens = tokens
            self._oldest_version = oldest_version
            self._worker = worker

    def note_committing(self) -> None:
        """Record that generation is over and the sample is being committed or scored."""
        with self._lock:
            self._is_committing = True
            self._generation = None

    def progress(self) -> AttemptProgress:
        """How far it has come."""
        with self._lock:
            return AttemptProgress(
                assignment=self.assignment,
                started_s=self._started_s,
                tokens=self._tokens,
                oldest_version=self._oldest_version,
                worker=self._worker,
                is_committing=self._is_committing,
            )
