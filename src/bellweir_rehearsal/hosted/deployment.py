"""Processes of both roles on loopback, with the platform's stand-ins around them.

Each machine has an IP number of its own (127.x.y.z), so that all share one set of ports as on the
platform. Settings come from the deploy folder's template, filled as the platform fills it.
"""

import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from bellweir.kernel.ending import EXIT_GIVEN_UP
from bellweir_rehearsal.hosted.builds import OWN_BUILD, Build
from bellweir_rehearsal.hosted.crashing_record import CrashingRecord
from bellweir_rehearsal.hosted.duties import DutiesStandIn
from bellweir_rehearsal.hosted.failing_record import FailingRecord
from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from bellweir_rehearsal.hosted.power import lose_power
from bellweir_rehearsal.hosted.rigged_process import FULL_MARK
from bellweir_rehearsal.hosted.suspension_rig import note_suspension
from bellweir_rehearsal.hosted.template import fill
from bellweir_rehearsal.hosted.touch_log import TouchLog
from bellweir_rehearsal.hosted.worker import WorkerStandIn

ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
FIRST_GATEWAY = 20
FIRST_STORE = 150
"""Last parts of the machines' IP numbers."""
BEAT_S = 0.2
LAPSE_S = 3 * BEAT_S
"""Time without a beat after which a worker's entry lapses."""
READY_TIMEOUT_S = 30.0
STARTED_POLL_S = 0.05
STOP_TIMEOUT_S = 12.0
STOP_TIMEOUT_FACTOR = 1.5
PORTS = 4
SEEDS = 3
"""Machines whose addresses the settings name."""
USAGE_WINDOW_S = 2.0
USAGE_LATE_S = 4.0
"""Length of a window of usage, and the time by which its report is due."""
PLAIN_MODULE = "bellweir.hosted"
RIGGED_MODULE = "bellweir_rehearsal.hosted.rigged_process"
"""What a machine's process runs: the service alone, or under the rig for disks and clocks."""
RIG_VARIABLE = "BELLWEIR_RIG"
CLOCK_VARIABLE = "BELLWEIR_CLOCK"
SUSPENSION_VARIABLE = "BELLWEIR_SUSPENSION"
WISHES = "retirements"
"""Kind of the store's objects that ask for a store machine to be emptied."""
LIVE_SLACK_S = 5.0
"""Time after its loss for which a machine may still be taken for alive."""
LONG_TEXT_EVENTS = 16
LONG_TEXT_PAUSE_S = 0.22
"""A text takes some 3.5 s, in which two parts of it are kept."""
COLD_S = 2.0
"""How long workers are cold after a start, where they are at all."""
EVACUATE_S = 5.0
"""Time within which an evacuation must be in force."""
PLACES_BOUNDS = {"evacuateMs": 1000 * EVACUATE_S, "coldOver": 1.5, "coldSlack": 5}
WATCH_TIMEOUT_S = 2.0
MEMORY_MB = 300
"""Memory after which the platform ends a process."""
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
    build: Build = OWN_BUILD
    """What its process runs from its next start on."""
    log_begins: int = 0
    """Size of the log at the start of the process that runs."""
    starting: threading.Lock = field(default_factory=threading.Lock)
    """Held while its process is started: a fault and the supervisor may both be about to."""

    @property
    def log_file(self) -> Path:
        """File with the process's log lines, of all its lives."""
        return self.folder / f"{self.name}.log"

    @property
    def has_started(self) -> bool:
        """Whether its process serves and heeds signals."""
        return self.is_running and "process_started" in self.log_of_life()

    def log_of_life(self) -> str:
        """Return the log lines of the process that runs or ran last."""
        with self.log_file.open("rb") as log:
            log.seek(self.log_begins)
            return log.read().decode(errors="replace")

    @property
    def data_folder(self) -> Path:
        """The store machine's disk."""
        return self.folder / f"{self.name}-data"

    @property
    def rig_folder(self) -> Path:
        """The rig's records of what was not synced."""
        return self.folder / f"{self.name}-rig"

    @property
    def clock_file(self) -> Path:
        """Seconds, as text, by which its time of day is off."""
        return self.folder / f"{self.name}-clock"

    @property
    def suspension_file(self) -> Path:
        """Seconds for which it was suspended, as `suspension_rig` reads them."""
        return self.folder / f"{self.name}-suspension"

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.poll() is None


