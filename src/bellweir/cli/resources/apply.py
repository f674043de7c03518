"""`bellweir apply`: make the resources as the files say."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Annotated

import cappa
from returns.result import Failure, Result, Success

from bellweir.cli.resources.client import CallError, CallFailure, GatewayClient
from bellweir.cli.resources.files import PlacedDocument, read_documents
from bellweir.cli.resources.options import (
    Address,
    DryRun,
    TokenFile,
    client_for,
    exit_code_of,
    print_error,
)
from bellweir.resources.documents import shown
from bellweir.resources.references import REFERENCE_PATHS

Files = Annotated[
    list[str],
    cappa.Arg(short="-f", long="--file", help="YAML or JSON file, folder, or -; repeatable."),
]


class Applied(Enum):
    """What applying a document did."""

    CREATED = "created"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    CHECKED = "checked; it names what other files create"


@cappa.command(
    name="apply",
    help="Create or change resources as files say.",
    description="Example: bellweir apply -f resources/ --address 127.0.0.1:8080",
)
@dataclass
class ApplyCommand:
    """Create or change resources.

    All findings of all documents are reported before anything is sent. A change is written over
    the version just read, so that another operator's change in between is a conflict.
    """

    files: Files
    address: Address = None
    token_file: TokenFile = None
    dry_run: DryRun = False

    def __call__(self) -> None:
        """Apply every document; the exit code tells the first failure."""
        client = client_for(self.address, self.token_file)
        failures = apply_documents(client, read_documents(self.files), dry_run=self.dry_run)
        if failures:
            raise cappa.Exit(code=exit_code_of(failures[0]))


def apply_documents(
    client: GatewayClient, documents: list[PlacedDocument], *, dry_run: bool
) -> list[CallError]:
    """Apply documents, those with missing references once more after the others.

    A document may refer to one further down: it is tried again as long as others succeed.
    """
    waiting = documents
    while True:
        failed: list[tuple[PlacedDocument, CallError]] = []
        for placed in waiting:
            outcome = _apply(client, placed, dry_run=dry_run)
            if dry_run:
                outcome = outcome.lash(lambda error: _without_names_given(error, documents))
            match outcome:
                case Success(applied):
                    suffix = " (dry run)" if dry_run else ""
                    print(f"{placed.label} {applied.value}{suffix}")
                case Failure(error):
                    failed.append((placed, error))
        retried = [placed for placed, error in failed if error.failure is CallFailure.INVALID]
        if dry_run or not retried or len(failed) == len(waiting) or len(retried) < len(failed):
            break
        waiting = retried
    for placed, error in failed:
        print_error(error, f"{placed.place} {placed.label}")
    return [error for _, error in failed]


def _apply(
    client: GatewayClient, placed: PlacedDocument, *, dry_run: bool
) -> Result[Applied, CallError]:
    match client.get(placed.kind, placed.name):
        case Success(current):
            version = int(current["metadata"]["resourceVersion"])
            return _replace(client, placed, version, dry_run=dry_run)
        case Failure(error) if error.failure is CallFailure.NOT_FOUND:
            return client.create(placed.document, dry_run=dry_run).map(lambda _: Applied.CREATED)
        case Failure(error):
            return Failure(error)
    raise AssertionError("a result is a success or a failure")


def _without_names_given(
    error: CallError, documents: list[PlacedDocument]
) -> Result[Applied, CallError]:
    """A dry run writes nothing, so that documents can't name each other: drop these findings."""
    given = {shown(placed.name) for placed in documents if placed.kind == "Policy"}
    given |= {
        shown(placed.document["spec"]["version"])
        for placed in documents
        if placed.kind == "WeightVersion"
    }
    left = tuple(
        finding
        for finding in error.findings
        if not (REFERENCE_PATHS.fullmatch(finding.path) and finding.found in given)
    )
    if error.failure is not CallFailure.INVALID or not error.findings or left:
        return Failure(replace(error, findings=left))
    return Success(Applied.CHECKED)


def _replace(
    client: GatewayClient, placed: PlacedDocument, version: int, *, dry_run: bool
) -> Result[Applied, CallError]:
    metadata = {"resourceVersion": version, **placed.document["metadata"]}
    document = {**placed.document, "metadata": metadata}
    replaced = client.replace(document, dry_run=dry_run)

    def applied(answer: dict[str, object]) -> Applied:
        return Applied.UNCHANGED if _is_unchanged(answer, version, dry_run) else Applied.CHANGED

    return replaced.map(applied)


def _is_unchanged(answer: dict[str, object], version: int, dry_run: bool) -> bool:
    metadata = answer["metadata"]
    return isinstance(metadata, dict) and metadata["resourceVersion"] == version and not dry_run
