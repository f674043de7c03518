"""Packs texts once where they are made; they are unpacked where a client reads them.

A text crosses zones several times and stays in the log, in snapshots and in the memory of each
replica and gateway, so every byte of it is paid for many times over.

>>> packed = compress_text("a text, a text, a text")
>>> decompress_text(packed)
'a text, a text, a text'
>>> len(compress_text("la " * 1_000)) < 100
True
"""

import zlib

SHORTEST_BYTES = 64
"""Shorter texts stay as they are: packing them saves nothing."""
PLAIN = b"="
PACKED = b"z"


def compress_text(text: str) -> bytes:
    """Return the bytes that stand for a text, with a mark of how."""
    plain = text.encode("utf-8", "surrogateescape")
    if len(plain) >= SHORTEST_BYTES:
        packed = zlib.compress(plain)
        if len(packed) < len(plain):
            return PACKED + packed
    return PLAIN + plain


def decompress_text(packed: bytes) -> str:
    """Return the text; empty for no bytes."""
    plain = zlib.decompress(packed[1:]) if packed[:1] == PACKED else packed[1:]
    return plain.decode("utf-8", "surrogateescape")
