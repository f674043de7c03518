"""Attempts of items: generation of a text by a worker, and scoring of a complete text."""

import http.client
from collections.abc import Callable, Collection

from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import is_end_by_peer
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
from bellweir.hosted.batches.state import JobItem, TextCheckpoint
from bellweir.hosted.batches.worker_quarantine import WorkerQuarantine
from bellweir.hosted.crashes.interface import CrashGuard, NoCrashGuard, RunEnd
from bellweir.hosted.event_stream import EventSplitter, EventTooLongError
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.log_events import (
    ITEM_BROKEN,
    ITEM_FAILED,
    ITEM_STARTED,
    WORKER_FAILS_ALL,
    WORKER_SERVES_AGAIN,
)
from bellweir.hosted.serving.attempt import (
    STREAM_STATUS,
    AttemptOutcome,
    AttemptState,
    Cancellation,
    OpenedAttempt,
    WorkerCall,
    WorkerConnections,
    read_response,
)
from bellweir.hosted.serving.failed_attempt import UNANSWERED, run_end
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

FIRST_EVENT_TIMEOUT_S = 3.0
"""Doubled with each attempt that it ends, up to `LONGEST_FIRST_EVENT_TIMEOUT_S`."""
LONGEST_FIRST_EVENT_TIMEOUT_S = 24.0
STREAM_IDLE_TIMEOUT_S = 2.0
"""Time without an event after which another worker continues; longer than a load of weights."""
GENERATION_DEADLINE_MS = 60_000.0
"""Time that a worker may spend on a generation."""
SCORING_TIMEOUT_S = 1.0
"""Doubled with each attempt that it ends, up to `SCORING_DEADLINE_MS`."""
SCORING_DEADLINE_MS = 5_000.0
MS_PER_S = 1000
TIMED_OUT_SHARE = 0.95
"""Share of its timeout from which on an attempt without an answer counts as ended by it."""
REFUSED_BACKOFF_S = 0.05
FAILED_BACKOFF_S = 0.02
"""Doubled with each further error answer that is no failure, up to `MAX_ERROR_DOUBLINGS` times."""
MAX_ERROR_DOUBLINGS = 7
CANCELLED = "ended here"
"""Logged cause of an attempt that was cancelled because its job ended or leadership was lost."""
UNPROCESSABLE = 422
SERVER_ERROR = 500
FAILURES = (SERVER_ERROR, UNPROCESSABLE)
"""Statuses of requests that ran and failed."""

STREAM_ERRORS = (
    OSError,
    http.client.HTTPException,
    EventTooLongError,
    EventsMissingError,
    VersionTooOldError,
    VersionMixedError,
)


