"""State machine of idempotency keys: at most one attempt for each key.

A key is claimed by one attempt. Whoever asks again gets what that attempt recorded, or that its
outcome is not known; only an attempt that recorded itself as not run sets the key free. Times are
fields of the commands, and the machine's own time is the latest one it has seen, so that it is the
same on every replica and never goes back. Behind its window a record shrinks to a tombstone, which
is kept `TOMBSTONE_WINDOWS` windows more: such a key is refused as expired. At-most-once ends there.
"""

import cbor2
import msgspec

from bellweir.ledger.interface import (
    ClaimState,
    Command,
    Query,
    RecordedAnswer,
    Reply,
    StateMachine,
)
from bellweir.ledger.key_time import time_of_key

IN_PROGRESS_LIMIT_S = 120.0
"""An attempt without a record after this time is reported as unknown."""
TOMBSTONE_WINDOWS = 1
"""Windows for which an expired key is still refused."""
PAST_ATTEMPTS_KEPT = 16
"""Earlier attempts of a key that are remembered."""
CLEANED_PER_COMMAND = 4
"""Records looked at for expiry with each command, so that cleaning never stalls the log."""
KEY_TIME_MARGIN_S = 60.0
"""A key made this long after a recovery surely was not used before it, whatever the clocks."""


class ClaimKey(Command, frozen=True, tag=True):
    """Claim a key for an attempt."""

    key: str
    fingerprint: str
    attempt_id: str
    holder: str
    now_s: float
    window_s: float


class RecordOutcome(Command, frozen=True, tag=True):
    """Record what became of the attempt that holds a key."""

    key: str
    attempt_id: str
    state: ClaimState
    answer: RecordedAnswer | None
    now_s: float


class ReleaseClaim(Command, frozen=True, tag=True):
    """The attempt's claim got no answer in time, so the attempt never was and never will be made.

    It may come before its `ClaimKey` does, so it carries all that a record needs: a claim that
    arrives late then finds itself released.
    """

    key: str
    fingerprint: str
    attempt_id: str
    holder: str
    now_s: float
    window_s: float


class LookUpClaim(Query, frozen=True, tag=True):
    """Ask what is known of a key."""

    key: str
    now_s: float


class ClaimReply(Reply, frozen=True, tag=True):
    """What is known of a key; `state` is None when it was never claimed."""

    state: ClaimState | None
    answer: RecordedAnswer | None = None
    holder: str | None = None
    attempt_id: str | None = None


class ClaimRecord(msgspec.Struct, array_like=True):
    """A claimed key."""

    fingerprint: str
    attempt_id: str
    holder: str
    state: ClaimState
    """`CLAIMED`, `COMPLETED`, `NOT_RUN` or `UNKNOWN`."""
    claimed_s: float
    window_s: float
    answer: RecordedAnswer | None = None
    past_attempts: tuple[str, ...] = ()
    """Earlier attempts that did not run; a late repeat of their claims permits nothing."""


class ClaimsState(msgspec.Struct):
    """Everything that a snapshot holds."""

    records: dict[str, ClaimRecord]
    now_s: float = 0.0
    recovered_s: float | None = None


