"""The nodes of a deployment as child processes with settings files."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.processes import ManagedProcess
from bellweir_rehearsal.topology.settings_file import Concerns, merged, write_settings

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class NodePlace:
    """Who and where a node is."""

    name: str
    zone: str
    region: str
    has_data_folder: bool


class NodeProcess:
    """One node; when it is started again it listens on the ports it had before."""

    def __init__(self, place: NodePlace, folder: RunFolder, common: Concerns) -> None:
        self.place = place
        self.peer_address = ""
        self.gateway_address = ""
        self._common = common
        self._folder = folder
        self._settings_file = folder.settings / f"{place.name}.toml"
        ready_file = folder.ready / f"{place.name}.json"
        self._ready_file = ready_file
        self._process = ManagedProcess(
            place.name,
            [sys.executable, "-m", "bellweir", "node", "--settings", str(self._settings_file)],
            ready_file,
            folder.outputs / f"{place.name}.txt",
        )

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.place.name

    @property
    def incarnation(self) -> int:
        """How often its process has been started."""
        return self._process.incarnation

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self._process.running

    @property
    def process_id(self) -> int | None:
        """Id of its newest process."""
        return self._process.process_id

    def start(self, seeds: Sequence[str]) -> None:
        """Write the settings file and start the process, without waiting until it is up."""
        write_settings(self._settings_file, self._settings(seeds))
        self._process.start()

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until it is up. Raises `ProcessFailedError`."""
        ready = self._process.wait_ready(timeout_s)
        self.peer_address = ready["peer_address"]
        self.gateway_address = ready["gateway_address"]

    def kill(self) -> int:
        """End it at once; return its exit code."""
        return self._process.kill()

    def terminate(self) -> int:
        """Stop it as planned and wait; return its exit code."""
        return self._process.terminate(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Freeze its process."""
        self._process.pause()

    def resume(self) -> None:
        """Let its frozen process go on."""
        self._process.resume()

    def _settings(self, seeds: Sequence[str]) -> dict[str, dict[str, object]]:
        data_folder = None
        if self.place.has_data_folder:
            data_folder = self._folder.data / self.name
            data_folder.mkdir(parents=True, exist_ok=True)
        identity = {
            "name": self.name,
            "zone": self.place.zone,
            "region": self.place.region,
            "peer_port": _port(self.peer_address),
            "gateway_port": _port(self.gateway_address),
            "data_folder": data_folder,
            "ready_file": self._ready_file,
        }
        own: Concerns = {"node": identity, "membership": {"seeds": list(seeds)}}
        return merged(own, self._common)


def _port(address: str) -> int:
    return int(address.rpartition(":")[2] or "0")
