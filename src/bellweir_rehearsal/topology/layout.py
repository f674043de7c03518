"""Where a run keeps its files, and the names of its processes."""

import shutil
from dataclasses import dataclass
from pathlib import Path


class FolderInUseError(OSError):
    """A run's folder holds something else than an earlier run."""


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
        """Make all folders, in place of those of an earlier run.

        Raises `FolderInUseError` when something is there that no run has left: a run's logs must
        not be mixed with others, and nothing of anybody else's is removed.
        """
        if self.root.exists() and any(self.root.iterdir()) and not self.journal.exists():
            raise FolderInUseError(f"{self.root} holds something else than an earlier run")
        for folder in (self.logs, self.outputs, self.ready, self.settings, self.data):
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir(parents=True)