class ClaimsMachine(StateMachine):
    """The claims of one shard."""

    def __init__(self) -> None:
        self._state = ClaimsState({})
        self._to_clean: list[str] = []

    def command_types(self) -> tuple[type[Command], ...]:
        """Claims, outcomes and releases."""
        return (ClaimKey, RecordOutcome, ReleaseClaim)

    def query_types(self) -> tuple[type[Query], ...]:
        """Look-ups."""
        return (LookUpClaim,)

    def reply_types(self) -> tuple[type[Reply], ...]:
        """One reply for all."""
        return (ClaimReply,)

    def apply(self, command: Command) -> Reply:
        """Claim or record; applying the same command twice gives the same state."""
        match command:
            case ClaimKey():
                self._advance(command.now_s)
                return self._claim(command)
            case RecordOutcome():
                self._advance(command.now_s)
                return self._record(command)
            case ReleaseClaim():
                self._advance(command.now_s)
                return self._release(command)
        raise TypeError(f"not a command of claims: {command!r}")

    def answer(self, query: Query) -> Reply:
        """Tell what is known of a key."""
        if not isinstance(query, LookUpClaim):
            raise TypeError(f"not a query of claims: {query!r}")
        record = self._find(query.key)
        if record is None:
            lost = self._may_be_lost(query.key, None)
            return ClaimReply(ClaimState.UNKNOWN if lost else None)
        return self._describe(record, max(query.now_s, self._state.now_s))

    def save(self) -> bytes:
        """The state as cbor2."""
        return cbor2.dumps(msgspec.to_builtins(self._state, builtin_types=(bytes,)))

    def load(self, state: bytes) -> None:
        """Replace the state."""
        self._state = msgspec.convert(cbor2.loads(state), ClaimsState)
        self._to_clean = []

    def recovered(self, at_s: float) -> None:
        """From now on a key that may come from before is answered as unknown."""
        self._state.recovered_s = at_s
        self._state.now_s = max(self._state.now_s, at_s)
        for record in self._state.records.values():
            # The attempt's own record may be among what was lost.
            if record.state in (ClaimState.CLAIMED, ClaimState.NOT_RUN):
                record.state = ClaimState.UNKNOWN

    # --- commands -----------------------------------------------------------------------------

    def _claim(self, command: ClaimKey) -> ClaimReply:
        record = self._find(command.key)
        if record is None:
            if self._may_be_lost(command.key, command.window_s):
                return ClaimReply(ClaimState.UNKNOWN)
            return self._grant(command)
        if record.fingerprint != command.fingerprint and not self._is_expired(record):
            return ClaimReply(ClaimState.MISMATCH)
        if command.attempt_id in record.past_attempts:
            return ClaimReply(ClaimState.NOT_RUN, None, record.holder, command.attempt_id)
        own = record.attempt_id == command.attempt_id
        if record.state is ClaimState.NOT_RUN and not own:
            past = (*record.past_attempts, record.attempt_id)[-PAST_ATTEMPTS_KEPT:]
            return self._grant(command, past)
        if record.state is ClaimState.CLAIMED and own and not self._is_expired(record):
            return ClaimReply(ClaimState.CLAIMED, None, record.holder, record.attempt_id)
        return self._describe(record, self._state.now_s)

    def _grant(self, command: ClaimKey, past_attempts: tuple[str, ...] = ()) -> ClaimReply:
        record = self._new_record(command, ClaimState.CLAIMED)
        record.past_attempts = past_attempts
        self._state.records[command.key] = record
        return ClaimReply(ClaimState.CLAIMED, None, command.holder, command.attempt_id)

    def _new_record(self, command: ClaimKey | ReleaseClaim, state: ClaimState) -> ClaimRecord:
        return ClaimRecord(
            command.fingerprint,
            command.attempt_id,
            command.holder,
            state,
            self._state.now_s,
            command.window_s,
        )

    def _release(self, command: ReleaseClaim) -> ClaimReply:
        record = self._find(command.key)
        if record is None:
            if self._may_be_lost(command.key, command.window_s):
                return ClaimReply(ClaimState.UNKNOWN)
            record = self._new_record(command, ClaimState.NOT_RUN)
            self._state.records[command.key] = record
        elif record.attempt_id != command.attempt_id:
            return ClaimReply(ClaimState.MISMATCH)
        elif record.state is ClaimState.CLAIMED:
            record.state = ClaimState.NOT_RUN
        return self._describe(record, self._state.now_s)

    def _record(self, command: RecordOutcome) -> ClaimReply:
        record = self._find(command.key)
        if record is None:
            return ClaimReply(None)
        if record.attempt_id != command.attempt_id:
            return ClaimReply(ClaimState.MISMATCH)
        # The first outcome stands, but what was not known may still become known.
        if record.state in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            record.state = command.state
            record.answer = command.answer
        return self._describe(record, self._state.now_s)

    def _describe(self, record: ClaimRecord, now_s: float) -> ClaimReply:
        state = record.state
        if state is not ClaimState.NOT_RUN and self._is_expired(record):
            return ClaimReply(ClaimState.EXPIRED, None, record.holder, record.attempt_id)
        if state is ClaimState.CLAIMED:
            overdue = now_s - record.claimed_s > IN_PROGRESS_LIMIT_S
            state = ClaimState.UNKNOWN if overdue else ClaimState.IN_PROGRESS
        return ClaimReply(state, record.answer, record.holder, record.attempt_id)

    def _may_be_lost(self, key: str, window_s: float | None) -> bool:
        """Whether a recovery may have lost this key's claim."""
        recovered_s = self._state.recovered_s
        if recovered_s is None:
            return False
        if window_s is not None and self._state.now_s > recovered_s + window_s:
            return False
        made_s = time_of_key(key)
        return made_s is None or made_s <= recovered_s + KEY_TIME_MARGIN_S

    # --- expiry -------------------------------------------------------------------------------

    def _find(self, key: str) -> ClaimRecord | None:
        """The record of a key, unless it is older than even its tombstone."""
        record = self._state.records.get(key)
        return None if record is None or self._is_forgotten(record) else record

    def _is_expired(self, record: ClaimRecord) -> bool:
        return self._state.now_s - record.claimed_s > record.window_s

    def _is_forgotten(self, record: ClaimRecord) -> bool:
        age_s = self._state.now_s - record.claimed_s
        return age_s > record.window_s * (1 + TOMBSTONE_WINDOWS)

    def _advance(self, now_s: float) -> None:
        self._state.now_s = max(self._state.now_s, now_s)
        self._clean()

    def _clean(self) -> None:
        """Free memory of a few records; replies depend on ages only, never on what is freed.

        Where the sweep stands is not part of the state, so it may differ between replicas.
        """
        if not self._to_clean:
            self._to_clean = list(self._state.records)
        for _ in range(min(CLEANED_PER_COMMAND, len(self._to_clean))):
            key = self._to_clean.pop()
            record = self._state.records.get(key)
            if record is None:
                continue
            if self._is_forgotten(record):
                del self._state.records[key]
            elif self._is_expired(record):
                record.answer = None
                record.fingerprint = ""
