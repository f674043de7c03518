"""What a run left behind, in one form whatever wrote it: the checker's only input."""

from collections import defaultdict
from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

from bellweir_rehearsal.records.model import (
    AnyRecord,
    CallEnded,
    CallSent,
    ConfigurationSeen,
    FaultBegan,
    FaultEnded,
    NodeExited,
    NodeStarted,
    NodeStopping,
    Record,
    SampleReceived,
    StepDeclared,
    StepEnded,
    TrainerIdle,
    WorkerLeaving,
    WorkerReturned,
    WriteAccepted,
    WriteFailed,
)
from bellweir_rehearsal.standins.token_model import tokens_between

WHOLE_OUTCOMES = frozenset({"stop", "length"})
"""How an engine names the end of a whole answer in its log."""

RecordKind = TypeVar("RecordKind", bound=Record)


@dataclass(frozen=True)
class TokenRun:
    """Tokens that an engine generated one after the other with one weight version."""

    first_token: int
    """Position of the first one in the whole answer."""
    token_count: int
    weight_version: int

    @property
    def end_token(self) -> int:
        """One past the position of the last one."""
        return self.first_token + self.token_count


@dataclass(frozen=True)
class EngineAttempt:
    """One attempt that an engine accepted."""

    engine: str
    attempt_id: str
    request_id: str
    prompt: str
    seed: int | None
    began_s: float
    first_token: int
    """Tokens that the call brought along, not generated here."""
    outcome: str | None
    """How the engine says it ended; None when it was killed first."""
    runs: tuple[TokenRun, ...]
    logged_end_token: int | None = None
    """One past the last token by the record of its end, which counts tokens never streamed too."""

    @property
    def has_generated(self) -> bool:
        """Whether the engine generated any token for it, streamed or not."""
        return bool(self.runs) or (self.logged_end_token or 0) > self.first_token

    @property
    def end_token(self) -> int:
        """One past the position of the last token had."""
        return self.runs[-1].end_token if self.runs else self.first_token

    @property
    def ended_whole(self) -> bool:
        """Whether the engine says that the answer came to its end."""
        return self.outcome in WHOLE_OUTCOMES

    def tokens(self, first: int, end: int) -> tuple[int, ...]:
        """The tokens that stand-in engines give for this prompt and seed."""
        return tokens_between(self.prompt, self.seed, first, end)


@dataclass(frozen=True)
class ApplicationRun:
    """One run of a request by an application worker."""

    worker: str
    time_s: float
    attempt_id: str
    request_id: str | None
    """Id of the caller's request, when it was passed on."""
    idempotency_key: str | None
    method: str
    target: str
    """Path and query."""
    body_sha256: str


@dataclass(frozen=True)
class WorkOffered:
    """A request that reached a worker and was refused by it without being run."""

    worker: str
    time_s: float
    reason: str
    request_id: str


@dataclass(frozen=True)
class StoreWrite:
    """A write that took effect in the object API."""

    time_s: float
    kind: str
    name: str
    revision: int
    deleted: bool
    mutation_id: str | None
    mark: str | None = None
    """Label by which one write of an operator is told from others."""


