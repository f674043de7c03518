"""The two shapes of OpenAI's completion answers: plain and chat."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from bellweir.gateway.completion_body import (
    ChatChoice,
    ChatChunkChoice,
    ChatDelta,
    ChatMessage,
    Choice,
    ChoiceProgress,
    ChunkOrigin,
    CompletionBody,
    CompletionChoice,
    Origin,
    usage_of,
    weight_versions,
)
from bellweir.routing.interface import GenerationChunk

END_OF_STREAM = b"data: [DONE]\n\n"


def event(content: object) -> bytes:
    """One server-sent event with a JSON body."""
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


class CompletionFormat(ABC):
    """Writes the bodies of one answer."""

    identifier_prefix: str
    whole_object: str
    chunk_object: str

    def __init__(self, request_id: str, model: str, created_s: int) -> None:
        self._request_id = request_id
        self._identifier = self.identifier_prefix + request_id
        self._model = model
        self._created_s = created_s

    def whole(self, choices: Sequence[ChoiceProgress]) -> CompletionBody:
        """The body of a whole answer."""
        return CompletionBody(
            self._identifier,
            self.whole_object,
            self._created_s,
            self._model,
            tuple(self._whole_choice(choice) for choice in choices),
            usage_of(choices),
            self._origin(choices),
        )

    def opening(self, choice: ChoiceProgress) -> bytes:
        """The event before a choice's first piece; empty where the shape has none."""
        return b""

    def piece(self, choice: ChoiceProgress, chunk: GenerationChunk) -> bytes:
        """The event for one chunk; the choice has taken it in."""
        origin = ChunkOrigin(chunk.weight_version)
        return event(self._chunk((self._piece_choice(choice, chunk),), origin))

    def closing(self, choices: Sequence[ChoiceProgress], *, include_usage: bool) -> bytes:
        """The last event of a whole stream, without choices: origin and, if wanted, usage."""
        body = self._chunk((), self._origin(choices))
        if include_usage:
            body = msgspec.structs.replace(body, usage=usage_of(choices))
        return event(body)

    @abstractmethod
    def _whole_choice(self, choice: ChoiceProgress) -> Choice: ...

    @abstractmethod
    def _piece_choice(self, choice: ChoiceProgress, chunk: GenerationChunk) -> Choice: ...

    def _chunk(
        self, choices: tuple[Choice, ...], origin: Origin | ChunkOrigin | None
    ) -> CompletionBody:
        return CompletionBody(
            self._identifier,
            self.chunk_object,
            self._created_s,
            self._model,
            choices,
            bellweir=origin,
        )

    def _origin(self, choices: Sequence[ChoiceProgress]) -> Origin:
        return Origin(
            self._request_id,
            weight_versions(choices),
            tuple(choice.origin for choice in choices),
        )


class PlainFormat(CompletionFormat):
    """`text_completion`."""

    identifier_prefix = "cmpl-"
    whole_object = "text_completion"
    chunk_object = "text_completion"

    def _whole_choice(self, choice: ChoiceProgress) -> Choice:
        return CompletionChoice(choice.index, "".join(choice.text), _finish_reason(choice))

    def _piece_choice(self, choice: ChoiceProgress, chunk: GenerationChunk) -> Choice:
        return CompletionChoice(choice.index, chunk.text, _finish_reason(choice))


class ChatFormat(CompletionFormat):
    """`chat.completion` and `chat.completion.chunk`."""

    identifier_prefix = "chatcmpl-"
    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def opening(self, choice: ChoiceProgress) -> bytes:
        """The event that names the role."""
        delta = ChatDelta(content="", role="assistant")
        return event(self._chunk((ChatChunkChoice(choice.index, delta, None),), None))

    def _whole_choice(self, choice: ChoiceProgress) -> Choice:
        message = ChatMessage("".join(choice.text))
        return ChatChoice(choice.index, message, _finish_reason(choice))

    def _piece_choice(self, choice: ChoiceProgress, chunk: GenerationChunk) -> Choice:
        return ChatChunkChoice(choice.index, ChatDelta(chunk.text), _finish_reason(choice))


def _finish_reason(choice: ChoiceProgress) -> str | None:
    return None if choice.finish_reason is None else choice.finish_reason.value
