"""The stand-ins of a deployment as child processes."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path

from bellweir_rehearsal.callers.http import CutError, HttpClient, NotConnectedError
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.processes import ManagedProcess

READY_TIMEOUT_S = 30.0
CONTROL_TIMEOUT_S = 5.0


class ControlError(RuntimeError):
    """A stand-in did not take an order of the kit."""


@dataclass(frozen=True)
class StandinCommand:
    """The command line of one stand-in: `bellweir rehearse KIND ARGUMENTS`."""

    kind: str
    name: str
    zone: str = ""
    arguments: tuple[str, ...] = ()


class StandinProcess:
    """One stand-in; when it is started again it listens on the port it had before."""

    def __init__(self, command: StandinCommand, folder: RunFolder, client: HttpClient) -> None:
        self.command = command
        self.address = ""
        self._folder = folder
        self._client = client
        self._process: ManagedProcess | None = None

    @property
    def name(self) -> str:
        """Name of the stand-in."""
        return self.command.name

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self._process is not None and self._process.running

    @property
    def log_file(self) -> Path:
        """Its log of what it ran."""
        return self._folder.logs / f"{self.command.kind}-{self.name}.jsonl"

    def start(self) -> None:
        """Start the process, without waiting until it is up; does nothing when it runs."""
        if self.running:
            return
        port = self.address.rpartition(":")[2] or "0"
        ready_file = self._folder.ready / f"{self.name}.json"
        self._process = ManagedProcess(
            self.name,
            [
                sys.executable,
                "-m",
                "bellweir_rehearsal",
                self.command.kind,
                "--name",
                self.name,
                "--port",
                port,
                "--ready-file",
                str(ready_file),
                "--log-file",
                str(self.log_file),
                *self.command.arguments,
            ],
            ready_file,
            self._folder.outputs / f"{self.name}.txt",
        )
        self._process.start()

    def wait_ready(self) -> None:
        """Wait until it is up. Raises `ProcessFailedError`."""
        if self._process is not None:
            self.address = self._process.wait_ready(READY_TIMEOUT_S)["address"]

    def kill(self) -> None:
        """End it at once, as a crash does."""
        if self._process is not None:
            self._process.kill()

    def stop(self) -> None:
        """End it; what it has in hand is cut."""
        if self._process is not None:
            self._process.terminate(timeout_s=5.0)

    def pause(self) -> None:
        """Freeze its process."""
        if self._process is not None:
            self._process.pause()

    def resume(self) -> None:
        """Let its frozen process go on."""
        if self._process is not None:
            self._process.resume()

    def control(self, method: str, path: str, document: object | None = None) -> bytes:
        """Send it an order of the kit; return the answer. Raises `ControlError`."""
        body = None if document is None else json.dumps(document).encode()
        try:
            answer = self._client.send(
                self.address, method, path, body=body, timeout_s=CONTROL_TIMEOUT_S
            )
        except (NotConnectedError, CutError) as failure:
            raise ControlError(f"{self.name}: {failure}") from failure
        if answer.status != 200:
            raise ControlError(f"{self.name}: {path}: {answer.status} {answer.body[:200]!r}")
        return answer.body

    def inject(self, fault: str, duration_s: float, **options: object) -> None:
        """Put a fault in force, by the name it has in the stand-ins. Raises `ControlError`."""
        self.control("POST", "/faults", {"kind": fault, "duration_s": duration_s, **options})

    def clear_faults(self) -> None:
        """End all its faults. Raises `ControlError`."""
        self.control("DELETE", "/faults")
