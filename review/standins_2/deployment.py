"""A small deployment on loopback: both roles by the commands of the deploy file, and the store.

Each machine has an IP number of its own (127.x.y.z), so that all share one set of ports. Settings
come from the template of the deploy folder, filled with the fields that the platform gives.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from bellweir_rehearsal.hosted.template import fill
from bellweir_rehearsal.hosted.worker import WorkerStandIn

REPOSITORY = Path(__file__).resolve().parents[3]
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
FIRST_GATEWAY = 20
FIRST_STORE = 150
METRICS_PORT = 9464
BEAT_S = 0.4
READY_TIMEOUT_S = 25.0
PASSED_ON = ("PATH", "HOME", "LANG")
"""Variables of the caller that a process gets."""
BOUNDS = {
    "contactMs": 3000,
    "configMs": 2000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 8,
    "leaseMs": 3000,
    "ttl_max_s": 5,
    "cancelMs": 3000,
    "settleMs": 1000,
    "statusS": 120,
}
"""Figures of the smallest deployments on the users' pages."""


def now_s() -> float:
    """Return the monotonic time in seconds, as the project's stand-ins note it."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class Record:
    """What was sent, answered and run, line by line with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = now_s()

    def note(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{now_s() - self._began_s:8.3f} s  {text}\n")
            self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Machine:
    """One machine with one process."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0


class SmallDeployment:
    """Gateways, store machines, the platform's store and the workers' entries in it."""

    def __init__(self, record: Record, gateways: int = 2, stores: int = 3) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        self._roles = deploy["roles"]
        network = "127.{}.{}".format(*(1 + byte % 250 for byte in os.urandom(2)))
        self._ports = free_ports(4)
        self.store = PlatformStoreStandIn()
        self.machines: dict[str, Machine] = {}
        for role, count, first in (
            ("gateway", gateways, FIRST_GATEWAY),
            ("store", stores, FIRST_STORE),
        ):
            for number in range(count):
                name = f"{role}-{number}"
                zone = ZONES[number % len(ZONES)]
                self.machines[name] = Machine(name, role, f"{network}.{first + number}", zone)
        self._entries: dict[str, tuple[WorkerStandIn, str, str]] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._beats = threading.Thread(target=self._beat, daemon=True)

    def put_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the configuration as the operator does."""
        self.store.records.put("config", "main", configuration)
        self.record.note(f"operator: configuration {configuration['version']} acknowledged")

    def add_worker(self, worker: WorkerStandIn, service: str, zone: str) -> None:
        """Have a worker write its entry from now on."""
        with self._lock:
            self._entries[worker.instance] = (worker, service, zone)
            self.store.records.put("servers", worker.instance, worker.entry(service, zone=zone))
        self.record.note(f"{worker.instance}: entry written, ready, at {worker.address}")

    def say_draining(self, worker: WorkerStandIn) -> float:
        """Have a worker say that it leaves; the monotonic time of the acknowledgement."""
        with self._lock:
            _, service, zone = self._entries.pop(worker.instance)
            entry = worker.entry(service, zone=zone, state="draining")
            self.store.records.put("servers", worker.instance, entry)
        acknowledged_s = now_s()
        self.record.note(f"{worker.instance}: draining, acknowledged by the store")
        return acknowledged_s

    def remove_entry(self, worker: WorkerStandIn) -> float:
        """Have a worker's entry go; the monotonic time of it."""
        with self._lock:
            self._entries.pop(worker.instance, None)
            self.store.records.delete("servers", worker.instance)
        self.record.note(f"{worker.instance}: entry gone")
        return now_s()

    def start(self) -> None:
        """Start all processes, and wait until the gateways are ready."""
        self._beats.start()
        for machine in self.machines.values():
            self.start_machine(machine.name)
        until_s = now_s() + READY_TIMEOUT_S
        gateways = [each for each in self.machines.values() if each.role == "gateway"]
        while not all(self._is_ready(each) for each in gateways):
            if now_s() > until_s:
                raise RuntimeError("the gateways were not ready in time")
            time.sleep(0.1)
        self.record.note("platform: all gateways are ready")

    def start_machine(self, name: str) -> None:
        """Start a machine's process with the settings of now."""
        machine = self.machines[name]
        settings = self.folder / f"{name}.json"
        role = self._roles[machine.role]
        template = (REPOSITORY / role["template"]).read_text(encoding="utf-8")
        settings.write_text(fill(template, self._fields(machine)), encoding="utf-8")
        environment = {key: os.environ[key] for key in PASSED_ON if key in os.environ}
        environment["BELLWEIR_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        if machine.role == "store":
            (self.folder / f"{name}-data").mkdir(exist_ok=True)
        machine.starts += 1
        with (self.folder / f"{name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.record.note(f"platform: started {name}")

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        process = self.machines[name].process
        if process is not None:
            process.send_signal(number)
            self.record.note(f"platform: {number.name} to {name}")

    def ended(self) -> list[str]:
        """Return the machines whose processes do not run."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.process is None or machine.process.poll() is not None
        ]

    def log_of(self, name: str) -> str:
        """Return what a machine's process has logged."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def address(self, name: str, interface: str) -> tuple[str, int]:
        """Return where a machine serves `front`, `ready` or `directory`."""
        return self.machines[name].ip, self._listen()[interface]

    def close(self) -> None:
        """End all processes that were started."""
        self._stopping.set()
        processes = [each.process for each in self.machines.values() if each.process is not None]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        for worker, _, _ in list(self._entries.values()):
            worker.close()
        self.store.close()
        self._folder.cleanup()

    def _beat(self) -> None:
        """Write the workers' entries where they have changed."""
        while not self._stopping.wait(BEAT_S):
            with self._lock:
                for worker, service, zone in self._entries.values():
                    if worker.down_since_s is not None:
                        continue
                    entry = worker.entry(service, zone=zone)
                    kept = self.store.records.get("servers", worker.instance)
                    if kept is None or kept.spec != entry:
                        self.store.records.put("servers", worker.instance, entry)

    def _is_ready(self, machine: Machine) -> bool:
        ip, port = self.address(machine.name, "ready")
        try:
            with urllib.request.urlopen(f"http://{ip}:{port}/ready", timeout=1.0) as answer:
                return bool(answer.status == 200)
        except (OSError, urllib.error.URLError):
            return False

    def _listen(self) -> dict[str, int]:
        return dict(zip(("front", "ready", "directory"), self._ports[1:], strict=True))

    def _fields(self, machine: Machine) -> dict[str, Any]:
        listen = self._listen() if machine.role == "gateway" else {}
        seeds = [each.ip for each in self.machines.values() if each.role == "gateway"]
        is_store = machine.role == "store"
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {name: f"{machine.ip}:{port}" for name, port in listen.items()},
            "portRange": [self._ports[0], self._ports[0] + 15],
            "seedNodes": [f"{ip}:1" for ip in seeds[:3]],
            "bootstrap": machine.starts == 0,
            "dataPath": str(self.folder / f"{machine.name}-data") if is_store else None,
            "bounds": BOUNDS,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "provider": {"address": self.store.address},
        }


def shown(content: object) -> str:
    """Return a value as one line of the record."""
    return json.dumps(content, sort_keys=True)
