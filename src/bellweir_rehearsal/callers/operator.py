"""An operator: writes resources through nodes' resource API by compare-and-set and records it."""

import json
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bellweir_rehearsal.callers.answers import read_refusal
from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpAnswer, HttpClient, NotConnectedError
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import WriteAccepted, WriteFailed

RESOURCE_PATH = "/apis/bellweir.dev/v1"
PLURALS = {
    "Policy": "policies",
    "WeightVersion": "weightversions",
    "Pool": "pools",
    "Comparison": "comparisons",
}
WRITE_TIMEOUT_S = 15.0
MARK_LABEL = "changed-by"


class OperatorError(RuntimeError):
    """No node accepted a write in time."""


@dataclass(frozen=True)
class Publication:
    """The weight version that a write publishes."""

    policy: str
    version: int


@dataclass(frozen=True)
class WriteOutcome:
    """What became of one write."""

    accepted: bool
    conflict: bool
    revision: int | None
    detail: str


class Operator:
    """One operator; each write goes to one node, or to the next one when that can't be reached."""

    def __init__(
        self, name: str, directory: NodeDirectory, journal: Journal, client: HttpClient
    ) -> None:
        self.name = name
        self._directory = directory
        self._journal = journal
        self._client = client

    def apply(
        self,
        document: Mapping[str, Any],
        *,
        publication: Publication | None = None,
        timeout_s: float = 30.0,
    ) -> int:
        """Create or replace a resource, again on conflicts, until accepted; return its revision.

        Raises `OperatorError` when no node accepted it in time.
        """
        deadline = time.monotonic() + timeout_s
        detail = "no node to be reached"
        while time.monotonic() < deadline:
            for address in self._directory.all_nodes():
                outcome = self.write(address, document, publication)
                if outcome.accepted and outcome.revision is not None:
                    return outcome.revision
                detail = outcome.detail
            time.sleep(0.2)
        raise OperatorError(f"{document['kind']}/{document['metadata']['name']}: {detail}")

    def write(
        self,
        address: NodeAddress,
        document: Mapping[str, Any],
        publication: Publication | None = None,
    ) -> WriteOutcome:
        """Create the resource, or replace the version that this node holds, in one try."""
        kind, name = document["kind"], document["metadata"]["name"]
        try:
            current = self.read(address, kind, name)
        except (NotConnectedError, CutError) as failure:
            return WriteOutcome(False, False, None, str(failure))
        return self._write(address, document, current, publication)

    def _write(
        self,
        address: NodeAddress,
        document: Mapping[str, Any],
        current: dict[str, Any] | None,
        publication: Publication | None,
        mark: str | None = None,
    ) -> WriteOutcome:
        kind, name = document["kind"], document["metadata"]["name"]
        sent_s = time.time()
        try:
            answer = self._put(address, document, current)
        except NotConnectedError as failure:
            return WriteOutcome(False, False, None, str(failure))
        except CutError as failure:
            return self._failed(address, kind, name, None, str(failure), unknown=True, mark=mark)
        if answer.status not in (200, 201):
            text = answer.body[:500].decode(errors="replace")
            unknown = read_refusal(answer.body).run_state == "unknown"
            return self._failed(
                address, kind, name, answer.status, text, unknown=unknown, mark=mark
            )
        revision = int(json.loads(answer.body)["metadata"]["resourceVersion"])
        self._journal.write(
            WriteAccepted(
                time.time(),
                self.name,
                address.node,
                kind,
                name,
                revision,
                sent_s,
                published_policy=publication.policy if publication else None,
                published_version=publication.version if publication else None,
            )
        )
        return WriteOutcome(True, False, revision, "")

    def mark(self, address: NodeAddress, kind: str, name: str) -> WriteOutcome:
        """Put a label of its own on a resource, by compare-and-set, in one try.

        Nothing else changes, and the store's log tells by the label whether it took effect.
        """
        mark = f"{self.name}-{uuid.uuid4().hex}"
        try:
            current = self.read(address, kind, name)
        except (NotConnectedError, CutError) as failure:
            return WriteOutcome(False, False, None, str(failure))
        if current is None:
            return WriteOutcome(False, False, None, f"no {kind} {name}")
        metadata = dict(current["metadata"])
        metadata["labels"] = dict(metadata.get("labels") or {}) | {MARK_LABEL: mark}
        return self._write(address, current | {"metadata": metadata}, current, None, mark)

    def read(self, address: NodeAddress, kind: str, name: str) -> dict[str, Any] | None:
        """A resource as the node holds it; None when there is none.

        Raises `NotConnectedError` or `CutError`.
        """
        path = f"{RESOURCE_PATH}/{PLURALS[kind]}/{name}"
        answer = self._client.send(address.gateway_address, "GET", path, timeout_s=WRITE_TIMEOUT_S)
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise CutError(f"{path}: {answer.status}", reused=answer.reused, status=answer.status)
        document = json.loads(answer.body)
        return document if isinstance(document, dict) else None

    def _put(
        self,
        address: NodeAddress,
        document: Mapping[str, Any],
        current: dict[str, Any] | None,
    ) -> HttpAnswer:
        path = f"{RESOURCE_PATH}/{PLURALS[document['kind']]}"
        method = "POST"
        sent = dict(document)
        if current is not None:
            method = "PUT"
            path = f"{path}/{document['metadata']['name']}"
            version = current["metadata"]["resourceVersion"]
            sent["metadata"] = dict(document["metadata"]) | {"resourceVersion": version}
        return self._client.send(
            address.gateway_address,
            method,
            path,
            headers={"Content-Type": "application/json"},
            body=json.dumps(sent).encode(),
            timeout_s=WRITE_TIMEOUT_S,
        )

    def _failed(
        self,
        address: NodeAddress,
        kind: str,
        name: str,
        status: int | None,
        detail: str,
        *,
        unknown: bool,
        mark: str | None,
    ) -> WriteOutcome:
        self._journal.write(
            WriteFailed(
                time.time(),
                self.name,
                address.node,
                kind,
                name,
                status,
                detail,
                unknown=unknown,
                mark=mark,
            )
        )
        return WriteOutcome(False, status == 409, None, detail)
