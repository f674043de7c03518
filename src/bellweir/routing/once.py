"""At-most-once requests: the idempotency key is claimed in the ledger before the attempt."""

import hashlib
import secrets
import uuid
from collections.abc import Callable
from dataclasses import replace

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ApplicationAnswer
from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import (
    Claim,
    Claims,
    ClaimState,
    LedgerError,
    LedgerErrorKind,
    RecordedAnswer,
)
from bellweir.resources.models import Pool, RequestClass
from bellweir.routing.answers import read_whole, with_body
from bellweir.routing.attempts import RETRY_AFTER_S
from bellweir.routing.interface import ApplicationRequest, Refusal, RefusalReason, RunState
from bellweir.routing.outcome_recorder import ClaimHolder, OutcomeRecorder
from bellweir.routing.request_body import BodyTooLongError, BodyTruncatedError, RequestBody

MAX_BODY_BYTES = 1024 * 1024
"""Bodies are read into memory, as their fingerprint is needed before they are sent."""
MAX_RECORDED_ANSWER_BYTES = 256 * 1024
"""Longest answer that is recorded for repeated requests."""
CLAIM_TIMEOUT_S = 3.0
MAX_CLAIM_AGE_S = 60.0
MAX_CLAIM_AGE_WINDOW_FRACTION = 0.5
"""A claim older than `MAX_CLAIM_AGE_S` or than this fraction of its window is not used: if the
holder was paused for longer, the key may have expired and been claimed by another request."""
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
LOOK_UP_TIMEOUT_S = 0.5
REPLAYED_HEADER = ("Idempotency-Replayed", "true")

BeforeSend = Callable[[], Refusal | None]
SendOnce = Callable[
    [ApplicationRequest, RequestBody, BeforeSend], Result[ApplicationAnswer, Refusal]
]
"""Sends the request; calls the given check immediately before each attempt."""


