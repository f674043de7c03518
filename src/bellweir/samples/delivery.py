"""Hands samples to trainers: positions are fixed in the ledger before a sample leaves it."""

from returns.result import Failure, Result, Success

from bellweir.kernel.node import Kernel
from bellweir.samples.bulk import BulkStore, SampleContent
from bellweir.samples.interface import (
    Sample,
    SampleBatch,
    StepDeclaration,
    StepError,
    StepErrorKind,
)
from bellweir.samples.ledger_calls import StepCalls, not_found
from bellweir.samples.messages import (
    DeliveredSample,
    HandOver,
    Outcome,
    ReadSamples,
    ReadTerms,
    SamplesReply,
    StepTerms,
    TermsReply,
)
from bellweir.samples.publications import PublicationClock

SHORTEST_POLL_S = 0.02
LONGEST_POLL_S = 0.25


class SampleDelivery:
    """Long polls of trainers; each is one thread that asks the ledger now and then."""

    def __init__(
        self, kernel: Kernel, calls: StepCalls, bulk: BulkStore, publications: PublicationClock
    ) -> None:
        self._clock = kernel.clock
        self._stopping = kernel.executors.stopping
        self._calls = calls
        self._bulk = bulk
        self._publications = publications

    def pull(
        self, step_id: str, cursor: int, limit: int, wait_s: float
    ) -> Result[SampleBatch, StepError]:
        """Samples behind a cursor, waiting for the first one."""
        terms = self._terms(step_id)
        if isinstance(terms, Failure):
            return terms
        deadline_s = self._clock.monotonic_s() + max(0.0, wait_s)
        poll_s = SHORTEST_POLL_S
        while True:
            read = self._read_or_hand_over(terms.unwrap(), cursor, limit)
            if isinstance(read, Failure):
                return read
            reply = read.unwrap()
            left_s = deadline_s - self._clock.monotonic_s()
            if reply.samples or reply.complete or left_s <= 0:
                return self._batch(terms.unwrap(), reply)
            if self._clock.wait(self._stopping, min(poll_s, left_s)):
                return self._batch(terms.unwrap(), reply)
            poll_s = min(LONGEST_POLL_S, poll_s * 2)

    def _terms(self, step_id: str) -> Result[StepTerms, StepError]:
        answer = self._calls.ask(step_id, ReadTerms(step_id))
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if not isinstance(reply, TermsReply) or reply.terms is None:
            return Failure(not_found(step_id))
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
        handed_over = self._calls.submit(terms.step_id, command)
        if isinstance(handed_over, Failure):
            error = handed_over.failure()
            # Cancelled since the read: the read below says that nothing follows.
            if error.kind is not StepErrorKind.CONFLICT:
                return Failure(error)
        return self._read(terms.step_id, cursor, limit)

    def _read(self, step_id: str, cursor: int, limit: int) -> Result[SamplesReply, StepError]:
        answer = self._calls.ask(step_id, ReadSamples(step_id, cursor, limit))
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if not isinstance(reply, SamplesReply) or reply.outcome is Outcome.NOT_FOUND:
            return Failure(not_found(step_id))
        if reply.outcome is not Outcome.DONE:
            return Failure(StepError(StepErrorKind.INVALID, f"no such cursor: {cursor}"))
        return Success(reply)

    def _batch(self, terms: StepTerms, reply: SamplesReply) -> Result[SampleBatch, StepError]:
        if not reply.samples:
            return Success(SampleBatch((), reply.cursor, reply.complete))
        declaration = self._calls.retry(
            lambda left_s: self._bulk.get(terms.step_id, terms.declaration, StepDeclaration, left_s)
        )
        if isinstance(declaration, Failure):
            return declaration
        samples: list[Sample] = []
        for delivered in reply.samples:
            sample = self._sample(declaration.unwrap(), delivered)
            if isinstance(sample, Failure):
                return sample
            samples.append(sample.unwrap())
        return Success(SampleBatch(tuple(samples), reply.cursor, reply.complete))

    def _sample(
        self, declaration: StepDeclaration, delivered: DeliveredSample
    ) -> Result[Sample, StepError]:
        content = self._calls.retry(
            lambda left_s: self._bulk.get(
                declaration.step_id, delivered.content, SampleContent, left_s
            )
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
