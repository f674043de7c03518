"""Client of an application worker; wire format in docs/PLATFORM.md."""

import functools
import http.client
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from bellweir.clients.answers import decode_answer, parse_retry_after_s
from bellweir.clients.interface import (
    Application,
    ApplicationAnswer,
    ApplicationCall,
    ApplicationState,
    ErrorKind,
    IncompleteBodyError,
    PlatformError,
)
from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import ConnectionPool, HttpCall

ATTEMPT_HEADER = "X-Attempt-Id"
"""Names the attempt, for the worker's log."""
NOT_RUN_HEADER = "X-Not-Run"
"""On a 503: the worker has run nothing of the request, and why: `leaving` or `overloaded`."""
LEAVING_HEADER = "X-Leaving"
"""On any answer: the worker is leaving."""
STATE_PATH = "/-/state"
STATUS_UNAVAILABLE = 503
FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")
"""Set by the client itself from the body; a second framing could split a request in two."""
LIST_SEPARATOR = ", "
"""Joins the values of a repeated header (RFC 9110, section 5.3)."""
COOKIE_SEPARATOR = "; "
"""Joins the values of repeated cookies (RFC 9113, section 8.2.3)."""

_REFUSALS = {"leaving": ErrorKind.LEAVING, "overloaded": ErrorKind.OVERLOADED}


class HttpApplication(Application):
    """Speaks to one application worker over a pool of connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def send(self, call: ApplicationCall) -> Result[ApplicationAnswer, PlatformError]:
        """Send one attempt, once; the body of the answer streams under the call's time-out."""
        headers = _request_headers(call)
        body = call.body if call.body_length != 0 else None
        sent = HttpCall(call.method, call.path, call.timeout_s, headers)
        return self._pool.open(sent, body).bind(_answered)

    def read_ready(self, timeout_s: float) -> Result[ApplicationState, PlatformError]:
        """Read the worker's own report."""
        answer = self._pool.call_repeatable(HttpCall("GET", STATE_PATH, timeout_s))
        return answer.bind(lambda found: decode_answer(found, ApplicationState))


def _request_headers(call: ApplicationCall) -> dict[str, str]:
    merged: dict[str, str] = {}
    for name, value in call.headers:
        key = _canonical(name)
        separator = COOKIE_SEPARATOR if key == "Cookie" else LIST_SEPARATOR
        merged[key] = f"{merged[key]}{separator}{value}" if key in merged else value
    for name in FRAMING_HEADERS:
        merged.pop(name, None)
    merged[ATTEMPT_HEADER] = call.attempt_id
    if call.body_length:
        merged["Content-Length"] = str(call.body_length)
    return merged


@functools.lru_cache(maxsize=1024)
def _canonical(name: str) -> str:
    return name.title()


def _answered(answer: OpenAnswer) -> Result[ApplicationAnswer, PlatformError]:
    refused = _refusal(answer)
    if refused is not None:
        answer.drop()
        return Failure(refused)
    headers = tuple(answer.header_pairs())
    leaving = answer.headers.get(LEAVING_HEADER.lower()) is not None
    return Success(ApplicationAnswer(answer.status, headers, _body(answer), leaving))


def _refusal(answer: OpenAnswer) -> PlatformError | None:
    if answer.status != STATUS_UNAVAILABLE:
        return None
    reason = answer.headers.get(NOT_RUN_HEADER.lower())
    if reason is None:
        return None
    kind = _REFUSALS.get(reason, ErrorKind.NOT_RUN)
    detail = f"refused by the worker: {reason}"
    return PlatformError(
        kind, detail, parse_retry_after_s(answer.headers.get("retry-after")), answered=True
    )


def _body(answer: OpenAnswer) -> Iterator[bytes]:
    try:
        yield from answer.read_blocks()
    except (OSError, http.client.HTTPException, ValueError) as failure:
        raise IncompleteBodyError(f"answer cut: {failure!r}") from failure
    finally:
        answer.finish()
