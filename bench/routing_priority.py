"""Interactive latency with and without drafts that alone fill every engine.

Run: `PYTHONPATH=src python bench/routing_priority.py [engines] [seconds of each phase]
[share of the batch for drafts]`.
Interactive callers ask one after the other; a generation's time runs to its last token.
"""

import json
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from routing_support import (
    RoutingNode,
    Standin,
    await_file,
    generation_request,
    quantile,
    running_node,
    running_standins,
)

from bellweir.resources.models import BackendKind, RequestClass
from bellweir.routing.backend import RECENT_INTERACTIVE_WINDOW_S
from bellweir.settings.models import RoutingSettings

INTERACTIVE_CALLERS = 6
INTERACTIVE_TOKENS = 32
MAXIMUM_BATCH = 64
PROMPT = "item number {} of " + "a long description of one item among many, " * 6
SETTLE_S = 4.0


def interactive_times(node: RoutingNode, seconds: float) -> tuple[list[float], list[float]]:
    """Return sorted times to the first and to the last token."""
    firsts: list[float] = []
    lasts: list[float] = []
    end_s = time.monotonic() + seconds

    def call(caller: int) -> None:
        number = caller * 1_000_000
        while time.monotonic() < end_s:
            number += 1
            request = generation_request(
                number, PROMPT.format(number), INTERACTIVE_TOKENS, RequestClass.INTERACTIVE
            )
            began_s = time.monotonic()
            chunks = iter(node.dispatcher.generate(request).unwrap())
            next(chunks).unwrap()
            firsts.append(time.monotonic() - began_s)
            for chunk in chunks:
                chunk.unwrap()
            lasts.append(time.monotonic() - began_s)

    with ThreadPoolExecutor(INTERACTIVE_CALLERS) as pool:
        for finished in [pool.submit(call, caller) for caller in range(INTERACTIVE_CALLERS)]:
            finished.result()
    return sorted(firsts), sorted(lasts)


class DraftNode:
    """A second node in a process of its own, whose drafts fill every engine."""

    def __init__(self, folder: Path, parent_address: str, standins: list[Standin]) -> None:
        self._ready = folder / "drafts.json"
        self._count = folder / "tokens.json"
        engines = json.dumps([[standin.name, standin.address] for standin in standins])
        script = str(Path(__file__).with_name("routing_drafts.py"))
        files = [str(self._ready), str(self._count)]
        command = [sys.executable, script, parent_address, engines, *files]
        self._process = subprocess.Popen(command)

    def peer_address(self) -> str:
        """Return its peer address once it is up."""
        return await_file(self._process, self._ready)["address"]

    def tokens(self) -> tuple[float, int]:
        """Return when, and how many tokens it had."""
        told = json.loads(self._count.read_text())
        return told["at_s"], told["tokens"]

    def stop(self) -> None:
        """End it."""
        self._process.terminate()
        self._process.wait()


def report(name: str, firsts: list[float], lasts: list[float]) -> None:
    """Print one line of figures in milliseconds."""
    cells = [f"{name:>12}: {len(lasts):5} requests"]
    for title, values in (("first token", firsts), ("whole", lasts)):
        shares = " ".join(f"p{s:g} {quantile(values, s / 100) * 1000:.0f}" for s in (50, 99))
        cells.append(f"{title} {shares} ms")
    print(", ".join(cells), flush=True)


def rate(drafts: DraftNode, seconds: float) -> float:
    """Return the drafts' tokens a second over some time."""
    first = drafts.tokens()
    time.sleep(seconds)
    last = drafts.tokens()
    return (last[1] - first[1]) / (last[0] - first[0])


def main() -> None:
    """Measure both phases."""
    engines = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 15.0
    routing = RoutingSettings(draft_share=float(sys.argv[3])) if len(sys.argv) > 3 else None
    options: list[dict[str, object]] = [
        {"name": f"engine-{number}", "maximum_batch": MAXIMUM_BATCH} for number in range(engines)
    ]
    peers: dict[str, str] = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        running_standins("engine", options) as standins,
        running_node(BackendKind.ENGINE, standins, {}, routing, "callers", peers) as node,
    ):
        without = interactive_times(node, seconds)
        report("no drafts", *without)
        drafts = DraftNode(Path(folder), node.kernel.listeners.peer_address, standins)
        peers["drafts"] = drafts.peer_address()
        time.sleep(RECENT_INTERACTIVE_WINDOW_S + SETTLE_S)  # engines count as free of callers again
        alone = rate(drafts, SETTLE_S)
        interactive_times(node, SETTLE_S)  # drafts in hand when the callers come must end
        first = drafts.tokens()
        during = interactive_times(node, seconds)
        last = drafts.tokens()
        report("with drafts", *during)
        drafts.stop()
        ratio = quantile(during[1], 0.99) / quantile(without[1], 0.99)
        ratio_first = quantile(during[0], 0.99) / quantile(without[0], 0.99)
        print(f"p99 ratio: whole {ratio:.2f}, first token {ratio_first:.2f}")
        beside = (last[1] - first[1]) / (last[0] - first[0])
        print(f"drafts: {alone:.0f} tokens/s alone, {beside:.0f} beside the callers")


if __name__ == "__main__":
    main()
