"""Documents from files and folders, each with its place."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import cappa
import yaml
from returns.result import Failure

from bellweir.cli import exit_codes
from bellweir.cli.resources.options import print_report
from bellweir.resources.models import KINDS
from bellweir.resources.validation import parse

SUFFIXES = (".yaml", ".yml", ".json")
STANDARD_INPUT = "-"


@dataclass(frozen=True)
class PlacedDocument:
    """A document and where it stands."""

    place: str
    """File, and number of the document in it."""
    document: dict[str, Any]

    @property
    def kind(self) -> str:
        """The document's kind."""
        return str(self.document["kind"])

    @property
    def name(self) -> str:
        """The resource's name."""
        return str(self.document["metadata"]["name"])

    @property
    def label(self) -> str:
        """Kind and name for messages."""
        return f"{self.kind}/{self.name}"


def read_documents(paths: list[str]) -> list[PlacedDocument]:
    """All documents of the files and folders, in an order in which references come first.

    Every finding in every document is printed before the command ends with `INVALID`.
    """
    findings: list[str] = []
    documents: list[PlacedDocument] = []
    for source, text in _sources(paths):
        try:
            loaded = list(yaml.safe_load_all(text))
        except yaml.YAMLError as failure:
            findings.append(f"{source}: found no YAML or JSON: {failure}")
            continue
        for number, document in enumerate(loaded, start=1):
            if document is not None:
                placed = PlacedDocument(f"{source}#{number}", document)
                findings.extend(_findings(placed))
                documents.append(placed)
    if findings:
        for finding in findings:
            print_report(finding)
        raise cappa.Exit(f"{len(findings)} findings; nothing was sent", code=exit_codes.INVALID)
    order = list(KINDS)
    return sorted(documents, key=lambda placed: order.index(placed.kind))


def _findings(placed: PlacedDocument) -> Iterator[str]:
    if not isinstance(placed.document, dict):
        yield f"{placed.place}: found {type(placed.document).__name__}; allowed: a map"
        return
    match parse(placed.document):
        case Failure(error):
            for finding in error.findings:
                place = f"{placed.place}: {finding.path}" if finding.path else placed.place
                yield f"{place}: found {finding.found}; allowed: {finding.allowed}"


def _sources(paths: list[str]) -> Iterator[tuple[str, str]]:
    for path in paths:
        if path == STANDARD_INPUT:
            yield "standard input", sys.stdin.read()
            continue
        for file in _files(Path(path)):
            try:
                yield str(file), file.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as failure:
                raise cappa.Exit(f"{file}: {failure}", code=exit_codes.USAGE) from failure


def _files(path: Path) -> list[Path]:
    if not path.is_dir():
        return [path]
    return sorted(file for file in path.rglob("*") if file.suffix in SUFFIXES)
