"""`bellweir ledger placement` and `bellweir ledger recover`."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Annotated

import cappa
from rich.console import Console
from rich.table import Table

from bellweir.cli import exit_codes
from bellweir.cli.settings_commands import Assignments, OutputFormat, SettingsFile, load_or_exit
from bellweir.clients.interface import PlatformError
from bellweir.clients.service import HttpPlatformClients, NoAddressError
from bellweir.ledger.placement import Placement, PlacementStore
from bellweir.ledger.recovery import RecoveryRefusal, call_for_recovery
from bellweir.settings.models import Settings


@contextmanager
def placement_store(settings: Settings) -> Iterator[PlacementStore]:
    """The placement in the platform's store that the settings name."""
    clients = HttpPlatformClients(settings.platform)
    try:
        yield PlacementStore(clients.object_store())
    except NoAddressError as failure:
        raise cappa.Exit(str(failure), code=exit_codes.INVALID) from failure
    finally:
        clients.close()


def read_placement(store: PlacementStore) -> Placement:
    """The placement, or an exit with the cause."""
    found = store.read()
    if isinstance(found, PlatformError):
        raise cappa.Exit(found.detail, code=exit_codes.UNREACHABLE)
    return found[0]


@cappa.command(name="placement", help="Show which nodes hold each shard, as last published.")
@dataclass
class PlacementCommand:
    """Print the placement."""

    settings: SettingsFile = None
    assignments: Assignments = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print a table or JSON."""
        loaded = load_or_exit(self.settings, self.assignments)
        with placement_store(loaded.settings) as store:
            placement = read_placement(store)
        rows = [
            {
                "shard": shard,
                "generation": home.generation,
                "voters": [one.node for one in home.replicas.voters],
                "learners": [one.node for one in home.replicas.learners],
            }
            for shard, home in enumerate(placement.shards)
        ]
        if self.output == "json":
            print(json.dumps(rows, indent=2))
            return
        table = Table("shard", "generation", "voters", "learners")
        for row in rows:
            table.add_row(*(str(value) for value in row.values()))
        Console().print(table)


@cappa.command(
    name="recover",
    help="Go on with one replica of shards whose majority is gone for good. Loses what only the "
    "lost replicas held; see docs/operators/ledger-recovery.md",
)
@dataclass
class RecoverCommand:
    """Call for a recovery of shards."""

    survivor: Annotated[
        str, cappa.Arg(long="--survivor", help="Node whose replica the shards go on with.")
    ]
    shard: Annotated[
        list[int], cappa.Arg(long="--shard", help="Number of a shard to recover; repeatable.")
    ]
    lost_for_good: Annotated[
        bool,
        cappa.Arg(long="--lost-for-good", help="Yes, the other voters will never come back."),
    ] = False
    settings: SettingsFile = None
    assignments: Assignments = None

    def __call__(self) -> None:
        """Write the new generation of the shards, or say why not."""
        if not self.lost_for_good:
            raise cappa.Exit("say --lost-for-good to confirm", code=exit_codes.USAGE)
        loaded = load_or_exit(self.settings, self.assignments)
        with placement_store(loaded.settings) as store:
            outcome = call_for_recovery(store, self.shard, self.survivor)
        if isinstance(outcome, RecoveryRefusal):
            raise cappa.Exit(outcome.detail, code=exit_codes.FAILED)
        for recovered in outcome:
            Console().print(
                f"shard {recovered.shard} goes on as generation {recovered.generation} "
                f"with {recovered.survivor.node}"
            )


@cappa.command(name="ledger", help="Show the ledger's placement; recover lost shards.")
@dataclass
class LedgerCommand:
    """Commands about the ledger."""

    command: cappa.Subcommands[PlacementCommand | RecoverCommand]
