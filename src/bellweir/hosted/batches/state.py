"""Replicated state machine of batch jobs.

A job is accepted once per id. Results are appended in the order in which they are applied; the
first result of an item is final, so a position never changes.
"""

from collections.abc import Iterator, Sequence
from typing import Any

import cbor2
import msgspec

from bellweir.hosted.batches.failed_requests import FailedRequest, FailedRequests, ItemFailure
from bellweir.hosted.batches.retention_clock import RetentionClock
from bellweir.hosted.batches.stage_request import StageRequest
from bellweir.hosted.batches.text_compression import compress_text, decompress_text
from bellweir.ledger.interface import Command, Query, Reply, StateMachine

JOBS_KEY = "batch-jobs"
"""Ledger key of all jobs: one shard, so that one leader runs them in one order."""

ITEM_OVERHEAD_BYTES = 128
TEXT_OVERHEAD_BYTES = 5
"""Estimated bytes of an item besides its bodies and texts, and of each text besides itself."""
RESULT_OVERHEAD_BYTES = 256
"""Estimated bytes of a result besides its text."""
NO_SUCH_JOB = "no such job"
JOB_IS_ENDED = "job ended"
NO_SUCH_ITEM = "no such item"
ALREADY_RECORDED = "listed before"
CHECKPOINTS_MISSING = "parts missing"
SCORING_STAGE = "score"
"""Value of the stage of failures that are a reward call's."""
MAX_STAGED_JOBS = 16
"""Jobs with staged parts; beyond it the oldest is evicted, since clients may give up."""


def take_page(
    results: "Sequence[ItemResult]", after: int, page_bytes: int
) -> "tuple[ItemResult, ...]":
    """Return results from position `after` on, up to `page_bytes`, but at least one if any."""
    page: list[ItemResult] = []
    size = 0
    for result in results[after:]:
        size += result.response_size
        if page and size > page_bytes:
            break
        page.append(result)
    return tuple(page)


class Scorer(msgspec.Struct, frozen=True):
    """The request that scores an item's text."""

    id: str
    host: str
    path: str
    body: bytes


class JobItem(msgspec.Struct, frozen=True):
    """One request of a job."""

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0
    """Prompt tokens plus the maximum of generated tokens."""
    group: str = ""
    scorer: Scorer | None = None

    @property
    def size(self) -> int:
        """Estimated size in a command, in bytes."""
        texts = [self.id, self.path, self.group]
        texts += [text for header in self.headers for text in header]
        length = len(self.body) + ITEM_OVERHEAD_BYTES
        if self.scorer is not None:
            texts += [self.scorer.id, self.scorer.host, self.scorer.path]
            length += len(self.scorer.body)
        return length + sum(len(text.encode()) + TEXT_OVERHEAD_BYTES for text in texts)


class Job(msgspec.Struct, frozen=True):
    """A batch job as submitted."""

    id: str
    host: str
    path_prefix: str
    """Path prefix of the job's route."""
    items: tuple[JobItem, ...]
    accepted_at_s: float
    """Unix time on the accepting node; informative only, since clocks differ."""
    model: str = ""
    step: int | None = None
    wanted_groups: int = 0
    """Complete groups that the trainer waits for; 0: all."""
    minimum_version: int = 0
    tenant: str = ""
    """Owner; empty for a job submitted without a key, which anyone may read and end."""
    configuration_version: int = 0
    """Version of the configuration whose route accepted it; 0: accepted by an earlier release."""

    def is_visible_to(self, tenant: str) -> bool:
        """Whether a tenant may see the job; for all others it does not exist."""
        return not self.tenant or self.tenant == tenant

    def generation_request(self, item: JobItem) -> StageRequest:
        """Return the request that generates an item's text."""
        return StageRequest(item.id, self.host, item.path, self.tenant, item.body)

    def scoring_request(self, item: JobItem) -> StageRequest | None:
        """Return the request that scores an item's text; None if it is not scored."""
        scorer = item.scorer
        if scorer is None:
            return None
        return StageRequest(scorer.id, scorer.host, scorer.path, self.tenant, scorer.body)

    def requests_of(self, item: JobItem) -> Iterator[StageRequest]:
        """Yield the requests of an item."""
        yield self.generation_request(item)
        scoring = self.scoring_request(item)
        if scoring is not None:
            yield scoring


