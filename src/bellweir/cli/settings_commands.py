"""`bellweir settings check` and `bellweir settings show`."""

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
import msgspec
from pydantic import BaseModel
from rich.console import Console
from rich.table import Table

from bellweir.cli import exit_codes
from bellweir.hosted.settings import parse_settings as parse_hosted
from bellweir.settings.findings import SettingsError
from bellweir.settings.loader import LoadedSettings, load_settings

SettingsFile = Annotated[
    Path | None, cappa.Arg(long="--settings", help="TOML file with the node's settings.")
]
Assignments = Annotated[
    list[str] | None, cappa.Arg(long="--set", help="A setting, KEY.PATH=VALUE; repeatable.")
]
OutputFormat = Annotated[
    Literal["table", "json"], cappa.Arg(short="-o", long="--output", help="table or json.")
]


def load_or_exit(file: Path | None, assignments: list[str] | None) -> LoadedSettings:
    """Load the settings; all findings go to stderr and the exit code is `INVALID`."""
    try:
        return load_settings(file, os.environ, tuple(assignments or ()))
    except SettingsError as failure:
        raise exit_with_findings(failure) from failure


@cappa.command(name="check", help="Check settings; all findings at once.")
@dataclass
class CheckSettings:
    """Check settings without starting anything."""

    settings: SettingsFile = None
    assignments: Assignments = None

    def __call__(self) -> None:
        """Report the findings, or say that there are none."""
        load_or_exit(self.settings, self.assignments)
        Console().print("settings are valid")


@cappa.command(name="show", help="Show the effective settings and where each came from.")
@dataclass
class ShowSettings:
    """Print each setting with its origin; settings name files of secrets, never secrets."""

    settings: SettingsFile = None
    assignments: Assignments = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print a table or JSON."""
        loaded = load_or_exit(self.settings, self.assignments)
        rows = [
            EffectiveSetting(key_path, value, loaded.origin_of(key_path))
            for key_path, value in effective_values(loaded.settings)
        ]
        if self.output == "json":
            print(json.dumps([row.as_json() for row in rows], indent=2))
        else:
            print_table(rows)


@cappa.command(name="hosted", help="Show the settings of a hosted process, defaults included.")
@dataclass
class ShowHostedSettings:
    """Print each setting of a hosted process and whether its file gives it."""

    file: Annotated[Path, cappa.Arg(help="The JSON file that the platform fills in.")]
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print a table or JSON; a file with faults ends with all of them."""
        try:
            content = self.file.read_bytes()
            loaded = parse_hosted(content)
        except OSError as failure:
            raise cappa.Exit(str(failure), code=exit_codes.INVALID) from failure
        except SettingsError as failure:
            raise exit_with_findings(failure) from failure
        given = json.loads(content)
        rows = [
            EffectiveSetting(f"{concern}.{key}", value, _hosted_origin(given, concern, key))
            for concern, values in msgspec.to_builtins(loaded.settings).items()
            for key, value in values.items()
        ]
        if self.output == "json":
            print(json.dumps([row.as_json() for row in rows], indent=2))
        else:
            print_table(rows)


def _hosted_origin(given: dict[str, Any], concern: str, key: str) -> str:
    return "settings file" if key in given.get(concern, {}) else "default"


def exit_with_findings(failure: SettingsError) -> cappa.Exit:
    """Print all findings to stderr; return the exit to raise."""
    console = Console(stderr=True, soft_wrap=True, highlight=False, markup=False)
    for finding in failure.findings:
        console.print(str(finding))
    return cappa.Exit(f"{len(failure.findings)} findings", code=exit_codes.INVALID)


@dataclass(frozen=True)
class EffectiveSetting:
    """One setting in force."""

    key_path: str
    value: Any
    origin: str

    def as_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {"setting": self.key_path, "value": self.value, "origin": self.origin}


def effective_values(settings: BaseModel) -> Iterator[tuple[str, Any]]:
    """Yield the dotted path and JSON value of each setting of each concern."""
    for concern, values in settings.model_dump(mode="json").items():
        for key, value in values.items():
            yield f"{concern}.{key}", value


def print_table(rows: list[EffectiveSetting]) -> None:
    """Print settings as a table."""
    table = Table("setting", "value", "origin")
    for row in rows:
        table.add_row(row.key_path, json.dumps(row.value), row.origin)
    Console().print(table)


@cappa.command(name="settings", help="Check and show settings.")
@dataclass
class SettingsCommand:
    """Commands about settings."""

    command: cappa.Subcommands[CheckSettings | ShowSettings | ShowHostedSettings]
