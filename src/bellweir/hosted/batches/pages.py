"""Pages of results as clients read them: of valid text, and no longer than clients allow."""

import msgspec

from bellweir.hosted.batches.formats import encode_page
from bellweir.hosted.batches.state import ItemResult

MAX_PAGE_BYTES = 1_000_000
"""Longest answer to a reading, unless its first result alone is longer."""


def encode_bounded_page(total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
    """Return the answer to a reading from position `after`.

    It holds the first of `results`, at least one, that fit into `MAX_PAGE_BYTES`; a reader
    goes on behind them. How long a text is as JSON depends on its characters: a line feed takes
    two bytes and an ideograph three, so that counting characters does not bound the answer.

    >>> two = (
    ...     ItemResult.from_text("a", True, "x", (1,)),
    ...     ItemResult.from_text("b", True, "y", (1,)),
    ... )
    >>> msgspec.json.decode(encode_bounded_page(2, 0, two))["next"]
    2
    """
    shown = tuple(_valid(result) for result in results)
    content = encode_page(total, after, shown)
    while len(content) > MAX_PAGE_BYTES and len(shown) > 1:
        fitting = len(shown) * MAX_PAGE_BYTES // len(content)
        shown = shown[: min(len(shown) - 1, max(1, fitting))]
        content = encode_page(total, after, shown)
    return content


def _valid(result: ItemResult) -> ItemResult:
    """Return a result with its text unpacked, each byte that is no valid UTF-8 as U+FFFD.

    JSON can't hold such a byte: encoding it fails, and with it every reading of the page.
    """
    text = result.full_text
    if not text.isascii():
        text = text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")
    return msgspec.structs.replace(result, text=text, compressed=b"", compressed_checkpoints=())