class ItemResult(msgspec.Struct, frozen=True):
    """Result of one item."""

    item_id: str
    is_complete: bool
    """Whether the text is complete; otherwise the item failed."""
    text: str = ""
    """Uncompressed text, in results of earlier releases; `full_text` reads both forms."""
    versions: tuple[int, ...] = ()
    score: str = ""
    compressed: bytes = msgspec.field(default=b"", name="packed")
    """The text, compressed by `compress_text`; with checkpoints, what follows them."""
    length: int = 0
    """Length of the full text in characters."""
    compressed_checkpoints: tuple[bytes, ...] = msgspec.field(default=(), name="earlier")
    """Data of the checkpoints that precede `compressed`."""
    checkpoint_mark: int = msgspec.field(default=0, name="behind")
    """In a command: sum of the marks of the checkpoints that the text follows."""

    @classmethod
    def from_text(
        cls, item_id: str, is_complete: bool, text: str, versions: tuple[int, ...], score: str = ""
    ) -> "ItemResult":
        """Return a result with its text compressed."""
        return cls(item_id, is_complete, "", versions, score, compress_text(text), len(text))

    @property
    def full_text(self) -> str:
        """The text, decompressed."""
        if not self.compressed and not self.compressed_checkpoints:
            return self.text
        compressed = (
            (*self.compressed_checkpoints, self.compressed)
            if self.compressed
            else self.compressed_checkpoints
        )
        return "\n".join(decompress_text(each) for each in compressed)

    @property
    def response_size(self) -> int:
        """Estimated size in a response, in bytes."""
        return len(self.text) + self.length + RESULT_OVERHEAD_BYTES

    @property
    def size(self) -> int:
        """Estimated size in messages and memory, in bytes."""
        compressed = len(self.compressed) + sum(len(each) for each in self.compressed_checkpoints)
        return len(self.text) + compressed + RESULT_OVERHEAD_BYTES


class TextCheckpoint(msgspec.Struct, frozen=True):
    """Consecutive events of an unfinished text, so that another leader can resume after them."""

    item_id: str
    after: int
    """Sum of the marks of the checkpoints before it; 0 starts the text over."""
    mark: int = msgspec.field(name="events")
    """Tells it from those of other runs; holds the number of its events (`events_of`)."""
    last_event_id: int | None
    compressed: bytes = msgspec.field(name="packed")
    """Data of the events, joined as in a result and compressed."""
    versions: tuple[int, ...]
    """Weight versions that generated the text so far, in order of their first event."""


class AcceptJob(Command, frozen=True):
    """Accept a job; idempotent by the job's id."""

    job: Job
    """The job, without items if these are staged."""
    parts: int = 0
    """Number of staged parts that hold the items, in order; 0: not staged."""


class StageItems(Command, frozen=True):
    """Stage some items of a job that is too large for one command, until it is accepted."""

    job_id: str
    part: int
    items: tuple[JobItem, ...]


class RecordResults(Command, frozen=True):
    """Append results of items that have none yet, while the job is open."""

    job_id: str
    results: tuple[ItemResult, ...]


class KeepParts(Command, frozen=True):
    """Store checkpoints of items that have no result yet, while the job is open, and failures.

    Failures count for later jobs, so they are stored as long as the job is kept. Replicas of
    earlier releases pass over them or drop them with the job; a leader of one counts from zero.
    """

    job_id: str
    parts: tuple[TextCheckpoint, ...] = ()
    failures: tuple[ItemFailure, ...] = ()


class EndJob(Command, frozen=True):
    """End a job: recorded results remain readable, no more items are run."""

    job_id: str
    at_s: float
    """Unix time on the requesting node; only earlier releases use it for retention."""
    tenant: str = ""
    """The requesting tenant."""


