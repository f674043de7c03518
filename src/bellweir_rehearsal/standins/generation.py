"""One generation on the engine stand-in, between the scheduler and the thread that streams it."""

import threading
import time
from dataclasses import dataclass, replace

from bellweir.clients.answers import ErrorBody
from bellweir.clients.interface import (
    ErrorKind,
    FinishReason,
    GenerationCall,
    TokenChunk,
)
from bellweir_rehearsal.standins.engine_batch import Sequence
from bellweir_rehearsal.standins.token_model import text_of, tokens_between

WAIT_S = 0.5
"""How often a streaming thread looks whether its client is still there."""


@dataclass(frozen=True)
class Ending:
    """How a generation ended: with a reason, with an error, or cut without either."""

    reason: FinishReason | None = None
    error: ErrorBody | None = None


@dataclass
class _Run:
    first: int
    end: int
    weight_version: int


class Generation:
    """Tokens ready to be streamed, and how it ended."""

    def __init__(self, call: GenerationCall, sequence: Sequence, natural_end: bool) -> None:
        self.call = call
        self.sequence = sequence
        self.hashes: tuple[int, ...] = ()
        """Prompt blocks, for the prefix cache."""
        self.cached_prompt_tokens = 0
        self.versions: list[int] = []
        """Weight versions that produced tokens here, in order."""
        self.deadline_s = (
            time.monotonic() + call.deadline_s if call.deadline_s is not None else None
        )
        self._natural_end = natural_end
        self._condition = threading.Condition()
        self._ready: list[_Run] = []
        self._ending: Ending | None = None
        self._first_chunk = True

    @property
    def expired(self) -> bool:
        """Whether its deadline has passed."""
        return self.deadline_s is not None and time.monotonic() >= self.deadline_s

    @property
    def finish_reason(self) -> FinishReason:
        """Why it ends when it comes to its end."""
        return FinishReason.STOP if self._natural_end else FinishReason.LENGTH

    def produce(self, first: int, end: int, weight_version: int) -> None:
        """Add tokens at positions `first` up to but not including `end`."""
        if not self.versions or self.versions[-1] != weight_version:
            self.versions.append(weight_version)
        with self._condition:
            last = self._ready[-1] if self._ready else None
            if last is not None and last.weight_version == weight_version:
                last.end = end
            else:
                self._ready.append(_Run(first, end, weight_version))
            self._condition.notify()

    def end(self, ending: Ending) -> bool:
        """End it; only the first ending counts. Returns whether this was the first."""
        with self._condition:
            if self._ending is not None:
                return False
            self._ending = ending
            self._condition.notify()
        return True

    def take(self) -> tuple[list[TokenChunk], Ending | None]:
        """Wait a while for tokens or the end; return the chunks that are ready."""
        with self._condition:
            if not self._ready and self._ending is None:
                self._condition.wait(WAIT_S)
            runs, self._ready = self._ready, []
            ending = self._ending
        chunks = [self._chunk(run) for run in runs]
        if chunks and ending is not None and ending.reason is not None:
            chunks[-1] = replace(chunks[-1], finish_reason=ending.reason)
        return chunks, ending

    def _chunk(self, run: _Run) -> TokenChunk:
        tokens = tokens_between(self.call.prompt, self.call.seed, run.first, run.end)
        cached = self.cached_prompt_tokens if self._first_chunk else None
        self._first_chunk = False
        return TokenChunk(tokens, text_of(tokens), run.weight_version, None, cached)


CUT = Ending()
CANCELLED = Ending(reason=FinishReason.CANCELLED)
EXPIRED = Ending(error=ErrorBody(ErrorKind.NOT_RUN.value, "deadline passed before the start"))
TAKEN_BACK = Ending(error=ErrorBody(ErrorKind.UNKNOWN.value, "the version was taken back"))
