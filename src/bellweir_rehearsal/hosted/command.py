"""`bellweir rehearse hosted`: a short day of both hosted roles before the platform's stand-ins."""

import tempfile
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console

from bellweir.cli.exit_codes import PROMISE_BROKEN
from bellweir_rehearsal.hosted.day import Check, HostedDay


@cappa.command(
    name="hosted",
    help="Play a short day of the hosted roles, with kills and outages, on loopback.",
)
@dataclass
class HostedCommand:
    """Play the day."""

    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="Where to keep logs; a temporary folder by default.")
    ] = None

    def __call__(self) -> None:
        """Play it; the exit code is 5 when something that must hold did not."""
        if self.folder is not None:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._play(self.folder)
            return
        with tempfile.TemporaryDirectory(prefix="bellweir-hosted-") as folder:
            self._play(Path(folder))

    def _play(self, folder: Path) -> None:
        console = Console()
        with closing(HostedDay(folder, console.print)) as day:
            day.play()
        for check in day.checks:
            _print(console, check)
        if not all(check.held for check in day.checks):
            raise cappa.Exit(code=PROMISE_BROKEN)


def _print(console: Console, check: Check) -> None:
    verdict = "held" if check.held else "BROKEN"
    console.print(f"{verdict}  {check.name} ({check.checked} cases)", markup=False)
    for fault in check.faults[:3]:
        console.print(f"        {fault}", markup=False)
