"""What long bodies cost a node in memory and time.

`python -m bench.gateway_bodies [--megabytes N]` from the repository's root: sends one long body
through the node to the application stand-in, and takes one long answer back.
"""

import argparse
import time
from collections.abc import Iterator
from http.client import HTTPConnection

import psutil

from bench.gateway_cost import measured_processes
from bench.processes import Process

PIECE = b"x" * (1 << 16)
PIECES_IN_A_MEGABYTE = (1 << 20) // len(PIECE)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=int, default=256, help="of 2^20 bytes")
    megabytes = parser.parse_args().megabytes
    with measured_processes(None) as (requests, _):
        gateway = requests.bellweir.process
        if not isinstance(gateway, Process):
            raise TypeError("the gateway is no process")
        before = peak_megabytes(gateway)
        print(f"node at rest: peak {before:.0f} MB of memory")
        for what, seconds in (
            ("body of declared length", send(gateway, megabytes, declared=True)),
            ("body in chunks", send(gateway, megabytes, declared=False)),
            ("answer", take(gateway, megabytes)),
        ):
            grown = peak_megabytes(gateway) - before
            rate = megabytes / seconds
            print(f"{what:24} {megabytes} MB, {rate:.0f} MB/s, peak grew by {grown:.1f} MB so far")


def peak_megabytes(process: Process) -> float:
    """Highest resident size so far."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return psutil.Process(process.pid).memory_info().rss / (1 << 20)


def send(gateway: Process, megabytes: int, *, declared: bool) -> float:
    """Send a body; seconds."""
    headers = {"Content-Length": str(megabytes << 20)} if declared else {}
    started = time.perf_counter()
    connection = HTTPConnection(gateway.address, timeout=300)
    connection.request("POST", "/apps/application/upload", pieces(megabytes), headers)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    if answer.status != 200 or f'"body_bytes":{megabytes << 20}'.encode() not in body:
        raise ValueError(f"{answer.status} {body[:400]!r}")
    return time.perf_counter() - started


def take(gateway: Process, megabytes: int) -> float:
    """Take a long answer; seconds."""
    started = time.perf_counter()
    connection = HTTPConnection(gateway.address, timeout=300)
    connection.request("GET", f"/apps/application/bytes/{megabytes << 20}")
    answer = connection.getresponse()
    left = megabytes << 20
    while block := answer.read(1 << 16):
        left -= len(block)
    connection.close()
    if left:
        raise ValueError(f"{left} bytes are missing")
    return time.perf_counter() - started


def pieces(megabytes: int) -> Iterator[bytes]:
    """The body."""
    for _ in range(megabytes * PIECES_IN_A_MEGABYTE):
        yield PIECE


if __name__ == "__main__":
    main()
