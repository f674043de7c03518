"""What a killed engine and a total outage cost, in attempts for each request.

Run: `PYTHONPATH=src python bench/routing_failures.py [engines] [streams]`.
Streams are in hand on all engines when one is killed (SIGKILL); then all are killed and requests
are sent one after the other.
"""

import sys
import time
from concurrent.futures import ThreadPoolExecutor

from routing_support import RoutingNode, generation_request, running_node, running_standins

from bellweir.resources.models import BackendKind, RequestClass
from bellweir.routing.interface import RunState

STREAM_TOKENS = 400
OUTAGE_REQUESTS = 400
PROMPT = "an answer that is longer than the engine lives"


def stream(node: RoutingNode, number: int) -> tuple[int, float]:
    """Return the tokens had, and the longest gap between two chunks."""
    request = generation_request(number, PROMPT, STREAM_TOKENS, RequestClass.INTERACTIVE)
    tokens, longest_s, last_s = 0, 0.0, time.monotonic()
    for chunk in node.dispatcher.generate(request).unwrap():
        tokens += len(chunk.unwrap().tokens)
        longest_s = max(longest_s, time.monotonic() - last_s)
        last_s = time.monotonic()
    return tokens, longest_s


def main() -> None:
    """Measure both failures."""
    engines = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    streams = int(sys.argv[2]) if len(sys.argv) > 2 else 60
    options: list[dict[str, object]] = [{"name": f"engine-{number}"} for number in range(engines)]
    with (
        running_standins("engine", options) as standins,
        running_node(BackendKind.ENGINE, standins, {}) as node,
        ThreadPoolExecutor(streams) as pool,
    ):
        running = [pool.submit(stream, node, number) for number in range(streams)]
        time.sleep(1.5)
        lost = {view.worker: view.outstanding_here for view in node.views.views("pool")}
        killed = standins[0]
        if killed.process is not None:
            killed.process.kill()
        ended = [found.result() for found in running]
        attempts = node.dispatcher.statistics().attempts
        whole = sum(tokens == STREAM_TOKENS for tokens, _ in ended)
        print(f"one of {engines} engines killed with {lost[killed.name]} of {streams} streams:")
        print(f"  {whole} answers whole, {attempts - streams} attempts more than requests")
        print(f"  longest gap in a stream {max(gap for _, gap in ended) * 1000:.0f} ms")
        for standin in standins:
            if standin.process is not None:
                standin.process.kill()
        before = node.dispatcher.statistics().attempts
        began_s = time.monotonic()
        refusals = [
            node.dispatcher.generate(
                generation_request(number, PROMPT, 8, RequestClass.INTERACTIVE)
            ).failure()
            for number in range(OUTAGE_REQUESTS)
        ]
        took_s = time.monotonic() - began_s
        attempts = node.dispatcher.statistics().attempts - before
        not_run = sum(refusal.run_state is RunState.NOT_RUN for refusal in refusals)
        print(f"total outage: {attempts / OUTAGE_REQUESTS:.3f} attempts a request,")
        print(f"  {not_run} of {OUTAGE_REQUESTS} refused as not run, {took_s * 1000:.0f} ms in all")


if __name__ == "__main__":
    main()