@dataclass(frozen=True, slots=True)
class OwnEnd:
    """A process that ended by itself while its disk took no change, and what it told.

    >>> OwnEnd("store-0", 1, "journal_failed process_gives_up").is_owed
    True
    >>> OwnEnd("store-0", 1, "Traceback").is_owed, OwnEnd("store-0", -11, "").is_owed
    (False, False)
    """

    name: str
    code: int
    log: str
    """Its log lines, from its start on."""

    @property
    def is_owed(self) -> bool:
        """Whether it gave up after a failed write and said so; any other end is a fault."""
        says_why = "journal_failed" in self.log and "process_gives_up" in self.log
        return self.code == EXIT_GIVEN_UP and says_why


class PlannedStop:
    """SIGTERM to a machine's process; times are of the monotonic clock."""

    __slots__ = ("_watching", "ended_s", "gone_s", "name", "process", "signalled_s")

    def __init__(self, name: str, process: "subprocess.Popen[bytes]", signalled_s: float) -> None:
        self.name = name
        self.process = process
        self.signalled_s = signalled_s
        self.ended_s: float | None = None
        """When the process was gone, once the stop was waited for."""
        self.gone_s: float | None = None
        """When the process was gone, however it ended."""
        self._watching = threading.Thread(target=self._watch, daemon=True)
        self._watching.start()

    def _watch(self) -> None:
        """Note the moment of the end, which a waiter that polls learns late."""
        try:
            file = os.pidfd_open(self.process.pid)
        except ProcessLookupError:
            self.gone_s = time.monotonic()
            return
        ends = select.poll()
        ends.register(file, select.POLLIN)
        ends.poll()
        self.gone_s = time.monotonic()
        os.close(file)

    def note_end(self) -> None:
        """Note the end of the process, which is gone."""
        self._watching.join(WATCH_TIMEOUT_S)
        self.ended_s = self.gone_s or time.monotonic()


