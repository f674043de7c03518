"""The service `samples`: the trainers' interface on every node, coordination on leaders."""

import hashlib
from collections.abc import Callable
from typing import ClassVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.configuration.interface import Configuration
from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Command, Ledger, LedgerError, LedgerErrorKind, Query, Reply
from bellweir.platform.interface import PlatformClients
from bellweir.routing.interface import Dispatcher
from bellweir.samples.bulk import BulkStore, SampleContent
from bellweir.samples.coordinator import StepCoordinator
from bellweir.samples.declaration import find_faults
from bellweir.samples.interface import (
    Sample,
    SampleBatch,
    Samples,
    StepDeclaration,
    StepError,
    StepErrorKind,
    StepStatus,
)
from bellweir.samples.log_events import STEP_CANCELLED, STEP_DECLARED
from bellweir.samples.machine import StepMachine
from bellweir.samples.messages import (
    AcknowledgeSamples,
    CancelStep,
    DeclareStep,
    DeliveredSample,
    HandOver,
    Outcome,
    ReadSamples,
    ReadStatus,
    ReadTerms,
    SamplesReply,
    StepReply,
    StepTerms,
    TermsReply,
)
from bellweir.samples.publications import PublicationClock
from bellweir.samples.runner import AttemptRunner
from bellweir.settings.models import Settings

CALL_TIMEOUT_S = 5.0
"""Time for one call of the trainers' interface besides its long poll."""
RETRY_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0
SHORTEST_POLL_S = 0.02
LONGEST_POLL_S = 0.25
SHARD_KEY_CANDIDATES = 100_000