@dataclass
class Evidence:
    """All records of a run, with indexes."""

    records: list[AnyRecord] = field(default_factory=list)
    engine_attempts: list[EngineAttempt] = field(default_factory=list)
    application_runs: list[ApplicationRun] = field(default_factory=list)
    work_offered: list[WorkOffered] = field(default_factory=list)
    store_writes: list[StoreWrite] = field(default_factory=list)

    @cached_property
    def calls_sent(self) -> dict[str, CallSent]:
        """Calls by id."""
        return {record.call_id: record for record in self.records if isinstance(record, CallSent)}

    @cached_property
    def calls_ended(self) -> dict[str, CallEnded]:
        """Ends of calls by id."""
        return {record.call_id: record for record in self.records if isinstance(record, CallEnded)}

    @cached_property
    def steps_declared(self) -> dict[str, StepDeclared]:
        """Steps by id."""
        return {entry.step_id: entry for entry in self._of(StepDeclared)}

    @cached_property
    def steps_ended(self) -> dict[str, StepEnded]:
        """Ends of steps by id."""
        return {entry.step_id: entry for entry in self._of(StepEnded)}

    @cached_property
    def samples(self) -> list[SampleReceived]:
        """Samples in the order in which they arrived, repeats included."""
        return self._of(SampleReceived)

    @cached_property
    def idle_times(self) -> list[TrainerIdle]:
        """Idle times of trainers."""
        return self._of(TrainerIdle)

    @cached_property
    def writes(self) -> list[WriteAccepted]:
        """Operators' writes that were accepted, in the order of the answers."""
        return self._of(WriteAccepted)

    @cached_property
    def failed_writes(self) -> list[WriteFailed]:
        """Operators' writes that were not accepted."""
        return self._of(WriteFailed)

    @cached_property
    def configurations(self) -> dict[str, list[ConfigurationSeen]]:
        """What each node had in force, by node, in order of time."""
        found: dict[str, list[ConfigurationSeen]] = defaultdict(list)
        for entry in self._of(ConfigurationSeen):
            found[entry.node].append(entry)
        return found

    @cached_property
    def faults_began(self) -> list[FaultBegan]:
        """Faults in the order in which they began."""
        return self._of(FaultBegan)

    @cached_property
    def faults_ended(self) -> dict[str, FaultEnded]:
        """Ends of faults by their ids."""
        return {entry.fault_id: entry for entry in self._of(FaultEnded)}

    @cached_property
    def first_data_nodes(self) -> frozenset[str]:
        """Nodes with a data folder that were up before the first write, as the ledger began."""
        first_write_s = min((write.time_s for write in self.writes), default=float("inf"))
        return frozenset(
            entry.node
            for entry in self._of(NodeStarted)
            if entry.has_data_folder and entry.time_s <= first_write_s
        )

    @cached_property
    def node_stops(self) -> list[NodeStopping]:
        """Planned stops of nodes."""
        return self._of(NodeStopping)

    @cached_property
    def node_exits(self) -> list[NodeExited]:
        """Ends of nodes' processes."""
        return self._of(NodeExited)

    @cached_property
    def leavings(self) -> list[WorkerLeaving]:
        """Workers that were marked as leaving."""
        return self._of(WorkerLeaving)

    @cached_property
    def returns(self) -> list[WorkerReturned]:
        """Workers that were taken back into service."""
        return self._of(WorkerReturned)

    @cached_property
    def attempts_by_request(self) -> dict[str, list[EngineAttempt]]:
        """Engine attempts by request id."""
        found: dict[str, list[EngineAttempt]] = defaultdict(list)
        for attempt in self.engine_attempts:
            found[attempt.request_id].append(attempt)
        return found

    @cached_property
    def attempts_by_prompt(self) -> dict[str, list[EngineAttempt]]:
        """Engine attempts by prompt."""
        found: dict[str, list[EngineAttempt]] = defaultdict(list)
        for attempt in self.engine_attempts:
            found[attempt.prompt].append(attempt)
        return found

    def attempts_for(self, prompt: str, tokens: tuple[int, ...]) -> list[EngineAttempt]:
        """Attempts that generate these tokens: several samples share a prompt, not its seed."""
        return [
            attempt
            for attempt in self.attempts_by_prompt.get(prompt, [])
            if attempt.tokens(0, len(tokens)) == tokens
        ]

    @cached_property
    def runs_by_target(self) -> dict[str, list[ApplicationRun]]:
        """Application runs by path and query."""
        found: dict[str, list[ApplicationRun]] = defaultdict(list)
        for run in self.application_runs:
            found[run.target].append(run)
        return found

    @cached_property
    def runs_by_request(self) -> dict[str, list[ApplicationRun]]:
        """Application runs by request id."""
        found: dict[str, list[ApplicationRun]] = defaultdict(list)
        for run in self.application_runs:
            if run.request_id is not None:
                found[run.request_id].append(run)
        return found

    @cached_property
    def runs_by_key(self) -> dict[str, list[ApplicationRun]]:
        """Application runs by idempotency key, those without one left out."""
        found: dict[str, list[ApplicationRun]] = defaultdict(list)
        for run in self.application_runs:
            if run.idempotency_key is not None:
                found[run.idempotency_key].append(run)
        return found

    @cached_property
    def last_s(self) -> float:
        """Time of the last record."""
        return max((record.time_s for record in self.records), default=0.0)

    def _of(self, kind: type[RecordKind]) -> list[RecordKind]:
        return [record for record in self.records if isinstance(record, kind)]
