"""Batch jobs as the replicated log keeps them: items, results at fixed positions, ends.

A job is accepted once, by its id. Its results get their positions in the order in which they are
applied; an item's first result counts and nothing replaces it.
"""

from collections.abc import Sequence
from typing import Any

import cbor2
import msgspec

from bellweir.hosted.batches.kept_time import KeptTime
from bellweir.hosted.batches.text_compression import compress_text, decompress_text
from bellweir.ledger.interface import Command, Query, Reply, StateMachine

JOBS_KEY = "batch-jobs"
"""Ledger key of all jobs: they share a shard, so that one leader runs them in one order."""


RESULT_OVERHEAD_BYTES = 256
"""Bytes of a listed result besides its text."""
NO_SUCH_JOB = "no such job"
JOB_IS_ENDED = "job ended"
NO_SUCH_ITEM = "no such item"
LISTED_BEFORE = "listed before"
PARTS_MISSING = "parts missing"
MAXIMUM_STAGED_JOBS = 16
"""Jobs whose parts wait at once; a client that gave up leaves its parts behind."""


def take_page(
    results: "Sequence[ItemResult]", after: int, page_bytes: int
) -> "tuple[ItemResult, ...]":
    """Results from a position on, at least one if there is one, up to `page_bytes`."""
    page: list[ItemResult] = []
    size = 0
    for result in results[after:]:
        size += result.shown_size
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
    """Of the prompt and at most made, summed."""
    group: str = ""
    scorer: Scorer | None = None


class Job(msgspec.Struct, frozen=True):
    """A batch job as it was handed in."""

    id: str
    host: str
    path_prefix: str
    """Prefix of its route."""
    items: tuple[JobItem, ...]
    accepted_at_s: float
    """Wall clock of the accepting node; seconds since 1970. Nothing that lasts rests on it."""
    model: str = ""
    step: int | None = None
    wanted_groups: int = 0
    """Whole groups that the trainer waits for; 0: all."""
    minimum_version: int = 0
    tenant: str = ""
    """Whose key handed it in; empty where none was needed: then anyone may read and end it."""

    def is_shown_to(self, tenant: str) -> bool:
        """Whether a tenant may know of it; to all others it isn't there."""
        return not self.tenant or self.tenant == tenant


class ItemResult(msgspec.Struct, frozen=True):
    """Result of one item."""

    item_id: str
    is_complete: bool
    """Whether the text is whole; otherwise the item was given up."""
    text: str = ""
    """The text as results of earlier releases have it; `whole_text` reads both forms."""
    versions: tuple[int, ...] = ()
    score: str = ""
    packed: bytes = b""
    """The text packed by `compress_text`."""
    length: int = 0
    """Characters of the whole text."""
    earlier: tuple[bytes, ...] = ()
    """Packed parts before `packed`, as they were kept while the text was made."""
    behind: int = 0
    """In a command: events in kept parts that `packed` goes on behind; they are not sent again."""

    @classmethod
    def made(
        cls, item_id: str, is_complete: bool, text: str, versions: tuple[int, ...], score: str = ""
    ) -> "ItemResult":
        """Return a result with its text packed."""
        return cls(item_id, is_complete, "", versions, score, compress_text(text), len(text))

    @property
    def whole_text(self) -> str:
        """The text, unpacked."""
        if not self.packed and not self.earlier:
            return self.text
        packed = (*self.earlier, self.packed) if self.packed else self.earlier
        return "\n".join(decompress_text(each) for each in packed)

    @property
    def shown_size(self) -> int:
        """Bytes that it takes where a client reads it, about."""
        return len(self.text) + self.length + RESULT_OVERHEAD_BYTES

    @property
    def size(self) -> int:
        """Bytes that it takes between nodes and in memory, about."""
        packed = len(self.packed) + sum(len(each) for each in self.earlier)
        return len(self.text) + packed + RESULT_OVERHEAD_BYTES


class TextPart(msgspec.Struct, frozen=True):
    """Some events of a text in the making, kept so that another leader can go on behind them."""

    item_id: str
    after: int
    """Events before these; with 0 the text begins anew."""
    events: int
    """Number of these events."""
    last_event_id: int | None
    packed: bytes
    """Their data, joined as in a result and packed."""
    versions: tuple[int, ...]
    """Versions that made the text so far, in order of their first event."""


class AcceptJob(Command, frozen=True):
    """Keep a job; nothing happens when it is kept already."""

    job: Job
    """Without items when `parts` hold them."""
    parts: int = 0
    """Staged parts whose items, in order, are the job's."""


class StageItems(Command, frozen=True):
    """Keep a part of a job too large for one command, until the job itself is accepted."""

    job_id: str
    part: int
    items: tuple[JobItem, ...]


class RecordResults(Command, frozen=True):
    """Append results to a job's list; of items that have none yet, while the job is open."""

    job_id: str
    results: tuple[ItemResult, ...]


class KeepParts(Command, frozen=True):
    """Keep parts of texts in the making; of items without a result, while the job is open."""

    job_id: str
    parts: tuple[TextPart, ...]


