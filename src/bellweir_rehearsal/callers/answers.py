"""Reads the bodies of a node's answers: completions, streams and refusals."""

import json
from dataclasses import dataclass
from typing import Any

from bellweir_rehearsal.records.model import VersionRange

STREAM_END = b"[DONE]"


class AnswerError(ValueError):
    """An answer is not of the documented shape, or lacks its end marker."""


@dataclass(frozen=True)
class Completion:
    """A whole completion."""

    text: str
    finish_reason: str
    token_count: int | None
    versions: tuple[VersionRange, ...]
    request_id: str | None
    """Request that the answer says it is for."""


@dataclass(frozen=True)
class RefusalBody:
    """What a refusal says."""

    run_state: str | None
    reason: str | None
    detail: str


def read_completion(body: bytes) -> Completion:
    """Read a completion that was not streamed. Raises `AnswerError`."""
    document = _object(body)
    try:
        choice = document["choices"][0]
        return Completion(
            text=choice["text"],
            finish_reason=_finish_reason(choice),
            token_count=(document.get("usage") or {}).get("completion_tokens"),
            versions=_versions(document),
            request_id=_request_id(document),
        )
    except (KeyError, IndexError, TypeError) as failure:
        raise AnswerError(f"completion without {failure}") from failure


def read_stream(body: bytes) -> Completion:
    """Join the frames of a streamed completion. Raises `AnswerError` without an end marker."""
    text = ""
    finish_reason: str | None = None
    token_count: int | None = None
    versions: tuple[VersionRange, ...] = ()
    request_id: str | None = None
    ended = False
    for line in body.split(b"\n"):
        if not line.startswith(b"data:"):
            continue
        payload = line[len(b"data:") :].strip()
        if payload == STREAM_END:
            ended = True
            break
        frame = _object(payload)
        if "error" in frame:
            raise AnswerError(f"stream ended by an error: {frame['error']}")
        for choice in frame.get("choices") or ():
            text += choice.get("text") or ""
            finish_reason = choice.get("finish_reason") or finish_reason
        token_count = (frame.get("usage") or {}).get("completion_tokens", token_count)
        versions = _versions(frame) or versions
        request_id = _request_id(frame) or request_id
    if not ended or finish_reason is None:
        raise AnswerError("stream without its end marker")
    return Completion(text, finish_reason, token_count, versions, request_id)


def read_refusal(body: bytes) -> RefusalBody:
    """Read a problem document (RFC 9457) or an error of the OpenAI shape; never raises."""
    try:
        document = _object(body)
    except AnswerError:
        return RefusalBody(None, None, body[:200].decode(errors="replace"))
    inner = document.get("error")
    fields = document | inner if isinstance(inner, dict) else document
    reason = fields.get("code") or fields.get("type")
    detail = fields.get("detail") or fields.get("message") or fields.get("title") or ""
    run_state = fields.get("run_state")
    return RefusalBody(
        run_state if isinstance(run_state, str) else None,
        str(reason).rsplit("/", 1)[-1] if reason is not None else None,
        str(detail),
    )


def _finish_reason(choice: dict[str, Any]) -> str:
    reason = choice["finish_reason"]
    if not isinstance(reason, str):
        raise AnswerError("completion without a finish reason")
    return reason


def _request_id(document: dict[str, Any]) -> str | None:
    found = (document.get("bellweir") or {}).get("request_id")
    return found if isinstance(found, str) else None


def _versions(document: dict[str, Any]) -> tuple[VersionRange, ...]:
    choices: list[dict[str, Any]] = (document.get("bellweir") or {}).get("choices") or []
    segments = choices[0].get("segments") or () if choices else ()
    return tuple(
        VersionRange(entry["weight_version"], entry["first_token"], entry["token_count"])
        for entry in segments
    )


def _object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError as failure:
        raise AnswerError(f"no JSON: {body[:200]!r}") from failure
    if not isinstance(document, dict):
        raise AnswerError("no JSON object")
    return document
