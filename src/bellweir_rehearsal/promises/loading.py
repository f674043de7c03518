"""Reads the logs of stand-ins and the kit's journal into evidence."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from bellweir_rehearsal.callers.operator import MARK_LABEL
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
from bellweir_rehearsal.standins import application, object_api
from bellweir_rehearsal.standins.records import (
    GenerationEnded,
    GenerationStarted,
    TokensProduced,
    WorkRefused,
)
from bellweir_rehearsal.standins.runlog import Record as StandinRecord
from bellweir_rehearsal.topology.layout import RunFolder

LOADED_RECORDS: dict[str, type[StandinRecord]] = {
    kind.__name__: kind
    for kind in (
        GenerationStarted,
        TokensProduced,
        GenerationEnded,
        WorkRefused,
        application.ApplicationRun,
        object_api.ObjectWrite,
    )
}
"""Records of stand-ins that promises are checked against; others are passed over."""


class LineHeader(msgspec.Struct):
    """What every line of a log has."""

    record: str = ""
    time_s: float = 0.0


def load_evidence(folder: RunFolder) -> Evidence:
    """Read everything that a run has logged.

    Raises `msgspec.MsgspecError` when a line is damaged that is not the torn last one of a log.
    """
    evidence = Evidence()
    evidence.records = sorted(read_journal(folder.journal), key=_time_s)
    for path in sorted(folder.logs.glob("engine-*.jsonl")):
        _load_engine(path, evidence)
    for path in sorted(folder.logs.glob("app-*.jsonl")):
        _load_application(path, evidence)
    for path in sorted(folder.logs.glob("object-api-*.jsonl")):
        _load_store(path, evidence)
    return evidence


def read_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a log; a torn last line is left out."""
    with path.open("rb") as lines:
        for line in lines:
            if line.endswith(b"\n"):
                yield line


def _read_records(path: Path) -> Iterator[StandinRecord]:
    for line in read_lines(path):
        kind = LOADED_RECORDS.get(msgspec.json.decode(line, type=LineHeader).record)
        if kind is not None:
            yield msgspec.json.decode(line, type=kind)


def _time_s(record: Record) -> float:
    return record.time_s


def _load_engine(path: Path, evidence: Evidence) -> None:
    started: dict[str, GenerationStarted] = {}
    produced: dict[str, list[TokenRun]] = {}
    ended: dict[str, GenerationEnded] = {}
    for record in _read_records(path):
        match record:
            case GenerationStarted():
                started[record.attempt_id] = record
            case TokensProduced():
                run = TokenRun(record.first_token, record.token_count, record.weight_version)
                produced.setdefault(record.attempt_id, []).append(run)
            case GenerationEnded():
                ended[record.attempt_id] = record
            case WorkRefused():
                evidence.work_offered.append(_offer(record))
    for attempt_id, record in started.items():
        end = ended.get(attempt_id)
        evidence.engine_attempts.append(
            EngineAttempt(
                engine=record.standin,
                attempt_id=attempt_id,
                request_id=record.request_id,
                prompt=record.prompt,
                seed=record.seed,
                began_s=record.time_s,
                first_token=record.first_token,
                outcome=end.outcome if end is not None else None,
                runs=tuple(produced.get(attempt_id, ())),
                logged_end_token=end.end_token if end is not None else None,
            )
        )


def _load_application(path: Path, evidence: Evidence) -> None:
    for record in _read_records(path):
        match record:
            case WorkRefused():
                evidence.work_offered.append(_offer(record))
            case application.ApplicationRun():
                evidence.application_runs.append(_application_run(record))


def _application_run(record: application.ApplicationRun) -> ApplicationRun:
    return ApplicationRun(
        worker=record.standin,
        time_s=record.time_s,
        attempt_id=record.attempt_id or "",
        request_id=record.request_id,
        idempotency_key=record.idempotency_key,
        method=record.method,
        target=f"{record.path}?{record.query}",
        body_sha256=record.body_sha256,
    )


def _load_store(path: Path, evidence: Evidence) -> None:
    for record in _read_records(path):
        if isinstance(record, object_api.ObjectWrite):
            evidence.store_writes.append(
                StoreWrite(
                    record.time_s,
                    record.kind,
                    record.name,
                    record.version,
                    record.deleted,
                    record.mutation_id,
                    record.document["metadata"].get("labels", {}).get(MARK_LABEL),
                )
            )


def _offer(record: WorkRefused) -> WorkOffered:
    return WorkOffered(record.standin, record.time_s, record.reason, record.request_id or "")
