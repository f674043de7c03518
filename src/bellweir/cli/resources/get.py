"""`bellweir get`: list resources, or print one."""

from dataclasses import dataclass
from typing import Annotated, Any

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
    kind_or_exit,
    print_json,
)


@cappa.command(
    name="get",
    help="List resources of a kind, or get one.",
    description="Example: bellweir get pools; bellweir get policy/writer -o json",
)
@dataclass
class GetCommand:
    """List resources."""

    kind: Annotated[str, cappa.Arg(help="policies, weightversions, pools, comparisons.")]
    name: Annotated[str | None, cappa.Arg(help="One resource.")] = None
    address: Address = None
    token_file: TokenFile = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print a table or JSON."""
        kind_name, _, inner = self.kind.partition("/")
        kind, name = kind_or_exit(kind_name), self.name or inner
        client = client_for(self.address, self.token_file)
        answer = client.get(kind, name) if name else client.list_resources(kind)
        match answer:
            case Failure(error):
                fail(error)
            case Success(found):
                if self.output == "json":
                    print_json(found)
                else:
                    print_resources([found] if name else found["items"])


def print_resources(resources: list[dict[str, Any]]) -> None:
    """Print resources as a table."""
    table = Table("kind", "name", "version", "generation", "conditions", "spec")
    for resource in resources:
        table.add_row(*_cells(resource))
    Console().print(table)


def _cells(resource: dict[str, Any]) -> tuple[str, ...]:
    metadata = resource["metadata"]
    return (
        str(resource["kind"]),
        str(metadata["name"]),
        str(metadata.get("resourceVersion", "")),
        str(metadata.get("generation", "")),
        conditions_in_short(resource),
        spec_in_short(resource),
    )


def conditions_in_short(resource: dict[str, Any]) -> str:
    """Each condition's type, with `!` where it does not hold."""
    conditions = resource.get("status", {}).get("conditions", ())
    return " ".join(("" if each["status"] else "!") + str(each["type"]) for each in conditions)


def spec_in_short(resource: dict[str, Any]) -> str:
    """The spec's plain values, and how many entries its lists have."""
    parts = []
    for key, value in resource.get("spec", {}).items():
        if isinstance(value, list):
            parts.append(f"{key}={len(value)}")
        elif not isinstance(value, dict):
            parts.append(f"{key}={value}")
    return " ".join(parts)
