"""Reads the logs of stand-ins and the kit's journal into evidence."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from bellweir_rehearsal.promises.evidence import (
    ApplicationRun,
    EngineAttempt,
    Evidence,
    StoreWrite,
    TokenRun,
    WorkOffered,
)
from bellweir_rehearsal.records.journal import read_journal
from bellweir_rehearsal.records.model import Record
from bellweir_rehearsal.topology.layout import RunFolder

Line = dict[str, Any]


def load_evidence(folder: RunFolder) -> Evidence:
    """Read everything that a run has logged. Raises `ValueError` when a log is damaged."""
    evidence = Evidence()
    evidence.records = sorted(read_journal(folder.journal), key=_time_s)
    for path in sorted(folder.logs.glob("engine-*.jsonl")):
        _load_engine(path, evidence)
    for path in sorted(folder.logs.glob("app-*.jsonl")):
        _load_application(path, evidence)
    for path in sorted(folder.logs.glob("object-api-*.jsonl")):
        _load_store(path, evidence)
    return evidence


def read_lines(path: Path) -> Iterator[Line]:
    """Yield the JSON objects of a log; a torn last line is left out."""
    with path.open("rb") as lines:
        for line in lines:
            if line.endswith(b"\n"):
                yield json.loads(line)


def _time_s(record: Record) -> float:
    return record.time_s


def _load_engine(path: Path, evidence: Evidence) -> None:
    started: dict[str, Line] = {}
    produced: dict[str, list[TokenRun]] = {}
    outcomes: dict[str, str] = {}
    for line in read_lines(path):
        kind = line["record"]
        if kind == "GenerationStarted":
            started[line["attempt_id"]] = line
        elif kind == "TokensProduced":
            run = TokenRun(line["first_token"], line["token_count"], line["weight_version"])
            produced.setdefault(line["attempt_id"], []).append(run)
        elif kind == "GenerationEnded":
            outcomes[line["attempt_id"]] = line["outcome"]
        elif kind == "WorkRefused":
            evidence.work_offered.append(_offer(line))
    for attempt_id, line in started.items():
        evidence.engine_attempts.append(
            EngineAttempt(
                engine=line["standin"],
                attempt_id=attempt_id,
                request_id=line["request_id"],
                prompt=line["prompt"],
                seed=line.get("seed"),
                began_s=line["time_s"],
                first_token=line["first_token"],
                outcome=outcomes.get(attempt_id),
                runs=tuple(produced.get(attempt_id, ())),
            )
        )


def _load_application(path: Path, evidence: Evidence) -> None:
    for line in read_lines(path):
        if line["record"] == "WorkRefused":
            evidence.work_offered.append(_offer(line))
        if line["record"] != "ApplicationRun":
            continue
        evidence.application_runs.append(
            ApplicationRun(
                worker=line["standin"],
                time_s=line["time_s"],
                attempt_id=line["attempt_id"],
                request_id=line["request_id"],
                idempotency_key=line["idempotency_key"],
                method=line["method"],
                target=f"{line['path']}?{line['query']}",
                body_sha256=line["body_sha256"],
            )
        )


def _load_store(path: Path, evidence: Evidence) -> None:
    for line in read_lines(path):
        if line["record"] == "ObjectWrite":
            evidence.store_writes.append(
                StoreWrite(
                    line["time_s"],
                    line["kind"],
                    line["name"],
                    line["version"],
                    line["deleted"],
                    line["mutation_id"],
                )
            )


def _offer(line: Line) -> WorkOffered:
    return WorkOffered(
        line["standin"], line["time_s"], line["reason"], line.get("request_id") or ""
    )
