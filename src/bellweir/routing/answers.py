"""Answers of application workers on their way to the caller."""

from collections.abc import Callable, Iterator

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    ApplicationAnswer,
    ErrorKind,
    IncompleteBodyError,
    PlatformError,
)

MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
"""Answers up to this declared length are read whole before their status is passed on, so that
one cut short can still be retried or refused."""


class TrackedBody(Iterator[bytes]):
    """A body that gives back what its request holds when it ends, fails or is closed."""

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
        """End it early, as when the caller has gone away; closing twice is no error."""
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
    """Close a body that can be closed."""
    close = getattr(body, "close", None)
    if close is not None:
        close()


def declared_length(answer: ApplicationAnswer) -> int | None:
    """The answer's `Content-Length`; None when it has none."""
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def read_whole(answer: ApplicationAnswer, limit_bytes: int) -> Result[bytes | None, PlatformError]:
    """Read the whole body; None when it is longer than the limit, which closes it."""
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
    """The same answer with another body."""
    return ApplicationAnswer(answer.status, answer.headers, body, answer.leaving)