class ItemRunner:
    """Runs attempts; each call blocks until its attempt has ended, and sets its outcome."""

    def __init__(
        self,
        connections: WorkerConnections,
        loads: WorkerLoads,
        crashes: CrashGuard | None = None,
    ) -> None:
        """`crashes` keeps items that crash workers from further ones."""
        self.crashes = crashes if crashes is not None else NoCrashGuard()
        self._connections = connections
        self._loads = loads
        self.refusal_backoff = RefusalBackoff()
        self.quarantine = WorkerQuarantine()
        self.service_workers_of: Callable[[Worker], Collection[Incarnation]] = _no_service_workers
        """Returns the workers of a worker's service, including itself; empty: not restricted."""
        self.event_times = WorkerEventTimes()
        self.length_predictor = LengthPredictor()
        self.save_checkpoint: Callable[[ItemProgress, TextCheckpoint], None] = (
            lambda _progress, _checkpoint: None
        )
        """Called with checkpoints of unfinished texts."""
        self.checkpoint_interval_s = 0.0
        """Time between two checkpoints of a text; 0 disables them."""

    def note_silent(self, worker: Worker) -> None:
        """Note that a run is taken from a worker because it has fallen silent."""
        self._loads.eligibility.note_unanswered(worker)

    def predicted_events(self, progress: ItemProgress) -> float:
        """Return the predicted number of events of an item's text."""
        return self.length_predictor.predict_events(progress.item.id, progress.guessed_tokens)

    def predicted_events_or_none(self, progress: ItemProgress) -> float | None:
        """Return the prediction; None before the first text has ended, as it is uncalibrated."""
        return self.predicted_events(progress) if self.length_predictor.is_calibrated else None

    def guessed_tokens(self, item: JobItem) -> float | None:
        """Return the length hint in an item's headers, in tokens; None without one."""
        hint_header = self._connections.headers.length_hint.lower()
        hints = (_parse_float(value) for name, value in item.headers if name.lower() == hint_header)
        return next(hints, None)

    def run_generation(
        self, progress: ItemProgress, worker: Worker, cancellation: Cancellation
    ) -> None:
        """Generate the text from the first missing event on."""
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
        began_s = elapsed_s()
        progress.last_event_s = progress.checkpointed_s = began_s
        timeout_s = min(LONGEST_FIRST_EVENT_TIMEOUT_S, progress.patience * FIRST_EVENT_TIMEOUT_S)
        opened = self._open_generation(progress, worker, timeout_s, cancellation)
        end = RunEnd.OTHER
        # The stage, and with it the request, changes with the end of the run.
        request = progress.request
        has_failed = _status(opened) in FAILURES
        # A failure counts although its run was cancelled: the request has run.
        if cancellation.cancelled.is_set() and not has_failed:
            self._end_cancelled(progress, worker, opened.opened)
        elif opened.opened is None or opened.state is not AttemptState.ANSWERED:
            end = _end_without_answer(opened)
            _note_timeout(progress, began_s, timeout_s)
            self._handle_no_answer(progress, worker, opened)
        elif opened.opened.status != STREAM_STATUS:
            end = RunEnd.OTHER if _status(opened) >= SERVER_ERROR else RunEnd.SURVIVED
            self._handle_error_answer(progress, worker, opened, cancellation)
        else:
            end = self._read_events(progress, worker, opened.opened, began_s, cancellation)
        self.crashes.record_end(request, worker, end)

    def _open_generation(
        self,
        progress: ItemProgress,
        worker: Worker,
        timeout_s: float,
        cancellation: Cancellation,
    ) -> OpenedAttempt:
        """Send the generation request, and record whether the worker accepted it."""
        model = progress.job.model
        state = AttemptState.UNKNOWN
        try:
            opened = self._connections.open(
                worker,
                _generation_call(progress, self._connections.headers),
                timeout_s,
                GENERATION_DEADLINE_MS,
                cancellation,
            )
            state = opened.state
        finally:
            if state is AttemptState.ANSWERED:
                self.refusal_backoff.record_accepted(worker.incarnation, model)
            elif state is AttemptState.REFUSED:
                self.refusal_backoff.record_refusal(worker.incarnation, model)
            else:
                self.refusal_backoff.record_end(worker.incarnation, model)
        return opened

    def _end_cancelled(
        self, progress: ItemProgress, worker: Worker, opened: OpenAnswer | None
    ) -> None:
        """End a cancelled attempt; it doesn't count as a failure of the worker."""
        if opened is not None:
            opened.drop()
        self._loads.release(worker.incarnation)
        self._log_attempt_failed(progress, worker, CANCELLED)

    def _read_events(
        self,
        progress: ItemProgress,
        worker: Worker,
        opened: OpenAnswer,
        began_s: float,
        cancellation: Cancellation,
    ) -> RunEnd:
        """Add the events to the item's progress; return how the run ended."""
        names = self._connections.headers
        opened.ends_with_connection = False
        splitter = EventSplitter(names.weight_versions)
        version = _parse_version(opened.headers.get(names.weight_versions.lower()))
        try:
            is_first = True
            for block in opened.read_blocks():
                events = [event for event in splitter.feed(block) if event.is_progress]
                for event in events:
                    version = event.weight_version or version
                    progress.add_event(event, version)
                if events:
                    self._loads.eligibility.note_answer(worker, began_s)
                    if is_first:
                        self._record_success(worker, began_s)
                    self._record_events(progress, worker, len(events), is_first=is_first)
                    is_first = False
                    opened.set_timeout(STREAM_IDLE_TIMEOUT_S)
                opened.hold(splitter.pending_bytes)
            if not splitter.is_between_events:
                raise http.client.HTTPException("stream ended in the middle of an event")
            if not progress.events:
                raise http.client.HTTPException("stream ended without an event")
        except STREAM_ERRORS as exc:
            if cancellation.cancelled.is_set():
                self._end_cancelled(progress, worker, opened)
                return RunEnd.OTHER
            opened.drop()
            self._end_failed_stream(progress, worker, exc)
            return RunEnd.BROKEN if is_end_by_peer(exc) else RunEnd.OTHER
        opened.finish()
        self._loads.record_success(worker.incarnation, elapsed_s() - began_s)
        self.length_predictor.record_completed(
            progress.item.id, progress.guessed_tokens, progress.events
        )
        progress.complete_generation()
        return RunEnd.SURVIVED

    def _record_events(
        self, progress: ItemProgress, worker: Worker, count: int, *, is_first: bool
    ) -> None:
        """Record received events; the first ones of an attempt don't count as event times."""
        now_s = elapsed_s()
        if not is_first:
            self.event_times.record_interval(
                worker.incarnation, (now_s - progress.last_event_s) / count
            )
        progress.last_event_s = now_s
        if (
            self.checkpoint_interval_s > 0
            and now_s - progress.checkpointed_s >= self.checkpoint_interval_s
        ):
            progress.checkpointed_s = now_s
            checkpoint = progress.take_checkpoint()
            if checkpoint is not None:
                self.save_checkpoint(progress, checkpoint)

    def _end_failed_stream(self, progress: ItemProgress, worker: Worker, exc: Exception) -> None:
        if isinstance(exc, VersionMixedError | EventsMissingError):
            progress.restart()
        if isinstance(exc, VersionTooOldError | VersionMixedError):
            self._loads.record_refusal(worker.incarnation)
        else:
            self._loads.record_failure(worker.incarnation)
            self._loads.eligibility.note_unanswered(worker)
        self._log_attempt_failed(progress, worker, repr(exc))

    def _handle_no_answer(
        self, progress: ItemProgress, worker: Worker, opened: OpenedAttempt
    ) -> None:
        if opened.opened is not None:
            read_response(opened.opened, opened)
        if opened.state is AttemptState.REFUSED:
            self._loads.release(worker.incarnation)
            progress.not_before_s = elapsed_s() + REFUSED_BACKOFF_S
        else:
            self._loads.record_failure(worker.incarnation)
            progress.not_before_s = elapsed_s() + FAILED_BACKOFF_S
        if opened.state in UNANSWERED:
            self._loads.eligibility.note_unanswered(worker)
        self._log_attempt_failed(progress, worker, f"{opened.state.value}: {opened.detail}")

    def _handle_error_answer(
        self,
        progress: ItemProgress,
        worker: Worker,
        opened: OpenedAttempt,
        cancellation: Cancellation,
    ) -> None:
        status = _status(opened)
        if opened.opened is not None:
            read_response(opened.opened, opened)
        self._loads.release(worker.incarnation)
        self._record_failure(progress, worker, status, cancellation)
        progress.not_before_s = elapsed_s() + _error_backoff_s(progress)
        self._log_attempt_failed(progress, worker, f"status {status}")

    def run_scoring(
        self,
        progress: ItemProgress,
        worker: Worker,
        cancellation: Cancellation,
    ) -> None:
        """Score the complete text."""
        scorer = progress.item.scorer
        if scorer is None:
            self._loads.release(worker.incarnation)
            progress.finish("")
            return
        began_s = elapsed_s()
        call = WorkerCall(
            "POST", scorer.path, scorer.host, scorer.id, [], scorer.body, gives_up_silent=True
        )
        timeout_s = min(SCORING_DEADLINE_MS / MS_PER_S, progress.patience * SCORING_TIMEOUT_S)
        outcome = self._call_scorer(progress, worker, call, timeout_s, cancellation)
        answer = outcome.response
        if cancellation.cancelled.is_set() and answer is None:
            self._end_cancelled(progress, worker, None)
            return
        if outcome.state is AttemptState.ANSWERED and answer is not None:
            if answer.status < 300:
                self._loads.record_success(worker.incarnation, elapsed_s() - began_s)
                self._loads.eligibility.note_answer(worker, began_s)
                self._record_success(worker, began_s)
                progress.finish(_header(answer.headers, self._connections.headers.stamp))
                return
            # The duration of a failure must not count as latency of the worker.
            self._loads.release(worker.incarnation)
            self._record_failure(progress, worker, answer.status, cancellation)
        elif outcome.state is AttemptState.REFUSED:
            self._loads.record_refusal(worker.incarnation)
        else:
            _note_timeout(progress, began_s, timeout_s)
            self._loads.record_failure(worker.incarnation)
            self._loads.eligibility.note_unanswered(worker)
        progress.not_before_s = elapsed_s() + _error_backoff_s(progress)
        self._log_attempt_failed(
            progress, worker, f"scoring: {outcome.state.value} {outcome.detail}"
        )

    def _call_scorer(
        self,
        progress: ItemProgress,
        worker: Worker,
        call: WorkerCall,
        timeout_s: float,
        cancellation: Cancellation,
    ) -> AttemptOutcome:
        """Make a scoring call and record how its run ended."""
        outcome = self._connections.call(worker, call, timeout_s, SCORING_DEADLINE_MS, cancellation)
        end = run_end(outcome, is_cancelled=cancellation.cancelled.is_set())
        self.crashes.record_end(progress.request, worker, end)
        return outcome

    def _record_success(self, worker: Worker, began_s: float) -> None:
        if self.quarantine.record_success(worker.incarnation, began_s):
            emit(WORKER_SERVES_AGAIN, instance=worker.instance)

    def _record_failure(
        self, progress: ItemProgress, worker: Worker, status: int, cancellation: Cancellation
    ) -> None:
        """Record an error status, against the request where it ran and against the worker."""
        if status in FAILURES:
            progress.add_failure(worker.incarnation, is_final=status == UNPROCESSABLE)
            self._log_failure(progress, worker, status, cancellation)
            progress.error_answers = 0
        else:
            progress.error_answers += 1
        # Client errors say nothing about the worker.
        if status >= SERVER_ERROR:
            self._record_worker_failure(progress, worker, status)

    def _log_failure(
        self, progress: ItemProgress, worker: Worker, status: int, cancellation: Cancellation
    ) -> None:
        failures = progress.failures_in(progress.stage)
        emit(
            ITEM_FAILED,
            request_id=progress.request.request_id,
            job=progress.job.id,
            stage=progress.stage.value,
            instance=worker.instance,
            status=status,
            failures=len(failures),
            earlier=sum(failure.job_id != progress.job.id for failure in failures),
            cancelled=cancellation.cancelled.is_set(),
        )

    def _record_worker_failure(self, progress: ItemProgress, worker: Worker, status: int) -> None:
        failures = self.quarantine.record_failure(worker.incarnation, progress.item.id)
        service_workers = self.service_workers_of(worker)
        failing = self.quarantine.failing_workers(service_workers)
        if worker.incarnation in failing:
            emit(
                WORKER_FAILS_ALL,
                instance=worker.instance,
                failures=failures,
                service_workers=len(service_workers),
                failing_workers=len(failing),
                cause=f"status {status}",
            )

    def _log_attempt_failed(self, progress: ItemProgress, worker: Worker, cause: str) -> None:
        self.length_predictor.record_events(progress.item.id, progress.events)
        emit(
            ITEM_BROKEN,
            request_id=progress.item.id,
            job=progress.job.id,
            attempt=progress.attempts,
            instance=worker.instance,
            cause=cause[:160],
            events=progress.events,
        )


