"""`bellweir rehearse hosted`: a short day of both hosted roles before the platform's stand-ins."""

import tempfile
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console

from bellweir.cli.exit_codes import PROMISE_BROKEN
from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.day import HostedDay
from bellweir_rehearsal.hosted.soak import HostedSoak


@cappa.command(
    name="hosted",
    help="Play a short day of the hosted roles, or a soak with random faults, on loopback.",
    description="Examples: bellweir rehearse hosted; bellweir rehearse hosted --soak-s 60 --seed 4",
)
@dataclass
class HostedCommand:
    """Play the day."""

    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="Where to keep logs; a temporary folder by default.")
    ] = None
    soak_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds of a soak; 0 plays the short day instead.")
    ] = 0.0
    seed: Annotated[int, cappa.Arg(long=True, help="Draws the soak's faults.")] = 1
    gateways: Annotated[int, cappa.Arg(long=True, help="Gateways of the soak.")] = 12
    stores: Annotated[int, cappa.Arg(long=True, help="Store machines of the soak.")] = 5

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
        with closing(self._made(folder, console)) as played:
            played.play()
        if isinstance(played, HostedSoak):
            struck = ", ".join(f"{name} {count}" for name, count in sorted(played.strikes.items()))
            console.print(f"seed {self.seed}: {struck}", markup=False)
        for check in played.checks:
            _print(console, check)
        if not all(check.held for check in played.checks):
            raise cappa.Exit(code=PROMISE_BROKEN)

    def _made(self, folder: Path, console: Console) -> HostedDay | HostedSoak:
        if not self.soak_s:
            return HostedDay(folder, console.print)
        told = console.print
        return HostedSoak(folder, self.seed, self.soak_s, self.gateways, self.stores, told)


def _print(console: Console, check: Check) -> None:
    verdict = "held" if check.held else "BROKEN"
    console.print(f"{verdict}  {check.name} ({check.checked} cases)", markup=False)
    for fault in check.faults[:3]:
        console.print(f"        {fault}", markup=False)
