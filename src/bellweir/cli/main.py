"""The command line's entry: assembles the commands of all packages."""

import importlib
import sys
from dataclasses import dataclass

import cappa

from bellweir.cli.events_command import EventsCommand
from bellweir.cli.node import NodeCommand
from bellweir.cli.settings_commands import SettingsCommand

REHEARSE = "rehearse"
REHEARSAL_MODULE = "bellweir_rehearsal.cli"


@cappa.command(
    name="bellweir",
    help="Rollout service for reinforcement learning.",
    description="Examples: bellweir node --settings node.toml; bellweir rehearse demo",
)
@dataclass
class Bellweir:
    """The executable."""

    command: cappa.Subcommands[NodeCommand | SettingsCommand | EventsCommand]


def main() -> None:
    """Run the command line with the process's arguments."""
    arguments = sys.argv[1:]
    if arguments[:1] == [REHEARSE]:
        run_rehearsal(arguments[1:])
        return
    cappa.invoke(Bellweir, argv=arguments)


def run_rehearsal(arguments: list[str]) -> None:
    """Run the rehearsal kit, which is imported only here so that nodes never load it."""
    importlib.import_module(REHEARSAL_MODULE).main(arguments)
