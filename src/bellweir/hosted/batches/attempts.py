"""One attempt of an item: its text from a worker, or its score."""

import http.client
import time
from collections.abc import Callable, Collection

from bellweir.clients.open_answer import OpenAnswer
from bellweir.events.log import emit
from bellweir.hosted.batches.event_times import WorkerEventTimes
from bellweir.hosted.batches.length_prediction import LengthPredictor
from bellweir.hosted.batches.progress import (
    EventsMissingError,
    ItemProgress,
    VersionMixedError,
    VersionTooOldError,
)
from bellweir.hosted.batches.refusals import RefusalBackoff
from bellweir.hosted.batches.state import JobItem, TextPart
from bellweir.hosted.batches.worker_quarantine import WorkerQuarantine
from bellweir.hosted.event_stream import EventSplitter, EventTooLongError
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.log_events import (
    ITEM_BROKEN,
    ITEM_STARTED,
    WORKER_FAILS_ALL,
    WORKER_SERVES_AGAIN,
)
from bellweir.hosted.serving.attempt import (
    AttemptState,
    Cancellation,
    OpenedAttempt,
    WorkerCall,
    WorkerConnections,
    read_response,
)
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker

FIRST_EVENT_TIMEOUT_S = 3.0
SILENCE_TIMEOUT_S = 2.0
"""Time without an event after which a run goes on at another worker; a load takes about one."""
RUN_DEADLINE_MS = 60_000.0
"""Time that a worker may spend on a run; its silence ends it much sooner."""
SCORE_TIMEOUT_S = 1.0
SCORE_DEADLINE_MS = 5_000.0
REFUSED_PAUSE_S = 0.05
FAILED_PAUSE_S = 0.02
ENDED_HERE = "ended here"
"""Cause of a run's end when its job was ended or another node leads."""
UNPROCESSABLE = 422
SERVER_ERROR = 500

BROKEN = (
    OSError,
    http.client.HTTPException,
    EventTooLongError,
    EventsMissingError,
    VersionTooOldError,
    VersionMixedError,
)


