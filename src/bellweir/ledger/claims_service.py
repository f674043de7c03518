"""Service `claims`: idempotency keys, kept in the ledger."""

import threading
from contextlib import suppress

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from bellweir.kernel import names
from bellweir.kernel.executors import ExecutorSaturatedError, WorkKind
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.claims import (
    ClaimKey,
    ClaimReply,
    ClaimsMachine,
    LookUpClaim,
    RecordOutcome,
    ReleaseClaim,
)
from bellweir.ledger.interface import (
    Claim,
    Claims,
    ClaimState,
    Command,
    Ledger,
    LedgerError,
    LedgerErrorKind,
    RecordedAnswer,
    Reply,
)
from bellweir.membership.interface import Membership, MemberState
from bellweir.settings.models import Settings

RELEASE_TIMEOUT_S = 30.0
"""Time for which the release of a claim without an answer is tried."""
RELEASE_TRY_S = 1.0
ATTEMPTS_PER_CALL = 3
"""Claim commands are idempotent, so one whose outcome is unknown is sent again within the time."""


class ClaimsService(Service, Claims):
    """Claims of this node's requests, under its own name as their holder."""

    name = names.CLAIMS
    dependencies = (names.LEDGER, names.MEMBERSHIP)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._node = settings.node.name
        self._stopping = threading.Event()
        self._ledger: Ledger
        self._membership: Membership

    def start(self) -> None:
        """Register the state machine; find the membership."""
        registry = self._kernel.registry
        self._ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        self._ledger.register(ClaimsMachine)
        self._membership = registry.find(
            names.MEMBERSHIP,
            Membership,  # type: ignore[type-abstract]
        )

    def stop(self) -> None:
        """End the releases that are still tried; their claims end as unknown."""
        self._stopping.set()

    def claim(
        self, key: str, fingerprint: str, attempt_id: str, window_s: float, timeout_s: float
    ) -> Result[Claim, LedgerError]:
        """Claim a key; sent again with the same attempt id when the outcome was lost."""
        command = ClaimKey(
            key, fingerprint, attempt_id, self._node, self._kernel.clock.wall_s(), window_s
        )
        result = self._submit(key, command, timeout_s)
        if not is_successful(result) and result.failure().kind is LedgerErrorKind.UNKNOWN:
            self._release_later(command)
        return result.map(self._as_claim)

    def _release_later(self, command: ClaimKey) -> None:
        """Set free what a claim without an answer may hold: its caller makes no attempt."""
        release = ReleaseClaim(
            command.key,
            command.fingerprint,
            command.attempt_id,
            command.holder,
            command.now_s,
            command.window_s,
        )
        # When the executor is full the key stays claimed, and is answered as unknown in the end.
        with suppress(ExecutorSaturatedError):
            self._kernel.executors.submit(WorkKind.BACKGROUND, self._release, release)

    def _release(self, release: ReleaseClaim) -> None:
        """Try for a while, in short calls, so that a stop need not wait for it."""
        deadline_s = self._kernel.clock.monotonic_s() + RELEASE_TIMEOUT_S
        while not self._stopping.is_set() and self._kernel.clock.monotonic_s() < deadline_s:
            if is_successful(self._ledger.submit(release.key, release, RELEASE_TRY_S)):
                return

    def record(
        self,
        key: str,
        attempt_id: str,
        state: ClaimState,
        answer: RecordedAnswer | None,
        timeout_s: float,
    ) -> Result[Claim, LedgerError]:
        """Record an attempt's outcome."""
        now_s = self._kernel.clock.wall_s()
        command = RecordOutcome(key, attempt_id, state, answer, now_s)
        return self._submit(key, command, timeout_s).map(self._as_claim)

    def look_up(self, key: str, timeout_s: float) -> Result[Claim | None, LedgerError]:
        """What is known of a key."""
        query = LookUpClaim(key, self._kernel.clock.wall_s())
        match self._ledger.ask(key, query, timeout_s):
            case Success(ClaimReply(state=None)):
                return Success(None)
            case Success(reply):
                return Success(self._as_claim(reply))
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    def _submit(self, key: str, command: Command, timeout_s: float) -> Result[Reply, LedgerError]:
        deadline_s = self._kernel.clock.monotonic_s() + timeout_s
        unknown: LedgerError | None = None
        for attempts_left in range(ATTEMPTS_PER_CALL, 0, -1):
            left_s = deadline_s - self._kernel.clock.monotonic_s()
            if left_s <= 0:
                break
            result = self._ledger.submit(key, command, left_s / attempts_left)
            match result:
                case Success(_):
                    return result
                case Failure(error) if error.kind is LedgerErrorKind.UNKNOWN:
                    unknown = error
        # Once one command may have been appended, a later refusal does not undo it.
        if unknown is not None:
            return Failure(unknown)
        return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "no leader found in time"))

    def _as_claim(self, reply: Reply) -> Claim:
        if not isinstance(reply, ClaimReply) or reply.state is None:
            return Claim(ClaimState.UNKNOWN)
        state = reply.state
        if state is ClaimState.IN_PROGRESS and self._is_dead(reply.holder):
            # Nobody is left who could record the outcome, and nobody else may ever run it.
            state = ClaimState.UNKNOWN
        return Claim(state, reply.answer, reply.holder)

    def _is_dead(self, holder: str | None) -> bool:
        member = self._membership.member(holder) if holder else None
        return member is not None and member.state is MemberState.DEAD
