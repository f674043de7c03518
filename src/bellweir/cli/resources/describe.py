"""`bellweir describe`: one resource in full, for people."""

import time
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import yaml
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
    resource_or_exit,
)


@cappa.command(
    name="describe",
    help="Show one resource with its conditions.",
    description="Example: bellweir describe policy/writer",
)
@dataclass
class DescribeCommand:
    """Show one resource with its conditions."""

    kind: Annotated[str, cappa.Arg(help="Kind, or KIND/NAME.")]
    name: Annotated[str | None, cappa.Arg(help="Name of the resource.")] = None
    address: Address = None
    token_file: TokenFile = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print the resource."""
        kind, name = resource_or_exit(self.kind, self.name)
        match client_for(self.address, self.token_file).get(kind, name):
            case Failure(error):
                fail(error)
            case Success(found):
                if self.output == "json":
                    print_json(found)
                else:
                    print_description(found)


def print_description(resource: dict[str, Any]) -> None:
    """Print metadata, spec and status, and the conditions as a table."""
    console = Console(highlight=False, markup=False, soft_wrap=True)
    status = dict(resource.get("status", {}))
    conditions = status.pop("conditions", [])
    shown: dict[str, Any] = {
        key: resource[key] for key in ("kind", "metadata", "spec") if key in resource
    }
    shown["status"] = status
    console.print(yaml.safe_dump(shown, sort_keys=False).rstrip())
    if not conditions:
        return
    table = Table("condition", "holds", "reason", "since", "message")
    for each in conditions:
        since = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(each.get("lastTransition", 0.0)))
        holds = "yes" if each["status"] else "no"
        table.add_row(each["type"], holds, each.get("reason", ""), since, each.get("message", ""))
    console.print(table)
