"""Parsing of OpenAI's completion requests into what the dispatcher takes."""

from typing import Annotated, Literal, TypeVar

import msgspec

from bellweir.http_server.http import BadRequestError

MAXIMUM_CHOICES = 16
"""Prompts times `n` of one call."""
DEFAULT_COMPLETION_TOKENS = 16
"""`max_tokens` of a plain completion that names none, as in OpenAI's interface."""
DEFAULT_CHAT_TOKENS = 512
"""`max_tokens` of a chat completion that names none."""
MAXIMUM_TOKENS = 1 << 20

Natural = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_TOKENS)]
Choices = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_CHOICES)]
Temperature = Annotated[float, msgspec.Meta(ge=0, le=2)]


class StreamOptions(msgspec.Struct):
    """OpenAI's `stream_options`."""

    include_usage: bool = False


class ContentPart(msgspec.Struct):
    """A part of a message's content; only text is served."""

    type: Literal["text"]
    text: str


class Message(msgspec.Struct):
    """A chat message."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[ContentPart] | None = None

    def text(self) -> str:
        """All text of the message."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class Unsupported(msgspec.Struct):
    """Parameters that would change the answer and aren't served: refused unless neutral."""

    logprobs: bool | int | None = None
    top_logprobs: int | None = None
    echo: bool | None = None
    best_of: int | None = None
    suffix: str | None = None
    logit_bias: dict[str, float] | None = None
    tools: list[object] | None = None
    functions: list[object] | None = None
    response_format: dict[str, object] | None = None
    top_p: float | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None


_NEUTRAL: dict[str, tuple[object, ...]] = {
    "best_of": (1,),
    "top_p": (1,),
    "response_format": ({"type": "text"},),
}


class CallOptions(Unsupported):
    """What both kinds of completion take."""

    model: str = ""
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    n: Choices | None = None
    stop: str | list[str] | None = None
    temperature: Temperature | None = None
    seed: int | None = None
    max_tokens: Natural | None = None
    user: str | None = None


class CompletionCall(CallOptions):
    """Body of `POST /v1/completions`."""

    prompt: str | list[str] = ""


class ChatCall(CallOptions):
    """Body of `POST /v1/chat/completions`."""

    messages: list[Message] = []
    max_completion_tokens: Natural | None = None


Call = TypeVar("Call", bound=CallOptions)


class ParsedCall(msgspec.Struct, frozen=True):
    """A completion request of either kind, ready for the dispatcher."""

    chat: bool
    model: str
    prompts: tuple[str, ...]
    """One for each choice wanted."""
    max_tokens: int
    stream: bool
    include_usage: bool
    stop: tuple[str, ...]
    temperature: float
    seed: int | None


def parse_completion(body: bytes) -> ParsedCall:
    """Parse a plain completion; raises `BadRequestError`."""
    call = _decode(body, CompletionCall)
    prompts = [call.prompt] if isinstance(call.prompt, str) else call.prompt
    if not prompts:
        raise BadRequestError("prompt: found none, allowed a text or a list of texts")
    limit = call.max_tokens or DEFAULT_COMPLETION_TOKENS
    return _parsed(call, prompts, limit, chat=False)


def parse_chat(body: bytes) -> ParsedCall:
    """Parse a chat completion; raises `BadRequestError`."""
    call = _decode(body, ChatCall)
    if not call.messages:
        raise BadRequestError("messages: found none, allowed one or more")
    limit = call.max_completion_tokens or call.max_tokens or DEFAULT_CHAT_TOKENS
    return _parsed(call, [chat_prompt(call.messages)], limit, chat=True)


def chat_prompt(messages: list[Message]) -> str:
    """Render messages as one prompt that ends where the assistant's answer begins."""
    turns = [f"<|{message.role}|>\n{message.text()}\n" for message in messages]
    return "".join(turns) + "<|assistant|>\n"


def _decode(body: bytes, kind: type[Call]) -> Call:
    try:
        call = msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as fault:
        raise BadRequestError(f"body: {fault}") from None
    except RecursionError:
        raise BadRequestError("body: nested too deeply") from None
    if not call.model:
        raise BadRequestError("model: found none, allowed the name of a policy")
    _refuse_unsupported(call)
    return call


def _refuse_unsupported(call: CallOptions) -> None:
    for name in Unsupported.__struct_fields__:
        value = getattr(call, name)
        if value and value not in _NEUTRAL.get(name, ()):
            raise BadRequestError(f"{name}: not served, allowed to be absent")


def _parsed(call: CallOptions, prompts: list[str], max_tokens: int, *, chat: bool) -> ParsedCall:
    choices = [prompt for prompt in prompts for _ in range(call.n or 1)]
    if len(choices) > MAXIMUM_CHOICES:
        raise BadRequestError(
            f"prompt and n: found {len(choices)} choices, allowed {MAXIMUM_CHOICES}"
        )
    stop = [call.stop] if isinstance(call.stop, str) else call.stop or []
    return ParsedCall(
        chat=chat,
        model=call.model,
        prompts=tuple(choices),
        max_tokens=max_tokens,
        stream=bool(call.stream),
        include_usage=bool(call.stream_options and call.stream_options.include_usage),
        stop=tuple(stop),
        temperature=1.0 if call.temperature is None else call.temperature,
        seed=call.seed,
    )
