"""The service `samples`: the trainers' interface on every node, coordination on leaders."""

import hashlib
from typing import ClassVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.configuration.interface import Configuration
from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger
from bellweir.samples.assembly import SamplesParts, build_parts
from bellweir.samples.declaration import find_faults
from bellweir.samples.interface import (
    SampleBatch,
    Samples,
    StepDeclaration,
    StepError,
    StepErrorKind,
    StepState,
    StepStatus,
)
from bellweir.samples.ledger_calls import (
    RETRY_AFTER_S,
    status_result,
)
from bellweir.samples.log_events import STEP_CANCELLED, STEP_DECLARED
from bellweir.samples.machine import StepMachine
from bellweir.samples.messages import (
    AcknowledgeSamples,
    BulkValue,
    CancelStep,
    DeclareStep,
    ReadStatus,
    StepTerms,
)
from bellweir.samples.publications import PublicationClock
from bellweir.samples.wire_messages import (
    AskProgress,
    AssignAttempts,
    InstructAttempts,
    ReportAttempts,
    StepProgress,
)
from bellweir.settings.models import Settings
from bellweir.wire.interface import Transport

PROGRESS_TIMEOUT_S = 1.0
NOT_STARTED = StepError(StepErrorKind.UNAVAILABLE, "not started", RETRY_AFTER_S)


class SamplesService(Service, Samples):
    """Training steps; see `Samples`."""

    name: ClassVar[str] = names.SAMPLES
    dependencies: ClassVar[tuple[str, ...]] = (
        names.LEDGER,
        names.SEGMENTS,
        names.CONFIGURATION,
        names.DISPATCHER,
        names.PLATFORM,
        names.TRANSPORT,
        names.MEMBERSHIP,
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._publications = PublicationClock(kernel.clock)
        self._parts: SamplesParts | None = None

    def start(self) -> None:
        """Register the state machine and begin coordinating and holding attempts."""
        registry = self._kernel.registry
        registry.find(names.LEDGER, Ledger).register(StepMachine)  # type: ignore[type-abstract]
        configuration = registry.find(
            names.CONFIGURATION,
            Configuration,  # type: ignore[type-abstract]
        )
        configuration.subscribe(self._publications.observe_configuration)
        parts = build_parts(self._kernel, self._settings, self._publications)
        self._parts = parts
        transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        transport.register(
            AssignAttempts, lambda _, message: parts.holder.take_assignments(message)
        )
        transport.register(
            InstructAttempts, lambda _, message: parts.holder.take_instructions(message)
        )
        transport.register(
            ReportAttempts, lambda _, message: parts.coordinator.take_report(message)
        )
        transport.register(
            AskProgress, lambda _, message: parts.coordinator.progress(message.step_id)
        )
        self._kernel.executors.run_loop("samples-coordinator", parts.coordinator.run)
        self._kernel.executors.run_loop("samples-holder", parts.holder.run)

    def drain(self, deadline_s: float) -> None:
        """Let the running attempts end that soon do; other nodes go on with the rest."""
        if self._parts is not None:
            self._parts.runner.drain(deadline_s)
            self._parts.holder.report()

    def stop(self) -> None:
        """Cancel what still runs; other nodes take up its slots."""
        if self._parts is not None:
            self._parts.runner.cancel_all()

    def declare(self, declaration: StepDeclaration) -> Result[StepStatus, StepError]:
        """Declare a step; see `Samples`."""
        faults = find_faults(declaration)
        if faults:
            return Failure(StepError(StepErrorKind.INVALID, "; ".join(faults)))
        if self._parts is None:
            return Failure(NOT_STARTED)
        bulk = self._parts.bulk
        stored = self._parts.calls.retry(
            lambda left_s: bulk.put(declaration.step_id, declaration, left_s)
        )
        if isinstance(stored, Failure):
            return stored
        terms = terms_of(declaration, stored.unwrap())
        observation = self._publications.observation(declaration.policy)
        declared = self._parts.calls.submit(terms.step_id, DeclareStep(terms, observation))
        if isinstance(declared, Success):
            emit(STEP_DECLARED, step=terms.step_id, policy=terms.policy, slots=terms.slots)
            self._parts.coordinator.wake()
        return declared

    def pull(
        self, step_id: str, cursor: int, limit: int, wait_s: float
    ) -> Result[SampleBatch, StepError]:
        """Samples after a cursor; see `Samples`."""
        if self._parts is None:
            return Failure(NOT_STARTED)
        return self._parts.delivery.pull(step_id, cursor, limit, wait_s)

    def acknowledge(self, step_id: str, cursor: int) -> Result[StepStatus, StepError]:
        """Move the acknowledged cursor; see `Samples`."""
        if self._parts is None:
            return Failure(NOT_STARTED)
        return self._parts.calls.submit(step_id, AcknowledgeSamples(step_id, cursor))

    def status(self, step_id: str) -> Result[StepStatus, StepError]:
        """Progress of a step; see `Samples`."""
        if self._parts is None:
            return Failure(NOT_STARTED)
        answer = self._parts.calls.ask(step_id, ReadStatus(step_id))
        if isinstance(answer, Failure):
            return answer
        status = status_result(step_id, answer.unwrap())
        return status.map(lambda known: self._with_progress(self._parts, known))

    def _with_progress(self, parts: SamplesParts | None, status: StepStatus) -> StepStatus:
        """Add what only the step's coordinator knows; without it the ledger's figures stand."""
        if parts is None or status.state is not StepState.RUNNING:
            return status
        progress = self._ask_progress(parts, status.step_id)
        if progress is None or not progress.is_known:
            return status
        unfilled = status.slots - status.filled
        running = min(progress.running, unfilled)
        return msgspec.structs.replace(
            status,
            running=running,
            waiting=unfilled - running,
            expected_end_s=progress.expected_end_s,
        )

    def _ask_progress(self, parts: SamplesParts, step_id: str) -> StepProgress | None:
        if parts.ledger.leads(step_id):
            return parts.coordinator.progress(step_id)
        address = parts.ledger.leader_address(step_id)
        if address is None:
            return None
        answer = parts.transport.request(address, AskProgress(step_id), PROGRESS_TIMEOUT_S)
        if not isinstance(answer, Success):
            return None
        reply = answer.unwrap()
        return reply if isinstance(reply, StepProgress) else None

    def cancel(self, step_id: str) -> Result[StepStatus, StepError]:
        """Cancel a step; see `Samples`."""
        if self._parts is None:
            return Failure(NOT_STARTED)
        cancelled = self._parts.calls.submit(step_id, CancelStep(step_id))
        if isinstance(cancelled, Success):
            emit(STEP_CANCELLED, step=step_id)
            self._parts.coordinator.wake()
        return cancelled


def terms_of(declaration: StepDeclaration, stored: BulkValue) -> StepTerms:
    """What the ledger keeps of a declaration."""
    return StepTerms(
        step_id=declaration.step_id,
        policy=declaration.policy,
        slots=len(declaration.prompts) * declaration.samples_per_prompt,
        samples_per_prompt=declaration.samples_per_prompt,
        max_tokens=declaration.max_tokens,
        fingerprint=fingerprint_of(declaration),
        declaration=stored,
        minimum_version=declaration.minimum_version,
        staleness_bound_versions=declaration.staleness_bound_versions,
        staleness_bound_s=declaration.staleness_bound_s,
        deadline_s=declaration.deadline_s,
        scorer=declaration.scorer,
    )


def fingerprint_of(declaration: StepDeclaration) -> str:
    """Digest that differs when any part of a declaration does."""
    return hashlib.sha256(msgspec.msgpack.encode(declaration)).hexdigest()
