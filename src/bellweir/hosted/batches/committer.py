"""Commits results, checkpoints and failures to the ledger in batches."""

import queue
import threading
from collections.abc import Callable, Mapping

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.batches.failed_requests import ItemFailure
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.state import (
    ALREADY_RECORDED,
    CHECKPOINTS_MISSING,
    JOBS_KEY,
    ItemResult,
    KeepParts,
    RecordResults,
    ResultsRecorded,
    TextCheckpoint,
)
from bellweir.hosted.log_events import ITEM_FAILURES_LOST, ITEM_LISTED, ITEM_NOT_LISTED
from bellweir.kernel.clock import elapsed_s
from bellweir.ledger.interface import Ledger, Reply

GATHER_DELAY_S = 0.005
"""Time for which results are gathered into one batch."""
MAX_COMMAND_BYTES = 600_000
"""Size of the results in one command, which may have at most 1 MiB."""
MAX_COMMAND_CHECKPOINTS = 24
"""Checkpoints in one command; each holds a few seconds of generation."""
SUBMIT_TIMEOUT_S = 2.0
RECORD_FAILURES_S = 8.0
"""Time for which a node that no longer leads tries to record failures; an election is shorter."""
QUEUE_POLL_S = 0.2
RETRY_PAUSE_S = 0.02
"""Pause before a result is sent again; a submission may fail at once."""
MAX_RESULT_BYTES = 1_000_000
"""Size of one result; it is alone in its command then."""
CAUSE_UNKNOWN = "unknown: the leader runs a release that reports only counts"
LACKING_CAUSES = frozenset({CHECKPOINTS_MISSING, CAUSE_UNKNOWN})


class _PendingResult:
    """An item and the result that is to be recorded for it."""

    __slots__ = ("progress", "result")

    def __init__(self, progress: ItemProgress, result: ItemResult) -> None:
        self.progress = progress
        self.result = result

    def may_lack_checkpoints(self, dropped: Mapping[str, str]) -> bool:
        """Whether it may have been dropped since its checkpoints have not reached the log."""
        cause = dropped.get(self.result.item_id)
        return bool(self.result.checkpoint_mark) and cause in LACKING_CAUSES


class Committer:
    """A single task. Commits with an unknown outcome are retried.

    The first result of an item counts, and each failure once.
    """

    def __init__(self, ledger: Ledger, leads: Callable[[], bool]) -> None:
        self._ledger = ledger
        self._leads = leads
        self._queue: queue.SimpleQueue[ItemProgress | KeepParts] = queue.SimpleQueue()
        self._pause = threading.Event()

    def put(self, progress: ItemProgress) -> None:
        """Queue the result of an item, or failures after which it must not run until recorded."""
        progress.is_committing = True
        self._queue.put(progress)

    def put_checkpoint(self, progress: ItemProgress, checkpoint: TextCheckpoint) -> None:
        """Queue a checkpoint of an unfinished text; it is dropped if this node no longer leads."""
        self._queue.put(KeepParts(progress.job.id, (checkpoint,)))

    def run(self, stopping: threading.Event) -> None:
        """Commit until `stopping`."""
        while not stopping.is_set():
            try:
                first = self._queue.get(timeout=QUEUE_POLL_S)
            except queue.Empty:
                continue
            self._pause.wait(GATHER_DELAY_S)
            batch = [first]
            while not self._queue.empty():
                batch.append(self._queue.get())
            try:
                self._commit_batch(batch, stopping)
            except Exception:
                self._release(batch)
                raise

    def _release(self, batch: list[ItemProgress | KeepParts]) -> None:
        """Have the coordinator queue the results again; checkpoints are dropped."""
        for each in batch:
            if isinstance(each, ItemProgress):
                each.is_committing = False

    def _commit_batch(
        self, batch: list[ItemProgress | KeepParts], stopping: threading.Event
    ) -> None:
        results: dict[str, list[ItemProgress]] = {}
        failed: dict[str, list[ItemProgress]] = {}
        checkpoints: dict[str, list[TextCheckpoint]] = {}
        for each in batch:
            if isinstance(each, KeepParts):
                checkpoints.setdefault(each.job_id, []).extend(each.parts)
            elif each.result is None:
                failed.setdefault(each.job.id, []).append(each)
            else:
                results.setdefault(each.job.id, []).append(each)
        for job_id, found in results.items():
            self._commit(job_id, found, stopping)
        for job_id, found in failed.items():
            self._record_failures(job_id, found, stopping)
        for job_id, queued in checkpoints.items():
            for start in range(0, len(queued), MAX_COMMAND_CHECKPOINTS):
                command = KeepParts(job_id, tuple(queued[start : start + MAX_COMMAND_CHECKPOINTS]))
                # Not retried: a later checkpoint that leaves a gap is dropped, the attempt goes on.
                if self._leads():
                    self._ledger.submit(JOBS_KEY, command, SUBMIT_TIMEOUT_S)

    def _record_failures(
        self, job_id: str, items: list[ItemProgress], stopping: threading.Event
    ) -> None:
        """Record failures, and let their items run again.

        Also tried for a while by a node that no longer leads: its successor has to count them.
        """
        failures = [failure for each in items for failure in each.unrecorded_failures]
        command = KeepParts(job_id, failures=tuple(failures))
        given_up_s = elapsed_s() + RECORD_FAILURES_S
        while failures and not stopping.is_set():
            may_retry = self._leads() or elapsed_s() < given_up_s
            if isinstance(self._ledger.submit(JOBS_KEY, command, SUBMIT_TIMEOUT_S), Success):
                for each in items:
                    each.unrecorded_failures = [
                        one for one in each.unrecorded_failures if one not in failures
                    ]
                break
            if not may_retry:
                _log_lost(job_id, failures)
                break
            self._pause.wait(RETRY_PAUSE_S)
        for each in items:
            # If they are not recorded, the coordinator queues them again once this node leads.
            each.is_committing = False

    def _commit(self, job_id: str, items: list[ItemProgress], stopping: threading.Event) -> None:
        """Record results; those whose checkpoints the log lacks are sent again with full texts."""
        # An item may be queued twice around a change of leader. Only its newest progress is sent:
        # if one command recorded and dropped it, its outcome would be ambiguous.
        newest = {each.item.id: each for each in items if each.result is not None}
        tails = [
            _PendingResult(each, _bounded(each, each.result))
            for each in newest.values()
            if each.result is not None
        ]
        lacking: list[ItemProgress] = []
        for chunk in _split_by_size(tails):
            lacking += self._record(job_id, chunk, stopping)
        whole = [_PendingResult(each, _bounded(each, each.full_result())) for each in lacking]
        for chunk in _split_by_size(whole):
            self._record(job_id, chunk, stopping, is_unsure=True)

    def _record(
        self,
        job_id: str,
        pending: list[_PendingResult],
        stopping: threading.Event,
        *,
        is_unsure: bool = False,
    ) -> list[ItemProgress]:
        """Record results in one command; return the items whose checkpoints the log may lack.

        `is_unsure`: an earlier try may have recorded what this one finds recorded.
        """
        results = tuple(each.result for each in pending)
        while self._leads() and not stopping.is_set():
            outcome = self._ledger.submit(
                JOBS_KEY, RecordResults(job_id, results), SUBMIT_TIMEOUT_S
            )
            if not isinstance(outcome, Success):
                is_unsure = True
                self._pause.wait(RETRY_PAUSE_S)
                continue
            dropped = _drop_causes(results, outcome.unwrap())
            lacking = [each for each in pending if each.may_lack_checkpoints(dropped)]
            for each in pending:
                if each not in lacking:
                    cause = dropped.get(each.result.item_id)
                    _log_outcome(job_id, each.progress, each.result, cause, is_unsure=is_unsure)
            return [each.progress for each in lacking]
        for each in pending:
            # The coordinator queues it again if this node leads once more.
            each.progress.is_committing = False
        return []