class ForgetJobs(Command, frozen=True):
    """Remove ended jobs after the retention time, and advance the retention clock.

    One command for both, since releases without the clock must be able to apply it.
    """

    job_ids: tuple[str, ...]
    from_ms: int = 0
    """Reading of the retention clock that `elapsed_ms` is added to."""
    elapsed_ms: int = 0
    """Milliseconds since that reading, on the monotonic clock of the leader."""


class JobAccepted(Reply, frozen=True):
    """Outcome of `AcceptJob` and `StageItems`."""

    is_new: bool
    is_kept: bool = True
    """False if staged parts are missing, so that the job was not accepted."""
    is_foreign: bool = False
    """Whether another tenant's job has the id, so that the job was not accepted."""


class ResultsRecorded(Reply, frozen=True):
    """Number of results or checkpoints that were added, and why the others were dropped.

    Failures are not counted.
    """

    count: int
    dropped: dict[str, str] = {}
    """Causes by item; empty for checkpoints and from replicas of earlier releases."""


class JobEnded(Reply, frozen=True):
    """Outcome of `EndJob` and `ForgetJobs`; `is_known` is false for an unknown job."""

    is_known: bool


class ReadResults(Query, frozen=True):
    """Read results from position `after` on."""

    job_id: str
    after: int
    maximum_bytes: int
    tenant: str = ""
    """The requesting tenant."""


class ReadItem(Query, frozen=True):
    """Read the request body of an item."""

    job_id: str
    item_id: str
    tenant: str = ""
    """The requesting tenant."""


class ResultsPage(Reply, frozen=True):
    """Results of a job; `total` is None if there is no such job."""

    total: int | None
    results: tuple[ItemResult, ...] = ()


class ItemBody(Reply, frozen=True):
    """Request body; None if the item has a result, or there is no such item or open job."""

    body: bytes | None


class JobState:
    """A job with its results and checkpoints."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.results: list[ItemResult] = []
        self.recorded_ids: set[str] = set()
        self.ended_at_s: float | None = None
        self.items = {item.id: item for item in job.items}
        self.checkpoints: dict[str, tuple[TextCheckpoint, ...]] = {}
        """Checkpoints of unfinished texts, by item, in order and without gaps."""

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended."""
        return self.ended_at_s is None

    def add_result(self, result: ItemResult) -> bool:
        """Append a result.

        False if the item has one, is not of this job, or lacks the checkpoints before the result.
        """
        if result.item_id in self.recorded_ids or result.item_id not in self.items:
            return False
        if result.checkpoint_mark:
            preceding = self._checkpoints_up_to(result.item_id, result.checkpoint_mark)
            if preceding is None:
                return False
            data = tuple(each.compressed for each in preceding)
            result = msgspec.structs.replace(result, compressed_checkpoints=data, checkpoint_mark=0)
        self.recorded_ids.add(result.item_id)
        self.results.append(result)
        self.checkpoints.pop(result.item_id, None)
        return True

    def add_checkpoint(self, checkpoint: TextCheckpoint) -> bool:
        """Append a checkpoint after those that it follows; False if it leaves a gap.

        A new leader may have resumed from an older checkpoint than the newest one: later ones are
        replaced.
        """
        if checkpoint.item_id in self.recorded_ids or checkpoint.item_id not in self.items:
            return False
        preceding = self._checkpoints_up_to(checkpoint.item_id, checkpoint.after)
        if preceding is None:
            return False
        self.checkpoints[checkpoint.item_id] = (*preceding, checkpoint)
        return True

    def _checkpoints_up_to(self, item_id: str, wanted: int) -> tuple[TextCheckpoint, ...] | None:
        """Return the first checkpoints of an item whose marks add up to `wanted`; None if none do.

        A former leader's checkpoint may arrive after its successor's first one. The marks, unlike
        the numbers of events, tell whether the two belong to one text.
        """
        preceding: list[TextCheckpoint] = []
        mark = 0
        for checkpoint in self.checkpoints.get(item_id, ()):
            if mark == wanted:
                break
            preceding.append(checkpoint)
            mark += checkpoint.mark
        return tuple(preceding) if mark == wanted else None