class ItemAttempts:
    """Runs attempts; each call blocks until its attempt has ended."""

    def __init__(self, connections: WorkerConnections, loads: WorkerLoads) -> None:
        self._connections = connections
        self._loads = loads
        self.refusals = RefusalBackoff()
        self.failing = WorkerQuarantine()
        self.fellows_of: Callable[[Worker], Collection[Incarnation]] = _no_fellows
        """Returns the workers of a worker's service, itself among them; none: all count."""
        self.paces = WorkerEventTimes()
        self.lengths = LengthPredictor()
        self.keep_part: Callable[[ItemProgress, TextPart], None] = lambda _progress, _part: None
        """Called with parts of long texts in the making."""
        self.keep_period_s = 0.0
        """Time between two parts of a text; 0: none is kept."""

    def expected_events(self, progress: ItemProgress) -> float:
        """Events that an item's text is expected to have."""
        return self.lengths.predict_events(progress.item.id, progress.guessed_tokens)

    def known_events(self, progress: ItemProgress) -> float | None:
        """The same, as far as it is more than a rank among texts; None before any has ended."""
        return self.expected_events(progress) if self.lengths.is_calibrated else None

    def guessed_tokens(self, item: JobItem) -> float | None:
        """Tokens that an item's caller guesses its text to have; None without a guess."""
        wanted = self._connections.headers.length_hint.lower()
        guesses = (_number(value) for name, value in item.headers if name.lower() == wanted)
        return next(guesses, None)

    def run_text(self, progress: ItemProgress, worker: Worker, cancellation: Cancellation) -> None:
        """Get the item's events, from the first one that is missing on."""
        progress.attempts += 1
        emit(
            ITEM_STARTED,
            request_id=progress.item.id,
            job=progress.job.id,
            group=progress.item.group,
            attempt=progress.attempts,
            instance=worker.instance,
            version=worker.version_of(progress.job.model),
            after_event=progress.last_event_id,
        )
        began_s = time.monotonic()
        progress.heard_s = progress.kept_s = began_s
        opened = self._open_text(progress, worker, cancellation)
        if cancellation.cancelled.is_set():
            self._ended_here(progress, worker, opened.opened)
        elif opened.opened is None or opened.state is not AttemptState.ANSWERED:
            self._not_answered(progress, worker, opened)
        elif opened.opened.status >= 300:
            self._failed_answer(progress, worker, opened)
        else:
            self._read_events(progress, worker, opened.opened, began_s, cancellation)

    def _open_text(
        self, progress: ItemProgress, worker: Worker, cancellation: Cancellation
    ) -> OpenedAttempt:
        """Send the item's request; what the answer's head tells of the worker is noted."""
        model = progress.job.model
        state = AttemptState.UNKNOWN
        try:
            opened = self._connections.open(
                worker,
                _text_call(progress, self._connections.headers),
                FIRST_EVENT_TIMEOUT_S,
                RUN_DEADLINE_MS,
                cancellation,
            )
            state = opened.state
        finally:
            if state is AttemptState.ANSWERED:
                self.refusals.record_accepted(worker.incarnation, model)
            elif state is AttemptState.REFUSED:
                self.refusals.record_refusal(worker.incarnation, model)
            else:
                self.refusals.record_end(worker.incarnation, model)
        return opened

    def _ended_here(
        self, progress: ItemProgress, worker: Worker, opened: OpenAnswer | None
    ) -> None:
        """End a run that this node itself wants no more: no fault of the worker's."""
        if opened is not None:
            opened.drop()
        self._loads.release(worker.incarnation)
        self._log_broken(progress, worker, ENDED_HERE)

    def _read_events(
        self,
        progress: ItemProgress,
        worker: Worker,
        opened: OpenAnswer,
        began_s: float,
        cancellation: Cancellation,
    ) -> None:
        names = self._connections.headers
        opened.ends_with_connection = False
        splitter = EventSplitter(names.weight_versions)
        version = _version(opened.headers.get(names.weight_versions.lower()))
        try:
            is_first = True
            for block in opened.read_blocks():
                events = splitter.feed(block)
                for event in events:
                    version = event.weight_version or version
                    progress.add_event(event, version)
                if events:
                    if is_first:
                        self._note_served(worker, began_s)
                    self._note_events(progress, worker, len(events), is_first=is_first)
                    is_first = False
                opened.set_timeout(SILENCE_TIMEOUT_S)
            if not splitter.is_between_events:
                raise http.client.HTTPException("the stream ended inside an event")
        except BROKEN as failure:
            if cancellation.cancelled.is_set():
                self._ended_here(progress, worker, opened)
                return
            opened.drop()
            self._broken(progress, worker, failure)
            return
        opened.finish()
        self._loads.record_success(worker.incarnation, time.monotonic() - began_s)
        self.lengths.record_completed(progress.item.id, progress.guessed_tokens, progress.events)
        progress.text_is_whole()

    def _note_events(
        self, progress: ItemProgress, worker: Worker, count: int, *, is_first: bool
    ) -> None:
        """Note that events came; the first ones of a run tell nothing of its worker's pace."""
        now_s = time.monotonic()
        if not is_first:
            self.paces.record_interval(worker.incarnation, (now_s - progress.heard_s) / count)
        progress.heard_s = now_s
        if self.keep_period_s > 0 and now_s - progress.kept_s >= self.keep_period_s:
            progress.kept_s = now_s
            part = progress.take_part()
            if part is not None:
                self.keep_part(progress, part)

    def _broken(self, progress: ItemProgress, worker: Worker, failure: Exception) -> None:
        if isinstance(failure, VersionMixedError | EventsMissingError):
            progress.restart()
        if isinstance(failure, VersionTooOldError | VersionMixedError):
            self._loads.record_refusal(worker.incarnation)
        else:
            self._loads.record_failure(worker.incarnation)
        self._log_broken(progress, worker, repr(failure))

    def _not_answered(self, progress: ItemProgress, worker: Worker, opened: OpenedAttempt) -> None:
        if opened.opened is not None:
            read_response(opened.opened, opened)
        if opened.state is AttemptState.REFUSED:
            self._loads.release(worker.incarnation)
            progress.not_before_s = time.monotonic() + REFUSED_PAUSE_S
        else:
            self._loads.record_failure(worker.incarnation)
            progress.not_before_s = time.monotonic() + FAILED_PAUSE_S
        self._log_broken(progress, worker, f"{opened.state.value}: {opened.detail}")

    def _failed_answer(self, progress: ItemProgress, worker: Worker, opened: OpenedAttempt) -> None:
        status = opened.opened.status if opened.opened is not None else SERVER_ERROR
        if opened.opened is not None:
            read_response(opened.opened, opened)
        self._loads.release(worker.incarnation)
        progress.not_before_s = time.monotonic() + FAILED_PAUSE_S
        self._note_failure(progress, worker, status)
        if status == UNPROCESSABLE:
            progress.give_up()
        elif status == SERVER_ERROR:
            progress.failed_at.append(worker.incarnation)
            self._give_up_if_due(progress, progress.route.max_attempts, worker)
        self._log_broken(progress, worker, f"status {status}")

    def run_score(
        self,
        progress: ItemProgress,
        worker: Worker,
        maximum_failures: int,
        cancellation: Cancellation,
    ) -> None:
        """Have the whole text scored."""
        scorer = progress.item.scorer
        if scorer is None:
            self._loads.release(worker.incarnation)
            progress.finish("")
            return
        began_s = time.monotonic()
        call = WorkerCall("POST", scorer.path, scorer.host, scorer.id, [], scorer.body)
        outcome = self._connections.call(
            worker, call, SCORE_TIMEOUT_S, SCORE_DEADLINE_MS, cancellation
        )
        answer = outcome.response
        if cancellation.cancelled.is_set() and answer is None:
            self._ended_here(progress, worker, None)
            return
        if outcome.state is AttemptState.ANSWERED and answer is not None:
            if answer.status < 300:
                self._loads.record_success(worker.incarnation, time.monotonic() - began_s)
                self._note_served(worker, began_s)
                progress.finish(_header(answer.headers, self._connections.headers.stamp))
                return
            # How soon a worker fails tells nothing of how soon it serves.
            self._loads.release(worker.incarnation)
            self._score_failed(progress, answer.status, maximum_failures, worker)
        elif outcome.state is AttemptState.REFUSED:
            self._loads.record_refusal(worker.incarnation)
        else:
            self._loads.record_failure(worker.incarnation)
        progress.not_before_s = time.monotonic() + FAILED_PAUSE_S
        self._log_broken(progress, worker, f"scoring: {outcome.state.value} {outcome.detail}")

    def _score_failed(
        self, progress: ItemProgress, status: int, maximum_failures: int, worker: Worker
    ) -> None:
        self._note_failure(progress, worker, status)
        if status == SERVER_ERROR:
            progress.score_failed_at.append(worker.incarnation)
            self._give_up_if_due(progress, maximum_failures, worker)

    def _note_served(self, worker: Worker, began_s: float) -> None:
        if self.failing.record_success(worker.incarnation, began_s):
            emit(WORKER_SERVES_AGAIN, instance=worker.instance)

    def _note_failure(self, progress: ItemProgress, worker: Worker, status: int) -> None:
        """Note what a worker's answer without a result tells of the worker."""
        if status < SERVER_ERROR:
            return
        failures = self.failing.record_failure(worker.incarnation, progress.item.id)
        fellows = self.fellows_of(worker)
        failing = self.failing.failing_workers(fellows)
        if worker.incarnation in failing:
            emit(
                WORKER_FAILS_ALL,
                instance=worker.instance,
                failures=failures,
                service_workers=len(fellows),
                failing_workers=len(failing),
                cause=f"status {status}",
            )

    def _give_up_if_due(self, progress: ItemProgress, allowed: int, worker: Worker) -> None:
        fellows = self.fellows_of(worker)
        if self.failing.has_exhausted_retries(progress.failed_at_now, allowed, fellows):
            progress.give_up()

    def _log_broken(self, progress: ItemProgress, worker: Worker, cause: str) -> None:
        self.lengths.record_events(progress.item.id, progress.events)
        emit(
            ITEM_BROKEN,
            request_id=progress.item.id,
            job=progress.job.id,
            attempt=progress.attempts,
            instance=worker.instance,
            cause=cause[:160],
            events=progress.events,
        )


def _no_fellows(_worker: Worker) -> Collection[Incarnation]:
    return ()


def _text_call(progress: ItemProgress, names: HeaderNames) -> WorkerCall:
    headers = list(progress.item.headers)
    if progress.job.tenant:
        headers.append((names.tenant, progress.job.tenant))
    if progress.urgency is not None:
        headers.append((names.urgency, str(progress.urgency)))
    if progress.last_event_id is not None:
        headers.append(("Last-Event-Id", str(progress.last_event_id)))
    item = progress.item
    return WorkerCall("POST", item.path, progress.job.host, item.id, headers, item.body)


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _version(text: str | None) -> int | None:
    stripped = (text or "").strip()
    return int(stripped) if stripped.isdigit() else None


def _header(headers: list[tuple[str, str]], name: str) -> str:
    return next((value for key, value in headers if key.lower() == name.lower()), "")
