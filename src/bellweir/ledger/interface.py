"""Typed interfaces of the ledger and of the claims kept in it.

Keys are hashed to shards. A shard's commands are applied in one order on its replicas; a command
is a frozen struct that its state machine knows. Any node may call; the call goes to the leader.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

import msgspec
from returns.result import Result

from bellweir.wire.interface import FIRST_LEVEL


class LedgerErrorKind(Enum):
    """Why the ledger has no answer."""

    UNAVAILABLE = "unavailable"
    """No majority or no leader in time; the command was surely not appended."""
    UNKNOWN = "unknown"
    """It may have been appended and may still take effect."""


@dataclass(frozen=True)
class LedgerError:
    """A ledger call without an answer."""

    kind: LedgerErrorKind
    detail: str


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of commands; applied deterministically: no clock, no randomness but their fields.

    One that was added after a release says since which level it is there, as messages do. It enters
    the log only while every replica of the shard is known to be of that level; until then `submit`
    fails as unavailable. A new field that changes what a command does makes it a new command.
    """

    since_level: ClassVar[int] = FIRST_LEVEL


class Query(msgspec.Struct, frozen=True, tag=True):
    """Base of queries; answered by the leader after it has proved that it still leads."""


class Reply(msgspec.Struct, frozen=True, tag=True):
    """Base of what a command or query returns."""


class StateMachine(ABC):
    """Applies the commands of its types; one instance for each shard. All state is plain data."""

    @abstractmethod
    def command_types(self) -> tuple[type[Command], ...]:
        """Commands it applies."""

    @abstractmethod
    def query_types(self) -> tuple[type[Query], ...]:
        """Queries it answers."""

    @abstractmethod
    def reply_types(self) -> tuple[type[Reply], ...]:
        """What it may return."""

    @abstractmethod
    def apply(self, command: Command) -> Reply:
        """Apply one command; the same on every replica."""

    @abstractmethod
    def answer(self, query: Query) -> Reply:
        """Answer from the state; changes nothing."""

    @abstractmethod
    def save(self) -> bytes:
        """The whole state, for a snapshot."""

    @abstractmethod
    def load(self, state: bytes) -> None:
        """Replace the state by a saved one."""

    def recovered(self, at_s: float) -> None:  # noqa: B027 - most machines need nothing here
        """Note that an operator recovered the shard from a minority at `at_s` (seconds of 1970).

        Commands acknowledged before may be missing from the state. Called on every replica at
        the same place of the log; must change plain state only. Does nothing by default.
        """


class Ledger(ABC):
    """The replicated log. Service `ledger`."""

    @abstractmethod
    def register(self, make: "type[StateMachine]") -> None:
        """Add a state machine class; before the ledger starts serving (in `start`)."""

    @abstractmethod
    def submit(self, key: str, command: Command, timeout_s: float) -> Result[Reply, LedgerError]:
        """Append a command to the key's shard and return what applying it returned.

        Retrying after `UNKNOWN` is safe only for commands that their state machine
        makes idempotent (by an id among their fields).
        """

    @abstractmethod
    def ask(self, key: str, query: Query, timeout_s: float) -> Result[Reply, LedgerError]:
        """Answer a query from the key's shard, linearizably."""

    @abstractmethod
    def ask_nearby(self, key: str, query: Query, timeout_s: float) -> Reply | None:
        """Answer a query from a replica in this node's zone, of what that one has applied.

        Every command in it is committed, but the newest ones may be missing: only answers that
        never change may be taken from it. None where the zone has no replica, or where that one
        leads anyway.
        """

    def ask_replicas(self, key: str, query: Query, timeout_s: float) -> tuple[Reply, ...]:
        """Answers of the replicas of any zone, each of what that one has applied.

        For a key whose leader does not answer; what holds of `ask_nearby` holds of each answer.
        Replicas that don't answer within their share of `timeout_s` are left out. None answers
        by default.
        """
        return ()

    @abstractmethod
    def leads(self, key: str) -> bool:
        """Whether this node leads the key's shard, as far as it knows; not a fence."""

    @abstractmethod
    def leader_address(self, key: str) -> str | None:
        """`host:port` of the peer port of the shard's leader, as last heard."""

    @abstractmethod
    def local_machine(self, key: str, make: "type[StateMachine]") -> StateMachine | None:
        """The local replica's state machine, for scans by a leader; None without a replica."""

    @abstractmethod
    def shard_of(self, key: str) -> int:
        """Number of the key's shard."""


class ClaimState(Enum):
    """What the ledger knows of an idempotency key."""

    CLAIMED = "claimed"
    """This call holds the claim now: it may make the single attempt."""
    IN_PROGRESS = "in_progress"
    """Another attempt holds it and has not recorded an outcome."""
    COMPLETED = "completed"
    """The recorded answer is given."""
    NOT_RUN = "not_run"
    """The attempt was proved not run; the key may be claimed again."""
    UNKNOWN = "unknown"
    """The attempt's outcome is not known and never will be; it must not run again."""
    MISMATCH = "mismatch"
    """The key was used with another request fingerprint."""
    EXPIRED = "expired"
    """The key is older than the window."""


class RecordedAnswer(msgspec.Struct, frozen=True):
    """An answer kept for repeats of a key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class Claim:
    """Answer to a claim."""

    state: ClaimState
    answer: RecordedAnswer | None = None
    holder: str | None = None


class Claims(ABC):
    """Idempotency keys of requests that must not be repeated. Service `claims`."""

    @abstractmethod
    def claim(
        self, key: str, fingerprint: str, attempt_id: str, window_s: float, timeout_s: float
    ) -> Result[Claim, LedgerError]:
        """Claim a key for one attempt. Only `CLAIMED` with this attempt's id permits a run.

        `UNAVAILABLE` means that no claim was made: the request has not run. After a failure as
        `UNKNOWN` the attempt must not be made and its id not be used again: the service releases
        the claim in the background, in case it was made.
        """

    @abstractmethod
    def record(
        self,
        key: str,
        attempt_id: str,
        state: ClaimState,
        answer: RecordedAnswer | None,
        timeout_s: float,
    ) -> Result[Claim, LedgerError]:
        """Record the attempt's outcome; refused for another attempt's id."""

    @abstractmethod
    def look_up(self, key: str, timeout_s: float) -> Result[Claim | None, LedgerError]:
        """What is known of a key."""


class SegmentStore(ABC):
    """Bulk data too large for the log, on the data folders. Service `segments`."""

    @abstractmethod
    def put(self, key: str, blob: bytes, timeout_s: float) -> Result[str, LedgerError]:
        """Store a blob on a majority of the replicas of the key's shard.

        The returned reference depends only on the contents, so that repeating a put is safe.
        A failure means that nobody may rely on the blob; parts of it may remain until retention.
        """

    @abstractmethod
    def get(self, key: str, reference: str, timeout_s: float) -> Result[bytes, LedgerError]:
        """Read a blob, checksum verified, from whichever replica of the key's shard holds it."""
