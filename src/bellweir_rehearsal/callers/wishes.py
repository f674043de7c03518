"""What callers want: as a record, as an HTTP request, and how its answer reads."""

import hashlib
import json
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

from bellweir_rehearsal.callers.answers import (
    AnswerError,
    read_completion,
    read_refusal,
    read_stream,
)
from bellweir_rehearsal.callers.http import HttpAnswer
from bellweir_rehearsal.records.model import CallEnded, CallKind, CallOutcome, CallSent

STATUS_OK = 200
PROBLEM_TYPE = "application/problem+json"


@dataclass(frozen=True)
class HttpCall:
    """A request for a node's HTTP interface; headers that all calls bear are not in it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Wish(ABC):
    """One thing that a caller wants; it may take several calls to get it."""

    request_class: str
    deadline_ms: int
    scheduled_s: float
    """When it was due, seconds since 1970 UTC."""

    @abstractmethod
    def record(self, call_id: str, caller: str, node: str) -> CallSent:
        """The record of a call for it that is about to be sent."""

    @abstractmethod
    def http_call(self) -> HttpCall:
        """The call as an HTTP request."""

    @abstractmethod
    def read(self, call_id: str, answer: HttpAnswer) -> CallEnded:
        """What a whole HTTP answer says."""


@dataclass(frozen=True, kw_only=True)
class CompletionWish(Wish):
    """A completion that a caller wants."""

    policy: str
    prompt: str
    max_tokens: int
    streamed: bool

    def record(self, call_id: str, caller: str, node: str) -> CallSent:
        """The record of a call for it that is about to be sent."""
        return CallSent(
            time_s=time.time(),
            call_id=call_id,
            caller=caller,
            node=node,
            kind=CallKind.COMPLETION,
            request_class=self.request_class,
            target=self.policy,
            prompt=self.prompt,
            max_tokens=self.max_tokens,
            streamed=self.streamed,
            deadline_ms=self.deadline_ms,
            scheduled_s=self.scheduled_s,
        )

    def http_call(self) -> HttpCall:
        """The call as an HTTP request."""
        document = {
            "model": self.policy,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": self.streamed,
        }
        if self.streamed:
            document["stream_options"] = {"include_usage": True}
        headers = {"Content-Type": "application/json"}
        return HttpCall("POST", "/v1/completions", headers, json.dumps(document).encode())

    def read(self, call_id: str, answer: HttpAnswer) -> CallEnded:
        """What a whole HTTP answer says; a stream without its end marker is cut."""
        if answer.status != STATUS_OK:
            return _refused(call_id, answer)
        try:
            completion = (read_stream if self.streamed else read_completion)(answer.body)
        except AnswerError as failure:
            return CallEnded(
                time.time(),
                call_id,
                CallOutcome.CUT,
                status=answer.status,
                detail=str(failure),
                connection_reused=answer.reused,
            )
        return CallEnded(
            time.time(),
            call_id,
            CallOutcome.ANSWERED,
            status=answer.status,
            text=completion.text,
            finish_reason=completion.finish_reason,
            token_count=completion.token_count,
            versions=completion.versions,
            answer_request_id=completion.request_id,
            connection_reused=answer.reused,
            first_byte_s=answer.first_byte_s,
        )


@dataclass(frozen=True, kw_only=True)
class ApplicationWish(Wish):
    """An application request that a caller wants to make."""

    pool: str
    path: str
    method: str
    body: bytes
    idempotency_key: str | None

    def record(self, call_id: str, caller: str, node: str) -> CallSent:
        """The record of a call for it that is about to be sent."""
        return CallSent(
            time_s=time.time(),
            call_id=call_id,
            caller=caller,
            node=node,
            kind=CallKind.APPLICATION,
            request_class=self.request_class,
            target=f"{self.pool}{self.path}",
            method=self.method,
            idempotency_key=self.idempotency_key,
            body_sha256=hashlib.sha256(self.body).hexdigest(),
            deadline_ms=self.deadline_ms,
            scheduled_s=self.scheduled_s,
        )

    def http_call(self) -> HttpCall:
        """The call as an HTTP request."""
        headers = {"Idempotency-Key": self.idempotency_key} if self.idempotency_key else {}
        return HttpCall(self.method, f"/apps/{self.pool}{self.path}", headers, self.body)

    def read(self, call_id: str, answer: HttpAnswer) -> CallEnded:
        """What a whole HTTP answer says: a refusal of the node, or what the worker ran."""
        if answer.headers.get("content-type", "").startswith(PROBLEM_TYPE):
            return _refused(call_id, answer)
        echoed = _echo(answer.body)
        return CallEnded(
            time.time(),
            call_id,
            CallOutcome.ANSWERED,
            status=answer.status,
            detail="" if echoed else answer.body[:200].decode(errors="replace"),
            answer_method=echoed.get("method"),
            answer_target=f"{echoed.get('path')}?{echoed.get('query')}" if echoed else None,
            answer_body_sha256=echoed.get("body_sha256"),
            answer_run_id=echoed.get("attempt_id"),
            connection_reused=answer.reused,
            first_byte_s=answer.first_byte_s,
        )


def _echo(body: bytes) -> dict[str, str]:
    """What the application stand-in says it ran; empty when the body is something else."""
    try:
        echoed = json.loads(body)
    except ValueError:
        return {}
    return echoed if isinstance(echoed, dict) else {}


def _refused(call_id: str, answer: HttpAnswer) -> CallEnded:
    refusal = read_refusal(answer.body)
    return CallEnded(
        time.time(),
        call_id,
        CallOutcome.REFUSED,
        status=answer.status,
        run_state=refusal.run_state,
        reason=refusal.reason,
        detail=refusal.detail,
        connection_reused=answer.reused,
    )