class OnceRequests:
    """Serves at-most-once requests (`RequestClass.ONCE`)."""

    def __init__(
        self, find_claims: Callable[[], Claims | None], recorder: OutcomeRecorder, clock: Clock
    ) -> None:
        self._find_claims = find_claims
        self._recorder = recorder
        self._clock = clock

    def serve(
        self, request: ApplicationRequest, pool: Pool, deadline_s: float, send: SendOnce
    ) -> Result[ApplicationAnswer, Refusal]:
        """Claim the key, send the request and record its outcome; replay it for a repeated key."""
        key = request.idempotency_key
        generated = key is None
        if key is None:
            if not pool.spec.generate_keys:
                detail = "a request that must not be repeated needs an Idempotency-Key"
                return Failure(Refusal(RefusalReason.KEY_MISSING, RunState.NOT_RUN, detail))
            key = generate_key(self._clock.wall_s())
            headers = (*request.headers, (KEY_HEADER, key))
            request = replace(request, headers=headers, idempotency_key=key)
        if not is_valid_key(key):
            detail = f"an Idempotency-Key has 1 to {MAX_KEY_CHARACTERS} printable characters"
            return Failure(Refusal(RefusalReason.INVALID, RunState.NOT_RUN, detail))
        body = RequestBody(request.body, request.body_length)
        try:
            fingerprint = fingerprint_of(request, body.read_whole(MAX_BODY_BYTES))
        except (BodyTooLongError, BodyTruncatedError) as failure:
            return Failure(Refusal(RefusalReason.INVALID, RunState.NOT_RUN, f"body: {failure}"))
        claims = self._find_claims()
        if claims is None:
            detail = "this node has no ledger"
            return Failure(_ledger_refusal(RunState.NOT_RUN, detail))
        window_s = pool.spec.claim_window_s
        holder = ClaimHolder(ledger_key_of(request), secrets.token_hex(16), claims)
        requested_s = self._clock.monotonic_s()
        match self._claim(holder, fingerprint, window_s, deadline_s):
            case Success(claim) if claim.state is ClaimState.CLAIMED:
                usable_until_s = requested_s + min(
                    MAX_CLAIM_AGE_S, window_s * MAX_CLAIM_AGE_WINDOW_FRACTION
                )
                return self._run(holder, lambda check: send(request, body, check), usable_until_s)
            case Success(claim):
                return _answer_repeat(claim)
            case Failure(error):
                # An earlier request with the caller's key may have run, which only the ledger
                # knows; a generated key has no earlier request.
                state = RunState.NOT_RUN if generated else RunState.UNKNOWN
                return Failure(_ledger_refusal(state, error.detail))
        raise AssertionError("a result is a success or a failure")

    def refuse(
        self, request: ApplicationRequest, refusal: Refusal, kind: RequestClass | None
    ) -> Refusal:
        """Adjust the run state of a refusal that was made before the key was claimed.

        The request itself has not run, but an earlier one with the same key may have, so
        `NOT_RUN` is kept only if the ledger has no record of one.
        """
        if request.idempotency_key is None or refusal.run_state is not RunState.NOT_RUN:
            return refusal
        if kind not in (RequestClass.ONCE, None) or self._is_unknown_key(request):
            return refusal
        detail = f"{refusal.detail}; whether an earlier request with this key ran is not known"
        return replace(refusal, run_state=RunState.UNKNOWN, detail=detail)

    def _is_unknown_key(self, request: ApplicationRequest) -> bool:
        """Whether the ledger rules out that a request with this key has run."""
        claims = self._find_claims()
        if claims is None:
            return True
        match claims.look_up(ledger_key_of(request), LOOK_UP_TIMEOUT_S):
            case Success(None) | Success(Claim(state=ClaimState.NOT_RUN)):
                return True
        return False

    def _claim(
        self, holder: ClaimHolder, fingerprint: str, window_s: float, deadline_s: float
    ) -> Result[Claim, LedgerError]:
        """Claim the key; if the outcome is unknown, no attempt may be made.

        `Claims` retries until its timeout and then releases the claim. Claiming again with the
        same attempt id could return `CLAIMED` before that release takes effect, which would
        free the key while the attempt runs.
        """
        left_s = deadline_s - self._clock.monotonic_s()
        timeout_s = max(0.001, min(CLAIM_TIMEOUT_S, left_s))
        claimed = holder.claims.claim(
            holder.ledger_key, fingerprint, holder.attempt_id, window_s, timeout_s
        )
        match claimed:
            case Failure(error) if error.kind is LedgerErrorKind.UNKNOWN:
                self._recorder.record_later(holder, ClaimState.NOT_RUN)
        return claimed

    def _run(
        self,
        holder: ClaimHolder,
        send: Callable[[BeforeSend], Result[ApplicationAnswer, Refusal]],
        usable_until_s: float,
    ) -> Result[ApplicationAnswer, Refusal]:
        def check_claim_age() -> Refusal | None:
            if self._clock.monotonic_s() < usable_until_s:
                return None
            detail = "the node was paused for too long after the claim"
            return Refusal(RefusalReason.DEADLINE, RunState.NOT_RUN, detail, RETRY_AFTER_S)

        try:
            outcome = send(check_claim_age)
        except BaseException:
            self._recorder.record_later(holder, ClaimState.UNKNOWN)
            raise
        match outcome:
            case Success(answer):
                return self._complete(holder, answer)
            case Failure(refusal) if refusal.run_state is RunState.NOT_RUN:
                self._recorder.record(holder, ClaimState.NOT_RUN, None)
            case Failure(_):
                self._recorder.record(holder, ClaimState.UNKNOWN, None)
        return outcome

    def _complete(
        self, holder: ClaimHolder, answer: ApplicationAnswer
    ) -> Result[ApplicationAnswer, Refusal]:
        """Record the answer before returning it, so that a repeated request finds it."""
        match read_whole(answer, MAX_RECORDED_ANSWER_BYTES):
            case Success(None):
                self._recorder.record(holder, ClaimState.COMPLETED, None)
                detail = "it ran, but its answer is too long to be kept"
                return Failure(Refusal(RefusalReason.BACKEND_FAILED, RunState.RAN, detail))
            case Success(whole):
                recorded = RecordedAnswer(answer.status, answer.headers, whole or b"")
                self._recorder.record(holder, ClaimState.COMPLETED, recorded)
                return Success(with_body(answer, iter((recorded.body,) if recorded.body else ())))
            case Failure(error):
                self._recorder.record(holder, ClaimState.UNKNOWN, None)
                refusal = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, error.detail)
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")


def ledger_key_of(request: ApplicationRequest) -> str:
    """Return the key of a request's claim, which is scoped to the pool but not to the caller.

    A caller may retry from another address or with another token; two callers that use the
    same key are told apart by the fingerprint.
    """
    return f"{request.pool}/{request.idempotency_key}"


def is_valid_key(key: str) -> bool:
    """Whether a key is printable and of an allowed length."""
    return 0 < len(key) <= MAX_KEY_CHARACTERS and key.isprintable()


def generate_key(now_s: float) -> str:
    """Return a new UUID of version 7 (RFC 9562), which contains its creation time."""
    milliseconds = int(now_s * 1000) & ((1 << 48) - 1)
    high = (milliseconds << 16) | (7 << 12) | secrets.randbits(12)
    low = (0b10 << 62) | secrets.randbits(62)
    return str(uuid.UUID(int=(high << 64) | low))


def fingerprint_of(request: ApplicationRequest, body: bytes) -> str:
    """Return the SHA-256 digest of a request's method, path with query, and body."""
    digest = hashlib.sha256()
    for part in (request.method.upper().encode(), request.path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _answer_repeat(claim: Claim) -> Result[ApplicationAnswer, Refusal]:
    if claim.state is ClaimState.COMPLETED and claim.answer is not None:
        recorded = claim.answer
        headers = (*recorded.headers, REPLAYED_HEADER)
        return Success(ApplicationAnswer(recorded.status, headers, iter((recorded.body,))))
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
