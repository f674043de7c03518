"""`bellweir events`: the catalogue of log events."""

import json
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
from rich.console import Console
from rich.table import Table

from bellweir.events.catalogue import collect_events, render_catalogue


@cappa.command(name="events", help="List the numbered log events.")
@dataclass
class EventsCommand:
    """List the events that a node may log."""

    output: Annotated[
        Literal["table", "json"], cappa.Arg(short="-o", long="--output", help="table or json.")
    ] = "table"
    markdown: Annotated[
        bool, cappa.Arg(long="--markdown", help="Print the page docs/EVENTS.md.")
    ] = False

    def __call__(self) -> None:
        """Print the catalogue."""
        events = collect_events()
        if self.markdown:
            print(render_catalogue(events), end="")
            return
        if self.output == "json":
            rows = [
                {
                    "code": event.code,
                    "name": event.name,
                    "level": event.level.value,
                    "fields": event.fields,
                    "meaning": event.meaning,
                }
                for event in events
            ]
            print(json.dumps(rows, indent=2))
            return
        table = Table("code", "name", "level", "fields", "meaning")
        for event in events:
            table.add_row(
                event.code, event.name, event.level.value, ", ".join(event.fields), event.meaning
            )
        Console().print(table)
