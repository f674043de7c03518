"""Options that the resource commands share, and how they end."""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Any, Literal, NoReturn

import cappa
from rich.console import Console

from bellweir.cli import exit_codes
from bellweir.cli.resources.client import CallError, CallFailure, GatewayClient
from bellweir.resources.reference import kind_called

ADDRESS_VARIABLE = "BELLWEIR_ADDRESS"
TOKEN_FILE_VARIABLE = "BELLWEIR_TOKEN_FILE"

Address = Annotated[
    str | None,
    cappa.Arg(long="--address", help=f"host:port of any node's gateway; or {ADDRESS_VARIABLE}."),
]
TokenFile = Annotated[
    Path | None,
    cappa.Arg(long="--token-file", help=f"File with a bearer token; or {TOKEN_FILE_VARIABLE}."),
]
OutputFormat = Annotated[
    Literal["table", "json"], cappa.Arg(short="-o", long="--output", help="table or json.")
]
DryRun = Annotated[
    bool, cappa.Arg(long="--dry-run", help="Have the node check everything and write nothing.")
]
Timeout = Annotated[float, cappa.Arg(long="--timeout", help="Time to wait, in seconds.")]

_EXIT_CODES = {
    CallFailure.UNREACHABLE: exit_codes.UNREACHABLE,
    CallFailure.UNKNOWN: exit_codes.FAILED,
    CallFailure.INVALID: exit_codes.INVALID,
    CallFailure.CONFLICT: exit_codes.CONFLICT,
    CallFailure.NOT_FOUND: exit_codes.NOT_FOUND,
    CallFailure.OTHER: exit_codes.FAILED,
}


def client_for(address: str | None, token_file: Path | None) -> GatewayClient:
    """The client of the node that the options or the environment name."""
    chosen = address or os.environ.get(ADDRESS_VARIABLE)
    if not chosen:
        raise cappa.Exit(f"give --address or set {ADDRESS_VARIABLE}", code=exit_codes.USAGE)
    named = token_file or _path_in_environment()
    try:
        token = named.read_text(encoding="utf-8").strip() if named else None
    except OSError as failure:
        raise cappa.Exit(f"token file: {failure}", code=exit_codes.USAGE) from failure
    return GatewayClient(chosen, token)


def _path_in_environment() -> Path | None:
    named = os.environ.get(TOKEN_FILE_VARIABLE)
    return Path(named) if named else None


def exit_code_of(error: CallError) -> int:
    """The exit code for a failed call."""
    return _EXIT_CODES[error.failure]


def fail(error: CallError, about: str = "") -> NoReturn:
    """Print an error with its findings and end with its exit code."""
    print_error(error, about)
    raise cappa.Exit(code=exit_code_of(error))


def print_error(error: CallError, about: str = "") -> None:
    """Print an error and each finding on a line of its own."""
    prefix = f"{about}: " if about else ""
    print_report(f"{prefix}{error.failure.value}: {error.detail}")
    for finding in error.findings:
        place = finding.path or "document"
        print_report(f"{prefix}{place}: found {finding.found}; allowed: {finding.allowed}")


def print_report(line: str) -> None:
    """Print a line to stderr as it is, without wrapping or markup."""
    Console(stderr=True, soft_wrap=True, highlight=False, markup=False).print(line)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    sys.stdout.write(json.dumps(value, indent=2) + "\n")


def kind_or_exit(name: str) -> str:
    """The kind of that name, or a usage error."""
    try:
        return kind_called(name)
    except KeyError as failure:
        raise cappa.Exit(f"there is no kind {name}", code=exit_codes.USAGE) from failure


def resource_or_exit(reference: str, name: str | None) -> tuple[str, str]:
    """Kind and name from `KIND NAME` or `KIND/NAME`, or a usage error."""
    kind, _, inner = reference.partition("/")
    chosen = name or inner
    if not chosen:
        raise cappa.Exit("name a resource: KIND NAME or KIND/NAME", code=exit_codes.USAGE)
    return kind_or_exit(kind), chosen
