"""Client of the trainers' interface: any node serves it."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpAnswer, HttpClient, NotConnectedError

CALL_TIMEOUT_S = 10.0


class StepCallError(RuntimeError):
    """A node refused a call about a step, or gave no whole answer; the call may be repeated."""

    def __init__(self, detail: str, status: int | None = None) -> None:
        super().__init__(detail)
        self.status = status


class ReceivedSegment(msgspec.Struct, frozen=True):
    """A segment of a sample as received."""

    weight_version: int
    first_token: int
    token_count: int


class ReceivedSample(msgspec.Struct, frozen=True):
    """A sample as received."""

    sample_id: str
    step_id: str
    slot: int
    prompt_index: int
    prompt: str
    text: str
    tokens: tuple[int, ...]
    segments: tuple[ReceivedSegment, ...]
    score: float | None = None


class ReceivedBatch(msgspec.Struct, frozen=True):
    """An answer to a pull."""

    samples: tuple[ReceivedSample, ...]
    cursor: int
    complete: bool


@dataclass(frozen=True)
class StepWish:
    """A step to declare."""

    step_id: str
    policy: str
    prompts: tuple[str, ...]
    samples_per_prompt: int
    max_tokens: int
    minimum_version: int | None
    staleness_bound_versions: int | None
    staleness_bound_s: float | None
    deadline_s: float | None
    scorer: str | None

    @property
    def slots(self) -> int:
        """Samples that the step asks for."""
        return len(self.prompts) * self.samples_per_prompt


class StepClient:
    """Calls about steps, each to the node given."""

    def __init__(self, client: HttpClient, directory: NodeDirectory) -> None:
        self._client = client
        self._directory = directory

    def nodes(self) -> tuple[NodeAddress, ...]:
        """Nodes that may be called."""
        return self._directory.all_nodes()

    def declare(self, node: NodeAddress, wish: StepWish) -> Mapping[str, Any]:
        """Declare a step; declaring it again is no error. Raises `StepCallError`."""
        document = {
            "step_id": wish.step_id,
            "policy": wish.policy,
            "prompts": list(wish.prompts),
            "samples_per_prompt": wish.samples_per_prompt,
            "max_tokens": wish.max_tokens,
            "minimum_version": wish.minimum_version,
            "staleness_bound_versions": wish.staleness_bound_versions,
            "staleness_bound_s": wish.staleness_bound_s,
            "deadline_s": wish.deadline_s,
            "scorer": wish.scorer,
        }
        return _json(self._send(node, "POST", "/v1/steps", document))

    def pull(
        self, node: NodeAddress, step_id: str, cursor: int, limit: int, wait_s: float
    ) -> ReceivedBatch:
        """Pull the samples after a cursor. Raises `StepCallError`."""
        path = f"/v1/steps/{quote(step_id, safe='')}/samples"
        answer = self._send(node, "GET", f"{path}?cursor={cursor}&limit={limit}&wait_s={wait_s:g}")
        try:
            return msgspec.json.decode(answer.body, type=ReceivedBatch)
        except msgspec.MsgspecError as failure:
            raise StepCallError(f"{path}: {failure}") from failure

    def acknowledge(self, node: NodeAddress, step_id: str, cursor: int) -> Mapping[str, Any]:
        """Take everything before a cursor. Raises `StepCallError`."""
        path = f"/v1/steps/{quote(step_id, safe='')}/acknowledge"
        return _json(self._send(node, "POST", path, {"cursor": cursor}))

    def status(self, node: NodeAddress, step_id: str) -> Mapping[str, Any]:
        """Progress of a step. Raises `StepCallError`."""
        return _json(self._send(node, "GET", f"/v1/steps/{quote(step_id, safe='')}"))

    def _send(
        self, node: NodeAddress, method: str, path: str, document: object | None = None
    ) -> HttpAnswer:
        body = None if document is None else json.dumps(document).encode()
        headers = {} if body is None else {"Content-Type": "application/json"}
        try:
            answer = self._client.send(
                node.gateway_address,
                method,
                path,
                headers=headers,
                body=body,
                timeout_s=CALL_TIMEOUT_S,
            )
        except (NotConnectedError, CutError) as failure:
            raise StepCallError(f"{path}: {failure}") from failure
        if answer.status not in (200, 201, 202):
            text = answer.body[:300].decode(errors="replace")
            raise StepCallError(f"{path}: {answer.status} {text}", answer.status)
        return answer


def _json(answer: HttpAnswer) -> Mapping[str, Any]:
    try:
        document = json.loads(answer.body)
    except ValueError as failure:
        raise StepCallError(f"no JSON: {answer.body[:100]!r}") from failure
    return document if isinstance(document, dict) else {}