class EndJob(Command, frozen=True):
    """End a job: what is listed stays, nothing more is run."""

    job_id: str
    at_s: float
    """Wall clock of the node that was asked, which earlier releases keep jobs by."""
    tenant: str = ""
    """Who asks for it."""


class ForgetJobs(Command, frozen=True):
    """Drop ended jobs that need not be read any more, and count how long the others were kept.

    One command for both, since releases that don't know of counts must be able to apply it.
    """

    job_ids: tuple[str, ...]
    from_ms: int = 0
    """The count that `elapsed_ms` goes on from."""
    elapsed_ms: int = 0
    """Milliseconds since the count was `from_ms`, on the steady clock of a leader."""


class JobAccepted(Reply, frozen=True):
    """The job is kept."""

    is_new: bool
    is_kept: bool = True
    """False: parts are missing, so nothing was kept."""
    is_foreign: bool = False
    """Whether another tenant's job has the id, so that nothing was kept."""


class ResultsRecorded(Reply, frozen=True):
    """How many results were new, and why the others were not."""

    count: int
    dropped: dict[str, str] = {}
    """Causes by item; empty from replicas of earlier releases, and of parts."""


class JobEnded(Reply, frozen=True):
    """The job is ended; unknown jobs are not."""

    is_known: bool


class ReadResults(Query, frozen=True):
    """Ask for the results from a position on."""

    job_id: str
    after: int
    maximum_bytes: int
    tenant: str = ""
    """Who asks."""


class ReadItem(Query, frozen=True):
    """Ask for the body of an item."""

    job_id: str
    item_id: str
    tenant: str = ""
    """Who asks."""


class ResultsPage(Reply, frozen=True):
    """Results of a job; None total: no such job."""

    total: int | None
    results: tuple[ItemResult, ...] = ()


class ItemBody(Reply, frozen=True):
    """Body of an item; None when it is listed, or there is no such item or open job."""

    body: bytes | None


class JobState:
    """One job and what has become of it."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.results: list[ItemResult] = []
        self.listed: set[str] = set()
        self.ended_at_s: float | None = None
        self.items = {item.id: item for item in job.items}
        self.parts: dict[str, tuple[TextPart, ...]] = {}
        """Parts of texts in the making by item, each one behind the one before it."""

    @property
    def is_open(self) -> bool:
        """Whether its items are to be run."""
        return self.ended_at_s is None

    def add(self, result: ItemResult) -> bool:
        """Append a result.

        False when the item has one, is not of this job, or lacks the parts that it goes on behind.
        """
        if result.item_id in self.listed or result.item_id not in self.items:
            return False
        if result.behind:
            before = self._parts_up_to(result.item_id, result.behind)
            if before is None:
                return False
            earlier = tuple(part.packed for part in before)
            result = msgspec.structs.replace(result, earlier=earlier, behind=0)
        self.listed.add(result.item_id)
        self.results.append(result)
        self.parts.pop(result.item_id, None)
        return True

    def keep(self, part: TextPart) -> bool:
        """Keep a part behind those that it goes on from; False when it doesn't join them.

        A new leader may have gone on from an earlier part than the newest one: what its part
        replaces goes.
        """
        if part.item_id in self.listed or part.item_id not in self.items:
            return False
        before = self._parts_up_to(part.item_id, part.after)
        if before is None:
            return False
        self.parts[part.item_id] = (*before, part)
        return True

    def _parts_up_to(self, item_id: str, wanted: int) -> tuple[TextPart, ...] | None:
        """Kept parts that hold an item's first `wanted` events; None where no part ends there."""
        before: list[TextPart] = []
        events = 0
        for known in self.parts.get(item_id, ()):
            if events == wanted:
                break
            before.append(known)
            events += known.events
        return tuple(before) if events == wanted else None


class _SavedJob(msgspec.Struct, frozen=True):
    job: Job
    results: tuple[ItemResult, ...]
    ended_at_s: float | None
    parts: dict[str, tuple[TextPart, ...]] = {}


class _SavedState(msgspec.Struct, frozen=True):
    jobs: tuple[_SavedJob, ...]
    staged: dict[str, dict[int, tuple[JobItem, ...]]]
    kept: KeptTime = msgspec.field(default_factory=KeptTime)


