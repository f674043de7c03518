"""Whole nodes beside the hollow ones."""

import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import psutil

from bellweir_rehearsal.scale.commands import NodeSpec, ProcessFailedError
from bellweir_rehearsal.scale.measures import RealCost

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05


class RealNode:
    """One `bellweir node` that joins the hollow nodes."""

    def __init__(
        self, spec: NodeSpec, folder: Path, seeds: Sequence[str], key_file: Path, faults: Path
    ) -> None:
        self.spec = spec
        self._ready_file = folder / f"{spec.name}.json"
        settings = folder / f"{spec.name}.toml"
        settings.write_text(_settings(spec, self._ready_file, seeds, key_file, faults))
        self._child = subprocess.Popen(
            [sys.executable, "-m", "bellweir", "node", "--settings", str(settings)],
            stdout=subprocess.DEVNULL,
        )
        self._process = psutil.Process(self._child.pid)
        self._began_s = 0.0
        self._cpu_before_s = 0.0

    def wait_until_up(self) -> None:
        """Wait until the node serves. Raises `ProcessFailedError`."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self._ready_file.exists():
            if self._child.poll() is not None or time.monotonic() > deadline_s:
                raise ProcessFailedError(f"{self.spec.name} did not start")
            time.sleep(POLL_S)

    def begin_window(self) -> None:
        """Begin to measure."""
        self._began_s = time.monotonic()
        self._cpu_before_s = self._cpu_s()

    def end_window(self) -> RealCost:
        """Return the cost since the window began."""
        window_s = time.monotonic() - self._began_s
        return RealCost(
            node=self.spec.name,
            cpu_percent_of_core=round(100 * (self._cpu_s() - self._cpu_before_s) / window_s, 2),
            resident_bytes=self._process.memory_info().rss,
            threads=self._process.num_threads(),
        )

    def stop(self) -> None:
        """End the node as planned."""
        self._child.terminate()
        try:
            self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()

    def _cpu_s(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)


def _settings(
    spec: NodeSpec, ready_file: Path, seeds: Sequence[str], key_file: Path, faults: Path
) -> str:
    seed_list = ", ".join(f'"{seed}"' for seed in seeds)
    return f"""
[node]
name = "{spec.name}"
zone = "{spec.zone}"
region = "{spec.region}"
ready_file = "{ready_file}"
[membership]
seeds = [{seed_list}]
[trust]
cluster_key_files = ["{key_file}"]
[network_faults]
file = "{faults}"
[log]
level = "error"
"""
