"""What the gateway costs: direct to the back end, a bare relay, and bellweir, in one run.

`python -m bench.gateway_cost [--seconds S] [--rounds N] [--profile FILE]` from the repository's
root. The three ways take turns in each round, so that other work on the machine falls on all of
them alike; each figure is the median over the rounds. Back ends, relay, node and load are
processes of their own.
"""

import argparse
import http.client
import json
import statistics
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bellweir.clients.interface import GenerationCall
from bellweir_rehearsal.standins.application import ApplicationOptions
from bellweir_rehearsal.standins.base import StandinOptions
from bellweir_rehearsal.standins.catalogue import StandinKind
from bellweir_rehearsal.standins.engine_options import EngineOptions, TokenTimes
from bellweir_rehearsal.standins.object_api import ObjectApiOptions
from bench.client import (
    ATTEMPT_PLACEHOLDER,
    RequestFigures,
    StreamFigures,
    Target,
    post,
    run_requests,
    run_streams,
)
from bench.processes import Process, node, relay, standin, temporary_folder

RELAY_THREADS = 64
BODY = json.dumps({"window": "1200x900", "glazing": "triple", "colour": "oak"}).encode()
STREAM_TOKENS = 200
STREAM_CONNECTIONS = 8
CONNECTIONS = 32
READY_TIMEOUT_S = 60.0
QUICK = TokenTimes(step_s=0.0001, token_s=0.0, context_token_s=0.0)
"""Times of an engine that generates faster than any of the three ways can pass on."""

GOAL_ADDED_P50 = 1.5
GOAL_REQUESTS = 0.7
GOAL_CHUNKS = 0.8


@dataclass(frozen=True)
class Ways:
    """The same request by the three ways."""

    direct: Target
    relay: Target
    bellweir: Target

    def all(self) -> tuple[Target, Target, Target]:
        """All three, in the order of the report."""
        return (self.direct, self.relay, self.bellweir)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="of each run")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--profile", type=Path, help="file for the node's profile")
    chosen = parser.parse_args()
    with measured_processes(chosen.profile) as (requests, streams):
        report_requests(requests, chosen.seconds, chosen.rounds)
        report_streams(streams, chosen.seconds, chosen.rounds)


@contextmanager
def measured_processes(profile: Path | None) -> Iterator[tuple[Ways, Ways]]:
    """Start everything; yields the ways of plain requests and of streams."""
    with ExitStack() as stack:
        folder = stack.enter_context(temporary_folder())

        def start(kind: StandinKind, options: StandinOptions) -> Process:
            return stack.enter_context(standin(kind, options, folder))

        store = start(StandinKind.OBJECT_API, ObjectApiOptions(name="store"))
        application = start(
            StandinKind.APPLICATION,
            ApplicationOptions(name="application", service_time_s=0.0, concurrency=64),
        )
        engine = start(
            StandinKind.ENGINE,
            EngineOptions(
                name="engine", model="model", times=QUICK, frame_tokens=1, maximum_batch=256
            ),
        )
        application_relay = stack.enter_context(relay(application.address, RELAY_THREADS, folder))
        engine_relay = stack.enter_context(relay(engine.address, RELAY_THREADS, folder))
        gateway = stack.enter_context(node(store.address, folder, profile))
        configure(gateway.address, application.address, engine.address)
        yield (
            request_ways(application, application_relay, gateway),
            stream_ways(engine, engine_relay, gateway),
        )


def configure(gateway: str, application: str, engine: str) -> None:
    """Create a policy and two pools, and wait until both serve."""
    wait_for(gateway, "GET", "/readyz", None)
    limits: dict[str, object] = {"interactive": {"concurrency": 256, "queue": 256, "timeoutS": 60}}
    policy = {"kind": "Policy", "metadata": {"name": "policy"}, "spec": {"model": "model"}}
    create(gateway, "policies", policy)
    pool = pool_document("application", "application", (application,), limits, ())
    create(gateway, "pools", pool)
    pool = pool_document("engines", "engine", (engine,), limits, ("policy",))
    create(gateway, "pools", pool)
    wait_for(gateway, "POST", "/apps/application/price", BODY)
    wait_for(gateway, "POST", "/v1/completions", _completion(stream=False))


def create(gateway: str, plural: str, document: dict[str, object]) -> None:
    """Create a resource."""
    body = json.dumps({"apiVersion": "bellweir.dev/v1", **document}).encode()
    wait_for(gateway, "POST", f"/apis/bellweir.dev/v1/{plural}", body)


def pool_document(
    name: str,
    kind: str,
    addresses: tuple[str, ...],
    limits: dict[str, object],
    policies: tuple[str, ...],
) -> dict[str, object]:
    """A pool of workers at these addresses."""
    workers = [
        {"name": f"{name}-{n}", "address": address, "zone": "zone-1", "region": "region-1"}
        for n, address in enumerate(addresses)
    ]
    spec = {"kind": kind, "workers": workers, "limits": limits, "policies": policies}
    return {"kind": "Pool", "metadata": {"name": name}, "spec": spec}


