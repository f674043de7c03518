"""Prompt tokens that engines recompute on shared-prefix load, by strategy.

Run: `PYTHONPATH=src python bench/routing_prefix.py [engines] [requests]`.
Prompts are one of `PREFIXES` long starts, drawn by a Zipf-like weight, and an end of their own.
No engine can hold all of them. Figures come from the engines' own logs.
"""

import json
import random
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from routing_support import RoutingNode, generation_request, running_node, running_standins

from bellweir.resources.models import BackendKind, RequestClass

PREFIXES = 48
PREFIX_CHARACTERS = 2048
END_CHARACTERS = 128
CACHE_TOKENS = 12_288
CALLERS = 12
STRATEGIES = ("round_robin", "least_outstanding", "prefix_aware")
LETTERS = "abcdefghijklmnopqrstuvwxyz "


def text(seed: str, length: int) -> str:
    """Return a text that follows from the seed."""
    return "".join(random.Random(seed).choices(LETTERS, k=length))


def prompts(count: int) -> list[str]:
    """Return the prompts, the same for each strategy."""
    chooser = random.Random("prompts")
    starts = [text(f"start {number}", PREFIX_CHARACTERS) for number in range(PREFIXES)]
    weights = [1.0 / (1 + number) ** 0.5 for number in range(PREFIXES)]
    chosen = chooser.choices(starts, weights, k=count)
    return [start + text(f"end {number}", END_CHARACTERS) for number, start in enumerate(chosen)]


def send(node: RoutingNode, given: list[str]) -> None:
    """Send all prompts from a few callers."""

    def call(number: int) -> None:
        request = generation_request(number, given[number], 8, RequestClass.INTERACTIVE)
        for chunk in node.dispatcher.generate(request).unwrap():
            chunk.unwrap()

    with ThreadPoolExecutor(CALLERS) as pool:
        for finished in [pool.submit(call, number) for number in range(len(given))]:
            finished.result()


def recomputed(logs: list[Path]) -> tuple[int, int]:
    """Return prompt tokens in all, and those not found in a cache."""
    total = cached = 0
    for log in logs:
        for line in log.read_text().splitlines():
            record = json.loads(line)
            if record["record"] == "GenerationEnded":
                total += record["prompt_tokens"]
                cached += record["cached_prompt_tokens"] or 0
    return total, total - cached


def main() -> None:
    """Measure each strategy on fresh engines."""
    engines = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    given = prompts(int(sys.argv[2]) if len(sys.argv) > 2 else 1500)
    for strategy in STRATEGIES:
        with tempfile.TemporaryDirectory() as folder:
            logs = [Path(folder) / f"engine-{number}.log" for number in range(engines)]
            options: list[dict[str, object]] = [
                {
                    "name": f"engine-{number}",
                    "cache_capacity_tokens": CACHE_TOKENS,
                    "event_gap_probability": 0.02,
                    "log_path": str(log),
                }
                for number, log in enumerate(logs)
            ]
            with (
                running_standins("engine", options) as standins,
                running_node(BackendKind.ENGINE, standins, {"strategy": strategy}) as node,
            ):
                send(node, given)
            total, again = recomputed(logs)
        print(f"{strategy:>18}: {again} of {total} prompt tokens computed", flush=True)


if __name__ == "__main__":
    main()
