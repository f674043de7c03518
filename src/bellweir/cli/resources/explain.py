"""`bellweir explain`: what a field means, or what became of a request."""

from dataclasses import asdict, dataclass
from typing import Annotated

import cappa
from rich.console import Console
from rich.table import Table

from bellweir.cli import exit_codes
from bellweir.cli.request_explanation import explain_request
from bellweir.cli.resources.options import OutputFormat, print_json
from bellweir.resources.models import KINDS
from bellweir.resources.reference import explain, render_reference


@cappa.command(
    name="explain",
    help="Explain a kind or a field; with --log, what became of a request or batch job.",
    description=(
        "Examples:\n\n"
        "- bellweir explain pool.spec.workers\n"
        "- bellweir explain 9c41d07be2a35f68 --log gateway.log --log store.log"
    ),
)
@dataclass
class ExplainCommand:
    """Explain fields or requests; needs no node."""

    path: Annotated[
        str | None,
        cappa.Arg(help="KIND or KIND.PATH, such as pool.spec; with --log the id of a request."),
    ] = None
    log: Annotated[
        list[str] | None,
        cappa.Arg(long="--log", help="File of log lines of a process; - for standard input."),
    ] = None
    markdown: Annotated[
        bool, cappa.Arg(long="--markdown", help="Print the page docs/RESOURCES.md.")
    ] = False
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print the fields at the path and right below it."""
        if self.markdown:
            print(render_reference(), end="")
            return
        if self.path is None:
            raise cappa.Exit(f"name a kind: {', '.join(KINDS)}", code=exit_codes.USAGE)
        if self.log:
            explain_request(self.path, self.log, self.output)
            return
        try:
            fields = explain(self.path)
        except KeyError as failure:
            raise cappa.Exit(f"there is no {self.path}", code=exit_codes.NOT_FOUND) from failure
        if self.output == "json":
            print_json([asdict(field) for field in fields])
            return
        table = Table("field", "type", "default", "meaning")
        for field in fields:
            table.add_row(field.path, field.type, field.default, field.description)
        Console().print(table)
