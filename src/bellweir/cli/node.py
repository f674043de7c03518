"""`bellweir node`: runs one node."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bellweir.cli import exit_codes
from bellweir.entrypoints.node import run_node
from bellweir.settings.findings import SettingsError
from bellweir.settings.loader import load_settings


@cappa.command(
    name="node",
    help="Run a node until SIGTERM. Example: bellweir node --settings node.toml",
)
@dataclass
class NodeCommand:
    """Run a node."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--settings", help="TOML file with the node's settings.")
    ] = None
    assignments: Annotated[
        list[str], cappa.Arg(long="--set", help="A setting, KEY.PATH=VALUE; repeatable.")
    ] = None  # type: ignore[assignment]

    def __call__(self) -> None:
        """Load the settings and run the node."""
        try:
            loaded = load_settings(self.settings, os.environ, tuple(self.assignments or ()))
        except SettingsError as failure:
            raise cappa.Exit(str(failure), code=exit_codes.INVALID) from failure
        run_node(loaded.settings)
