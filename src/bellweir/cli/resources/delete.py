"""`bellweir delete`: delete a resource that nothing names."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from returns.result import Failure, Success

from bellweir.cli.resources.options import (
    Address,
    DryRun,
    TokenFile,
    client_for,
    fail,
    resource_or_exit,
)


@cappa.command(
    name="delete",
    help="Delete a resource that no other names.",
    description="Example: bellweir delete comparison/test",
)
@dataclass
class DeleteCommand:
    """Delete a resource; refused while another one names it."""

    kind: Annotated[str, cappa.Arg(help="Kind, or KIND/NAME.")]
    name: Annotated[str | None, cappa.Arg(help="Name of the resource.")] = None
    address: Address = None
    token_file: TokenFile = None
    dry_run: DryRun = False

    def __call__(self) -> None:
        """Delete, or say why not."""
        kind, name = resource_or_exit(self.kind, self.name)
        client = client_for(self.address, self.token_file)
        match client.delete(kind, name, dry_run=self.dry_run):
            case Failure(error):
                fail(error, f"{kind}/{name}")
            case Success(_):
                print(f"{kind}/{name} deleted{' (dry run)' if self.dry_run else ''}")