def _bounded(progress: ItemProgress, result: ItemResult) -> ItemResult:
    """Return a result that one command can hold: an item whose text is too large has failed.

    Without it the command would be refused for ever, and all results behind it would wait.
    """
    if result.size <= MAX_RESULT_BYTES:
        return result
    emit(
        ITEM_NOT_LISTED,
        request_id=result.item_id,
        job=progress.job.id,
        state="completed",
        events=progress.events,
        cause=f"result of {result.size} bytes, at most {MAX_RESULT_BYTES}",
    )
    return ItemResult.from_text(result.item_id, False, "", result.versions)


def _split_by_size(found: list[_PendingResult]) -> list[list[_PendingResult]]:
    chunks: list[list[_PendingResult]] = [[]]
    size = 0
    for pending in found:
        length = pending.result.size
        if chunks[-1] and size + length > MAX_COMMAND_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(pending)
        size += length
    return [chunk for chunk in chunks if chunk]


def _drop_causes(results: tuple[ItemResult, ...], reply: Reply) -> dict[str, str]:
    """Return why results were dropped, by item.

    A replica of an earlier release reports only their number: if it is less than what was sent,
    each result may be dropped.
    """
    if not isinstance(reply, ResultsRecorded):
        return dict.fromkeys((each.item_id for each in results), CAUSE_UNKNOWN)
    if reply.dropped or reply.count >= len(results):
        return reply.dropped
    return dict.fromkeys((each.item_id for each in results), CAUSE_UNKNOWN)


def _log_lost(job_id: str, failures: list[ItemFailure]) -> None:
    for item_id in dict.fromkeys(failure.item_id for failure in failures):
        count = sum(failure.item_id == item_id for failure in failures)
        emit(ITEM_FAILURES_LOST, request_id=item_id, job=job_id, failures=count)


def _log_outcome(
    job_id: str,
    progress: ItemProgress,
    result: ItemResult,
    cause: str | None,
    *,
    is_unsure: bool,
) -> None:
    """Log a result as recorded if `cause` is None, else as dropped for that cause."""
    state = "completed" if result.is_complete else "dead"
    known = {"request_id": result.item_id, "job": job_id, "state": state}
    is_recorded = cause is None or (is_unsure and cause == ALREADY_RECORDED)
    if not is_recorded:
        emit(ITEM_NOT_LISTED, **known, events=progress.events, cause=cause)
        return
    emit(
        ITEM_LISTED,
        **known,
        events=progress.events,
        versions=list(result.versions),
        cause=cause and f"{cause}, perhaps by a try without an outcome",
    )