class _SavedJob(msgspec.Struct, frozen=True):
    job: Job
    results: tuple[ItemResult, ...]
    ended_at_s: float | None
    checkpoints: dict[str, tuple[TextCheckpoint, ...]] = msgspec.field(
        default_factory=dict, name="parts"
    )
    failures: dict[str, tuple[ItemFailure, ...]] = {}
    """Written by earlier releases only."""


class _SavedState(msgspec.Struct, frozen=True):
    jobs: tuple[_SavedJob, ...]
    staged: dict[str, dict[int, tuple[JobItem, ...]]]
    retention_clock: RetentionClock = msgspec.field(default_factory=RetentionClock, name="kept")
    failed_requests: tuple[FailedRequest, ...] = ()


class BatchJobs(StateMachine):
    """State machine of all batch jobs in the shard."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.staged: dict[str, dict[int, tuple[JobItem, ...]]] = {}
        """Staged items by job and part number, the oldest job first."""
        self.retention_clock = RetentionClock()
        self.failed_requests = FailedRequests()

    def command_types(self) -> tuple[type[Command], ...]:
        """Command types that `apply` takes."""
        return (AcceptJob, StageItems, RecordResults, KeepParts, EndJob, ForgetJobs)

    def query_types(self) -> tuple[type[Query], ...]:
        """Query types that `answer` takes."""
        return (ReadResults, ReadItem)

    def reply_types(self) -> tuple[type[Reply], ...]:
        """Reply types of both."""
        return (JobAccepted, ResultsRecorded, JobEnded, ResultsPage, ItemBody)

    def apply(self, command: Command) -> Reply:
        """Apply a command."""
        match command:
            case AcceptJob(job, parts):
                return self._accept(job, parts)
            case StageItems(job_id, part, items):
                return self._stage(job_id, part, items)
            case RecordResults(job_id, results):
                return self._record(job_id, results)
            case KeepParts(job_id, checkpoints, failures):
                return self._store_parts(job_id, checkpoints, failures)
            case EndJob(job_id, at_s, tenant):
                return self._end(job_id, at_s, tenant)
            case ForgetJobs():
                return self._remove(command)
        raise TypeError(f"unknown command {type(command).__name__}")

    def _accept(self, job: Job, parts: int) -> Reply:
        staged = self.staged.pop(job.id, {})
        known = self.jobs.get(job.id)
        if known is not None:
            return JobAccepted(False, is_foreign=not known.job.is_visible_to(job.tenant))
        if parts:
            if any(part not in staged for part in range(parts)):
                return JobAccepted(False, False)
            items = tuple(item for part in range(parts) for item in staged[part])
            job = msgspec.structs.replace(job, items=items)
        self.jobs[job.id] = JobState(job)
        if self.failed_requests:
            for item in job.items:
                for request in job.requests_of(item):
                    self.failed_requests.hold(request, job.id)
        return JobAccepted(True)

    def _stage(self, job_id: str, part: int, items: tuple[JobItem, ...]) -> Reply:
        if job_id not in self.jobs:
            self.staged.setdefault(job_id, {})[part] = items
        while len(self.staged) > MAX_STAGED_JOBS:
            del self.staged[next(iter(self.staged))]
        return JobAccepted(False)

    def _record(self, job_id: str, results: tuple[ItemResult, ...]) -> Reply:
        state = self.jobs.get(job_id)
        if state is None or not state.is_open:
            cause = NO_SUCH_JOB if state is None else JOB_IS_ENDED
            return ResultsRecorded(0, {result.item_id: cause for result in results})
        dropped: dict[str, str] = {}
        for result in results:
            if result.item_id in state.recorded_ids:
                dropped[result.item_id] = ALREADY_RECORDED
            elif state.add_result(result):
                self._forget_failures(state, result)
            else:
                is_known = result.item_id in state.items
                dropped[result.item_id] = CHECKPOINTS_MISSING if is_known else NO_SUCH_ITEM
        return ResultsRecorded(len(results) - len(dropped), dropped)

    def _forget_failures(self, state: JobState, result: ItemResult) -> None:
        """Drop the failures of an item that has succeeded."""
        if result.is_complete:
            for request in state.job.requests_of(state.items[result.item_id]):
                self.failed_requests.forget(request)

    def _store_parts(
        self,
        job_id: str,
        checkpoints: tuple[TextCheckpoint, ...],
        failures: tuple[ItemFailure, ...],
    ) -> Reply:
        state = self.jobs.get(job_id)
        if state is None:
            return ResultsRecorded(0)
        self._store_failures(state, failures)
        if not state.is_open:
            return ResultsRecorded(0)
        return ResultsRecorded(sum(state.add_checkpoint(each) for each in checkpoints))

    def _store_failures(self, state: JobState, failures: Sequence[ItemFailure]) -> None:
        for failure in failures:
            item = state.items.get(failure.item_id)
            if item is None:
                continue
            is_scoring = failure.stage == SCORING_STAGE
            request = (
                state.job.scoring_request(item)
                if is_scoring
                else state.job.generation_request(item)
            )
            if request is not None:
                self.failed_requests.add(request, state.job.id, failure)
        self.failed_requests.evict(self._is_open)

    def _is_open(self, job_id: str) -> bool:
        state = self.jobs.get(job_id)
        return state is not None and state.is_open

    def _visible_job(self, job_id: str, tenant: str) -> JobState | None:
        """Return a job if the tenant may see it."""
        state = self.jobs.get(job_id)
        return state if state is not None and state.job.is_visible_to(tenant) else None

    def _end(self, job_id: str, at_s: float, tenant: str) -> Reply:
        state = self._visible_job(job_id, tenant)
        if state is None:
            return JobEnded(False)
        if state.is_open:
            state.ended_at_s = at_s
            state.checkpoints.clear()
        return JobEnded(True)

    def _remove(self, command: ForgetJobs) -> Reply:
        for job_id in command.job_ids:
            self.jobs.pop(job_id, None)
            self.retention_clock.remove(job_id)
        if command.elapsed_ms:
            ended = [state.job.id for state in self.jobs.values() if not state.is_open]
            self.retention_clock.advance(command.from_ms, command.elapsed_ms, ended)
        return JobEnded(True)

    def answer(self, query: Query) -> Reply:
        """Answer a query."""
        match query:
            case ReadResults(job_id, after, maximum_bytes, tenant):
                return self._read_results(self._visible_job(job_id, tenant), after, maximum_bytes)
            case ReadItem(job_id, item_id, tenant):
                return self._read_item(self._visible_job(job_id, tenant), item_id)
        raise TypeError(f"unknown query {type(query).__name__}")

    def _read_results(self, state: JobState | None, after: int, maximum_bytes: int) -> Reply:
        if state is None:
            return ResultsPage(None)
        return ResultsPage(len(state.job.items), take_page(state.results, after, maximum_bytes))

    def _read_item(self, state: JobState | None, item_id: str) -> Reply:
        item = state.items.get(item_id) if state else None
        if state is None or item is None or not state.is_open or item_id in state.recorded_ids:
            return ItemBody(None)
        return ItemBody(item.body)

    def save(self) -> bytes:
        """Serialize the state."""
        saved = [
            _SavedJob(
                state.job,
                tuple(state.results),
                state.ended_at_s,
                dict(state.checkpoints),
            )
            for state in self.jobs.values()
        ]
        saved_state = _SavedState(
            tuple(saved), self.staged, self.retention_clock, self.failed_requests.saved()
        )
        return cbor2.dumps(msgspec.to_builtins(saved_state, builtin_types=(bytes,)))

    def load(self, state: bytes) -> None:
        """Replace the state by a serialized one."""
        plain: Any = cbor2.loads(state)
        self.jobs = {}
        saved_state = msgspec.convert(plain, _SavedState)
        self.staged = saved_state.staged
        self.retention_clock = saved_state.retention_clock
        self.failed_requests = FailedRequests()
        self.failed_requests.load(saved_state.failed_requests)
        for saved in saved_state.jobs:
            job = JobState(saved.job)
            for result in saved.results:
                job.add_result(result)
            job.ended_at_s = saved.ended_at_s
            job.checkpoints = dict(saved.checkpoints)
            self.jobs[saved.job.id] = job
            for failures in saved.failures.values():
                self._store_failures(job, failures)
