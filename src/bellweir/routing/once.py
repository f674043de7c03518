"""Requests that must not be repeated: claimed by their key before the single attempt."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.interface import (
    Claim,
    Claims,
    ClaimState,
    LedgerError,
    LedgerErrorKind,
    RecordedAnswer,
)
from bellweir.platform.interface import ApplicationAnswer
from bellweir.resources.models import Pool
from bellweir.routing.answers import read_whole, with_body
from bellweir.routing.attempts import RETRY_AFTER_S
from bellweir.routing.interface import ApplicationRequest, Refusal, RefusalReason, RunState
from bellweir.routing.log_events import OUTCOME_NOT_RECORDED
from bellweir.routing.request_body import BodyTooLongError, BodyTruncatedError, RequestBody

BODY_LIMIT_BYTES = 1024 * 1024
"""Longest body of a request that must not be repeated: it is fingerprinted before it is sent."""
RECORD_LIMIT_BYTES = 256 * 1024
"""Longest answer kept for repeats; a longer one is passed on, but repeats get no copy."""
CLAIM_TIMEOUT_S = 2.0
RECORD_TIMEOUT_S = 2.0
RECORD_TRIES = 3
CLAIM_USE_S = 60.0
"""A claim older than this is not used any more: its holder was paused for long."""
REPLAYED_HEADER = ("Idempotency-Replayed", "true")

SendOnce = Callable[[RequestBody, Callable[[], bool]], Result[ApplicationAnswer, Refusal]]
"""Makes the attempt; asks the given check right before each send."""


@dataclass(frozen=True)
class _Holder:
    """A claim held by one call."""

    ledger_key: str
    attempt_id: str
    claims: Claims


class OnceRequests:
    """Serves requests of class once."""

    def __init__(
        self, find_claims: Callable[[], Claims | None], executors: Executors, clock: Clock
    ):
        self._find_claims = find_claims
        self._executors = executors
        self._clock = clock

    def serve(
        self, request: ApplicationRequest, pool: Pool, deadline_s: float, send: SendOnce
    ) -> Result[ApplicationAnswer, Refusal]:
        """Claim, attempt once, record; a repeat gets what is recorded."""
        key = request.idempotency_key
        generated = key is None
        if key is None:
            if not pool.spec.generate_keys:
                detail = "a request that must not be repeated needs an Idempotency-Key"
                return Failure(Refusal(RefusalReason.KEY_MISSING, RunState.NOT_RUN, detail))
            key = secrets.token_hex(16)
        body = RequestBody(request.body, request.body_length)
        try:
            fingerprint = fingerprint_of(request, body.read_whole(BODY_LIMIT_BYTES))
        except (BodyTooLongError, BodyTruncatedError) as failure:
            return Failure(Refusal(RefusalReason.INVALID, RunState.NOT_RUN, f"body: {failure}"))
        claims = self._find_claims()
        if claims is None:
            detail = "this node has no ledger"
            return Failure(_ledger_refusal(RunState.NOT_RUN, detail))
        ledger_key = f"{request.pool}/{key}"
        holder = _Holder(ledger_key, secrets.token_hex(16), claims)
        asked_s = self._clock.monotonic_s()
        match self._claim(holder, fingerprint, pool.spec.claim_window_s, deadline_s):
            case Success(claim) if claim.state is ClaimState.CLAIMED:
                return self._run(holder, body, asked_s, send)
            case Success(claim):
                return _answer_repeat(claim)
            case Failure(error):
                # An earlier request with a key of the caller's may have run, which only the
                # ledger could tell; with a fresh key there is none.
                state = RunState.NOT_RUN if generated else RunState.UNKNOWN
                return Failure(_ledger_refusal(state, error.detail))
        raise AssertionError("a result is a success or a failure")

    def _claim(
        self, holder: _Holder, fingerprint: str, window_s: float, deadline_s: float
    ) -> Result[Claim, LedgerError]:
        """Claim; after a lost answer once more with the same attempt id, which is idempotent."""
        for last in (False, True):
            left_s = deadline_s - self._clock.monotonic_s()
            claimed = holder.claims.claim(
                holder.ledger_key,
                fingerprint,
                holder.attempt_id,
                window_s,
                max(0.001, min(CLAIM_TIMEOUT_S, left_s)),
            )
            match claimed:
                case Failure(error) if error.kind is LedgerErrorKind.UNKNOWN:
                    if last:
                        self._record_aside(holder, ClaimState.NOT_RUN, None)
                case _:
                    return claimed
        return claimed

    def _run(
        self, holder: _Holder, body: RequestBody, asked_s: float, send: SendOnce
    ) -> Result[ApplicationAnswer, Refusal]:
        def still_usable() -> bool:
            return self._clock.monotonic_s() - asked_s < CLAIM_USE_S

        try:
            outcome = send(body, still_usable)
        except BaseException:
            self._record_aside(holder, ClaimState.UNKNOWN, None)
            raise
        match outcome:
            case Success(answer):
                return self._complete(holder, answer)
            case Failure(refusal) if refusal.run_state is RunState.NOT_RUN:
                self._record(holder, ClaimState.NOT_RUN, None)
            case Failure(_):
                self._record(holder, ClaimState.UNKNOWN, None)
        return outcome

    def _complete(
        self, holder: _Holder, answer: ApplicationAnswer
    ) -> Result[ApplicationAnswer, Refusal]:
        """Record the answer before it is passed on, so that a repeat finds it."""
        match read_whole(answer, RECORD_LIMIT_BYTES):
            case Success(None):
                self._record(holder, ClaimState.COMPLETED, None)
                detail = "it ran, but its answer is too long to be kept"
                return Failure(Refusal(RefusalReason.BACKEND_FAILED, RunState.RAN, detail))
            case Success(whole):
                kept = RecordedAnswer(answer.status, answer.headers, whole or b"")
                self._record(holder, ClaimState.COMPLETED, kept)
                return Success(with_body(answer, iter((kept.body,) if kept.body else ())))
            case Failure(error):
                self._record(holder, ClaimState.UNKNOWN, None)
                refusal = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, error.detail)
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")

    def _record(self, holder: _Holder, state: ClaimState, answer: RecordedAnswer | None) -> None:
        recorded = holder.claims.record(
            holder.ledger_key, holder.attempt_id, state, answer, RECORD_TIMEOUT_S
        )
        if isinstance(recorded, Failure):
            self._record_aside(holder, state, answer)

    def _record_aside(
        self, holder: _Holder, state: ClaimState, answer: RecordedAnswer | None
    ) -> None:
        """Record off the caller's thread, a few times; repeats are unknown until it is done."""
        try:
            self._executors.submit(
                WorkKind.BACKGROUND, self._record_patiently, holder, state, answer
            )
        except (ExecutorSaturatedError, RuntimeError):
            emit(OUTCOME_NOT_RECORDED, request=holder.ledger_key, detail="no thread was free")

    def _record_patiently(
        self, holder: _Holder, state: ClaimState, answer: RecordedAnswer | None
    ) -> None:
        detail = ""
        for _ in range(RECORD_TRIES):
            match holder.claims.record(
                holder.ledger_key, holder.attempt_id, state, answer, RECORD_TIMEOUT_S
            ):
                case Success(_):
                    return
                case Failure(error):
                    detail = error.detail
            if self._clock.wait(self._executors.stopping, RETRY_AFTER_S):
                break
        emit(OUTCOME_NOT_RECORDED, request=holder.ledger_key, detail=detail)


