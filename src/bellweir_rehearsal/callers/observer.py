"""Asks every node now and then which configuration it has in force, and records the answers."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any

from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpClient, NotConnectedError
from bellweir_rehearsal.callers.operator import PLURALS, RESOURCE_PATH
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import ConfigurationSeen

OBSERVED_KINDS = ("Policy", "WeightVersion", "Pool")
READ_TIMEOUT_S = 3.0


class ConfigurationObserver:
    """Polls the resource lists of all nodes."""

    def __init__(
        self,
        directory: NodeDirectory,
        journal: Journal,
        client: HttpClient,
        incarnation_of: Callable[[str], int],
        period_s: float = 0.25,
    ) -> None:
        self._directory = directory
        self._journal = journal
        self._client = client
        self._incarnation_of = incarnation_of
        self._period_s = period_s

    def run(self, stop: threading.Event, node: str) -> None:
        """Poll one node until `stop` is set; a node that can't be reached is left out."""
        while not stop.wait(self._period_s):
            address = self._directory.find(node)
            if address is not None:
                self.observe(address)

    def observe(self, address: NodeAddress) -> ConfigurationSeen | None:
        """Ask one node once; None when it gave no whole answer."""
        asked_s = time.time()
        incarnation = self._incarnation_of(address.node)
        try:
            lists = [self._read(address, kind) for kind in OBSERVED_KINDS]
        except (NotConnectedError, CutError, ValueError, KeyError):
            return None
        objects: dict[str, int] = {}
        for kind, listing in zip(OBSERVED_KINDS, lists, strict=True):
            for item in listing["items"]:
                metadata = item["metadata"]
                objects[f"{kind}/{metadata['name']}"] = int(metadata["resourceVersion"])
        # Lists are read one after the other: the first one's revision holds for all of them.
        revision = int(lists[0]["metadata"]["resourceVersion"])
        seen = ConfigurationSeen(time.time(), address.node, incarnation, revision, asked_s, objects)
        self._journal.write(seen)
        return seen

    def _read(self, address: NodeAddress, kind: str) -> dict[str, Any]:
        path = f"{RESOURCE_PATH}/{PLURALS[kind]}"
        answer = self._client.send(address.gateway_address, "GET", path, timeout_s=READ_TIMEOUT_S)
        if answer.status != 200:
            raise ValueError(f"{path}: {answer.status}")
        document = json.loads(answer.body)
        if not isinstance(document, dict):
            raise ValueError(f"{path}: no object")
        return document
