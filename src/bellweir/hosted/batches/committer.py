"""Commits results to the ledger, many in one command."""

import queue
import threading
from collections.abc import Callable

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.state import (
    ALREADY_RECORDED,
    JOBS_KEY,
    ItemResult,
    KeepParts,
    RecordResults,
    ResultsRecorded,
    TextCheckpoint,
)
from bellweir.hosted.log_events import ITEM_LISTED, ITEM_NOT_LISTED
from bellweir.ledger.interface import Ledger, Reply

GATHER_DELAY_S = 0.005
"""Time for which results are gathered into one command."""
MAX_COMMAND_BYTES = 600_000
"""Text in one command; a command has at most a mebibyte."""
MAX_COMMAND_CHECKPOINTS = 24
"""Parts of texts in one command; each is what some seconds make."""
SUBMIT_TIMEOUT_S = 2.0
QUEUE_POLL_S = 0.2
CAUSE_UNKNOWN = "not told: the leader's release only counts"


class Committer:
    """One task. A result whose commit is unknown is committed again: the first one counts."""

    def __init__(self, ledger: Ledger, leads: Callable[[], bool]) -> None:
        self._ledger = ledger
        self._leads = leads
        self._queue: queue.SimpleQueue[ItemProgress | KeepParts] = queue.SimpleQueue()
        self._pause = threading.Event()

    def put_result(self, progress: ItemProgress) -> None:
        """Commit an item's result soon."""
        progress.is_committing = True
        self._queue.put(progress)

    def put_checkpoint(self, progress: ItemProgress, part: TextCheckpoint) -> None:
        """Keep a part of a text in the making soon; lost if this node leads no more."""
        self._queue.put(KeepParts(progress.job.id, (part,)))

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
            self._commit_batch(batch, stopping)

    def _commit_batch(
        self, batch: list[ItemProgress | KeepParts], stopping: threading.Event
    ) -> None:
        by_job: dict[str, list[ItemProgress]] = {}
        parts: dict[str, list[TextCheckpoint]] = {}
        for each in batch:
            if isinstance(each, KeepParts):
                parts.setdefault(each.job_id, []).extend(each.parts)
            else:
                by_job.setdefault(each.job.id, []).append(each)
        for job_id, found in by_job.items():
            for part in _split_by_size(found):
                self._commit(job_id, part, stopping)
        for job_id, kept in parts.items():
            for start in range(0, len(kept), MAX_COMMAND_CHECKPOINTS):
                command = KeepParts(job_id, tuple(kept[start : start + MAX_COMMAND_CHECKPOINTS]))
                # Not tried again: a later part that doesn't join is dropped, the text goes on.
                if self._leads():
                    self._ledger.submit(JOBS_KEY, command, SUBMIT_TIMEOUT_S)

    def _commit(self, job_id: str, part: list[ItemProgress], stopping: threading.Event) -> None:
        # Of an item that was put in twice, around a change of leader, the newest progress counts:
        # one command that lists it and drops it again could not say what became of it.
        newest = {each.item.id: each for each in part if each.result is not None}
        part = list(newest.values())
        results = tuple(each.result for each in part if each.result is not None)
        # A try without an outcome may have listed what the next one finds listed.
        is_unsure = False
        listed: set[str] = set()
        while self._leads() and not stopping.is_set():
            outcome = self._ledger.submit(
                JOBS_KEY, RecordResults(job_id, results), SUBMIT_TIMEOUT_S
            )
            if not isinstance(outcome, Success):
                is_unsure = True
                continue
            dropped = _drop_causes(results, outcome.unwrap())
            listed.update(each.item_id for each in results if each.item_id not in dropped)
            if dropped and any(result.checkpointed_events for result in results):
                # Its parts may not have reached the log; what is listed already stays.
                results = tuple(_with_full_text(each) for each in part)
                continue
            for progress, result in zip(part, results, strict=True):
                cause = None if result.item_id in listed else dropped[result.item_id]
                _log_outcome(job_id, progress, result, cause, is_unsure=is_unsure)
            return
        for progress in part:
            # The coordinator hands it in again if this node leads once more.
            progress.is_committing = False


def _with_full_text(progress: ItemProgress) -> ItemResult:
    """An item's result as it needs nothing else of the log."""
    result = progress.result
    return progress.full_result() if result is None or result.checkpointed_events else result


def _split_by_size(found: list[ItemProgress]) -> list[list[ItemProgress]]:
    parts: list[list[ItemProgress]] = [[]]
    size = 0
    for progress in found:
        length = progress.result.size if progress.result else 0
        if parts[-1] and size + length > MAX_COMMAND_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(progress)
        size += length
    return parts


def _drop_causes(results: tuple[ItemResult, ...], reply: Reply) -> dict[str, str]:
    """Why results were dropped, by item.

    A replica of an earlier release only counts them: with fewer than were sent, each may be one.
    """
    if not isinstance(reply, ResultsRecorded):
        return dict.fromkeys((each.item_id for each in results), CAUSE_UNKNOWN)
    if reply.dropped or reply.count >= len(results):
        return reply.dropped
    return dict.fromkeys((each.item_id for each in results), CAUSE_UNKNOWN)


def _log_outcome(
    job_id: str,
    progress: ItemProgress,
    result: ItemResult,
    cause: str | None,
    *,
    is_unsure: bool,
) -> None:
    """Log what became of a result: listed without a `cause`, else dropped for it."""
    state = "completed" if result.is_complete else "dead"
    known = {"request_id": result.item_id, "job": job_id, "state": state}
    is_listed = cause is None or (is_unsure and cause == ALREADY_RECORDED)
    if not is_listed:
        emit(ITEM_NOT_LISTED, **known, events=progress.events, cause=cause)
        return
    emit(
        ITEM_LISTED,
        **known,
        events=progress.events,
        versions=list(result.versions),
        cause=cause and f"{cause}, perhaps by a try without an outcome",
    )
