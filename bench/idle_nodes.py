"""What real nodes cost while nobody calls: processor time, memory, threads.

`python -m bench.idle_nodes [--nodes N] [--data N] [--seconds S]` from the repository's root, with
`src` on the path. Whole nodes (`bellweir node`) on loopback, without a platform; the first `data`
of them have a data folder and hold ledger replicas.
"""

import argparse
import json
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import psutil

from bench.processes import temporary_folder

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
SETTLE_S = 12.0
SEEDS = 3
ZONES = 3
MIB = 1024 * 1024


def settings_text(number: int, has_data: bool, ready_file: Path, seeds: list[str]) -> str:
    """Return the settings file of one node."""
    folder = ready_file.with_suffix(".data")
    data = f'data_folder = "{folder}"' if has_data else ""
    return f"""
[node]
name = "node-{number}"
zone = "zone-{number % ZONES}"
ready_file = "{ready_file}"
{data}
[membership]
seeds = {json.dumps(seeds)}
[log]
level = "error"
"""


def start_node(folder: Path, number: int, has_data: bool, seeds: list[str]) -> subprocess.Popen:
    """Start one node and wait until it is up; its address is added to the seeds."""
    ready_file = folder / f"node-{number}.json"
    settings = folder / f"node-{number}.toml"
    settings.write_text(settings_text(number, has_data, ready_file, seeds[:SEEDS]))
    process = subprocess.Popen(
        [sys.executable, "-m", "bellweir", "node", "--settings", str(settings)],
        stdout=subprocess.DEVNULL,
    )
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not ready_file.exists():
        if process.poll() is not None or time.monotonic() > deadline_s:
            raise RuntimeError(f"node {number} did not start")
        time.sleep(0.05)
    seeds.append(json.loads(ready_file.read_text())["peer_address"])
    return process


def stop_node(process: subprocess.Popen) -> None:
    """End one node."""
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def cpu_s(process: psutil.Process) -> float:
    """Return the processor time used so far, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


def run(folder: Path, nodes: int, data: int, seconds: float) -> None:
    """Start, wait until settled, measure and print."""
    seeds: list[str] = []
    with ExitStack() as stack:
        watched = []
        for number in range(nodes):
            child = start_node(folder, number, number < data, seeds)
            stack.callback(stop_node, child)
            watched.append(psutil.Process(child.pid))
        time.sleep(SETTLE_S)
        before = [cpu_s(process) for process in watched]
        time.sleep(seconds)
        for number, process in enumerate(watched):
            percent = (cpu_s(process) - before[number]) / seconds * 100
            kind = "data folder" if number < data else "no data"
            resident = process.memory_info().rss / MIB
            print(
                f"node-{number}  {kind:11}  {percent:5.2f} % of a core  {resident:4.0f} MiB  "
                f"{process.num_threads()} threads"
            )


def main() -> None:
    """Read the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--data", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    with temporary_folder() as folder:
        run(folder, arguments.nodes, arguments.data, arguments.seconds)


if __name__ == "__main__":
    main()
