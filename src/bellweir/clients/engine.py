"""Client of a model engine; wire format in docs/PLATFORM.md."""

import http.client
from collections.abc import Iterator

import msgspec
from returns.result import Failure, Result, Success

from bellweir.clients.answers import STATUS_OK, ErrorBody, decode_answer, decode_json, refusal
from bellweir.clients.interface import (
    CacheEventBatch,
    Engine,
    EngineOrder,
    EngineState,
    EngineStream,
    ErrorKind,
    GenerationCall,
    PlatformError,
    TokenChunk,
)
from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import ConnectionPool, HttpCall

JSON_HEADERS = {"Content-Type": "application/json"}
ACCEPT_TIMEOUT_S = 5.0
"""Time for an engine to accept or refuse an attempt; it does so before it generates."""


class StreamLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a stream: a chunk, an error, or neither as a heartbeat."""

    chunk: TokenChunk | None = None
    error: ErrorBody | None = None


class Cancellation(msgspec.Struct, frozen=True):
    """Names an attempt to cancel."""

    attempt_id: str


class CancellationAnswer(msgspec.Struct, frozen=True):
    """Whether the attempt was running or waiting."""

    found: bool


class HttpEngine(Engine):
    """Speaks to one engine over a pool of connections."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    def generate(self, call: GenerationCall) -> Result[EngineStream, PlatformError]:
        """Start an attempt; the engine answers with headers once it has accepted it."""
        body = msgspec.json.encode(call)
        timeout_s = min(ACCEPT_TIMEOUT_S, call.silence_s)
        sent = HttpCall("POST", "/generate", timeout_s, JSON_HEADERS, body)
        opened = self._pool.open(sent, body)
        return opened.bind(lambda answer: _accepted(answer, call.silence_s))

    def cancel(self, attempt_id: str) -> Result[None, PlatformError]:
        """Cancel an attempt; harmless when repeated."""
        body = msgspec.json.encode(Cancellation(attempt_id))
        answer = self._pool.call_repeatable(
            HttpCall("POST", "/cancel", self._timeout_s, JSON_HEADERS, body)
        )
        decoded = answer.bind(lambda found: decode_answer(found, CancellationAnswer))
        return decoded.map(lambda _: None)

    def read_state(self, timeout_s: float) -> Result[EngineState, PlatformError]:
        """Read the engine's report."""
        answer = self._pool.call_repeatable(HttpCall("GET", "/state", timeout_s))
        return answer.bind(lambda found: decode_answer(found, EngineState))

    def read_cache_events(self, after_sequence: int) -> Result[CacheEventBatch, PlatformError]:
        """Read cache events after a sequence number."""
        path = f"/cache-events?after={after_sequence}"
        answer = self._pool.call_repeatable(HttpCall("GET", path, self._timeout_s))
        return answer.bind(lambda found: decode_answer(found, CacheEventBatch))

    def order(self, order: EngineOrder) -> Result[EngineState, PlatformError]:
        """Send an order; the same order may be sent again, since its fence makes it idempotent."""
        body = msgspec.json.encode(order)
        answer = self._pool.call_repeatable(
            HttpCall("POST", "/order", self._timeout_s, JSON_HEADERS, body)
        )
        return answer.bind(lambda found: decode_answer(found, EngineState))


class HttpEngineStream(EngineStream):
    """The chunks of one attempt."""

    def __init__(self, answer: OpenAnswer, silence_s: float) -> None:
        self._answer = answer
        self._silence_s = silence_s

    def __iter__(self) -> Iterator[Result[TokenChunk, PlatformError]]:
        """Yield chunks up to the one with a finish reason, or an error."""
        try:
            yield from self._chunks()
        except (OSError, http.client.HTTPException, ValueError) as failure:
            yield Failure(PlatformError(ErrorKind.UNKNOWN, f"stream cut: {failure!r}"))
        finally:
            self._answer.finish()

    def _chunks(self) -> Iterator[Result[TokenChunk, PlatformError]]:
        self._answer.set_timeout(self._silence_s)
        for line in self._answer.read_lines():
            self._answer.set_timeout(self._silence_s)
            parsed = decode_json(line, StreamLine)
            if parsed.error is not None:
                kind = ErrorKind(parsed.error.error)
                yield Failure(PlatformError(kind, parsed.error.detail, answered=True))
                return
            if parsed.chunk is not None:
                yield Success(parsed.chunk)
                if parsed.chunk.finish_reason is not None:
                    return
        yield Failure(PlatformError(ErrorKind.UNKNOWN, "stream ended without a finish reason"))

    def close(self) -> None:
        """Drop the connection; the engine cancels the attempt when it notices."""
        self._answer.drop()


def _accepted(answer: OpenAnswer, silence_s: float) -> Result[EngineStream, PlatformError]:
    if answer.status == STATUS_OK:
        return Success(HttpEngineStream(answer, silence_s))
    try:
        body = answer.read_all()
    except (OSError, http.client.HTTPException, ValueError) as failure:
        answer.drop()
        return Failure(PlatformError(ErrorKind.UNKNOWN, f"refusal cut: {failure!r}"))
    refused = refusal(answer.status, answer.headers, body)
    answer.finish()
    return Failure(refused)