def _note_timeout(progress: ItemProgress, began_s: float, timeout_s: float) -> None:
    """Count an attempt without an answer if its time was over."""
    progress.timeouts += elapsed_s() - began_s >= TIMED_OUT_SHARE * timeout_s


def _error_backoff_s(progress: ItemProgress) -> float:
    """Return the pause after an attempt; only the first of several error answers is short.

    An item can't be given up for them, so that without it they would be asked for without end.
    """
    doublings = min(MAX_ERROR_DOUBLINGS, max(0, progress.error_answers - 1))
    return FAILED_BACKOFF_S * 2.0**doublings


def _status(opened: OpenedAttempt) -> int:
    """Return the status of an answer that was read; 0 without one."""
    is_answered = opened.state is AttemptState.ANSWERED and opened.opened is not None
    return opened.opened.status if is_answered and opened.opened is not None else 0


def _end_without_answer(opened: OpenedAttempt) -> RunEnd:
    if opened.state in (AttemptState.REFUSED, AttemptState.NOT_SENT):
        return RunEnd.NOT_RUN
    return RunEnd.BROKEN if opened.ended_by_worker else RunEnd.OTHER


def _no_service_workers(_worker: Worker) -> Collection[Incarnation]:
    return ()


def _generation_call(progress: ItemProgress, names: HeaderNames) -> WorkerCall:
    headers = list(progress.item.headers)
    if progress.job.tenant:
        headers.append((names.tenant, progress.job.tenant))
    if progress.urgency is not None:
        headers.append((names.urgency, str(progress.urgency)))
    if progress.last_event_id is not None:
        headers.append(("Last-Event-Id", str(progress.last_event_id)))
    item = progress.item
    host = progress.job.host
    return WorkerCall("POST", item.path, host, item.id, headers, item.body, gives_up_silent=True)


def _parse_float(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _parse_version(text: str | None) -> int | None:
    stripped = (text or "").strip()
    return int(stripped) if stripped.isdigit() else None


def _header(headers: list[tuple[str, str]], name: str) -> str:
    return next((value for key, value in headers if key.lower() == name.lower()), "")
