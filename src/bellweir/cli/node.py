"""`bellweir node`: runs one node."""

from dataclasses import dataclass

import cappa

from bellweir.cli.settings_commands import Assignments, SettingsFile, load_or_exit
from bellweir.entrypoints.node import run_node


@cappa.command(
    name="node",
    help="Run a node until SIGTERM. Example: bellweir node --settings node.toml",
)
@dataclass
class NodeCommand:
    """Run a node."""

    settings: SettingsFile = None
    assignments: Assignments = None

    def __call__(self) -> None:
        """Load the settings and run the node."""
        loaded = load_or_exit(self.settings, self.assignments)
        run_node(loaded.settings)