class Evacuation:
    """An evacuation of a zone, on the monotonic clock; `until_s` is None while it lasts."""

    __slots__ = ("since_s", "until_s", "zone")

    def __init__(self, zone: str, since_s: float) -> None:
        self.zone = zone
        self.since_s = since_s
        self.until_s: float | None = None

    def forbids(self, at_s: float) -> bool:
        """Whether nothing may reach the zone's workers at a time."""
        ended = self.until_s is not None and at_s >= self.until_s
        return at_s > self.since_s + EVACUATE_S and not ended


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
    older: Build | None = None
    """Another build that machines may run; None: there is only this one."""
    status_s: float = 120
    """Time for which an ended job can be read."""
    grace_period_s: float = 8.0
    """Time between SIGTERM and SIGKILL."""
    has_places: bool = False
    """Whether zones may be evacuated and workers are cold after a start."""
    has_long_texts: bool = False
    """Whether texts take seconds, so that parts are kept, and name the runs that made them."""
    is_rigged: bool = False
    """Whether processes run under the rig, so that they may lose power and their clocks jump."""
    machines: dict[str, Machine] = field(default_factory=dict)
    exit_codes: list[tuple[str, int]] = field(default_factory=list)
    """Machines that were stopped as planned, with their processes' exit codes."""
    stops: list[PlannedStop] = field(default_factory=list)
    """First signals of planned stops, with their times."""
    emptied: list[tuple[str, list[str]]] = field(default_factory=list)
    """Machines reported emptied, with the other store machines that lived then."""
    evacuations: list[Evacuation] = field(default_factory=list)
    """All evacuations so far."""
    own_ends: list[OwnEnd] = field(default_factory=list)
    """Processes that ended by themselves while their disks took no change."""
    refilled: list[str] = field(default_factory=list)
    """Machines whose disk was full and took changes again."""
    not_whole: list[str] = field(default_factory=list)
    """What was not right with such machines afterwards."""
    power_losses: list[str] = field(default_factory=list)
    """What became of each file that was not synced, at each loss of power."""

    def __post_init__(self) -> None:
        self.ports = free_ports()
        # A network of its own: the port of the metrics is fixed.
        self.network = "127.{}.{}".format(*(1 + byte % 250 for byte in os.urandom(2)))
        self.touched = TouchLog()
        self.crashing = CrashingRecord()
        self.failing = FailingRecord()
        self._lock = threading.Lock()
        self._next_store = 0
        self.store = PlatformStoreStandIn()
        self.duties = DutiesStandIn()
        self.models = [
            WorkerStandIn(f"llm-{number}", model="drafts", events=6) for number in range(3)
        ]
        if self.has_long_texts:
            for worker in self.models:
                worker.events = LONG_TEXT_EVENTS
                worker.event_pause_s = LONG_TEXT_PAUSE_S
                worker.names_runs = True
        self.scorers = [WorkerStandIn(f"app-{number}") for number in range(3)]
        if self.has_places:
            for worker in (*self.models, *self.scorers):
                worker.cold_s = COLD_S
        for number in range(self.gateways):
            self._add("gateway", number, FIRST_GATEWAY)
        for _ in range(self.stores):
            self.add_store()

    def _add(self, role: str, number: int, first: int) -> str:
        name = f"{role}-{number}"
        ip = f"{self.network}.{first + number}"
        zone = ZONES[number % self.zones]
        self.machines[name] = Machine(name, role, ip, zone, self.folder)
        return name

    def add_store(self) -> str:
        """Add an empty store machine at an address that none has had; it is not started."""
        with self._lock:
            number, self._next_store = self._next_store, self._next_store + 1
            return self._add("store", number, FIRST_STORE)

    def remove_machine(self, name: str) -> None:
        """Kill a machine's process and take the machine away with its disk; its log stays."""
        self.kill(name)
        self.empty_disk(name)
        with self._lock:
            del self.machines[name]

    def names(self, role: str) -> list[str]:
        """Names of all machines of a role, running or not."""
        return [machine.name for machine in list(self.machines.values()) if machine.role == role]

    def start(self) -> None:
        """Start every machine."""
        self.beat()
        for name in list(self.machines):
            self.start_machine(name)

    def start_machine(self, name: str) -> None:
        """Start a machine's process, unless it runs."""
        machine = self.machines[name]
        with machine.starting:
            if not machine.is_running:
                self._start(machine)

    def set_build(self, name: str, build: Build) -> None:
        """Have a machine run a build from its next start on."""
        self.machines[name].build = build

    def restart_ended(self, name: str) -> bool:
        """Start a process that has ended by itself, as its supervisor does; whether it had."""
        machine = self.machines[name]
        with machine.starting:
            process = machine.process
            code = process.poll() if process is not None else None
            if code is None:
                return False
            self.own_ends.append(OwnEnd(name, code, machine.log_of_life()))
            self._start(machine)
            return True

    def _start(self, machine: Machine) -> None:
        settings = self.write_settings(machine.name)
        environment = {**os.environ, "BELLWEIR_CONFIG": str(settings)}
        if machine.build is not OWN_BUILD:
            environment["PYTHONPATH"] = str(machine.build.code)
        if machine.role == "store":
            # The folder is the disk's own place, which is there before any process.
            machine.data_folder.mkdir(exist_ok=True)
        module = PLAIN_MODULE
        if self.is_rigged:
            module = RIGGED_MODULE
            machine.rig_folder.mkdir(exist_ok=True)
            environment[RIG_VARIABLE] = str(machine.rig_folder)
            environment[CLOCK_VARIABLE] = str(machine.clock_file)
            environment[SUSPENSION_VARIABLE] = str(machine.suspension_file)
        with machine.log_file.open("ab") as log:
            machine.log_begins = log.tell()
            machine.process = subprocess.Popen(
                [sys.executable, "-m", module, machine.role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def write_settings(self, name: str) -> Path:
        """Write a machine's settings file as of now; its path."""
        settings = self.folder / f"{name}.json"
        template = self.machines[name].build.template.read_text(encoding="utf-8")
        filled = fill(template, self._fields(self.machines[name]))
        settings.write_text(filled, encoding="utf-8")
        return settings

    def kill(self, *names: str) -> None:
        """Kill processes, all of them before the end of the first one is waited for."""
        processes = [self.machines[name].process for name in names]
        found = [process for process in processes if process is not None]
        for process in found:
            process.kill()
        for process in found:
            process.wait()

    def empty_disk(self, name: str) -> None:
        """Lose the disk of a machine whose process does not run."""
        machine = self.machines[name]
        shutil.rmtree(machine.data_folder, ignore_errors=True)
        shutil.rmtree(machine.rig_folder, ignore_errors=True)

    def refuse_writes(self, name: str) -> None:
        """Have a machine's disk take no change any more; only under the rig."""
        (self.machines[name].rig_folder / FULL_MARK).touch()

    def is_refusing(self, name: str) -> bool:
        """Whether a machine's disk takes no change now."""
        machine = self.machines.get(name)
        return machine is not None and (machine.rig_folder / FULL_MARK).exists()

    def take_writes(self, name: str) -> None:
        """Have it take changes again."""
        (self.machines[name].rig_folder / FULL_MARK).unlink(missing_ok=True)

    def lose_power(self, names: Sequence[str], chance: random.Random) -> None:
        """Kill processes and leave on their disks what a loss of power may leave.

        Without the rig all that was written stays, as after a kill.
        """
        self.kill(*names)
        if not self.is_rigged:
            return
        for name in names:
            machine = self.machines[name]
            if machine.role == "store" and machine.data_folder.exists():
                told = lose_power(machine.data_folder, machine.rig_folder, chance)
                self.power_losses += [f"{name}: {each}" for each in told]

    def set_clock(self, name: str, offset_s: float) -> None:
        """Put a machine's time of day off by so many seconds; 0 sets it right."""
        machine = self.machines.get(name)
        if machine is None:
            return
        written = machine.clock_file.with_suffix(".new")
        with self._lock:
            written.write_text(f"{offset_s:.3f}", encoding="utf-8")
            written.replace(machine.clock_file)

    def wish_retired(self, name: str) -> None:
        """Ask for a store machine to be emptied."""
        self.store.records.put(WISHES, name, {"durationS": 30})

    def is_emptied(self, name: str) -> bool:
        """Whether it is reported emptied; the first time, who else lives is noted."""
        wish = self.store.records.get(WISHES, name)
        status = wish.status if wish is not None else None
        if not isinstance(status, dict) or status.get("state") != "completed":
            return False
        # Who was lost a moment ago may still be taken for alive.
        others = [
            other
            for other in self.names("store")
            if other != name and not self.touched.is_struck_for(other, LIVE_SLACK_S)
        ]
        self.emptied.append((name, others))
        return True

    def withdraw_wish(self, name: str) -> bool:
        """Ask no more; whether it was reported emptied by then."""
        was_noted = any(name == each for each, _ in self.emptied)
        was_emptied = was_noted or self.is_emptied(name)
        self.store.records.delete(WISHES, name)
        return was_emptied

    def name_next_version(self) -> int:
        """Name the next version of the model's weights; the version."""
        with self._lock:
            kept = self.store.records.get("versions", "drafts")
            version = (kept.spec["version"] if kept is not None else 1) + 1
            self.store.records.put("versions", "drafts", {"model": "drafts", "version": version})
            return version

    def stop(self, name: str) -> int:
        """Ask a process to stop and wait for its end; its exit code."""
        process = self.machines[name].process
        if process is None:
            return 0
        stop = self._note_stop(name, process)
        process.send_signal(signal.SIGTERM)
        code = process.wait(max(STOP_TIMEOUT_S, STOP_TIMEOUT_FACTOR * self.grace_period_s))
        stop.note_end()
        self.exit_codes.append((name, code))
        return code

    def _note_stop(self, name: str, process: "subprocess.Popen[bytes]") -> PlannedStop:
        """Note the first signal of a process's stop; return its note."""
        with self._lock:
            for stop in self.stops:
                if stop.process is process:
                    return stop
            stop = PlannedStop(name, process, time.monotonic())
            self.stops.append(stop)
            return stop

    def await_started(self, name: str) -> bool:
        """Wait until a machine's process heeds signals; False when it does not in time."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.machines[name].has_started:
                return True
            time.sleep(STARTED_POLL_S)
        return False

    def has_started(self, name: str) -> bool:
        """Whether a machine is there and its process serves."""
        machine = self.machines.get(name)
        return machine is not None and machine.has_started

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a machine's process."""
        process = self.machines[name].process
        if process is not None:
            if number == signal.SIGTERM:
                self._note_stop(name, process)
            process.send_signal(number)

    def resume(self, name: str, suspended_s: float) -> None:
        """Let a halted process go on as one whose machine was suspended; only under the rig."""
        machine = self.machines.get(name)
        if machine is not None:
            note_suspension(machine.suspension_file, suspended_s)
            self.signal(name, signal.SIGCONT)

    def beat(self) -> None:
        """Write every running worker's entry, where it has changed; those of others lapse."""
        for service, workers in (("llm", self.models), ("app", self.scorers)):
            for worker in workers:
                down_since_s = worker.down_since_s
                if down_since_s is not None:
                    if time.monotonic() - down_since_s >= LAPSE_S:
                        self.store.records.delete("servers", worker.instance)
                    continue
                entry = worker.entry(service, zone=self.zone_of(worker))
                kept = self.store.records.get("servers", worker.instance)
                if kept is None or kept.spec != entry:
                    self.store.records.put("servers", worker.instance, entry)

    @property
    def workers(self) -> list[WorkerStandIn]:
        """All workers of both services."""
        return [*self.models, *self.scorers]

    def zone_of(self, worker: WorkerStandIn) -> str:
        """The zone of a worker: the first one, or one each where zones may be evacuated."""
        workers = self.models if worker in self.models else self.scorers
        return ZONES[workers.index(worker) % self.zones if self.has_places else 0]

    def evacuate(self, zone: str) -> Evacuation | None:
        """Evacuate a zone; None while another one is evacuated, as some must serve."""
        with self._lock:
            if any(one.until_s is None for one in self.evacuations):
                return None
            self.store.records.put("evacuations", zone, {})
            evacuation = Evacuation(zone, time.monotonic())
            self.evacuations.append(evacuation)
            return evacuation

    def give_back(self, evacuation: Evacuation) -> None:
        """End an evacuation; the zone's workers have turned cold just before."""
        for worker in (*self.models, *self.scorers):
            if self.zone_of(worker) == evacuation.zone:
                worker.turn_cold()
        self.beat()
        evacuation.until_s = time.monotonic()
        self.store.records.delete("evacuations", evacuation.zone)

    def beat_for(self, seconds: float) -> None:
        """Let workers beat for a while."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.beat()
            time.sleep(BEAT_S)

    def address(self, name: str, interface: str) -> str:
        """`host:port` of one of a machine's interfaces."""
        return f"{self.machines[name].ip}:{self._listen()[interface]}"

    def jobs_leader(self) -> str | None:
        """Return the running store machine that took the batch jobs last, by the logs."""
        found = [
            (json.loads(line)["timestamp"], name)
            for name in self.running("store")
            for line in self.machines[name].log_of_life().splitlines()
            if '"coordination_taken"' in line
        ]
        return max(found)[1] if found else None

    def running(self, role: str) -> list[str]:
        """Names of the machines of a role whose processes run."""
        machines = list(self.machines.values())
        return [each.name for each in machines if each.role == role and each.is_running]

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
        seeds = [each.ip for each in list(self.machines.values()) if each.role == "gateway"][:SEEDS]
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
                "configMs": 2000,
                "gracePeriodS": self.grace_period_s,
                "ttl_max_s": 5,
                "cancelMs": 3000,
                "statusS": self.status_s,
                "usageWindowS": USAGE_WINDOW_S,
                "usageLateS": USAGE_LATE_S,
                **(PLACES_BOUNDS if self.has_places else {}),
            },
            "limits": {"memoryMb": MEMORY_MB, "maxFds": 4096},
            "tolerate": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "provider": {"address": self.store.address},
            "cloud": {"address": self.duties.address},
        }
