"""`bellweir diff`: what `apply` would change."""

from dataclasses import dataclass
from typing import Any

import cappa
from returns.result import Failure, Success

from bellweir.cli import exit_codes
from bellweir.cli.resources.apply import Files
from bellweir.cli.resources.client import CallFailure, GatewayClient
from bellweir.cli.resources.files import PlacedDocument, read_documents
from bellweir.cli.resources.options import Address, TokenFile, client_for, fail
from bellweir.resources.documents import differences, shown


@cappa.command(
    name="diff",
    help="Show what apply would change; exit code 1 when it would.",
    description="Example: bellweir diff -f resources/",
)
@dataclass
class DiffCommand:
    """Compare files with what is in force."""

    files: Files
    address: Address = None
    token_file: TokenFile = None

    def __call__(self) -> None:
        """Print one line for each difference."""
        client = client_for(self.address, self.token_file)
        lines = [line for each in read_documents(self.files) for line in _differences(client, each)]
        for line in lines:
            print(line)
        if lines:
            raise cappa.Exit(code=exit_codes.FAILED)


def _differences(client: GatewayClient, placed: PlacedDocument) -> list[str]:
    match client.get(placed.kind, placed.name):
        case Failure(error) if error.failure is CallFailure.NOT_FOUND:
            return [f"{placed.label}: would be created"]
        case Failure(error):
            fail(error, placed.label)
        case Success(current):
            pairs = differences(_compared(current), _compared(placed.document))
            return [
                f"{placed.label}: {path}: {shown(before)} -> {shown(after)}"
                for path, before, after in pairs
            ]
    raise AssertionError("a result is a success or a failure")


def _compared(document: dict[str, Any]) -> dict[str, Any]:
    metadata = document.get("metadata", {})
    kept = {key: metadata[key] for key in ("labels", "annotations") if metadata.get(key)}
    return {"metadata": kept, "spec": document.get("spec", {})}
