"""What a call costs the platform's clients, and a token costs the engine stand-in.

`python -m bench.platform_cost [--calls N] [--rounds N]` from the repository's root. The client of
an application worker and a bare kept-alive `http.client` connection take turns on the same
worker; figures are medians over the rounds. Then streams are read at once from one engine.
"""

import argparse
import http.client
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bellweir.clients.interface import ApplicationCall, GenerationCall
from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.application import ApplicationOptions
from bellweir_rehearsal.standins.catalogue import StandinKind
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bench.processes import Process, standin, temporary_folder

BODY = b"x" * 300
HEADERS = (("Content-Type", "application/json"), ("Accept", "*/*"), ("X-Request-Id", "request"))
TIMEOUT_S = 30.0
WARM_UP_CALLS = 200
STREAMS = 200
STREAM_TOKENS = 400
TIME_SCALE = 10.0
US_PER_S = 1e6


@dataclass(frozen=True)
class CallFigures:
    """Cost of one call, in microseconds."""

    cpu_us: float
    wall_us: float


def measure(call: Callable[[], bytes], count: int) -> CallFigures:
    """Make `count` calls one after the other."""
    wall_s, cpu_s = time.perf_counter(), time.process_time()
    for _ in range(count):
        call()
    cpu_us = (time.process_time() - cpu_s) / count * US_PER_S
    wall_us = (time.perf_counter() - wall_s) / count * US_PER_S
    return CallFigures(cpu_us, wall_us)


def bare_call(address: str) -> Callable[[], bytes]:
    """Return a call over a bare kept-alive connection."""
    connection = http.client.HTTPConnection(address)

    def call() -> bytes:
        connection.request("POST", "/measured", BODY, dict(HEADERS))
        answer = connection.getresponse()
        answer.getheaders()
        return answer.read()

    return call


def client_call(clients: HttpPlatformClients, address: str) -> Callable[[], bytes]:
    """Return a call through the client of an application worker."""
    application = clients.application(address)

    def call() -> bytes:
        sent = ApplicationCall("a", "POST", "/measured", HEADERS, BODY, len(BODY), TIMEOUT_S)
        return b"".join(application.send(sent).unwrap().body)

    return call


def compare_calls(clients: HttpPlatformClients, address: str, calls: int, rounds: int) -> None:
    """Print the cost of a call by both ways."""
    ways = {"bare http.client": bare_call(address), "client": client_call(clients, address)}
    figures: dict[str, list[CallFigures]] = {name: [] for name in ways}
    for call in ways.values():
        measure(call, WARM_UP_CALLS)
    for _ in range(rounds):
        for name, call in ways.items():
            figures[name].append(measure(call, calls))
    print(f"application calls, median of {rounds} rounds of {calls}")
    for name, found in figures.items():
        cpu_us = statistics.median(figure.cpu_us for figure in found)
        wall_us = statistics.median(figure.wall_us for figure in found)
        print(f"{name:18}  {cpu_us:6.0f} us processor time  {wall_us:6.0f} us")


def read_stream(clients: HttpPlatformClients, address: str, number: int) -> int:
    """Read one stream to its end; return its tokens."""
    prompt = f"prompt {number} " * 30
    call = GenerationCall(
        f"a-{number}", f"r-{number}", prompt, (), STREAM_TOKENS, 0, "model", None, None
    )
    stream = clients.engine(address).generate(call).unwrap()
    return sum(len(chunk.unwrap().tokens) for chunk in stream)


def measure_streams(clients: HttpPlatformClients, engine: Process) -> None:
    """Print what streams at once cost engine and client."""
    engine_cpu_s, client_cpu_s = engine.cpu_s(), time.process_time()
    started_s = time.perf_counter()
    with ThreadPoolExecutor(STREAMS) as pool:
        counts = pool.map(
            lambda number: read_stream(clients, engine.address, number), range(STREAMS)
        )
        tokens = sum(counts)
    wall_s = time.perf_counter() - started_s
    engine_us = (engine.cpu_s() - engine_cpu_s) / tokens * US_PER_S
    client_us = (time.process_time() - client_cpu_s) / tokens * US_PER_S
    print(f"{STREAMS} streams of {STREAM_TOKENS} tokens at once, time scale {TIME_SCALE:g}")
    print(
        f"{tokens} tokens in {wall_s:.2f} s; processor time for a token: "
        f"engine {engine_us:.1f} us, client {client_us:.1f} us"
    )


def run(folder: Path, calls: int, rounds: int) -> None:
    """Run both measurements."""
    clients = HttpPlatformClients(PlatformSettings())
    worker = ApplicationOptions(service_time_s=0.0, log_path=folder / "application.jsonl")
    engine = EngineOptions(time_scale=TIME_SCALE, log_path=folder / "engine.jsonl")
    with standin(StandinKind.APPLICATION, worker, folder) as process:
        compare_calls(clients, process.address, calls, rounds)
    with standin(StandinKind.ENGINE, engine, folder) as process:
        measure_streams(clients, process)
    clients.close()


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    with temporary_folder() as folder:
        run(folder, arguments.calls, arguments.rounds)


if __name__ == "__main__":
    main()
