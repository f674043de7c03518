"""One child process: started with a ready file, paused, killed and ended by its process id."""

import json
import signal
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

READY_POLL_S = 0.02


class ProcessFailedError(RuntimeError):
    """A process ended early or was not ready in time."""


class ManagedProcess:
    """A child process that writes a ready file once it is up.

    Its output goes to a file that later starts append to.
    """

    def __init__(
        self, name: str, command: Sequence[str], ready_file: Path, output_file: Path
    ) -> None:
        self.name = name
        self.incarnation = 0
        self._command = list(command)
        self._ready_file = ready_file
        self._output_file = output_file
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process_id(self) -> int | None:
        """Id of the newest process, also after it ended; None before the first start."""
        return self._process.pid if self._process else None

    @property
    def running(self) -> bool:
        """Whether the process is there, paused or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def output_file(self) -> Path:
        """File with what the process wrote to its standard output and error."""
        return self._output_file

    def start(self) -> None:
        """Start the process. Raises `RuntimeError` when it still runs."""
        if self.running:
            raise RuntimeError(f"{self.name} is running")
        self._ready_file.unlink(missing_ok=True)
        self.incarnation += 1
        with self._output_file.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def wait_ready(self, timeout_s: float) -> dict[str, Any]:
        """Wait for the ready file and return its contents.

        Raises `ProcessFailedError` when the process ends first or the time is over.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            ready = self._read_ready_file()
            if ready is not None:
                return ready
            if not self.running:
                raise ProcessFailedError(f"{self.name} ended before it was ready: {self._tail()}")
            time.sleep(READY_POLL_S)
        raise ProcessFailedError(f"{self.name} not ready within {timeout_s:g} s: {self._tail()}")

    def kill(self) -> int:
        """End the process at once, as a crash does; return its exit code."""
        return self._end(signal.SIGKILL, timeout_s=10.0)

    def terminate(self, timeout_s: float) -> int:
        """Ask the process to stop and wait; killed when the time is over. Return its exit code."""
        return self._end(signal.SIGTERM, timeout_s)

    def pause(self) -> None:
        """Freeze the process (SIGSTOP)."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._send(signal.SIGCONT)

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def _end(self, number: signal.Signals, timeout_s: float) -> int:
        if self._process is None:
            return 0
        self._send(number)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()

    def _read_ready_file(self) -> dict[str, Any] | None:
        try:
            contents = json.loads(self._ready_file.read_bytes())
        except (FileNotFoundError, json.JSONDecodeError):
            return None
        return contents if isinstance(contents, dict) else None

    def _tail(self, length: int = 1500) -> str:
        try:
            return self._output_file.read_bytes()[-length:].decode(errors="replace")
        except OSError:
            return ""
