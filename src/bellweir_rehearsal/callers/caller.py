"""A caller: sends requests to the node beside it, goes elsewhere when that is gone, records all."""

import hashlib
import json
import time
import uuid
from dataclasses import dataclass

from bellweir_rehearsal.callers.answers import (
    AnswerError,
    read_completion,
    read_refusal,
    read_stream,
)
from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpAnswer, HttpClient, NotConnectedError
from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import CallEnded, CallKind, CallOutcome, CallSent

ANSWER_MARGIN_S = 5.0
"""A caller waits this much longer than its deadline before it gives up on an answer."""
REPEATS_OF_ONCE = 4
"""Calls that a caller makes for one request not to be repeated, all with the same key."""
REPEAT_PAUSE_S = 0.25
NOT_RUN = "not_run"
ASK_ELSEWHERE = frozenset({"draining", "not_ready"})
"""Reasons of refusals that another node would not give: this one is stopping or starting."""


@dataclass(frozen=True)
class CompletionWish:
    """A completion that a caller wants."""

    policy: str
    prompt: str
    max_tokens: int
    request_class: str
    streamed: bool
    deadline_ms: int
    scheduled_s: float


@dataclass(frozen=True)
class ApplicationWish:
    """An application request that a caller wants to make."""

    pool: str
    path: str
    method: str
    body: bytes
    request_class: str
    idempotency_key: str | None
    deadline_ms: int
    scheduled_s: float


