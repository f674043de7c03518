"""Starts the processes of a measurement and ends them by their ids."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import psutil

from bellweir_rehearsal.standins.base import StandinOptions
from bellweir_rehearsal.standins.catalogue import StandinKind, encode_options

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


class ProcessFailedError(RuntimeError):
    """A process of the measurement did not start."""


@dataclass(frozen=True)
class Process:
    """A running process."""

    address: str
    pid: int

    def cpu_s(self) -> float:
        """Processor time used so far, of all threads, user and system."""
        times = psutil.Process(self.pid).cpu_times()
        return float(times.user + times.system)


@contextmanager
def python_process(arguments: list[str], ready_file: Path, key: str) -> Iterator[Process]:
    """Run a Python module until the block ends; `key` names the address in its ready file."""
    ready_file.unlink(missing_ok=True)
    process = subprocess.Popen([sys.executable, "-m", *arguments], stdout=subprocess.DEVNULL)
    try:
        yield Process(_wait_for(ready_file, process)[key], process.pid)
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextmanager
def standin(kind: StandinKind, options: StandinOptions, folder: Path) -> Iterator[Process]:
    """Run a stand-in; yields the process."""
    ready_file = folder / f"{options.name}.ready.json"
    arguments = [
        "bellweir_rehearsal.standins",
        kind.value,
        encode_options(options).decode(),
        str(ready_file),
    ]
    with python_process(arguments, ready_file, "address") as process:
        yield process


@contextmanager
def relay(upstream: str, threads: int, folder: Path) -> Iterator[Process]:
    """Run the bare relay to `upstream`; yields the process."""
    ready_file = folder / f"relay-{upstream.rpartition(':')[2]}.ready.json"
    arguments = ["bench.relay", upstream, str(threads), str(ready_file)]
    with python_process(arguments, ready_file, "address") as process:
        yield process


@contextmanager
def node(object_api: str, folder: Path, profile: Path | None = None) -> Iterator[Process]:
    """Run one node; yields the process, at the address of its HTTP interface."""
    ready_file = folder / "node.ready.json"
    settings = folder / "node.toml"
    settings.write_text(
        f'[node]\nname = "node-1"\nready_file = "{ready_file}"\n'
        f'data_folder = "{folder / "data"}"\n'
        f'[platform]\nobject_api = "{object_api}"\n'
        "[gateway]\ndrain_grace_s = 0.1\n"
        '[log]\nlevel = "warning"\n'
    )
    arguments = ["bellweir", "node", "--settings", str(settings)]
    if profile is not None:
        arguments = ["bench.profiled", str(profile), *arguments[1:]]
    with python_process(arguments, ready_file, "gateway_address") as process:
        yield process


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """A folder for ready files and data."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def _wait_for(ready_file: Path, process: "subprocess.Popen[bytes]") -> dict[str, str]:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if ready_file.exists():
            ready: dict[str, str] = json.loads(ready_file.read_text())
            return ready
        if process.poll() is not None:
            break
        time.sleep(0.02)
    raise ProcessFailedError(f"{process.args!r} did not start")
