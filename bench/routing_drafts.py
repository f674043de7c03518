"""The draft load of `routing_priority.py`: a second node that fills every engine with drafts."""

import json
import os
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from routing_support import RoutingNode, Standin, generation_request, running_node

from bellweir.resources.models import BackendKind, RequestClass

DRAFT_TOKENS = 256
CALLERS_OF_ENGINE = 72
"""A few more than an engine runs at once, so that drafts alone fill it."""
COUNT_PERIOD_S = 0.25
RETRY_S = 1.0


class DraftLoad:
    """Callers that ask for one draft after the other."""

    def __init__(self, node: RoutingNode) -> None:
        self._node = node
        self.tokens = 0

    def call(self, caller: int) -> None:
        """Ask for drafts until the process ends."""
        number = caller * 1_000_000
        while True:
            number += 1
            prompt = f"item number {number} of " + "a long description of one item among many, " * 6
            request = generation_request(number, prompt, DRAFT_TOKENS, RequestClass.DRAFT)
            generation = self._node.dispatcher.generate(request).value_or(None)
            if generation is None:
                time.sleep(RETRY_S)
                continue
            for chunk in generation:
                self.tokens += len(chunk.unwrap().tokens)


def main() -> None:
    """Run until the parent ends this process."""
    parent_address, engines_json, ready, count = sys.argv[1:5]
    engines = [Standin(name, address) for name, address in json.loads(engines_json)]
    callers = CALLERS_OF_ENGINE * len(engines)
    limits = {RequestClass.DRAFT: {"concurrency": callers, "queue": 0, "timeout_s": 600}}
    peers = {"callers": parent_address}
    with running_node(
        BackendKind.ENGINE, engines, {"limits": limits}, None, "drafts", peers
    ) as node:
        write(Path(ready), {"address": node.kernel.listeners.peer_address})
        load = DraftLoad(node)
        pool = ThreadPoolExecutor(callers)
        for caller in range(callers):
            pool.submit(load.call, caller)
        while True:
            write(Path(count), {"at_s": time.monotonic(), "tokens": load.tokens})
            threading.Event().wait(COUNT_PERIOD_S)


def write(path: Path, told: dict[str, object]) -> None:
    """Write JSON, whole at once."""
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps(told))
    os.replace(partial, path)


if __name__ == "__main__":
    main()
