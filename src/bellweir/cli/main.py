"""The command line's entry: assembles the commands of all packages."""

import importlib
import sys
from dataclasses import dataclass

import cappa

from bellweir.cli.events_command import EventsCommand
from bellweir.cli.ledger_commands import LedgerCommand
from bellweir.cli.node import NodeCommand
from bellweir.cli.resources import (
    ApplyCommand,
    DeleteCommand,
    DescribeCommand,
    DiffCommand,
    ExplainCommand,
    GetCommand,
    StatusCommand,
    WaitCommand,
    WatchCommand,
)
from bellweir.cli.settings_commands import SettingsCommand

REHEARSE = "rehearse"
REHEARSAL_MODULE = "bellweir_rehearsal.cli"


@cappa.command(
    name=REHEARSE,
    help="Rehearsals: demo, load, faults, experiments, soak. See bellweir rehearse --help",
)
@dataclass
class RehearseStub:
    """Stands in the help; `main` passes the command on before arguments are parsed."""


@cappa.command(
    name="bellweir",
    help="Rollout service for reinforcement learning.",
    description=(
        "Examples:\n\n"
        "- bellweir rehearse demo\n"
        "- bellweir node --settings node.toml\n"
        "- bellweir apply -f policies/ --address 127.0.0.1:8080\n"
        "- bellweir get pools -o json\n"
        "- bellweir explain Pool.spec"
    ),
)
@dataclass
class Bellweir:
    """The executable."""

    command: cappa.Subcommands[
        NodeCommand
        | ApplyCommand
        | GetCommand
        | DescribeCommand
        | WatchCommand
        | DeleteCommand
        | DiffCommand
        | WaitCommand
        | ExplainCommand
        | StatusCommand
        | SettingsCommand
        | EventsCommand
        | LedgerCommand
        | RehearseStub
    ]


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
