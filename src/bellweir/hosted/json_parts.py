r"""Splits a JSON array or object into the texts of its elements, so that each is decoded alone.

Only quotes, brackets and commas are parsed, in one pass without recursion. Invalid UTF-8, unpaired
surrogates, invalid literals or deep nesting therefore affect only the element that holds them.

>>> elements(b'[1, "\\ud800", [2, 3]]')
[b'1', b'"\\ud800"', b'[2, 3]']
>>> members(b'{"at": 5, "items": [nope, 2]}')
{'at': b'5', 'items': b'[nope, 2]'}
>>> elements(b'["' + 20_000 * rb'\"' + b"]")
Traceback (most recent call last):
bellweir.hosted.json_parts.UnbalancedError: unterminated string
"""

import re

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[]["{},]', re.DOTALL)
"""A single quote token is an unterminated string."""
_MEMBER = re.compile(rb'\s*"([^"\\]*)"\s*:(.*)', re.DOTALL)


class UnbalancedError(ValueError):
    """A text with unbalanced brackets or quotes, which can't be split."""


def elements(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements. Raises `UnbalancedError`."""
    return _split(text, b"[", b"]")


def members(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values by key. Raises `UnbalancedError`.

    Members whose keys are escaped or not UTF-8 are left out.
    """
    found = {}
    for part in _split(text, b"{", b"}"):
        member = _MEMBER.fullmatch(part)
        if member is not None:
            key, value = member.groups()
            found[key.decode("utf-8", "replace")] = value.strip()
    return found


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Split the text at the commas of the outermost brackets."""
    content = text.strip()
    if not content.startswith(opening) or not content.endswith(closing):
        raise UnbalancedError("not the expected type of brackets")
    found = []
    depth, start = 0, 1
    for token in _TOKEN.finditer(content):
        symbol = token.group()
        if symbol == b'"':
            raise UnbalancedError("unterminated string")
        if symbol in (b"[", b"{"):
            depth += 1
        elif symbol in (b"]", b"}"):
            depth -= 1
            if depth <= 0 and token.end() != len(content):
                raise UnbalancedError("unbalanced brackets")
        elif symbol == b"," and depth == 1:
            found.append(content[start : token.start()].strip())
            start = token.end()
    if depth != 0:
        raise UnbalancedError("unbalanced brackets")
    last = content[start:-1].strip()
    return [*found, last] if found or last else []
