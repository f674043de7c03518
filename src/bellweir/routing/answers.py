"""Helpers for the bodies of application answers."""

from collections.abc import Callable, Iterator

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    ApplicationAnswer,
    ErrorKind,
    IncompleteBodyError,
    PlatformError,
)

MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
"""Answers up to this declared length are read completely before they are returned, so that a
truncated one can still be retried or refused."""


class TrackedBody(Iterator[bytes]):
    """Body that calls `on_end` once when it is exhausted, fails or is closed."""

    def __init__(self, body: Iterator[bytes], on_end: Callable[[BaseException | None], None]):
        self._body = body
        self._on_end = on_end
        self._ended = False

    def __next__(self) -> bytes:
        try:
            return next(self._body)
        except StopIteration:
            self._finish(None)
            raise
        except BaseException as failure:
            self._finish(failure)
            raise

    def close(self) -> None:
        """Close the body before its end, for example on a client disconnect. Idempotent."""
        if self._ended:
            return
        close_body(self._body)
        self._finish(GeneratorExit())

    def __del__(self) -> None:
        self.close()

    def _finish(self, failure: BaseException | None) -> None:
        if self._ended:
            return
        self._ended = True
        self._on_end(failure)


def close_body(body: Iterator[bytes]) -> None:
    """Close a body if it has a `close` method."""
    close = getattr(body, "close", None)
    if close is not None:
        close()


def declared_length(answer: ApplicationAnswer) -> int | None:
    """Return the answer's `Content-Length`, or None."""
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def read_whole(answer: ApplicationAnswer, limit_bytes: int) -> Result[bytes | None, PlatformError]:
    """Read the whole body; if it exceeds the limit, close it and return None."""
    parts: list[bytes] = []
    size = 0
    try:
        for part in answer.body:
            size += len(part)
            if size > limit_bytes:
                close_body(answer.body)
                return Success(None)
            parts.append(part)
    except IncompleteBodyError as failure:
        return Failure(PlatformError(ErrorKind.UNKNOWN, f"answer cut short: {failure}"))
    return Success(b"".join(parts))


def with_body(answer: ApplicationAnswer, body: Iterator[bytes]) -> ApplicationAnswer:
    """Return a copy of the answer with another body."""
    return ApplicationAnswer(answer.status, answer.headers, body, answer.leaving)
