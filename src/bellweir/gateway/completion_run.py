"""Runs the generations of one completion call and writes its answer, whole or streamed."""

import dataclasses
from collections.abc import Iterator
from itertools import chain

from returns.result import Failure, Result, Success

from bellweir.gateway.completion_body import ChoiceProgress, weight_versions
from bellweir.gateway.completion_format import END_OF_STREAM, CompletionFormat, event
from bellweir.gateway.completion_request import ParsedCall
from bellweir.gateway.context import Context
from bellweir.gateway.problems import openai_error, openai_error_response, problem_of_refusal
from bellweir.gateway.request_headers import WEIGHT_VERSIONS
from bellweir.http_server.http import Request, Response, json_response
from bellweir.routing.interface import (
    Generation,
    GenerationChunk,
    Refusal,
    RefusalReason,
    RunState,
)

Step = Result[GenerationChunk, Refusal]


class CompletionRun:
    """One call's generations, one for each choice, already started."""

    def __init__(
        self,
        context: Context,
        request: Request,
        call: ParsedCall,
        body_format: CompletionFormat,
        generations: tuple[Generation, ...],
    ) -> None:
        self._context = context
        self._request = request
        self._call = call
        self._format = body_format
        self._generations = generations
        self._choices = [ChoiceProgress(index, prompt) for index, prompt in enumerate(call.prompts)]
        self._watched = context.caller_watch.begin(request, self.cancel)
        self._ended = False

    def cancel(self) -> None:
        """Cancel what still runs, on the engines too; from any thread."""
        for generation in self._generations:
            generation.cancel()

    def close(self) -> None:
        """End the run; generations that have not ended are cancelled."""
        self._context.caller_watch.end(self._watched)
        if not self._ended:
            self._ended = True
            if any(choice.finish_reason is None for choice in self._choices):
                self.cancel()

    def whole(self) -> Response:
        """Run to the end and answer in one body."""
        try:
            for choice, generation in zip(self._choices, self._generations, strict=True):
                refusal = self._finish(choice, generation)
                if refusal is not None:
                    return self._refused(refusal)
        finally:
            self.close()
        versions = ",".join(str(version) for version in weight_versions(self._choices))
        body = self._format.whole(self._choices)
        return json_response(200, body, [(WEIGHT_VERSIONS, versions)])

    def stream(self) -> Response:
        """Answer chunk by chunk; a refusal before the first one still has its own status."""
        try:
            first_steps = _steps(self._generations[0])
            first = next(first_steps)
        except BaseException:
            self.close()
            raise
        match first:
            case Failure(refusal):
                self.close()
                return self._refused(refusal)
        headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
        events = self._events(chain((first,), first_steps))
        return Response(200, headers, chunks=ClosingChunks(events, self), is_stream=True)

    def _finish(self, choice: ChoiceProgress, generation: Generation) -> Refusal | None:
        for step in _steps(generation):
            match step:
                case Success(chunk):
                    choice.add(chunk)
                case Failure(refusal):
                    return self._of_the_whole_call(refusal)
        return None

    def _events(self, first_steps: Iterator[Step]) -> Iterator[bytes]:
        later = (_steps(generation) for generation in self._generations[1:])
        for choice, steps in zip(self._choices, chain((first_steps,), later), strict=True):
            opening = self._format.opening(choice)
            for step in steps:
                match step:
                    case Success(chunk):
                        choice.add(chunk)
                        yield opening + self._format.piece(choice, chunk)
                        opening = b""
                    case Failure(refusal):
                        yield self._error_event(self._of_the_whole_call(refusal))
                        return
        closing = self._format.closing(self._choices, include_usage=self._call.include_usage)
        yield closing + END_OF_STREAM

    def _refused(self, refusal: Refusal) -> Response:
        return openai_error_response(problem_of_refusal(refusal), self._request.request_id)

    def _error_event(self, refusal: Refusal) -> bytes:
        # The status has been sent: the error travels as an event, and no end marker follows it.
        return event(openai_error(problem_of_refusal(refusal), self._request.request_id))

    def _of_the_whole_call(self, refusal: Refusal) -> Refusal:
        # The refusal speaks of one generation's last attempt; the call as a whole has run if any
        # token came, and may have run if it has other choices.
        if refusal.run_state is not RunState.NOT_RUN:
            return refusal
        if any(choice.token_count for choice in self._choices):
            return dataclasses.replace(refusal, run_state=RunState.RAN)
        if len(self._choices) > 1:
            return dataclasses.replace(refusal, run_state=RunState.UNKNOWN)
        return refusal


class ClosingChunks:
    """Chunks of a run that is closed with them, also when iteration never began."""

    def __init__(self, events: Iterator[bytes], run: CompletionRun) -> None:
        self._events = events
        self._run = run

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Close the run; waitress calls this at the end of every answer."""
        self._run.close()


def _steps(generation: Generation) -> Iterator[Step]:
    """The generation's steps, ended by a refusal if no chunk carries a finish reason."""
    for step in generation:
        yield step
        match step:
            case Failure(_):
                return
            case Success(chunk) if chunk.finish_reason is not None:
                return
    yield Failure(
        Refusal(
            RefusalReason.BACKEND_FAILED,
            RunState.UNKNOWN,
            "the generation ended without its end marker",
        )
    )
