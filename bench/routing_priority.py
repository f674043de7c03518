"""Interactive latency with and without drafts that alone fill every engine.

Run: `PYTHONPATH=src python bench/routing_priority.py [engines] [seconds of each phase]
[share of the batch for drafts]`.
Interactive callers ask one after the other; a generation's time runs to its last token.
"""

import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from routing_support import (
    RoutingNode,
    generation_request,
    quantile,
    running_node,
    running_standins,
)

from bellweir.resources.models import BackendKind, RequestClass
from bellweir.settings.models import RoutingSettings

INTERACTIVE_CALLERS = 6
INTERACTIVE_TOKENS = 32
DRAFT_TOKENS = 256
MAXIMUM_BATCH = 64
PROMPT = "quote number {} of " + "a window of oak with two panes and a lock, " * 6
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


class DraftLoad:
    """As many draft callers as fill every engine, and a third more."""

    def __init__(self, node: RoutingNode, callers: int) -> None:
        self._node = node
        self._stop = threading.Event()
        self.tokens = 0
        self.refused = 0
        self._pool = ThreadPoolExecutor(callers)
        self._running = [self._pool.submit(self._call, caller) for caller in range(callers)]

    def stop(self) -> None:
        """End the load."""
        self._stop.set()
        for finished in self._running:
            finished.result()
        self._pool.shutdown()

    def _call(self, caller: int) -> None:
        number = caller * 1_000_000
        while not self._stop.is_set():
            number += 1
            request = generation_request(
                number, PROMPT.format(number), DRAFT_TOKENS, RequestClass.DRAFT
            )
            started = self._node.dispatcher.generate(request)
            generation = started.value_or(None)
            if generation is None:
                self.refused += 1
                self._stop.wait(0.25)
                continue
            for chunk in generation:
                self.tokens += len(chunk.unwrap().tokens)
                if self._stop.is_set():
                    generation.cancel()
                    break


def report(name: str, firsts: list[float], lasts: list[float]) -> None:
    """Print one line of figures in milliseconds."""
    cells = [f"{name:>12}: {len(lasts):5} requests"]
    for title, values in (("first token", firsts), ("whole", lasts)):
        shares = " ".join(f"p{s:g} {quantile(values, s / 100) * 1000:.0f}" for s in (50, 99))
        cells.append(f"{title} {shares} ms")
    print(", ".join(cells), flush=True)


def main() -> None:
    """Measure both phases."""
    engines = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 15.0
    routing = RoutingSettings(draft_share=float(sys.argv[3])) if len(sys.argv) > 3 else None
    options: list[dict[str, object]] = [
        {"name": f"engine-{number}", "maximum_batch": MAXIMUM_BATCH} for number in range(engines)
    ]
    callers = engines * MAXIMUM_BATCH * 4 // 3
    limits = {RequestClass.DRAFT: {"concurrency": callers, "queue": 8, "timeout_s": 600}}
    with (
        running_standins("engine", options) as standins,
        running_node(BackendKind.ENGINE, standins, {"limits": limits}, routing) as node,
    ):
        without = interactive_times(node, seconds)
        report("no drafts", *without)
        drafts = DraftLoad(node, callers)
        time.sleep(SETTLE_S)
        began_s, tokens = time.monotonic(), drafts.tokens
        during = interactive_times(node, seconds)
        rate = (drafts.tokens - tokens) / (time.monotonic() - began_s)
        report("with drafts", *during)
        drafts.stop()
        ratio = quantile(during[1], 0.99) / quantile(without[1], 0.99)
        ratio_first = quantile(during[0], 0.99) / quantile(without[0], 0.99)
        print(f"p99 ratio: whole {ratio:.2f}, first token {ratio_first:.2f}")
        print(f"drafts: {rate:.0f} tokens/s, {drafts.refused} refusals")


if __name__ == "__main__":
    main()
