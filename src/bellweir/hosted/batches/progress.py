"""What the coordinator knows of an item that is not listed yet."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from bellweir.hosted.batches.state import ItemResult, Job, JobItem, TextPart
from bellweir.hosted.batches.text_compression import compress_text, decompress_text
from bellweir.hosted.event_stream import StreamEvent
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route


class Stage(Enum):
    """What an item needs next."""

    TEXT = "text"
    """Its events, or the rest of them."""
    SCORE = "score"
    """Its text is whole and is to be scored."""
    RESULT = "result"
    """Its result waits to be committed."""


class VersionTooOldError(ValueError):
    """The worker's weights are older than the job allows."""


class VersionMixedError(ValueError):
    """The text would be of two versions, which the route does not allow."""


class EventsMissingError(ValueError):
    """The worker left out events."""


@dataclass
class ItemProgress:
    """One item. Changed by one attempt at a time, and by the coordinator between attempts."""

    job: Job
    route: Route
    item: JobItem
    stage: Stage = Stage.TEXT
    pieces: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    events: int = 0
    """Events that the pieces hold; a piece taken over from elsewhere may hold several."""
    kept_events: int = 0
    """Events of these that were handed to the committer to be kept."""
    kept_pieces: int = 0
    kept_s: float = 0.0
    """Monotonic time at which that was done last, or at which the run began."""
    versions: list[int] = field(default_factory=list)
    """Versions that made events, in order of their first one."""
    failed_at: list[Incarnation] = field(default_factory=list)
    """The worker of each answer of 500 to the item's own request."""
    score_failed_at: list[Incarnation] = field(default_factory=list)
    """The same for its scoring."""
    score: str = ""
    attempts: int = 0
    not_before_s: float = 0.0
    """Monotonic time before which no attempt is made."""
    result: ItemResult | None = None
    is_committing: bool = False
    """Whether the committer has the result."""
    guessed_tokens: float | None = None
    """Tokens that the caller guesses the text to have."""
    heard_s: float = 0.0
    """Monotonic time of the newest event of the run in hand, or of its start."""
    moved_s: float = 0.0
    """Monotonic time at which it was last moved to another worker."""
    moved_to: Incarnation | None = None
    """Where it is to go on; None once it does."""
    urgency: int | None = None
    """Urgency to tell its worker, 0 first; None: the usual one."""
    held_since_s: float | None = None
    """Monotonic time since which it waits for a better worker while others have room."""

    @property
    def failed_at_now(self) -> list[Incarnation]:
        """Workers that failed what the item needs next."""
        return self.score_failed_at if self.stage is Stage.SCORE else self.failed_at

    def add_event(self, event: StreamEvent, version: int | None) -> None:
        """Append an event made by `version`; events that are known already are dropped.

        Raises `EventsMissingError`, `VersionTooOldError` or `VersionMixedError`.
        """
        known = self.last_event_id
        if event.event_id is not None and known is not None:
            if event.event_id <= known:
                return
            if event.event_id > known + 1:
                raise EventsMissingError(f"event {event.event_id} after {known}")
        if version is not None:
            self._add_version(version)
        self.pieces.append(event.data.decode("utf-8", "surrogateescape"))
        self.events += 1
        if event.event_id is not None:
            self.last_event_id = event.event_id

    def _add_version(self, version: int) -> None:
        if version < self.job.minimum_version:
            raise VersionTooOldError(f"version {version}, allowed {self.job.minimum_version}")
        if version in self.versions:
            return
        if self.versions and self.route.single_version:
            raise VersionMixedError(f"version {version} after {self.versions[-1]}")
        self.versions.append(version)

    def restart(self) -> None:
        """Forget the text; the next attempt begins anew."""
        self.pieces.clear()
        self.versions.clear()
        self.last_event_id = None
        self.events = self.kept_events = self.kept_pieces = 0

    def take_part(self) -> TextPart | None:
        """Return the events made since the last part was taken; by the attempt in hand."""
        count = self.events - self.kept_events
        if count <= 0:
            return None
        text = "\n".join(self.pieces[self.kept_pieces :])
        part = TextPart(
            self.item.id,
            self.kept_events,
            count,
            self.last_event_id,
            compress_text(text),
            tuple(self.versions),
        )
        self.kept_events = self.events
        self.kept_pieces = len(self.pieces)
        return part

    def go_on_from(self, parts: Sequence[TextPart]) -> bool:
        """Take over what another leader had kept; False where that doesn't fit the job."""
        versions = parts[-1].versions if parts else ()
        is_fresh = bool(versions) and min(versions) >= self.job.minimum_version
        if not is_fresh or (self.route.single_version and len(versions) > 1):
            return False
        self.pieces = [decompress_text(part.packed) for part in parts]
        self.versions = list(versions)
        self.last_event_id = parts[-1].last_event_id
        self.events = self.kept_events = sum(part.events for part in parts)
        self.kept_pieces = len(self.pieces)
        return True

    def text_is_whole(self) -> None:
        """Note that the last event has come."""
        self.stage = Stage.SCORE if self.item.scorer is not None else Stage.RESULT
        if self.stage is Stage.RESULT:
            self.finish("")

    def finish(self, score: str) -> None:
        """The result is whole; of its text only what no kept part has is sent."""
        self.stage = Stage.RESULT
        self.score = score
        if self.kept_events == 0:
            self.result = self.whole_result()
            return
        tail = self.pieces[self.kept_pieces :]
        self.result = ItemResult(
            self.item.id,
            True,
            versions=tuple(sorted(self.versions)),
            score=score,
            packed=compress_text("\n".join(tail)) if tail else b"",
            length=len("\n".join(self.pieces)),
            behind=self.kept_events,
        )

    def whole_result(self) -> ItemResult:
        """The result with its whole text, for a log that lacks the kept parts."""
        text = "\n".join(self.pieces)
        versions = tuple(sorted(self.versions))
        return ItemResult.made(self.item.id, True, text, versions, self.score)

    def give_up(self) -> None:
        """The item can't be done."""
        self.stage = Stage.RESULT
        text = "\n".join(self.pieces)
        self.result = ItemResult.made(self.item.id, False, text, tuple(sorted(self.versions)))
