"""Progress of items that have no recorded result yet."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from bellweir.hosted.batches.checkpoint_marks import events_of, new_mark
from bellweir.hosted.batches.failed_requests import ItemFailure
from bellweir.hosted.batches.stage_request import StageRequest
from bellweir.hosted.batches.state import (
    SCORING_STAGE,
    ItemResult,
    Job,
    JobItem,
    TextCheckpoint,
)
from bellweir.hosted.batches.text_compression import compress_text, decompress_text
from bellweir.hosted.event_stream import StreamEvent
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route

MAX_DOUBLINGS = 8
"""Of the times for which an item's workers are waited for."""


class Stage(Enum):
    """What an item needs next."""

    GENERATION = "text"
    """Generate the text, or the rest of it."""
    SCORING = SCORING_STAGE
    """Score the complete text."""
    RESULT = "result"
    """Commit the result."""


class VersionTooOldError(ValueError):
    """The worker's weight version is lower than the job's minimum."""


class VersionMixedError(ValueError):
    """The text would mix weight versions, which the route does not allow."""


class EventsMissingError(ValueError):
    """The worker skipped events."""


@dataclass
class ItemProgress:
    """State of one item, changed by its running attempt, and by the coordinator in between."""

    job: Job
    route: Route
    item: JobItem
    stage: Stage = Stage.GENERATION
    pieces: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    events: int = 0
    """Events in the pieces; a piece from a checkpoint or an earlier job may hold several."""
    checkpoint_mark: int = 0
    """Sum of the marks of the checkpoints handed to the committer."""
    checkpointed_pieces: int = 0
    checkpointed_s: float = 0.0
    """Monotonic time of the last checkpoint, or of the start of the attempt."""
    versions: list[int] = field(default_factory=list)
    """Weight versions that generated the events, in order of their first one."""
    failures: dict[int, ItemFailure] = field(default_factory=dict)
    """Each status 500 or 422 of its requests, by mark: those of this job and of others."""
    unrecorded_failures: list[ItemFailure] = field(default_factory=list)
    """Failures that the log may lack; no attempt starts before it has them."""
    timeouts: int = 0
    """Attempts since the last event that were given up before their worker had answered."""
    error_answers: int = 0
    """Error answers in a row that say neither that the request failed nor that it has not run."""
    score: str = ""
    attempts: int = 0
    not_before_s: float = 0.0
    """Monotonic time before which no attempt starts."""
    result: ItemResult | None = None
    is_committing: bool = False
    """Whether the result, or the unrecorded failures, are queued at the committer."""
    guessed_tokens: float | None = None
    """Length hint of the caller."""
    last_event_s: float = 0.0
    """Monotonic time of the newest event of the running attempt, or of its start."""
    moved_s: float = 0.0
    """Monotonic time of the last move to another worker."""
    moved_to: Incarnation | None = None
    """Worker that the next attempt is to use; None once it has started."""
    urgency: int | None = None
    """Urgency sent to the worker, 0 is the highest; None: the default one."""
    held_since_s: float | None = None
    """Monotonic time since which it waits for a better worker while others have free slots."""

    @property
    def patience(self) -> float:
        """Factor on the times for which a worker is waited for.

        A worker that is given up may still run the request: with the same times for each attempt,
        one that takes longer would run without end, and no answer of 500 would be counted.
        """
        return 2.0 ** min(self.timeouts, MAX_DOUBLINGS)

    @property
    def request(self) -> StageRequest:
        """The request that the item needs in its stage."""
        is_scoring = self.stage is not Stage.GENERATION
        return (self._scoring_request if is_scoring else None) or self._generation_request

    @property
    def requests(self) -> Iterator[StageRequest]:
        """The requests of all stages."""
        yield self._generation_request
        if self._scoring_request is not None:
            yield self._scoring_request

    @cached_property
    def _generation_request(self) -> StageRequest:
        return self.job.generation_request(self.item)

    @cached_property
    def _scoring_request(self) -> StageRequest | None:
        return self.job.scoring_request(self.item)

    @property
    def stage_failures(self) -> list[Incarnation]:
        """Workers at which the request of the current stage failed."""
        return [failure.worker for failure in self.failures_in(self.stage)]

    def failures_in(self, stage: Stage) -> list[ItemFailure]:
        """Failures of the request of a stage."""
        return [each for each in list(self.failures.values()) if each.stage == stage.value]

    def add_failure(self, worker: Incarnation, *, is_final: bool = False) -> None:
        """Count an answer of 500 in the current stage, or of 422 if it `is_final`."""
        failure = ItemFailure(
            self.item.id,
            self.stage.value,
            worker.instance,
            worker.born_ms,
            new_mark(0),
            self.job.id,
            is_final,
        )
        self.failures[failure.mark] = failure
        self.unrecorded_failures.append(failure)

    def count_recorded(self, failures: Iterable[ItemFailure]) -> None:
        """Count recorded failures: those of former leaders, also late ones, and of other jobs."""
        for failure in failures:
            self.failures.setdefault(failure.mark, failure)

    def add_event(self, event: StreamEvent, version: int | None) -> None:
        """Append an event generated by weight version `version`; duplicates are dropped.

        Raises `EventsMissingError`, `VersionTooOldError` or `VersionMixedError`.
        """
        known = self.last_event_id
        if event.event_id is not None and known is not None:
            if event.event_id <= known:
                return
            if event.event_id > known + 1:
                raise EventsMissingError(f"worker sent event {event.event_id} after {known}")
        if version is not None:
            self._add_version(version)
        self.pieces.append(event.data.decode("utf-8", "surrogateescape"))
        self.events += 1
        self.timeouts = self.error_answers = 0
        if event.event_id is not None:
            self.last_event_id = event.event_id

    def _add_version(self, version: int) -> None:
        if version < self.job.minimum_version:
            raise VersionTooOldError(
                f"weight version {version} is below the minimum {self.job.minimum_version}"
            )
        if version in self.versions:
            return
        if self.versions and self.route.single_version:
            raise VersionMixedError(f"weight version {version} after {self.versions[-1]}")
        self.versions.append(version)

    def restart(self) -> None:
        """Discard the text, so that the next attempt starts it over."""
        self.pieces.clear()
        self.versions.clear()
        self.last_event_id = None
        self.events = self.checkpoint_mark = self.checkpointed_pieces = 0

    def take_checkpoint(self) -> TextCheckpoint | None:
        """Return a checkpoint of the events since the last one; for the running attempt only."""
        count = self.events - events_of(self.checkpoint_mark)
        if count <= 0:
            return None
        text = "\n".join(self.pieces[self.checkpointed_pieces :])
        checkpoint = TextCheckpoint(
            self.item.id,
            self.checkpoint_mark,
            new_mark(count),
            self.last_event_id,
            compress_text(text),
            tuple(self.versions),
        )
        self.checkpoint_mark += checkpoint.mark
        self.checkpointed_pieces = len(self.pieces)
        return checkpoint

    def resume_from(self, checkpoints: Sequence[TextCheckpoint]) -> bool:
        """Resume from another leader's checkpoints; False if their versions don't fit the job."""
        versions = checkpoints[-1].versions if checkpoints else ()
        is_fresh = bool(versions) and min(versions) >= self.job.minimum_version
        if not is_fresh or (self.route.single_version and len(versions) > 1):
            return False
        self.pieces = [decompress_text(each.compressed) for each in checkpoints]
        self.versions = list(versions)
        self.last_event_id = checkpoints[-1].last_event_id
        self.checkpoint_mark = sum(each.mark for each in checkpoints)
        self.events = events_of(self.checkpoint_mark)
        self.checkpointed_pieces = len(self.pieces)
        return True

    def complete_generation(self) -> None:
        """Enter the next stage after the last event."""
        self.stage = Stage.SCORING if self.item.scorer is not None else Stage.RESULT
        self.timeouts = self.error_answers = 0
        if self.stage is Stage.RESULT:
            self.finish("")

    def finish(self, score: str) -> None:
        """Set the complete result; its text starts after the last checkpoint."""
        self.stage = Stage.RESULT
        self.score = score
        if self.checkpoint_mark == 0:
            self.result = self.full_result()
            return
        tail = self.pieces[self.checkpointed_pieces :]
        self.result = ItemResult(
            self.item.id,
            True,
            versions=tuple(sorted(self.versions)),
            score=score,
            compressed=compress_text("\n".join(tail)) if tail else b"",
            length=len("\n".join(self.pieces)),
            checkpoint_mark=self.checkpoint_mark,
        )

    def full_result(self) -> ItemResult:
        """Return the result with its full text, for a log that lacks the checkpoints."""
        text = "\n".join(self.pieces)
        versions = tuple(sorted(self.versions))
        return ItemResult.from_text(self.item.id, True, text, versions, self.score)

    def give_up(self) -> None:
        """Set the result of an item that failed for good."""
        self.stage = Stage.RESULT
        text = "\n".join(self.pieces)
        self.result = ItemResult.from_text(self.item.id, False, text, tuple(sorted(self.versions)))
