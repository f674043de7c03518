"""Command lines of the single stand-ins, `bellweir rehearse engine` and so on."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from bellweir_rehearsal.standins.application import ApplicationOptions, ApplicationStandin
from bellweir_rehearsal.standins.base import Standin
from bellweir_rehearsal.standins.engine import EngineStandin
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.machine_list import MachineListOptions, MachineListStandin
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin
from bellweir_rehearsal.standins.process import run_until_signal
from bellweir_rehearsal.standins.scorer import ScorerOptions, ScorerStandin
from bellweir_rehearsal.standins.weight_store import (
    PublishedVersion,
    WeightStoreOptions,
    WeightStoreStandin,
)


@dataclass
class StandinCommand:
    """Flags that all stand-ins share."""

    name: Annotated[str, cappa.Arg(long=True, help="Name in logs and answers.")] = "standin"
    host: Annotated[str, cappa.Arg(long=True, help="IP number to listen on.")] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True, help="Port; 0 lets the system choose.")] = 0
    ready_file: Annotated[
        Path | None, cappa.Arg(long=True, help="File written with the address once it is up.")
    ] = None
    log_file: Annotated[
        Path | None, cappa.Arg(long=True, help="File of JSON lines with all that it ran.")
    ] = None

    def __call__(self) -> None:
        """Run the stand-in until SIGTERM."""
        run_until_signal(self.make(), self.ready_file)

    def make(self) -> Standin:
        """Construct the stand-in."""
        raise NotImplementedError

    def shared(self) -> dict[str, Any]:
        """Options that all stand-ins share."""
        return {
            "name": self.name,
            "host": self.host,
            "port": self.port,
            "log_path": self.log_file,
        }


@cappa.command(name="engine", help="A model engine with continuous batching.")
@dataclass
class EngineCommand(StandinCommand):
    """Run an engine."""

    model: Annotated[str, cappa.Arg(long=True, help="Model that it serves.")] = "model"
    initial_version: Annotated[
        int, cappa.Arg(long=True, help="Weight version loaded at the start.")
    ] = 1
    time_scale: Annotated[
        float, cappa.Arg(long=True, help="Seconds of model time in one second of wall time.")
    ] = 1.0
    maximum_batch: Annotated[int, cappa.Arg(long=True, help="Sequences that run at once.")] = 64

    def make(self) -> Standin:
        """Construct the stand-in."""
        return EngineStandin(
            EngineOptions(
                **self.shared(),
                model=self.model,
                initial_version=self.initial_version,
                time_scale=self.time_scale,
                maximum_batch=self.maximum_batch,
            )
        )


@cappa.command(name="object-api", help="The platform's object API.")
@dataclass
class ObjectApiCommand(StandinCommand):
    """Run the object API."""

    maximum_watches: Annotated[
        int, cappa.Arg(long=True, help="Watches served at once; it serves a few readers only.")
    ] = 6
    kept_changes: Annotated[
        int, cappa.Arg(long=True, help="Changes that a watch can start from.")
    ] = 1000

    def make(self) -> Standin:
        """Construct the stand-in."""
        return ObjectApiStandin(
            ObjectApiOptions(
                **self.shared(),
                maximum_watches=self.maximum_watches,
                kept_changes=self.kept_changes,
            )
        )


@cappa.command(name="machine-list", help="The platform's lagging list of machines.")
@dataclass
class MachineListCommand(StandinCommand):
    """Run the machine list."""

    lag_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds after a change until the list shows it.")
    ] = 2.0

    def make(self) -> Standin:
        """Construct the stand-in."""
        return MachineListStandin(MachineListOptions(**self.shared(), lag_s=self.lag_s))


@cappa.command(name="weight-store", help="The rate-limited weight store.")
@dataclass
class WeightStoreCommand(StandinCommand):
    """Run the weight store."""

    time_scale: Annotated[
        float, cappa.Arg(long=True, help="Seconds of model time in one second of wall time.")
    ] = 1.0
    version: Annotated[
        list[str], cappa.Arg(long=True, help="A version held from the start, MODEL:VERSION.")
    ] = field(default_factory=list)

    def make(self) -> Standin:
        """Construct the stand-in."""
        return WeightStoreStandin(
            WeightStoreOptions(
                **self.shared(),
                time_scale=self.time_scale,
                versions=tuple(_published(text) for text in self.version),
            )
        )


@cappa.command(name="scorer", help="A service that scores samples.")
@dataclass
class ScorerCommand(StandinCommand):
    """Run a scorer."""

    service_time_s: Annotated[
        float, cappa.Arg(long=True, help="Wall time that one score takes, in seconds.")
    ] = 0.0

    def make(self) -> Standin:
        """Construct the stand-in."""
        return ScorerStandin(ScorerOptions(**self.shared(), service_time_s=self.service_time_s))


@cappa.command(name="app", help="An application worker that logs every run.")
@dataclass
class ApplicationCommand(StandinCommand):
    """Run an application worker."""

    service_time_s: Annotated[
        float, cappa.Arg(long=True, help="Wall time that a request takes, in seconds.")
    ] = 0.005

    def make(self) -> Standin:
        """Construct the stand-in."""
        return ApplicationStandin(
            ApplicationOptions(**self.shared(), service_time_s=self.service_time_s)
        )


def _published(text: str) -> PublishedVersion:
    model, _, version = text.rpartition(":")
    if not model or not version.isdecimal():
        raise cappa.Exit(f"--version: found {text!r}, allowed MODEL:VERSION", code=2)
    return PublishedVersion(model, int(version))
