"""Processes of both roles on loopback, with the platform's stand-ins around them.

Each machine has an IP number of its own (127.x.y.z), so that all share one set of ports as on the
platform. Settings come from the deploy folder's template, filled as the platform fills it.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import bellweir
from bellweir_rehearsal.hosted.duties import DutiesStandIn
from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from bellweir_rehearsal.hosted.template import fill
from bellweir_rehearsal.hosted.worker import WorkerStandIn

REPOSITORY = Path(bellweir.__file__).resolve().parent.parent.parent
TEMPLATE = REPOSITORY / "deploy" / "settings.template"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
FIRST_GATEWAY = 20
FIRST_STORE = 60
"""Last parts of the machines' IP numbers."""
BEAT_S = 0.2
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 12.0
PORTS = 4
SEEDS = 3
"""Machines whose addresses the settings name."""
USAGE_WINDOW_S = 2.0
USAGE_LATE_S = 4.0
"""Length of a window of usage, and the time by which its report is due."""
METRICS_PORT = 9464
"""Port that the deploy file names."""


def free_ports() -> tuple[int, ...]:
    """Ports that are free on loopback now, the same for all machines."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(PORTS)]
    ports = tuple(int(each.getsockname()[1]) for each in sockets)
    for each in sockets:
        each.close()
    return ports


@dataclass
class Machine:
    """One machine with one process."""

    name: str
    role: str
    ip: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def log_file(self) -> Path:
        """File with the process's log lines, of all its lives."""
        return self.folder / f"{self.name}.log"

    @property
    def data_folder(self) -> Path:
        """The store machine's disk."""
        return self.folder / f"{self.name}-data"

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.poll() is None


@dataclass
class HostedDeployment:
    """Store, workers and machines; `close` ends everything that it started."""

    folder: Path
    gateways: int = 3
    stores: int = 3
    zones: int = 3
    """Zones over which machines are spread; at most three."""
    tolerated: int = 1
    """Store machines that may be lost at once."""
    status_s: float = 120
    """Time for which an ended job can be read."""
    machines: dict[str, Machine] = field(default_factory=dict)
    exit_codes: list[tuple[str, int]] = field(default_factory=list)
    """Machines that were stopped as planned, with their processes' exit codes."""

    def __post_init__(self) -> None:
        self.ports = free_ports()
        # A network of its own: the port of the metrics is fixed.
        self.network = "127.{}.{}".format(*(1 + byte % 250 for byte in os.urandom(2)))
        self.store = PlatformStoreStandIn()
        self.duties = DutiesStandIn()
        self.models = [
            WorkerStandIn(f"llm-{number}", model="drafts", events=6) for number in range(3)
        ]
        self.scorers = [WorkerStandIn(f"app-{number}") for number in range(3)]
        for number in range(self.gateways):
            self._add("gateway", number, FIRST_GATEWAY)
        for number in range(self.stores):
            self._add("store", number, FIRST_STORE)

    def _add(self, role: str, number: int, first: int) -> None:
        name = f"{role}-{number}"
        ip = f"{self.network}.{first + number}"
        zone = ZONES[number % self.zones]
        self.machines[name] = Machine(name, role, ip, zone, self.folder)

    def start(self) -> None:
        """Start every machine."""
        self.beat()
        for machine in self.machines.values():
            self.start_machine(machine.name)

    def start_machine(self, name: str) -> None:
        """Start a machine's process."""
        machine = self.machines[name]
        settings = self.folder / f"{name}.json"
        settings.write_text(fill(TEMPLATE.read_text(), self._fields(machine)), encoding="utf-8")
        environment = {**os.environ, "BELLWEIR_CONFIG": str(settings)}
        with machine.log_file.open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "bellweir.hosted", machine.role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def kill(self, *names: str) -> None:
        """Kill processes."""
        for name in names:
            process = self.machines[name].process
            if process is not None:
                process.kill()
                process.wait()

    def stop(self, name: str) -> int:
        """Ask a process to stop and wait for its end; its exit code."""
        process = self.machines[name].process
        if process is None:
            return 0
        process.send_signal(signal.SIGTERM)
        code = process.wait(STOP_TIMEOUT_S)
        self.exit_codes.append((name, code))
        return code

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a machine's process."""
        process = self.machines[name].process
        if process is not None:
            process.send_signal(number)

    def beat(self) -> None:
        """Write every running worker's entry, where it has changed."""
        for service, workers in (("llm", self.models), ("app", self.scorers)):
            for worker in workers:
                entry = worker.entry(service, zone=ZONES[0])
                kept = self.store.records.get("servers", worker.instance)
                if kept is None or kept.spec != entry:
                    self.store.records.put("servers", worker.instance, entry)

    def beat_for(self, seconds: float) -> None:
        """Let workers beat for a while."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.beat()
            time.sleep(BEAT_S)

    def address(self, name: str, interface: str) -> str:
        """`host:port` of one of a machine's interfaces."""
        return f"{self.machines[name].ip}:{self._listen()[interface]}"

    def running(self, role: str) -> list[str]:
        """Names of the machines of a role whose processes run."""
        return [m.name for m in self.machines.values() if m.role == role and m.is_running]

    def close(self) -> None:
        """End everything."""
        self.kill(*self.machines)
        for worker in (*self.models, *self.scorers):
            worker.close()
        self.store.close()
        self.duties.close()

    def _listen(self) -> dict[str, int]:
        _, front, ready, directory = self.ports
        return {"front": front, "ready": ready, "directory": directory, "metrics": METRICS_PORT}

    def _fields(self, machine: Machine) -> dict[str, object]:
        """The platform's fields for a machine, as its page on settings gives them."""
        listen = self._listen()
        interfaces = ("front", "ready", "directory") if machine.role == "gateway" else ()
        seeds = [each.ip for each in self.machines.values() if each.role == "gateway"][:SEEDS]
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {name: f"{machine.ip}:{listen[name]}" for name in interfaces},
            "portRange": [self.ports[0], self.ports[0] + 15],
            "seedNodes": [f"{ip}:1" for ip in seeds],
            "dataPath": str(machine.data_folder) if machine.role == "store" else None,
            "bounds": {
                "leaseMs": 3000,
                "gracePeriodS": 8,
                "ttl_max_s": 5,
                "cancelMs": 3000,
                "statusS": self.status_s,
                "usageWindowS": USAGE_WINDOW_S,
                "usageLateS": USAGE_LATE_S,
            },
            "limits": {"memoryMb": 300, "maxFds": 4096},
            "tolerate": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "provider": {"address": self.store.address},
            "cloud": {"address": self.duties.address},
        }