class BatchJobs(StateMachine):
    """All batch jobs of a shard."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.staged: dict[str, dict[int, tuple[JobItem, ...]]] = {}
        """Parts of jobs that are not accepted yet, by job and number; the oldest job first."""
        self.kept = KeptTime()

    def command_types(self) -> tuple[type[Command], ...]:
        """Commands it applies."""
        return (AcceptJob, StageItems, RecordResults, KeepParts, EndJob, ForgetJobs)

    def query_types(self) -> tuple[type[Query], ...]:
        """Queries it answers."""
        return (ReadResults, ReadItem)

    def reply_types(self) -> tuple[type[Reply], ...]:
        """What it may return."""
        return (JobAccepted, ResultsRecorded, JobEnded, ResultsPage, ItemBody)

    def apply(self, command: Command) -> Reply:
        """Apply one command."""
        match command:
            case AcceptJob(job, parts):
                return self._accept(job, parts)
            case StageItems(job_id, part, items):
                return self._stage(job_id, part, items)
            case RecordResults(job_id, results):
                return self._record(job_id, results)
            case KeepParts(job_id, text_parts):
                return self._keep(job_id, text_parts)
            case EndJob(job_id, at_s, tenant):
                return self._end(job_id, at_s, tenant)
            case ForgetJobs():
                return self._forget(command)
        raise TypeError(f"unknown command {type(command).__name__}")

    def _accept(self, job: Job, parts: int) -> Reply:
        staged = self.staged.pop(job.id, {})
        known = self.jobs.get(job.id)
        if known is not None:
            return JobAccepted(False, is_foreign=not known.job.is_shown_to(job.tenant))
        if parts:
            if any(part not in staged for part in range(parts)):
                return JobAccepted(False, False)
            items = tuple(item for part in range(parts) for item in staged[part])
            job = msgspec.structs.replace(job, items=items)
        self.jobs[job.id] = JobState(job)
        return JobAccepted(True)

    def _stage(self, job_id: str, part: int, items: tuple[JobItem, ...]) -> Reply:
        if job_id not in self.jobs:
            self.staged.setdefault(job_id, {})[part] = items
        while len(self.staged) > MAXIMUM_STAGED_JOBS:
            del self.staged[next(iter(self.staged))]
        return JobAccepted(False)

    def _record(self, job_id: str, results: tuple[ItemResult, ...]) -> Reply:
        state = self.jobs.get(job_id)
        if state is None or not state.is_open:
            cause = NO_SUCH_JOB if state is None else JOB_IS_ENDED
            return ResultsRecorded(0, {result.item_id: cause for result in results})
        dropped: dict[str, str] = {}
        for result in results:
            if result.item_id in state.listed:
                dropped[result.item_id] = LISTED_BEFORE
            elif not state.add(result):
                is_known = result.item_id in state.items
                dropped[result.item_id] = PARTS_MISSING if is_known else NO_SUCH_ITEM
        return ResultsRecorded(len(results) - len(dropped), dropped)

    def _keep(self, job_id: str, parts: tuple[TextPart, ...]) -> Reply:
        state = self.jobs.get(job_id)
        if state is None or not state.is_open:
            return ResultsRecorded(0)
        return ResultsRecorded(sum(state.keep(part) for part in parts))

    def _shown(self, job_id: str, tenant: str) -> JobState | None:
        """A job as a tenant may know of it."""
        state = self.jobs.get(job_id)
        return state if state is not None and state.job.is_shown_to(tenant) else None

    def _end(self, job_id: str, at_s: float, tenant: str) -> Reply:
        state = self._shown(job_id, tenant)
        if state is None:
            return JobEnded(False)
        if state.is_open:
            state.ended_at_s = at_s
            state.parts.clear()
        return JobEnded(True)

    def _forget(self, command: ForgetJobs) -> Reply:
        for job_id in command.job_ids:
            self.jobs.pop(job_id, None)
            self.kept.forget(job_id)
        if command.elapsed_ms:
            ended = [state.job.id for state in self.jobs.values() if not state.is_open]
            self.kept.add(command.from_ms, command.elapsed_ms, ended)
        return JobEnded(True)

    def answer(self, query: Query) -> Reply:
        """Answer a query."""
        match query:
            case ReadResults(job_id, after, maximum_bytes, tenant):
                return self._read_results(self._shown(job_id, tenant), after, maximum_bytes)
            case ReadItem(job_id, item_id, tenant):
                return self._read_item(self._shown(job_id, tenant), item_id)
        raise TypeError(f"unknown query {type(query).__name__}")

    def _read_results(self, state: JobState | None, after: int, maximum_bytes: int) -> Reply:
        if state is None:
            return ResultsPage(None)
        return ResultsPage(len(state.job.items), take_page(state.results, after, maximum_bytes))

    def _read_item(self, state: JobState | None, item_id: str) -> Reply:
        item = state.items.get(item_id) if state else None
        if state is None or item is None or not state.is_open or item_id in state.listed:
            return ItemBody(None)
        return ItemBody(item.body)

    def save(self) -> bytes:
        """The whole state."""
        saved = [
            _SavedJob(state.job, tuple(state.results), state.ended_at_s, dict(state.parts))
            for state in self.jobs.values()
        ]
        whole = _SavedState(tuple(saved), self.staged, self.kept)
        return cbor2.dumps(msgspec.to_builtins(whole, builtin_types=(bytes,)))

    def load(self, state: bytes) -> None:
        """Replace the state by a saved one."""
        plain: Any = cbor2.loads(state)
        self.jobs = {}
        whole = msgspec.convert(plain, _SavedState)
        self.staged = whole.staged
        self.kept = whole.kept
        for saved in whole.jobs:
            job = JobState(saved.job)
            for result in saved.results:
                job.add(result)
            job.ended_at_s = saved.ended_at_s
            job.parts = dict(saved.parts)
            self.jobs[saved.job.id] = job
