"""Encodes pages of results as valid JSON of bounded size."""

import msgspec

from bellweir.hosted.batches.formats import encode_page
from bellweir.hosted.batches.state import ItemResult

MAX_PAGE_BYTES = 1_000_000
"""Maximum size of a response, unless its first result alone is larger."""


def encode_bounded_page(total: int, after: int, results: tuple[ItemResult, ...]) -> bytes:
    """Return the response to a read from position `after`.

    It holds as many of the first `results` as fit into `MAX_PAGE_BYTES`, but at least one; the
    client reads the rest with its next call. Characters don't bound the size, since in JSON a line
    feed takes two bytes and an ideograph three.

    >>> two = (
    ...     ItemResult.from_text("a", True, "x", (1,)),
    ...     ItemResult.from_text("b", True, "y", (1,)),
    ... )
    >>> msgspec.json.decode(encode_bounded_page(2, 0, two))["next"]
    2
    """
    page = tuple(_with_valid_text(result) for result in results)
    content = encode_page(total, after, page)
    while len(content) > MAX_PAGE_BYTES and len(page) > 1:
        fitting = len(page) * MAX_PAGE_BYTES // len(content)
        page = page[: min(len(page) - 1, max(1, fitting))]
        content = encode_page(total, after, page)
    return content


def _with_valid_text(result: ItemResult) -> ItemResult:
    """Return a result with its text decompressed, and bytes that are invalid UTF-8 as U+FFFD.

    Encoding such bytes to JSON would fail, and with it every read of the page.
    """
    text = result.full_text
    if not text.isascii():
        text = text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")
    return msgspec.structs.replace(result, text=text, compressed=b"", compressed_checkpoints=())