class SamplesService(Service, Samples):
    """Training steps; see `Samples`."""

    name: ClassVar[str] = names.SAMPLES
    dependencies: ClassVar[tuple[str, ...]] = (
        names.LEDGER,
        names.CONFIGURATION,
        names.DISPATCHER,
        names.PLATFORM,
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._publications = PublicationClock(kernel.clock)
        self._ledger: Ledger | None = None
        self._bulk = BulkStore(None)
        self._coordinator: StepCoordinator | None = None
        self._runner: AttemptRunner | None = None

    def start(self) -> None:
        """Register the state machine and begin coordinating."""
        registry = self._kernel.registry
        ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        configuration = registry.find(
            names.CONFIGURATION,
            Configuration,  # type: ignore[type-abstract]
        )
        ledger.register(StepMachine)
        configuration.subscribe(self._publications.observe_configuration)
        self._ledger = ledger
        self._coordinator = StepCoordinator(
            clock=self._kernel.clock,
            ledger=ledger,
            publications=self._publications,
            bulk=self._bulk,
            shard_keys=one_key_for_each_shard(ledger, self._settings.ledger.shards),
        )
        self._runner = self._make_runner(ledger, self._coordinator)
        self._coordinator.use(self._runner)
        self._kernel.executors.run_task("samples-coordinator", self._coordinator.run)

    def _make_runner(self, ledger: Ledger, coordinator: StepCoordinator) -> AttemptRunner:
        registry = self._kernel.registry
        return AttemptRunner(
            executors=self._kernel.executors,
            clock=self._kernel.clock,
            dispatcher=registry.find(names.DISPATCHER, Dispatcher),  # type: ignore[type-abstract]
            ledger=ledger,
            platform=registry.find(names.PLATFORM, PlatformClients),  # type: ignore[type-abstract]
            publications=self._publications,
            bulk=self._bulk,
            concurrency=self._settings.samples.concurrency,
            on_finished=coordinator.attempt_finished,
        )

    def stop(self) -> None:
        """Cancel this node's attempts; its slots are taken up by the next leader."""
        if self._runner is not None:
            self._runner.cancel_all()

    def declare(self, declaration: StepDeclaration) -> Result[StepStatus, StepError]:
        """Declare a step; see `Samples`."""
        faults = find_faults(declaration)
        if faults:
            return Failure(StepError(StepErrorKind.INVALID, "; ".join(faults)))
        stored = self._bulk.put(declaration.step_id, declaration, CALL_TIMEOUT_S)
        if isinstance(stored, Failure):
            return Failure(_unavailable(stored.failure()))
        command = DeclareStep(
            terms=StepTerms(
                step_id=declaration.step_id,
                policy=declaration.policy,
                slots=len(declaration.prompts) * declaration.samples_per_prompt,
                samples_per_prompt=declaration.samples_per_prompt,
                max_tokens=declaration.max_tokens,
                fingerprint=fingerprint_of(declaration),
                declaration=stored.unwrap(),
                minimum_version=declaration.minimum_version,
                staleness_bound_versions=declaration.staleness_bound_versions,
                staleness_bound_s=declaration.staleness_bound_s,
                deadline_s=declaration.deadline_s,
                scorer=declaration.scorer,
            ),
            observation=self._publications.observation(declaration.policy),
        )
        declared = self._submit(declaration.step_id, command)
        if isinstance(declared, Success):
            emit(
                STEP_DECLARED,
                step=declaration.step_id,
                policy=declaration.policy,
                slots=command.terms.slots,
            )
        return declared

    def pull(
        self, step_id: str, cursor: int, limit: int, wait_s: float
    ) -> Result[SampleBatch, StepError]:
        """Samples after a cursor; see `Samples`."""
        terms = self._terms(step_id)
        if isinstance(terms, Failure):
            return terms
        deadline_s = self._kernel.clock.monotonic_s() + max(0.0, wait_s)
        poll_s = SHORTEST_POLL_S
        while True:
            read = self._read_or_hand_over(terms.unwrap(), cursor, limit)
            if isinstance(read, Failure):
                return read
            reply = read.unwrap()
            left_s = deadline_s - self._kernel.clock.monotonic_s()
            if reply.samples or reply.complete or left_s <= 0:
                return self._batch(terms.unwrap(), reply)
            if self._kernel.clock.wait(self._kernel.executors.stopping, min(poll_s, left_s)):
                return self._batch(terms.unwrap(), reply)
            poll_s = min(LONGEST_POLL_S, poll_s * 2)

    def acknowledge(self, step_id: str, cursor: int) -> Result[StepStatus, StepError]:
        """Move the acknowledged cursor; see `Samples`."""
        return self._submit(step_id, AcknowledgeSamples(step_id, cursor))

    def status(self, step_id: str) -> Result[StepStatus, StepError]:
        """Progress of a step; see `Samples`."""
        answer = self._ask(step_id, ReadStatus(step_id))
        if isinstance(answer, Failure):
            return answer
        return _status_result(step_id, answer.unwrap())

    def cancel(self, step_id: str) -> Result[StepStatus, StepError]:
        """Cancel a step; see `Samples`."""
        cancelled = self._submit(step_id, CancelStep(step_id))
        if isinstance(cancelled, Success):
            emit(STEP_CANCELLED, step=step_id)
        return cancelled

    def _terms(self, step_id: str) -> Result[StepTerms, StepError]:
        answer = self._ask(step_id, ReadTerms(step_id))
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if not isinstance(reply, TermsReply) or reply.terms is None:
            return Failure(_not_found(step_id))
        return Success(reply.terms)

    def _read_or_hand_over(
        self, terms: StepTerms, cursor: int, limit: int
    ) -> Result[SamplesReply, StepError]:
        """Read what is fixed behind the cursor; fix more when nothing is and some are ready."""
        read = self._read(terms.step_id, cursor, limit)
        if isinstance(read, Failure):
            return read
        reply = read.unwrap()
        if reply.samples or reply.available == 0 or limit < 1:
            return read
        observation = self._publications.observation(terms.policy)
        command = HandOver(terms.step_id, cursor, limit, observation)
        handed_over = self._submit(terms.step_id, command)
        if isinstance(handed_over, Failure):
            error = handed_over.failure()
            # Cancelled since the read: the read below says that nothing follows.
            if error.kind is not StepErrorKind.CONFLICT:
                return Failure(error)
        return self._read(terms.step_id, cursor, limit)

    def _read(self, step_id: str, cursor: int, limit: int) -> Result[SamplesReply, StepError]:
        answer = self._ask(step_id, ReadSamples(step_id, cursor, limit))
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if not isinstance(reply, SamplesReply) or reply.outcome is Outcome.NOT_FOUND:
            return Failure(_not_found(step_id))
        if reply.outcome is not Outcome.DONE:
            return Failure(StepError(StepErrorKind.INVALID, f"no such cursor: {cursor}"))
        return Success(reply)

    def _batch(self, terms: StepTerms, reply: SamplesReply) -> Result[SampleBatch, StepError]:
        declaration = self._bulk.get(
            terms.step_id, terms.declaration, StepDeclaration, CALL_TIMEOUT_S
        )
        if isinstance(declaration, Failure):
            return Failure(_unavailable(declaration.failure()))
        samples: list[Sample] = []
        for delivered in reply.samples:
            sample = self._sample(declaration.unwrap(), delivered)
            if isinstance(sample, Failure):
                return Failure(_unavailable(sample.failure()))
            samples.append(sample.unwrap())
        return Success(SampleBatch(tuple(samples), reply.cursor, reply.complete))

    def _sample(
        self, declaration: StepDeclaration, delivered: DeliveredSample
    ) -> Result[Sample, LedgerError]:
        content = self._bulk.get(
            declaration.step_id, delivered.content, SampleContent, CALL_TIMEOUT_S
        )
        if isinstance(content, Failure):
            return content
        prompt_index = delivered.slot // declaration.samples_per_prompt
        return Success(
            Sample(
                sample_id=f"{declaration.step_id}/{delivered.slot}/{delivered.generation}",
                step_id=declaration.step_id,
                slot=delivered.slot,
                prompt_index=prompt_index,
                prompt=declaration.prompts[prompt_index],
                text=content.unwrap().text,
                tokens=content.unwrap().tokens,
                segments=delivered.segments,
                score=delivered.score,
            )
        )

    def _submit(self, step_id: str, command: Command) -> Result[StepStatus, StepError]:
        """Submit, again after an unknown outcome: every command here is idempotent."""
        answer = self._retry(lambda ledger, left_s: ledger.submit(step_id, command, left_s))
        if isinstance(answer, Failure):
            return answer
        return _status_result(step_id, answer.unwrap())

    def _ask(self, step_id: str, query: Query) -> Result[Reply, StepError]:
        return self._retry(lambda ledger, left_s: ledger.ask(step_id, query, left_s))

    def _retry(
        self, call: Callable[[Ledger, float], Result[Reply, LedgerError]]
    ) -> Result[Reply, StepError]:
        if self._ledger is None:
            return Failure(StepError(StepErrorKind.UNAVAILABLE, "not started", RETRY_AFTER_S))
        deadline_s = self._kernel.clock.monotonic_s() + CALL_TIMEOUT_S
        while True:
            answer = call(self._ledger, max(0.1, deadline_s - self._kernel.clock.monotonic_s()))
            if isinstance(answer, Success):
                return Success(answer.unwrap())
            if self._kernel.clock.monotonic_s() + RETRY_PAUSE_S >= deadline_s:
                return Failure(_unavailable(answer.failure()))
            if self._kernel.clock.wait(self._kernel.executors.stopping, RETRY_PAUSE_S):
                return Failure(_unavailable(answer.failure()))


def fingerprint_of(declaration: StepDeclaration) -> str:
    """Digest that differs when any part of a declaration does."""
    return hashlib.sha256(msgspec.msgpack.encode(declaration)).hexdigest()


def one_key_for_each_shard(ledger: Ledger, shards: int) -> tuple[str, ...]:
    """One key that hashes to each shard, so that local replicas can be asked for by shard."""
    found: dict[int, str] = {}
    for number in range(SHARD_KEY_CANDIDATES):
        if len(found) == shards:
            break
        key = f"shard-key-{number}"
        found.setdefault(ledger.shard_of(key), key)
    return tuple(found.values())


def _status_result(step_id: str, reply: Reply) -> Result[StepStatus, StepError]:
    if not isinstance(reply, StepReply) or reply.outcome is Outcome.NOT_FOUND:
        return Failure(_not_found(step_id))
    if reply.outcome is Outcome.CONFLICT:
        detail = "the step was declared before with other contents"
        return Failure(StepError(StepErrorKind.CONFLICT, detail))
    if reply.outcome is Outcome.MALFORMED:
        return Failure(StepError(StepErrorKind.INVALID, "a number is out of range"))
    if reply.outcome is Outcome.ENDED and reply.status is not None:
        detail = f"the step is {reply.status.state.value}"
        return Failure(StepError(StepErrorKind.CONFLICT, detail))
    if reply.status is None:
        return Failure(_not_found(step_id))
    return Success(reply.status)


def _not_found(step_id: str) -> StepError:
    return StepError(StepErrorKind.NOT_FOUND, f"no step {step_id!r}")


def _unavailable(error: LedgerError) -> StepError:
    kind = "may have been recorded" if error.kind is LedgerErrorKind.UNKNOWN else "not recorded"
    detail = f"{kind}: {error.detail}"
    return StepError(StepErrorKind.UNAVAILABLE, detail, RETRY_AFTER_S)
