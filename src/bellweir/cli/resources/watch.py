"""`bellweir watch`: changes of a kind as they come into force."""

import json
import time
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from returns.result import Failure, Success

from bellweir.cli import exit_codes
from bellweir.cli.resources.get import conditions_in_short, spec_in_short
from bellweir.cli.resources.options import (
    Address,
    OutputFormat,
    Timeout,
    TokenFile,
    client_for,
    fail,
    kind_or_exit,
    print_report,
)

ERROR_EVENT = "ERROR"


@cappa.command(
    name="watch",
    help="Print changes of a kind as they come into force.",
    description="Example: bellweir watch policies --timeout 60 -o json",
)
@dataclass
class WatchCommand:
    """Print changes until the time is over."""

    kind: Annotated[str, cappa.Arg(help="policies, weightversions, pools, comparisons.")]
    from_version: Annotated[
        int | None, cappa.Arg(long="--from", help="Revision to start after; default: now.")
    ] = None
    timeout: Timeout = 60.0
    address: Address = None
    token_file: TokenFile = None
    output: OutputFormat = "table"

    def __call__(self) -> None:
        """Print one line for each change."""
        kind = kind_or_exit(self.kind)
        client = client_for(self.address, self.token_file)
        for answer in client.watch(kind, self.from_version, self.timeout):
            match answer:
                case Failure(error):
                    fail(error)
                case Success(event):
                    self._print(event)

    def _print(self, event: dict[str, Any]) -> None:
        if event["type"] == ERROR_EVENT:
            print_report(f"watch ended: {event['object'].get('detail', '')}; list again")
            raise cappa.Exit(code=exit_codes.FAILED)
        if self.output == "json":
            print(json.dumps(event), flush=True)
            return
        resource = event["object"]
        metadata = resource["metadata"]
        parts = [
            time.strftime("%H:%M:%S"),
            event["type"],
            f"{resource.get('kind', '')}/{metadata['name']}",
            f"version={metadata.get('resourceVersion', '')}",
            conditions_in_short(resource),
            spec_in_short(resource),
        ]
        print(" ".join(part for part in parts if part), flush=True)
