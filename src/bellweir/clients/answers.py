"""Reading of answers that are common to the platform's JSON services."""

import math
from collections.abc import Mapping
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.clients.interface import ErrorKind, PlatformError
from bellweir.clients.pool import HttpAnswer

Decoded = TypeVar("Decoded")

STATUS_OK = 200
MAXIMUM_RETRY_AFTER_S = 3600.0
"""A longer wait asked for by an outside system counts as this one."""


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    error: str
    """Value of an `ErrorKind`."""
    detail: str = ""


class MalformedJsonError(ValueError):
    """Bytes that are not JSON of the expected shape."""


def decode_json(data: bytes, expected: type[Decoded]) -> Decoded:
    """Decode JSON from outside; raises `MalformedJsonError` whatever is wrong with it."""
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as failure:
        raise MalformedJsonError(str(failure)) from failure


def decode_answer(
    answer: HttpAnswer, expected: type[Decoded], *, writes: bool = False
) -> Result[Decoded, PlatformError]:
    """Decode a 200 answer into `expected`; another status becomes its error.

    An answer that cannot be understood leaves it open whether a call that `writes` has run.
    """
    if answer.status != STATUS_OK:
        return Failure(refusal(answer.status, answer.headers, answer.body))
    try:
        return Success(decode_json(answer.body, expected))
    except MalformedJsonError as failure:
        kind = ErrorKind.UNKNOWN if writes else ErrorKind.INVALID
        return Failure(PlatformError(kind, f"answer not understood: {failure}"))


def refusal(status: int, headers: Mapping[str, str], body: bytes) -> PlatformError:
    """Return the error that an answer other than 200 stands for; headers by lower-case name.

    Only a refusal in the agreed form proves anything: a bare 500 may come after an effect.
    """
    retry_after_s = parse_retry_after_s(headers.get("retry-after"))
    try:
        parsed = decode_json(body, ErrorBody)
        return PlatformError(ErrorKind(parsed.error), parsed.detail, retry_after_s, answered=True)
    except ValueError:
        return PlatformError(ErrorKind.UNKNOWN, f"HTTP status {status}", retry_after_s)


def parse_retry_after_s(value: str | None) -> float | None:
    """Return the seconds that a `Retry-After` header gives, within bounds; None for anything else.

    The form with a date is not read: no service of ours sends it.
    """
    try:
        seconds = float(value or "")
    except ValueError:
        return None
    return min(max(0.0, seconds), MAXIMUM_RETRY_AFTER_S) if math.isfinite(seconds) else None
