"""`bellweir status`: a node's overview of the cluster."""

from dataclasses import dataclass
from typing import Any

import cappa
from returns.result import Failure, Success
from rich.console import Console
from rich.table import Table

from bellweir.cli.resources.options import (
    Address,
    OutputFormat,
    TokenFile,
    client_for,
    fail,
    print_json,
)


@cappa.command(
    name="status",
    help="Show a node's view: its revision, the members and the pools.",
    description="Example: bellweir status --address 127.0.0.1:8080",
)
@dataclass
class StatusCommand:
    """Show what one node sees."""

    address: Address = None
    token_file: TokenFile = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print tables or JSON."""
        match client_for(self.address, self.token_file).status():
            case Failure(error):
                fail(error)
            case Success(found):
                if self.output == "json":
                    print_json(found)
                else:
                    print_status(found)


def print_status(status: dict[str, Any]) -> None:
    """Print the node, its members and its pools."""
    console = Console(highlight=False)
    draining = ", draining" if status.get("draining") else ""
    ready = "ready" if status.get("configuration_ready") else "without configuration"
    console.print(
        f"node {status['node']} in {status['region']}/{status['zone']}: {ready}{draining}, "
        f"revision {status['revision_in_force']} in force"
    )
    members = Table("node", "state", "zone", "region", "gateway", "data folder")
    for member in status.get("members", ()):
        folder = "yes" if member.get("has_data_folder") else "no"
        members.add_row(
            member["node"],
            member["state"],
            member["zone"],
            member["region"],
            member["gateway_address"],
            folder,
        )
    console.print(members)
    console.print(_pool_table(status.get("pools", ())))


def _pool_table(pools: Any) -> Table:
    table = Table("pool", "worker", "zone", "ready", "version", "outstanding here", "load")
    for pool in pools:
        for backend in pool["backends"]:
            ready = "leaving" if backend["leaving"] else "yes" if backend["ready"] else "no"
            version = backend["weight_version"]
            table.add_row(
                pool["name"],
                backend["worker"],
                backend["zone"],
                ready,
                "" if version is None else str(version),
                str(backend["outstanding_here"]),
                str(backend["reported_load"]),
            )
    return table
