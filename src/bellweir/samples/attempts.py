"""An attempt at one slot: what it is asked to do, and how far it has come."""

import threading
import uuid

import msgspec
import xxhash

from bellweir.routing.interface import Generation, Segment
from bellweir.samples.messages import BulkValue
from bellweir.samples.rate import RateMeter
from bellweir.samples.tokens import SampleBuilder

SEED_BITS = 63


class Partial(msgspec.Struct, frozen=True):
    """What a stopping node had of a sample, for another node to go on with."""

    content: BulkValue
    """A stored `SampleContent`."""
    segments: tuple[Segment, ...]


class Assignment(msgspec.Struct, frozen=True):
    """One attempt at one slot, as the coordinator gives it to a node."""

    step_id: str
    slot: int
    attempt_id: str
    policy: str
    prompt: str
    max_tokens: int
    minimum_version: int | None
    """Oldest version that may still be fresh when the attempt begins."""
    ends_at_s: float | None
    """Wall-clock time after which the step takes no sample."""
    scorer: str | None
    seed: int
    """The same for all attempts at a slot's generation: running it twice draws no second sample,
    so the first to finish is not the shorter of two."""
    avoid_workers: tuple[str, ...] = ()
    replaces_attempt: str | None = None
    partial: Partial | None = None
    """Go on after these tokens."""


class AttemptReport(msgspec.Struct, frozen=True):
    """How far an attempt has come."""

    step_id: str
    slot: int
    attempt_id: str
    tokens: int = 0
    tokens_per_s: float = 0.0
    """Lately, on its present engine."""
    running_s: float = 0.0
    silent_s: float = 0.0
    """Since its last token, or since its start."""
    oldest_version: int | None = None
    worker: str | None = None
    is_committing: bool = False
    """Generated to its end; being committed or scored."""
    replaces_attempt: str | None = None


class AttemptEnd(msgspec.Struct, frozen=True):
    """How an attempt ended."""

    step_id: str
    slot: int
    attempt_id: str
    failure: str | None
    """None when the ledger has answered, whatever it said."""
    tokens: int = 0
    """Tokens it had: the sample is at least so long."""
    tokens_per_s: float = 0.0
    retry_after_s: float | None = None
    partial: Partial | None = None


def new_attempt_id() -> str:
    """A name that no other attempt has."""
    return uuid.uuid4().hex


def seed_of(step_id: str, slot: int, generation: int) -> int:
    """Sampling seed of a slot's generation, the same on every node."""
    name = f"{step_id}/{slot}/{generation}".encode()
    return xxhash.xxh64_intdigest(name) >> (64 - SEED_BITS)


class RunningAttempt:
    """State of one attempt, shared between its own thread and those who watch or steer it."""

    def __init__(self, assignment: Assignment, started_s: float) -> None:
        self.assignment = assignment
        self.started_s = started_s
        """On the kernel's monotonic clock."""
        self._lock = threading.Lock()
        self._generation: Generation | None = None
        self._is_cancelled = False
        self._is_handed_over = False
        self._is_moving = False
        self._is_committing = False
        self._tokens = 0
        self._oldest_version: int | None = None
        self._worker: str | None = None
        self._rate = RateMeter()
        self._last_token_s = started_s

    @property
    def is_cancelled(self) -> bool:
        """Whether somebody cancelled it."""
        with self._lock:
            return self._is_cancelled

    @property
    def is_handed_over(self) -> bool:
        """Whether it was cancelled for another node to go on with its tokens."""
        with self._lock:
            return self._is_handed_over

    @property
    def has_tokens(self) -> bool:
        """Whether an engine has begun to answer."""
        with self._lock:
            return self._tokens > 0

    @property
    def tokens(self) -> int:
        """Tokens so far."""
        with self._lock:
            return self._tokens

    @property
    def tokens_per_s(self) -> float:
        """Its rate lately."""
        with self._lock:
            return self._rate.tokens_per_s

    def attach(self, generation: Generation) -> None:
        """Take the generation it now reads; cancelled at once when the attempt already is."""
        with self._lock:
            self._generation = generation
            self._is_moving = False
            self._rate.reset()
            must_stop = self._is_cancelled
        if must_stop:
            generation.cancel()

    def cancel(self) -> None:
        """Stop the attempt; any number of times, from any thread."""
        with self._lock:
            self._is_cancelled = True
            generation = self._generation
        if generation is not None:
            generation.cancel()

    def hand_over(self) -> None:
        """Stop the attempt and let its tokens go to another node."""
        with self._lock:
            self._is_handed_over = True
        self.cancel()

    def move(self) -> None:
        """Leave the present engine; the attempt's thread goes on elsewhere with its tokens."""
        with self._lock:
            generation = self._generation
            if self._is_moving or self._is_cancelled or generation is None:
                return
            self._is_moving = True
        generation.cancel()

    def take_move(self) -> str | None:
        """The engine to leave when a move was asked for, else None."""
        with self._lock:
            return self._worker or "" if self._is_moving and not self._is_cancelled else None

    def note(self, builder: SampleBuilder, worker: str, now_s: float) -> None:
        """Record progress."""
        with self._lock:
            self._tokens = builder.token_count
            self._oldest_version = builder.oldest_version
            self._worker = worker
            self._last_token_s = now_s
            self._rate.note(builder.token_count, now_s)

    def note_committing(self) -> None:
        """Record that generation is over and the sample is being committed or scored."""
        with self._lock:
            self._is_committing = True
            self._generation = None

    def report(self, now_s: float) -> AttemptReport:
        """How far it has come."""
        assignment = self.assignment
        with self._lock:
            return AttemptReport(
                step_id=assignment.step_id,
                slot=assignment.slot,
                attempt_id=assignment.attempt_id,
                tokens=self._tokens,
                tokens_per_s=self._rate.tokens_per_s,
                running_s=now_s - self.started_s,
                silent_s=now_s - self._last_token_s,
                oldest_version=self._oldest_version,
                worker=self._worker,
                is_committing=self._is_committing,
                replaces_attempt=assignment.replaces_attempt,
            )
