"""Bodies of OpenAI's completion answers, whole and streamed.

Next to OpenAI's fields each body carries `bellweir`: the weight versions that produced the
answer, in order.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from bellweir.clients.interface import FinishReason
from bellweir.routing.interface import GenerationChunk, Segment


class Usage(msgspec.Struct, frozen=True):
    """Token counts; OpenAI's `usage`."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChoiceOrigin(msgspec.Struct, frozen=True):
    """Which weight versions and workers produced one choice, in order."""

    index: int
    segments: tuple[Segment, ...]
    workers: tuple[str, ...]


class Origin(msgspec.Struct, frozen=True):
    """The field `bellweir` of a whole answer, and of the last chunk of a stream."""

    request_id: str
    weight_versions: tuple[int, ...]
    """Versions in the order of the tokens, choice after choice, without direct repeats."""
    choices: tuple[ChoiceOrigin, ...]


class ChunkOrigin(msgspec.Struct, frozen=True):
    """The field `bellweir` of a stream's chunk."""

    weight_version: int


class CompletionChoice(msgspec.Struct, frozen=True):
    """A choice of a plain completion, or a piece of it."""

    index: int
    text: str
    finish_reason: str | None
    logprobs: None = None


class ChatMessage(msgspec.Struct, frozen=True):
    """The assistant's message."""

    content: str
    role: str = "assistant"
    refusal: None = None


class ChatChoice(msgspec.Struct, frozen=True):
    """A choice of a chat completion."""

    index: int
    message: ChatMessage
    finish_reason: str | None
    logprobs: None = None


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """A piece of the assistant's message."""

    content: str | None = None
    role: str | None = None


class ChatChunkChoice(msgspec.Struct, frozen=True):
    """A piece of a choice of a chat completion."""

    index: int
    delta: ChatDelta
    finish_reason: str | None
    logprobs: None = None


Choice = CompletionChoice | ChatChoice | ChatChunkChoice


class CompletionBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer, or one chunk of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None
    bellweir: Origin | ChunkOrigin | None = None


@dataclass
class ChoiceProgress:
    """What has come of one choice."""

    index: int
    prompt: str
    text: list[str] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    workers: list[str] = field(default_factory=list)
    token_count: int = 0
    finish_reason: FinishReason | None = None

    def add(self, chunk: GenerationChunk) -> None:
        """Take in the next chunk."""
        self.text.append(chunk.text)
        self._add_tokens(chunk.weight_version, len(chunk.tokens))
        if not self.workers or self.workers[-1] != chunk.worker:
            self.workers.append(chunk.worker)
        self.finish_reason = chunk.finish_reason

    def _add_tokens(self, weight_version: int, count: int) -> None:
        if count == 0:
            return
        last = self.segments[-1] if self.segments else None
        if last is not None and last.weight_version == weight_version:
            self.segments[-1] = Segment(weight_version, last.first_token, last.token_count + count)
        else:
            self.segments.append(Segment(weight_version, self.token_count, count))
        self.token_count += count

    @property
    def origin(self) -> ChoiceOrigin:
        """Where the choice came from."""
        return ChoiceOrigin(self.index, tuple(self.segments), tuple(self.workers))


def weight_versions(choices: Sequence[ChoiceProgress]) -> tuple[int, ...]:
    """Versions in the order of the tokens, without direct repeats."""
    versions: list[int] = []
    for choice in choices:
        for segment in choice.segments:
            if not versions or versions[-1] != segment.weight_version:
                versions.append(segment.weight_version)
    return tuple(versions)


def usage_of(choices: Sequence[ChoiceProgress]) -> Usage:
    """Token counts over all choices.

    Engines do not report how many tokens a prompt has; it is estimated from its length.
    """
    prompt_tokens = sum(estimated_tokens(choice.prompt) for choice in choices)
    completion_tokens = sum(choice.token_count for choice in choices)
    return Usage(prompt_tokens, completion_tokens, prompt_tokens + completion_tokens)


CHARACTERS_PER_TOKEN = 4
"""Rule of thumb for English text with byte-pair vocabularies."""


def estimated_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)
