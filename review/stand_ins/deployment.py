"""Starts the project's programs by the deploy file, each on a loopback address of its own.

The processes run from the repository's root with the commands of `deploy/system.toml`. They get a
settings file made from the template that the file names, and of the environment only what the
platform's page on deployment names.
"""

import http.client
import os
import signal
import socket
import subprocess
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from bellweir.kernel.clock import elapsed_s
from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from bellweir_rehearsal.hosted.template import fill

ROOT = Path.cwd()
"""The repository: the scripts run from there."""
BUILT = ROOT / "target" / "deps"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
GRACE_PERIOD_S = 8
DRAIN_TIMEOUT_S = 2.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4.3,
    "drainTimeoutMs": round(1000 * DRAIN_TIMEOUT_S),
    "gracePeriodS": GRACE_PERIOD_S,
    "lostMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "outerMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "finishS": 10,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOver": 0.1,
    "checksFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "ttl_max_s": 5,
}
"""Those of the users' smallest deployment."""
READY_TIMEOUT_S = 40.0
POLL_S = 0.05
FIRST_PART = {"gateway": 20, "store": 150}
"""Last parts of the machines' IP numbers."""


class CannotRunError(RuntimeError):
    """The case can't run here."""


@dataclass
class Machine:
    """One machine with one process."""

    name: str
    role: str
    ip: str
    zone: str
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """The platform's store, and processes of both roles; `close` ends everything it started."""

    def __init__(self, folder: Path, gateways: int = 3, stores: int = 3) -> None:
        if not (BUILT / "bellweir").is_dir():
            raise CannotRunError("the build line of deploy/system.toml has not been run")
        self._folder = folder
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._network = "127.{}.{}".format(*(1 + byte % 250 for byte in os.urandom(2)))
        self._peer_port, self._front, self._ready, self._directory = _free_ports()
        self.store = PlatformStoreStandIn()
        self.machines: dict[str, Machine] = {}
        for role, count in (("gateway", gateways), ("store", stores)):
            for number in range(count):
                name = f"{role}-{number}"
                ip = f"{self._network}.{FIRST_PART[role] + number}"
                self.machines[name] = Machine(name, role, ip, ZONES[number % len(ZONES)])

    def start(self) -> None:
        """Start all processes and wait until every gateway is ready."""
        for machine in self.machines.values():
            self._start(machine)
        until_s = elapsed_s() + READY_TIMEOUT_S
        for machine in self.machines.values():
            while machine.role == "gateway" and not self.is_ready(machine.name):
                if elapsed_s() > until_s:
                    raise CannotRunError(f"{machine.name} is not ready")
                time.sleep(POLL_S)

    def _start(self, machine: Machine) -> None:
        role = self._deploy["roles"][machine.role]
        settings = self._folder / f"{machine.name}.json"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings.write_text(fill(template, self._fields(machine)), encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, "PYTHONPATH": str(BUILT), "BELLWEIR_CONFIG": str(settings)}
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _fields(self, machine: Machine) -> dict[str, object]:
        """The platform's fields for a machine, as its page on settings gives them."""
        is_gateway = machine.role == "gateway"
        data = self._folder / f"{machine.name}-data"
        if not is_gateway:
            data.mkdir(exist_ok=True)
        listen = {"front": self._front, "ready": self._ready, "directory": self._directory}
        seeds = [one.ip for one in self.machines.values() if one.role == "gateway"][:3]
        return {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": "front" if is_gateway else "store",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {name: f"{machine.ip}:{port}" for name, port in listen.items() if is_gateway},
            "portRange": [self._peer_port, self._peer_port + 15],
            "seedNodes": [f"{ip}:1" for ip in seeds],
            "bootstrap": True,
            "countsAsLoss": not is_gateway,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "dataPath": None if is_gateway else str(data),
            "beatIntervalMs": 1200,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {"address": self.store.address},
        }

    def address(self, name: str) -> str:
        """`host:port` at which a gateway takes requests."""
        return f"{self.machines[name].ip}:{self._front}"

    def is_ready(self, name: str) -> bool:
        """Whether a gateway says that it is ready."""
        connection = http.client.HTTPConnection(self.machines[name].ip, self._ready, timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def terminate(self, name: str) -> None:
        """Send a machine's process SIGTERM, as the platform does for a planned stop."""
        process = self.machines[name].process
        if process is not None:
            process.send_signal(signal.SIGTERM)

    def exit_code(self, name: str) -> int | None:
        """Exit code of a machine's process; None while it runs."""
        process = self.machines[name].process
        return process.poll() if process is not None else None

    def close(self) -> None:
        """End all processes and the store."""
        started = [one.process for one in self.machines.values() if one.process is not None]
        for process in started:
            process.kill()
        for process in started:
            process.wait()
        self.store.close()


def _free_ports() -> tuple[int, ...]:
    """Four ports that are free on loopback now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    ports = tuple(int(each.getsockname()[1]) for each in sockets)
    for each in sockets:
        each.close()
    return ports
