"""Where a run keeps its files, and the names of its processes."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class RunFolder:
    """The folders of one run."""

    root: Path

    @property
    def logs(self) -> Path:
        """Logs of stand-ins and journals of the kit: what promises are checked against."""
        return self.root / "logs"

    @property
    def outputs(self) -> Path:
        """What processes wrote to their standard output and error."""
        return self.root / "outputs"

    @property
    def ready(self) -> Path:
        """Ready files."""
        return self.root / "ready"

    @property
    def settings(self) -> Path:
        """Settings files of nodes."""
        return self.root / "settings"

    @property
    def data(self) -> Path:
        """Data folders of nodes."""
        return self.root / "data"

    @property
    def journal(self) -> Path:
        """Journal of what callers, trainers, operators and faults did."""
        return self.logs / "rehearsal.jsonl"

    @property
    def network_faults(self) -> Path:
        """File of network faults that all nodes read."""
        return self.root / "network-faults.json"

    def create(self) -> None:
        """Make all folders."""
        for folder in (self.logs, self.outputs, self.ready, self.settings, self.data):
            folder.mkdir(parents=True, exist_ok=True)
