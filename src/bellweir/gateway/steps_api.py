"""The trainers' interface: declare steps, pull and acknowledge samples."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.gateway.admission import ThreadShare
from bellweir.gateway.context import Context
from bellweir.gateway.problems import Problem, openai_error_response
from bellweir.gateway.refusals import refuse
from bellweir.gateway.request_headers import IDEMPOTENCY_KEY
from bellweir.gateway.router import Router
from bellweir.http_server.http import (
    BadRequestError,
    Request,
    Response,
    json_response,
    parse_integer,
)
from bellweir.routing.interface import RunState
from bellweir.samples.interface import (
    SampleBatch,
    Samples,
    StepDeclaration,
    StepError,
    StepErrorKind,
    StepStatus,
)

Decoded = TypeVar("Decoded")

INTERFACE = "steps"
DEFAULT_LIMIT = 64
MAXIMUM_LIMIT = 1024
MAXIMUM_WAIT_S = 60.0
SLICE_S = 1.0
"""Longest single wait for samples on behalf of a long poll."""

_STATUS_OF_KIND = {
    StepErrorKind.INVALID: 400,
    StepErrorKind.NOT_FOUND: 404,
    StepErrorKind.CONFLICT: 409,
    StepErrorKind.UNAVAILABLE: 503,
}


class Acknowledgement(msgspec.Struct):
    """Body of an acknowledgement."""

    cursor: int


class StepsApi:
    """Serves training steps; any node serves any step."""

    def __init__(self, context: Context, samples: Samples, is_draining: Callable[[], bool]) -> None:
        self._context = context
        self._samples = samples
        self._is_draining = is_draining

    def add_routes(self, router: Router) -> None:
        """Add the paths of this interface."""
        router.add(INTERFACE, "GET", "/v1/steps/{step}/samples", self.pull)
        router.add(INTERFACE, "POST", "/v1/steps/{step}/acknowledge", self.acknowledge)
        router.add(INTERFACE, "GET", "/v1/steps/{step}", self.status)
        router.add(INTERFACE, "DELETE", "/v1/steps/{step}", self.cancel)
        router.add(INTERFACE, "POST", "/v1/steps", self.declare)

    def declare(self, request: Request) -> Response:
        """`POST /v1/steps`."""
        declaration = _parse_declaration(request)
        return _answer(request, self._samples.declare(declaration), success_status=201)

    def status(self, request: Request, step: str) -> Response:
        """`GET /v1/steps/{step}`."""
        return _answer(request, self._samples.status(step))

    def pull(self, request: Request, step: str) -> Response:
        """`GET /v1/steps/{step}/samples?cursor=&limit=&wait_s=`."""
        cursor = parse_integer("query parameter cursor", request.query("cursor") or "0")
        limit = parse_integer("query parameter limit", request.query("limit") or str(DEFAULT_LIMIT))
        wait_s = min(request.query_number("wait_s", 0.0), MAXIMUM_WAIT_S)
        if wait_s and not self._context.move_to(request, ThreadShare.LONG_POLL):
            return refuse(request, self._context.share_full(ThreadShare.LONG_POLL))
        limit = min(max(1, limit), MAXIMUM_LIMIT)
        return _answer(request, self._pull(request, step, cursor, limit, wait_s))

    def acknowledge(self, request: Request, step: str) -> Response:
        """`POST /v1/steps/{step}/acknowledge`."""
        acknowledgement = _decode(request.read_body(), Acknowledgement)
        if acknowledgement.cursor < 0:
            raise BadRequestError("cursor: allowed a whole number from 0")
        return _answer(request, self._samples.acknowledge(step, acknowledgement.cursor))

    def cancel(self, request: Request, step: str) -> Response:
        """`DELETE /v1/steps/{step}`."""
        return _answer(request, self._samples.cancel(step))

    def _pull(
        self, request: Request, step: str, cursor: int, limit: int, wait_s: float
    ) -> Result[SampleBatch, StepError]:
        """Wait in slices, so that the wait ends soon when the trainer leaves or the node stops."""
        deadline = self._context.clock.monotonic_s() + wait_s
        while True:
            remaining_s = max(0.0, deadline - self._context.clock.monotonic_s())
            result = self._samples.pull(step, cursor, limit, min(remaining_s, SLICE_S))
            match result:
                case Success(batch) if not (batch.samples or batch.complete):
                    pass
                case _:
                    return result
            if remaining_s <= SLICE_S or self._is_draining() or request.caller_has_left():
                return result


def _parse_declaration(request: Request) -> StepDeclaration:
    """A declaration; its `step_id` may be given as the idempotency key instead."""
    fields = _decode(request.read_body(), dict[str, Any])
    key = request.header(IDEMPOTENCY_KEY)
    if key is not None:
        fields.setdefault("step_id", key)
    try:
        declaration = msgspec.convert(fields, StepDeclaration)
    except msgspec.ValidationError as fault:
        raise BadRequestError(f"body: {fault}") from None
    _check(declaration)
    return declaration


def _check(declaration: StepDeclaration) -> None:
    if not declaration.step_id or "/" in declaration.step_id:
        raise BadRequestError("step_id: allowed one or more characters without slash")
    if not declaration.prompts:
        raise BadRequestError("prompts: found none, allowed one or more")
    for name in ("samples_per_prompt", "max_tokens"):
        if getattr(declaration, name) < 1:
            raise BadRequestError(f"{name}: allowed a whole number from 1")


def _decode(body: bytes, kind: type[Decoded]) -> Decoded:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as fault:
        raise BadRequestError(f"body: {fault}") from None
    except RecursionError:
        raise BadRequestError("body: nested too deeply") from None


def _answer(
    request: Request,
    result: Result[StepStatus, StepError] | Result[SampleBatch, StepError],
    success_status: int = 200,
) -> Response:
    match result:
        case Success(content):
            return json_response(success_status, content)
        case Failure(error):
            return openai_error_response(_problem_of(error), request.request_id)
    raise AssertionError("a result is a success or a failure")


def _problem_of(error: StepError) -> Problem:
    # A step call may be repeated whatever became of it, so what ran is of no matter to a trainer;
    # without a proof it is said to be unknown.
    unavailable = error.kind is StepErrorKind.UNAVAILABLE
    return Problem(
        _STATUS_OF_KIND[error.kind],
        error.kind.value,
        error.detail,
        RunState.UNKNOWN if unavailable else RunState.NOT_RUN,
        error.retry_after_s,
    )
