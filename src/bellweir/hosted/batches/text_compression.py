"""Compresses texts where they are generated; they are decompressed where a client reads them.

Texts are sent across zones and kept in the log, in snapshots and in the memory of each replica.

>>> compressed = compress_text("a text, a text, a text")
>>> decompress_text(compressed)
'a text, a text, a text'
>>> len(compress_text("la " * 1_000)) < 100
True
"""

import zlib

MIN_COMPRESSED_BYTES = 64
UNCOMPRESSED_MARK = b"="
COMPRESSED_MARK = b"z"


def compress_text(text: str) -> bytes:
    """Return a text as bytes; the first byte tells whether they are compressed."""
    plain = text.encode("utf-8", "surrogateescape")
    if len(plain) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(plain)
        if len(compressed) < len(plain):
            return COMPRESSED_MARK + compressed
    return UNCOMPRESSED_MARK + plain


def decompress_text(compressed: bytes) -> str:
    """Return the text; the empty string for no bytes."""
    plain = zlib.decompress(compressed[1:]) if compressed[:1] == COMPRESSED_MARK else compressed[1:]
    return plain.decode("utf-8", "surrogateescape")
