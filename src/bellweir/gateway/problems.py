"""Refusals as HTTP answers: problem documents (RFC 9457), and OpenAI's error shape on `/v1`."""

import math
from dataclasses import dataclass, replace

import msgspec

from bellweir.http_server.body_pipe import BodyCutError
from bellweir.http_server.http import Response
from bellweir.routing.interface import Refusal, RefusalReason, RunState

PROBLEM_TYPE_PREFIX = "https://bellweir.dev/problems/"
"""Problem types are names, not pages to fetch."""

STATUS_OF_REASON = {
    RefusalReason.INVALID: 400,
    RefusalReason.NO_SUCH_POOL: 404,
    RefusalReason.NO_SUCH_POLICY: 404,
    RefusalReason.NO_BACKEND: 503,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.KEY_IN_PROGRESS: 409,
    RefusalReason.KEY_MISMATCH: 422,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.LEDGER_UNAVAILABLE: 503,
    RefusalReason.DRAINING: 503,
}


NAMES_OF_STATUS = {
    400: "malformed_request",
    408: "request_too_slow",
    413: "body_too_long",
    431: "headers_too_long",
    500: "internal_error",
    501: "not_implemented",
}
"""Names of the problems that are found while a request is received."""


@dataclass(frozen=True)
class Problem:
    """A refusal by the gateway itself or by a service behind it."""

    status: int
    name: str
    """Machine-readable name, last part of the problem's type."""
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None
    findings: tuple[object, ...] = ()
    """Faults of a document with path, found and allowed."""


class ProblemDocument(msgspec.Struct, omit_defaults=True):
    """Body of a problem answer."""

    type: str
    title: str
    status: int
    detail: str
    run_state: str
    request_id: str
    retry_after_s: float | None = None
    findings: tuple[object, ...] = ()


class OpenAiErrorBody(msgspec.Struct):
    """The `error` object of OpenAI's interface with the extra fields of this one."""

    message: str
    type: str
    param: str | None
    code: str
    run_state: str
    request_id: str


class OpenAiError(msgspec.Struct):
    """Body of a failed call of OpenAI's interface."""

    error: OpenAiErrorBody


def problem_of_refusal(refusal: Refusal) -> Problem:
    """The problem that tells a caller of a refusal."""
    return Problem(
        STATUS_OF_REASON[refusal.reason],
        refusal.reason.value,
        refusal.detail,
        refusal.run_state,
        refusal.retry_after_s,
    )


def before_the_ledger(problem: Problem, *, has_key: bool) -> Problem:
    """A refusal made before the ledger was asked about the request's idempotency key.

    This request has not run, but one with the same key may have, through this node or another.
    """
    if has_key and problem.run_state is RunState.NOT_RUN:
        return replace(problem, run_state=RunState.UNKNOWN)
    return problem


def problem_document(problem: Problem, request_id: str) -> ProblemDocument:
    """The document that describes a problem."""
    return ProblemDocument(
        type=PROBLEM_TYPE_PREFIX + problem.name,
        title=problem.name.replace("_", " "),
        status=problem.status,
        detail=problem.detail,
        run_state=problem.run_state.value,
        request_id=request_id,
        retry_after_s=problem.retry_after_s,
        findings=problem.findings,
    )


def problem_response(problem: Problem, request_id: str) -> Response:
    """An answer with a problem document."""
    headers = [("Content-Type", "application/problem+json"), *_retry_after(problem)]
    document = problem_document(problem, request_id)
    return Response(problem.status, headers, msgspec.json.encode(document))


def openai_error(problem: Problem, request_id: str) -> OpenAiError:
    """The error object that OpenAI's clients understand."""
    kind = "invalid_request_error" if problem.status in (400, 404, 413, 422) else "api_error"
    if problem.status == 429:
        kind = "rate_limit_error"
    return OpenAiError(
        OpenAiErrorBody(
            message=problem.detail,
            type=kind,
            param=None,
            code=problem.name,
            run_state=problem.run_state.value,
            request_id=request_id,
        )
    )


def openai_error_response(problem: Problem, request_id: str) -> Response:
    """An answer of OpenAI's error shape."""
    headers = [("Content-Type", "application/json"), *_retry_after(problem)]
    if problem.run_state is not RunState.NOT_RUN:
        # OpenAI's clients repeat 429 and 5xx by themselves; this header of theirs forbids it.
        headers.append(("x-should-retry", "false"))
    return Response(problem.status, headers, msgspec.json.encode(openai_error(problem, request_id)))


def _retry_after(problem: Problem) -> list[tuple[str, str]]:
    if problem.retry_after_s is None:
        return []
    return [("Retry-After", str(math.ceil(problem.retry_after_s)))]


def body_cut(failure: BodyCutError, run_state: RunState) -> Problem:
    """The refusal of a request whose body did not come whole."""
    name = NAMES_OF_STATUS.get(failure.status, "body_cut")
    return Problem(failure.status, name, str(failure), run_state)
