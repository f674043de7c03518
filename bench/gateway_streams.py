"""Many streams on one node, and what they do to short requests beside them.

`python -m bench.gateway_streams [--streams 200] [--seconds S]` from the repository's root. The
engines take the times of their default model. In one run: short requests alone, beside the
streams, and beside callers of drafts that fill their share of the threads and the engines; and
streams whose callers vanish, and how long their engines go on.
"""

import argparse
import http.client
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from bellweir_rehearsal.standins.application import ApplicationOptions
from bellweir_rehearsal.standins.base import StandinOptions
from bellweir_rehearsal.standins.catalogue import StandinKind
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.object_api import ObjectApiOptions
from bench.background import completion
from bench.client import Target, post, run_requests
from bench.gateway_cost import BODY, create, pool_document, wait_for
from bench.processes import Process, node, standin, temporary_folder

ENGINES = 4
TOKENS = 1500
SHORT_CONNECTIONS = 4
DRAFT_CALLERS = 256
"""More than the threads that drafts may hold and the sequences that the engines batch."""
VANISHING = 20
LOOK_PERIOD_S = 0.01
CANCEL_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Deployment:
    """One node with its back ends."""

    gateway: Process
    engines: tuple[str, ...]


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=5.0, help="of short requests")
    chosen = parser.parse_args()
    with deployment() as deployed:
        report(deployed, chosen.streams, chosen.seconds)


@contextmanager
def deployment() -> Iterator[Deployment]:
    """Start an object API, an application, engines and a node."""
    with ExitStack() as stack:
        folder = stack.enter_context(temporary_folder())

        def start(kind: StandinKind, options: StandinOptions) -> Process:
            return stack.enter_context(standin(kind, options, folder))

        store = start(StandinKind.OBJECT_API, ObjectApiOptions(name="store"))
        application = start(
            StandinKind.APPLICATION, ApplicationOptions(name="application", service_time_s=0.005)
        )
        engines = tuple(
            start(StandinKind.ENGINE, EngineOptions(name=f"engine-{n}")).address
            for n in range(ENGINES)
        )
        gateway = stack.enter_context(node(store.address, folder))
        wait_for(gateway.address, "GET", "/readyz", None)
        configure(gateway.address, application.address, engines)
        wait_for(gateway.address, "POST", "/apps/application/price", BODY)
        wait_for(gateway.address, "POST", "/v1/completions", completion(1, stream=False))
        yield Deployment(gateway, engines)


def configure(gateway: str, application: str, engines: tuple[str, ...]) -> None:
    """Create a policy and two pools."""
    limits: dict[str, object] = {"interactive": {"concurrency": 256, "queue": 256, "timeoutS": 120}}
    policy = {"kind": "Policy", "metadata": {"name": "policy"}, "spec": {"model": "model"}}
    create(gateway, "policies", policy)
    pool = pool_document("application", "application", (application,), limits, ())
    create(gateway, "pools", pool)
    pool = pool_document("engines", "engine", engines, limits, ("policy",))
    create(gateway, "pools", pool)


def report(deployed: Deployment, streams: int, seconds: float) -> None:
    """Run the parts, short requests alone before and after each load."""
    address = deployed.gateway.address
    path = "/apps/application/price"
    short = Target("short", address, post(address, path, BODY), deployed.gateway)
    print(f"short requests, {SHORT_CONNECTIONS} connections: p50 and p99 in ms")

    def measure(name: str) -> None:
        run = run_requests(short, SHORT_CONNECTIONS, seconds)
        print(f"  {name:32}{run.percentile_ms(50):8.2f}{run.percentile_ms(99):8.2f}")

    measure("alone")
    with background(address, "streams", streams, seconds) as load:
        wait_for_threads(address, "stream", streams)
        measure(f"beside {threads_held(address, 'stream')} open streams")
        results = json.loads(load.communicate()[0])
    measure("alone")
    with background(address, "drafts", DRAFT_CALLERS, 3 * seconds) as load:
        wait_for_threads(address, "draft", 1)
        time.sleep(seconds)
        measure(f"beside {DRAFT_CALLERS} callers of drafts")
        held = threads_held(address, "draft")
        statuses = json.loads(load.communicate()[0])
    measure("alone")
    whole = sum(result["whole"] for result in results)
    first = sorted(result["first_chunk_s"] for result in results)
    median_ms, worst_ms = 1e3 * statistics.median(first), 1e3 * first[-1]
    print(f"streams whole: {whole} of {streams}, {TOKENS} tokens each")
    print(f"  first chunk p50 {median_ms:.0f} ms, worst {worst_ms:.0f} ms")
    print(f"drafts: {held} threads held, answers by status {statuses}")
    print(f"callers that vanish: engines idle after {1e3 * vanish(deployed):.0f} ms")


@contextmanager
def background(
    address: str, kind: str, callers: int, seconds: float
) -> Iterator["subprocess.Popen[str]"]:
    """Run a load in a process of its own, to its end."""
    arguments = [address, kind, str(callers), str(seconds), str(TOKENS)]
    command = [sys.executable, "-m", "bench.background", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


def threads_held(address: str, share: str) -> int:
    """Request threads of a share that the node says are held."""
    connection = http.client.HTTPConnection(address, timeout=30)
    connection.request("GET", "/status")
    status = json.loads(connection.getresponse().read())
    connection.close()
    return int(status["threads"]["by_share"][share])


def wait_for_threads(address: str, share: str, wanted: int) -> None:
    """Wait until a share holds this many threads."""
    deadline = time.monotonic() + CANCEL_TIMEOUT_S
    while threads_held(address, share) < wanted:
        if time.monotonic() > deadline:
            raise TimeoutError(f"never {wanted} threads for {share}")
        time.sleep(LOOK_PERIOD_S)


def vanish(deployed: Deployment) -> float:
    """Close the callers' connections in mid-stream; seconds until no engine runs anything."""
    opened: list[http.client.HTTPResponse] = []
    connections = []
    for _ in range(VANISHING):
        connection = http.client.HTTPConnection(deployed.gateway.address, timeout=120)
        connection.request("POST", "/v1/completions", completion(100_000, stream=True))
        answer = connection.getresponse()
        answer.read(100)
        opened.append(answer)
        connections.append(connection)
    wait_until_running(deployed, VANISHING)
    left = time.perf_counter()
    for connection, answer in zip(connections, opened, strict=True):
        answer.close()
        connection.close()
    wait_until_running(deployed, 0)
    return time.perf_counter() - left


def wait_until_running(deployed: Deployment, wanted: int) -> None:
    """Wait until the engines say that `wanted` sequences run; their report lags 250 ms."""
    deadline = time.monotonic() + CANCEL_TIMEOUT_S
    with ThreadPoolExecutor(ENGINES) as pool:
        while time.monotonic() < deadline:
            states: list[Future[int]] = [pool.submit(running_on, e) for e in deployed.engines]
            if sum(state.result() for state in states) == wanted:
                return
            time.sleep(LOOK_PERIOD_S)
    raise TimeoutError(f"never {wanted} sequences running")


def running_on(engine: str) -> int:
    """Sequences that one engine runs."""
    connection = http.client.HTTPConnection(engine, timeout=30)
    connection.request("GET", "/state")
    state = json.loads(connection.getresponse().read())
    connection.close()
    return int(state["running"]) + int(state["waiting"])


if __name__ == "__main__":
    main()
