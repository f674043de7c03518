"""Reading of answers that are common to the platform's JSON services."""

from collections.abc import Mapping
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.platform.interface import ErrorKind, PlatformError
from bellweir.platform.pool import HttpAnswer

Decoded = TypeVar("Decoded")

STATUS_OK = 200


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    error: str
    """Value of an `ErrorKind`."""
    detail: str = ""


def decode_answer(
    answer: HttpAnswer, expected: type[Decoded], *, writes: bool = False
) -> Result[Decoded, PlatformError]:
    """Decode a 200 answer into `expected`; another status becomes its error.

    An answer that cannot be understood leaves it open whether a call that `writes` has run.
    """
    if answer.status != STATUS_OK:
        return Failure(refusal(answer.status, answer.headers, answer.body))
    try:
        return Success(msgspec.json.decode(answer.body, type=expected))
    except (msgspec.MsgspecError, UnicodeDecodeError) as failure:
        kind = ErrorKind.UNKNOWN if writes else ErrorKind.INVALID
        return Failure(PlatformError(kind, f"answer not understood: {failure}"))


def refusal(status: int, headers: Mapping[str, str], body: bytes) -> PlatformError:
    """Return the error that an answer other than 200 stands for.

    Only a refusal in the agreed form proves anything: a bare 500 may come after an effect.
    """
    retry_after_s = _retry_after_s(headers)
    try:
        parsed = msgspec.json.decode(body, type=ErrorBody)
        return PlatformError(ErrorKind(parsed.error), parsed.detail, retry_after_s, answered=True)
    except (msgspec.MsgspecError, ValueError):
        return PlatformError(ErrorKind.UNKNOWN, f"HTTP status {status}", retry_after_s)


def _retry_after_s(headers: Mapping[str, str]) -> float | None:
    for name, value in headers.items():
        if name.lower() == "retry-after":
            try:
                return max(0.0, float(value))
            except ValueError:
                return None
    return None
