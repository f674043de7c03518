"""The whole story of an id: every line of every log that names it, in order of time."""

import json
import re
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from bellweir_rehearsal.promises.loading import LineHeader, read_lines
from bellweir_rehearsal.topology.layout import RunFolder

MAXIMUM_LINES = 200
MAXIMUM_RELATED_IDS = 20
ID_FIELDS = ("call_id", "request_id", "attempt_id", "idempotency_key", "answer_run_id")
TRIMMED_CHARACTERS = 400


@dataclass(frozen=True)
class StoryLine:
    """One line of a log."""

    time_s: float
    source: str
    text: str


class StoryTeller:
    """Tells stories of one run; its logs are read once."""

    def __init__(self, folder: RunFolder) -> None:
        self._lines = sorted(_all_lines(folder), key=lambda line: line.time_s)

    def tell(self, subject: str) -> list[StoryLine]:
        """Collect the lines that name the subject or an id that stands beside it in one of them.

        A subject with very many ids beside it, such as a worker, has the lines with its own name.
        """
        story = self._lines_naming({subject})
        known = {subject}
        for _ in range(2):
            related = known | _ids_in(story)
            if len(related) > MAXIMUM_RELATED_IDS:
                break
            known = related
            story = self._lines_naming(known)
        return [
            StoryLine(line.time_s, line.source, line.text[:TRIMMED_CHARACTERS])
            for line in story[:MAXIMUM_LINES]
        ]

    def _lines_naming(self, subjects: set[str]) -> list[StoryLine]:
        pattern = re.compile("|".join(re.escape(subject) for subject in sorted(subjects)))
        return [line for line in self._lines if pattern.search(line.text)]


def _ids_in(lines: list[StoryLine]) -> set[str]:
    found: set[str] = set()
    for line in lines:
        document = json.loads(line.text)
        found |= {
            document[field]
            for field in ID_FIELDS
            if isinstance(document.get(field), str) and document[field]
        }
    return found


def _all_lines(folder: RunFolder) -> list[StoryLine]:
    found: list[StoryLine] = []
    for path in sorted(folder.logs.glob("*.jsonl")):
        found += [
            StoryLine(
                msgspec.json.decode(line, type=LineHeader).time_s, path.stem, line.decode().strip()
            )
            for line in read_lines(path)
        ]
    for path in sorted(folder.outputs.glob("node-*.txt")):
        found += _node_lines(path)
    return found


def _node_lines(path: Path) -> list[StoryLine]:
    found: list[StoryLine] = []
    for line in path.read_text(errors="replace").splitlines():
        document = _log_line(line)
        if document is not None:
            found.append(StoryLine(_node_time_s(document), path.stem, line))
    return found


def _log_line(line: str) -> dict[str, Any] | None:
    try:
        document = json.loads(line)
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def _node_time_s(document: dict[str, Any]) -> float:
    """Time of a node's log line: a number, or ISO 8601."""
    stamp = document.get("timestamp") or document.get("time") or 0.0
    if isinstance(stamp, int | float):
        return float(stamp)
    return datetime.fromisoformat(str(stamp).replace("Z", "+00:00")).timestamp()
