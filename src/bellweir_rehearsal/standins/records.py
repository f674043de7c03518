"""Records of the stand-ins that run requests; see `runlog` for how they are written."""

from bellweir_rehearsal.standins.runlog import Record


class WorkRefused(Record, frozen=True, kw_only=True):
    """New work was offered and refused; nothing of it was run."""

    attempt_id: str | None
    request_id: str | None
    reason: str
    """Kind of the refusal, such as `leaving` or `overloaded`."""


class LeavingChanged(Record, frozen=True, kw_only=True):
    """The worker began to leave, or came back."""

    leaving: bool


class AnswerDropped(Record, frozen=True, kw_only=True):
    """A call had run and its answer was dropped, or cut, by a fault."""

    method: str
    path: str


class GenerationStarted(Record, frozen=True, kw_only=True):
    """An attempt was accepted."""

    attempt_id: str
    request_id: str
    priority: int
    first_token: int
    """Tokens had from earlier attempts."""
    max_tokens: int
    prompt: str
    seed: int | None


class GenerationEnded(Record, frozen=True, kw_only=True):
    """An attempt ended."""

    attempt_id: str
    request_id: str
    priority: int
    first_token: int
    end_token: int
    """One past the last token it produced."""
    weight_versions: tuple[int, ...]
    """Versions that produced its tokens, in order."""
    outcome: str
    """`stop`, `length`, `cancelled`, `cut`, or the kind of its error."""
    prompt_tokens: int
    cached_prompt_tokens: int
    preemptions: int


class TokensProduced(Record, frozen=True, kw_only=True):
    """Tokens of one stream chunk; written before the chunk leaves."""

    attempt_id: str
    request_id: str
    first_token: int
    token_count: int
    weight_version: int