class Caller:
    """One caller beside one node; safe from several threads."""

    def __init__(
        self,
        name: str,
        node: str,
        zone: str,
        directory: NodeDirectory,
        journal: Journal,
        client: HttpClient,
        in_flight: InFlight,
        one_way_delay_s: float = 0.0,
    ) -> None:
        self.name = name
        self._node = node
        self._zone = zone
        self._directory = directory
        self._journal = journal
        self._client = client
        self._in_flight = in_flight
        self._one_way_delay_s = one_way_delay_s

    def complete(self, wish: CompletionWish) -> CallEnded | None:
        """Ask for a completion at the first node that can be reached; None when none can."""
        for address in self._directory.in_order_from(self._node, self._zone):
            ended = self._complete_at(address, wish)
            if not _goes_elsewhere(ended):
                return ended
        return None

    def request(self, wish: ApplicationWish) -> CallEnded | None:
        """Make an application request; one with a key is repeated while its outcome is open.

        Repeats go to one node after the other, so that every node meets keys that it has not
        seen. Returns the last call, None when no node could be reached.
        """
        last: CallEnded | None = None
        calls = REPEATS_OF_ONCE if wish.idempotency_key else 1
        for number in range(calls):
            nodes = self._directory.in_order_from(self._node, self._zone)
            rotated = nodes[number % len(nodes) :] + nodes[: number % len(nodes)] if nodes else ()
            for address in rotated:
                ended = self._request_at(address, wish)
                if not _goes_elsewhere(ended):
                    last = ended
                    break
            if last is not None and last.outcome is CallOutcome.ANSWERED:
                break
            if number + 1 < calls:
                time.sleep(REPEAT_PAUSE_S)
        return last

    def _complete_at(self, address: NodeAddress, wish: CompletionWish) -> CallEnded:
        call_id = f"call-{uuid.uuid4().hex}"
        self._journal.write(
            CallSent(
                time_s=time.time(),
                call_id=call_id,
                caller=self.name,
                node=address.node,
                kind=CallKind.COMPLETION,
                request_class=wish.request_class,
                target=wish.policy,
                prompt=wish.prompt,
                max_tokens=wish.max_tokens,
                streamed=wish.streamed,
                deadline_ms=wish.deadline_ms,
                scheduled_s=wish.scheduled_s,
            )
        )
        document = {
            "model": wish.policy,
            "prompt": wish.prompt,
            "max_tokens": wish.max_tokens,
            "stream": wish.streamed,
        }
        if wish.streamed:
            document["stream_options"] = {"include_usage": True}
        headers = self._headers(call_id, wish.request_class, wish.deadline_ms)
        headers["Content-Type"] = "application/json"
        answer = self._send(
            call_id,
            address,
            "POST",
            "/v1/completions",
            headers,
            json.dumps(document).encode(),
            wish,
        )
        if isinstance(answer, HttpAnswer):
            answer = _read_completion_answer(call_id, answer, wish.streamed)
        self._journal.write(answer)
        return answer

    def _request_at(self, address: NodeAddress, wish: ApplicationWish) -> CallEnded:
        call_id = f"call-{uuid.uuid4().hex}"
        self._journal.write(
            CallSent(
                time_s=time.time(),
                call_id=call_id,
                caller=self.name,
                node=address.node,
                kind=CallKind.APPLICATION,
                request_class=wish.request_class,
                target=f"{wish.pool}{wish.path}",
                method=wish.method,
                idempotency_key=wish.idempotency_key,
                body_sha256=hashlib.sha256(wish.body).hexdigest(),
                deadline_ms=wish.deadline_ms,
                scheduled_s=wish.scheduled_s,
            )
        )
        headers = self._headers(call_id, wish.request_class, wish.deadline_ms)
        if wish.idempotency_key:
            headers["Idempotency-Key"] = wish.idempotency_key
        path = f"/apps/{wish.pool}{wish.path}"
        answer = self._send(call_id, address, wish.method, path, headers, wish.body, wish)
        if isinstance(answer, HttpAnswer):
            answer = _read_application_answer(call_id, answer)
        self._journal.write(answer)
        return answer

    def _headers(self, call_id: str, request_class: str, deadline_ms: int) -> dict[str, str]:
        return {
            "X-Request-Id": call_id,
            "X-Bellweir-Class": request_class,
            "X-Bellweir-Deadline-Ms": str(deadline_ms),
            "X-Bellweir-Caller": self.name,
        }

    def _send(
        self,
        call_id: str,
        address: NodeAddress,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        wish: CompletionWish | ApplicationWish,
    ) -> HttpAnswer | CallEnded:
        time.sleep(self._one_way_delay_s)
        try:
            with self._in_flight.call(address.node):
                answer = self._client.send(
                    address.gateway_address,
                    method,
                    path,
                    headers=headers,
                    body=body,
                    timeout_s=wish.deadline_ms / 1000 + ANSWER_MARGIN_S,
                )
        except NotConnectedError as failure:
            return CallEnded(time.time(), call_id, CallOutcome.NOT_CONNECTED, detail=str(failure))
        except CutError as failure:
            return CallEnded(
                time.time(),
                call_id,
                CallOutcome.CUT,
                status=failure.status,
                detail=str(failure),
                connection_reused=failure.reused,
                timed_out=failure.timed_out,
            )
        time.sleep(self._one_way_delay_s)
        return answer


def _goes_elsewhere(ended: CallEnded) -> bool:
    """Whether a caller asks the next node at once: nothing was sent, or it has not been run."""
    if ended.outcome is CallOutcome.NOT_CONNECTED:
        return True
    return ended.run_state == NOT_RUN and ended.reason in ASK_ELSEWHERE


def _read_completion_answer(call_id: str, answer: HttpAnswer, streamed: bool) -> CallEnded:
    if answer.status != 200:
        return _refused(call_id, answer)
    try:
        completion = (read_stream if streamed else read_completion)(answer.body)
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


def _read_application_answer(call_id: str, answer: HttpAnswer) -> CallEnded:
    if answer.headers.get("content-type", "").startswith("application/problem+json"):
        return _refused(call_id, answer)
    try:
        echoed = json.loads(answer.body)
    except ValueError:
        echoed = {}
    if not isinstance(echoed, dict):
        echoed = {}
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
