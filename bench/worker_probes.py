"""What reading one engine's state costs a node: the unit of probes and of roll-outs.

`python -m bench.worker_probes [--calls N] [--rounds N]` from the repository's root, with `src` on
the path. One engine stand-in, one kept connection; the figure is the median over the rounds.
"""

import argparse
import statistics
import time
from pathlib import Path

from returns.pipeline import is_successful

from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.catalogue import StandinKind
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bench.processes import standin, temporary_folder

TIMEOUT_S = 5.0
WARM_UP_CALLS = 100
US_PER_S = 1e6


def cpu_us_of_reads(clients: HttpPlatformClients, address: str, calls: int) -> float:
    """Return the node's processor time for one reading, in microseconds."""
    engine = clients.engine(address)
    began_s = time.process_time()
    for _ in range(calls):
        if not is_successful(engine.read_state(TIMEOUT_S)):
            raise RuntimeError("a reading failed")
    return (time.process_time() - began_s) / calls * US_PER_S


def run(folder: Path, calls: int, rounds: int) -> None:
    """Measure and print."""
    clients = HttpPlatformClients(PlatformSettings())
    options = EngineOptions(log_path=folder / "engine.jsonl")
    with standin(StandinKind.ENGINE, options, folder) as engine:
        cpu_us_of_reads(clients, engine.address, WARM_UP_CALLS)
        found = [cpu_us_of_reads(clients, engine.address, calls) for _ in range(rounds)]
    clients.close()
    median_us, most_us = statistics.median(found), max(found)
    print(f"read_state: median {median_us:.0f} us, most {most_us:.0f} us of {rounds} rounds")


def main() -> None:
    """Read the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    with temporary_folder() as folder:
        run(folder, arguments.calls, arguments.rounds)


if __name__ == "__main__":
    main()
