"""Assembles the chunks of a generation into the text, tokens and segments of a sample."""

from collections.abc import Iterable

from bellweir.routing.interface import GenerationChunk, Segment
from bellweir.samples.bulk import SampleContent


def extend_segments(segments: list[Segment], weight_version: int, token_count: int) -> None:
    """Add tokens of one version at the end; a run of one version is one segment.

    A version that produced only the end of the answer is listed too, with no tokens.
    """
    last = segments[-1] if segments else None
    if last is not None and last.weight_version == weight_version:
        segments[-1] = Segment(weight_version, last.first_token, last.token_count + token_count)
        return
    first_token = last.first_token + last.token_count if last is not None else 0
    segments.append(Segment(weight_version, first_token, token_count))


class SampleBuilder:
    """A sample in the making; used by the one thread that reads its chunks."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._tokens: list[int] = []
        self._segments: list[Segment] = []

    def resume(self, content: SampleContent, segments: tuple[Segment, ...]) -> None:
        """Begin with what another node had."""
        self._texts = [content.text]
        self._tokens = list(content.tokens)
        self._segments = list(segments)

    def add(self, chunk: GenerationChunk) -> None:
        """Take the next chunk."""
        self._texts.append(chunk.text)
        self._tokens.extend(chunk.tokens)
        extend_segments(self._segments, chunk.weight_version, len(chunk.tokens))

    @property
    def token_count(self) -> int:
        """Tokens so far."""
        return len(self._tokens)

    @property
    def oldest_version(self) -> int | None:
        """Oldest version among the segments; None before the first chunk."""
        return min((segment.weight_version for segment in self._segments), default=None)

    def tokens(self) -> tuple[int, ...]:
        """Tokens so far."""
        return tuple(self._tokens)

    def content(self) -> SampleContent:
        """Text and tokens so far."""
        return SampleContent("".join(self._texts), tuple(self._tokens))

    def segments(self) -> tuple[Segment, ...]:
        """Segments so far."""
        return tuple(self._segments)


def total_tokens(segments: Iterable[Segment]) -> int:
    """Tokens of all segments."""
    return sum(segment.token_count for segment in segments)