def wait_for(address: str, method: str, path: str, body: bytes | None) -> None:
    """Call until the answer is 2xx."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.request(method, path, body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
        connection.close()
        if answer.status < 300:
            return
        if time.monotonic() > deadline:
            raise TimeoutError(f"{method} {path}: {answer.status} {text.decode()[:400]}")
        time.sleep(0.05)


def request_ways(application: Process, bare: Process, gateway: Process) -> Ways:
    """A short request by the three ways."""

    def way(name: str, process: Process, path: str) -> Target:
        return Target(name, process.address, post(process.address, path, BODY), process)

    return Ways(
        way("(a) direct", application, "/price"),
        way("(b) relay", bare, "/price"),
        way("(c) bellweir", gateway, "/apps/application/price"),
    )


def stream_ways(engine: Process, bare: Process, gateway: Process) -> Ways:
    """A streamed completion by the three ways; each engine frame is one chunk."""
    call = GenerationCall(
        attempt_id=ATTEMPT_PLACEHOLDER.decode(),
        request_id="r",
        prompt="a lot page",
        prefix_tokens=(),
        max_tokens=STREAM_TOKENS,
        priority=0,
        model="model",
        minimum_version=None,
        deadline_s=60.0,
    )
    encoded = msgspec.json.encode(call)

    def way(name: str, process: Process, path: str, body: bytes, marker: bytes) -> Target:
        return Target(name, process.address, post(process.address, path, body), process, marker)

    completion = _completion(stream=True)
    return Ways(
        way("(a) direct", engine, "/generate", encoded, b'{"chunk":'),
        way("(b) relay", bare, "/generate", encoded, b'{"chunk":'),
        way("(c) bellweir", gateway, "/v1/completions", completion, b'"finish_reason":'),
    )


def _completion(*, stream: bool) -> bytes:
    return json.dumps(
        {"model": "policy", "prompt": "a lot page", "max_tokens": STREAM_TOKENS, "stream": stream}
    ).encode()


def report_requests(ways: Ways, seconds: float, rounds: int) -> None:
    """Measure plain requests at one connection and at many."""
    one: dict[str, list[RequestFigures]] = {way.name: [] for way in ways.all()}
    many: dict[str, list[RequestFigures]] = {way.name: [] for way in ways.all()}
    for _ in range(rounds):
        for way in ways.all():
            one[way.name].append(run_requests(way, 1, seconds))
            many[way.name].append(run_requests(way, CONNECTIONS, seconds))
    print(f"requests, median of {rounds} rounds of {seconds:g} s")
    _row("", "p50 at 1", "p99 at 1", f"req/s at {CONNECTIONS}", "p99", "cpu/req")
    p50: dict[str, float] = {}
    rate: dict[str, float] = {}
    for name, runs in many.items():
        p50[name] = statistics.median(run.percentile_ms(50) for run in one[name])
        rate[name] = statistics.median(run.per_second for run in runs)
        _row(
            name,
            f"{p50[name]:.3f} ms",
            f"{statistics.median(run.percentile_ms(99) for run in one[name]):.3f} ms",
            f"{rate[name]:.0f}",
            f"{statistics.median(run.percentile_ms(99) for run in runs):.1f} ms",
            f"{statistics.median(run.cpu_ms_each for run in runs):.3f} ms",
        )
    direct, bare, ours = p50.values()
    _goal("added p50 at 1 connection, (c)/(b)", (ours - direct) / (bare - direct), GOAL_ADDED_P50)
    _, bare, ours = rate.values()
    _goal(f"requests/s at {CONNECTIONS} connections, (c)/(b)", ours / bare, GOAL_REQUESTS)


def report_streams(ways: Ways, seconds: float, rounds: int) -> None:
    """Measure streamed answers."""
    figures: dict[str, list[StreamFigures]] = {way.name: [] for way in ways.all()}
    for _ in range(rounds):
        for way in ways.all():
            figures[way.name].append(run_streams(way, STREAM_CONNECTIONS, seconds))
    print(f"\n{STREAM_CONNECTIONS} streams of {STREAM_TOKENS} tokens, one a chunk")
    _row("", "chunks/s", "first chunk", "cpu/chunk")
    rate: dict[str, float] = {}
    for name, runs in figures.items():
        rate[name] = statistics.median(run.per_second for run in runs)
        _row(
            name,
            f"{rate[name]:.0f}",
            f"{statistics.median(run.first_chunk_ms for run in runs):.2f} ms",
            f"{statistics.median(run.cpu_us_each for run in runs):.0f} us",
        )
    _, bare, ours = rate.values()
    _goal("chunks/s, (c)/(b)", ours / bare, GOAL_CHUNKS)


def _row(name: str, *cells: str) -> None:
    print(f"{name:14}" + "".join(f"{cell:>14}" for cell in cells))


def _goal(what: str, found: float, goal: float) -> None:
    at_most = goal > 1
    met = found <= goal if at_most else found >= goal
    bound = "at most" if at_most else "at least"
    print(f"{what}: {found:.2f}, goal {bound} {goal:g}: {'met' if met else 'MISSED'}")


if __name__ == "__main__":
    main()
