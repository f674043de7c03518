"""What an engine stand-in writes into its log."""

from bellweir.clients.interface import GenerationCall, TokenChunk
from bellweir_rehearsal.standins.generation import Ending, Generation
from bellweir_rehearsal.standins.records import (
    GenerationEnded,
    GenerationStarted,
    LeavingChanged,
    TokensProduced,
    WorkRefused,
)
from bellweir_rehearsal.standins.runlog import RunLog


class EngineJournal:
    """Turns what happens to generations into records."""

    def __init__(self, name: str, log: RunLog) -> None:
        self._name = name
        self._log = log

    def refused(self, call: GenerationCall, reason: str) -> None:
        """Note that an attempt was refused."""
        self._log.append(
            WorkRefused(
                standin=self._name,
                attempt_id=call.attempt_id,
                request_id=call.request_id,
                reason=reason,
            )
        )

    def started(self, generation: Generation) -> None:
        """Note that an attempt was accepted."""
        call = generation.call
        self._log.append(
            GenerationStarted(
                standin=self._name,
                attempt_id=call.attempt_id,
                request_id=call.request_id,
                priority=call.priority,
                first_token=len(call.prefix_tokens),
                max_tokens=call.max_tokens,
                prompt=call.prompt,
                seed=call.seed,
            )
        )

    def produced(self, generation: Generation, first_token: int, chunk: TokenChunk) -> None:
        """Note the tokens of a chunk that is about to leave."""
        self._log.append(
            TokensProduced(
                standin=self._name,
                attempt_id=generation.call.attempt_id,
                request_id=generation.call.request_id,
                first_token=first_token,
                token_count=len(chunk.tokens),
                weight_version=chunk.weight_version,
            )
        )

    def ended(self, generation: Generation, ending: Ending) -> None:
        """Note that an attempt ended."""
        call, sequence = generation.call, generation.sequence
        self._log.append(
            GenerationEnded(
                standin=self._name,
                attempt_id=call.attempt_id,
                request_id=call.request_id,
                priority=call.priority,
                first_token=len(call.prefix_tokens),
                end_token=sequence.produced,
                weight_versions=tuple(generation.versions),
                outcome=_outcome(ending),
                prompt_tokens=sequence.prompt_tokens,
                cached_prompt_tokens=generation.cached_prompt_tokens,
                preemptions=sequence.preemptions,
            )
        )

    def leaving(self, *, leaving: bool) -> None:
        """Note that the engine began to leave, or came back."""
        self._log.append(LeavingChanged(standin=self._name, leaving=leaving))


def _outcome(ending: Ending) -> str:
    if ending.error is not None:
        return ending.error.error
    return ending.reason.value if ending.reason is not None else "cut"
