"""`bellweir rehearse hosted`: a short day of both hosted roles before the platform's stand-ins."""

import tempfile
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console

from bellweir.cli.exit_codes import PROMISE_BROKEN
from bellweir_rehearsal.hosted.builds import build_of
from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.day import HostedDay
from bellweir_rehearsal.hosted.soak import HostedSoak, size_by_seed
from bellweir_rehearsal.hosted.soak_faults import (
    ALL_FAULTS,
    ANSWER_FAULTS,
    BUDGET_FAULTS,
    BUILD_FAULTS,
    CRASH_FAULTS,
    LASTING_FAULTS,
    PLACES_FAULTS,
    STREAM_FAULTS,
    SUSPENSION_FAULTS,
    TEXT_FAULTS,
    WORKER_CRASH_FAULTS,
)


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
    gateways: Annotated[int, cappa.Arg(long=True, help="Gateways of the soak; 0: by the seed.")] = 0
    stores: Annotated[int, cappa.Arg(long=True, help="Its store machines; 0: by the seed.")] = 0

    lasting: Annotated[
        bool,
        cappa.Arg(long=True, help="Strike only what lasts: disks, clocks, which machines exist."),
    ] = False

    places: Annotated[
        bool, cappa.Arg(long=True, help="Evacuate zones and have workers cold after a start.")
    ] = False

    texts: Annotated[
        bool, cappa.Arg(long=True, help="Have texts take seconds, and lose leaders in their midst.")
    ] = False

    suspensions: Annotated[
        bool, cappa.Arg(long=True, help="Suspend machines while versions and routes change.")
    ] = False

    crashes: Annotated[
        bool, cappa.Arg(long=True, help="Send requests that crash the workers that run them.")
    ] = False

    worker_crashes: Annotated[
        bool, cappa.Arg(long=True, help="Have workers crash in series beside such requests.")
    ] = False

    budgets: Annotated[
        bool,
        cappa.Arg(long=True, help="Have items fail at each run while their leaders are lost."),
    ] = False

    streams: Annotated[
        bool,
        cappa.Arg(long=True, help="Stop machines and have workers refuse under long streams."),
    ] = False

    broken_answers: Annotated[
        bool,
        cappa.Arg(long=True, help="Have workers break answers: cut, doubled, garbled, endless."),
    ] = False

    older: Annotated[
        str, cappa.Arg(long=True, help="A commit; a soak changes between its build and this one.")
    ] = ""

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
            console.print(played.report().line(), markup=False, soft_wrap=True)
            verdicts = [(check, played.holds(check)) for check in played.checks]
        else:
            verdicts = [(check, check.held) for check in played.checks]
        for check, holds in verdicts:
            _print(console, check, holds)
        if not all(holds for _, holds in verdicts):
            raise cappa.Exit(code=PROMISE_BROKEN)

    def _made(self, folder: Path, console: Console) -> HostedDay | HostedSoak:
        if not self.soak_s:
            return HostedDay(folder, console.print)
        gateways, stores = size_by_seed(self.seed)
        size = (self.gateways or gateways, self.stores or stores)
        faults = LASTING_FAULTS if self.lasting else ALL_FAULTS
        if self.places:
            faults = PLACES_FAULTS
        if self.texts:
            faults = TEXT_FAULTS
        if self.suspensions:
            faults = SUSPENSION_FAULTS
        if self.crashes:
            faults = CRASH_FAULTS
        if self.worker_crashes:
            faults = WORKER_CRASH_FAULTS
        if self.budgets:
            faults = BUDGET_FAULTS
        if self.streams:
            faults = STREAM_FAULTS
        if self.broken_answers:
            faults = ANSWER_FAULTS
        older = None
        if self.older:
            faults = (*faults, *BUILD_FAULTS)
            home = folder / "older-build"
            home.mkdir()
            older = build_of(self.older, home)
        told = console.print
        return HostedSoak(
            folder,
            self.seed,
            self.soak_s,
            *size,
            told=told,
            only=faults,
            older=older,
            has_places=self.places,
            has_long_texts=self.texts or self.worker_crashes or self.streams,
            has_streams=self.streams,
            has_broken_answers=self.broken_answers,
        )


def _print(console: Console, check: Check, holds: bool) -> None:
    verdict = "held" if holds else "BROKEN"
    console.print(f"{verdict}  {check.name} ({check.checked} cases)", markup=False)
    for fault in check.faults[:3]:
        console.print(f"        {fault}", markup=False)