def fingerprint_of(request: ApplicationRequest, body: bytes) -> str:
    """Digest of what makes a request the same: method, path with query, and body."""
    digest = hashlib.sha256()
    for part in (request.method.upper().encode(), request.path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _answer_repeat(claim: Claim) -> Result[ApplicationAnswer, Refusal]:
    if claim.state is ClaimState.COMPLETED and claim.answer is not None:
        kept = claim.answer
        headers = (*kept.headers, REPLAYED_HEADER)
        return Success(ApplicationAnswer(kept.status, headers, iter((kept.body,))))
    return Failure(REPEAT_REFUSALS[claim.state])


def _ledger_refusal(state: RunState, detail: str) -> Refusal:
    return Refusal(RefusalReason.LEDGER_UNAVAILABLE, state, detail, RETRY_AFTER_S)


REPEAT_REFUSALS = {
    ClaimState.COMPLETED: Refusal(
        RefusalReason.BACKEND_FAILED,
        RunState.RAN,
        "the first request with this key ran; its answer was too long to be kept",
    ),
    ClaimState.IN_PROGRESS: Refusal(
        RefusalReason.KEY_IN_PROGRESS,
        RunState.UNKNOWN,
        "the first request with this key has no recorded outcome yet",
        RETRY_AFTER_S,
    ),
    ClaimState.NOT_RUN: Refusal(
        RefusalReason.BACKEND_FAILED,
        RunState.NOT_RUN,
        "the first request with this key did not run; repeat it",
        RETRY_AFTER_S,
    ),
    ClaimState.UNKNOWN: Refusal(
        RefusalReason.BACKEND_FAILED,
        RunState.UNKNOWN,
        "the outcome of the first request with this key is not known and never will be",
    ),
    ClaimState.MISMATCH: Refusal(
        RefusalReason.KEY_MISMATCH,
        RunState.NOT_RUN,
        "the key was used for a different request",
    ),
    ClaimState.EXPIRED: Refusal(
        RefusalReason.KEY_EXPIRED,
        RunState.UNKNOWN,
        "the key is older than the window in which outcomes are kept",
    ),
}
