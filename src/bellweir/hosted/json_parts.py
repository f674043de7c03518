r"""Parts of a JSON text that can't be decoded as a whole: cut out, so that each is decoded alone.

A decoder gives up at the first fault of a text, wherever it stands. Here only quotes, brackets and
commas count, in one pass without recursion, so a fault within a part (bytes that are no UTF-8, half
a surrogate pair, a word that is no value, any depth of nesting) stays in that part.

>>> elements(b'[1, "\\ud800", [2, 3]]')
[b'1', b'"\\ud800"', b'[2, 3]']
>>> members(b'{"at": 5, "items": [nope, 2]}')
{'at': b'5', 'items': b'[nope, 2]'}
>>> elements(b'["' + 20_000 * rb'\"' + b"]")
Traceback (most recent call last):
bellweir.hosted.json_parts.UnbalancedError: a quote without its other end
"""

import re

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[]["{},]', re.DOTALL)
"""A quote by itself is one without its other end."""
_MEMBER = re.compile(rb'\s*"([^"\\]*)"\s*:(.*)', re.DOTALL)


class UnbalancedError(ValueError):
    """A text whose brackets or quotes do not match, so that its parts can't be told."""


def elements(text: bytes) -> list[bytes]:
    """Return the texts of a list's elements. Raises `UnbalancedError`."""
    return _parts(text, b"[", b"]")


def members(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values by key. Raises `UnbalancedError`.

    Members whose keys are escaped or no UTF-8 are left out.
    """
    found = {}
    for part in _parts(text, b"{", b"}"):
        member = _MEMBER.fullmatch(part)
        if member is not None:
            key, value = member.groups()
            found[key.decode("utf-8", "replace")] = value.strip()
    return found


def _parts(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return what stands between the commas of the outermost brackets."""
    content = text.strip()
    if not content.startswith(opening) or not content.endswith(closing):
        raise UnbalancedError("not the brackets that were expected")
    found = []
    depth, begin = 0, 1
    for token in _TOKEN.finditer(content):
        mark = token.group()
        if mark == b'"':
            raise UnbalancedError("a quote without its other end")
        if mark in (b"[", b"{"):
            depth += 1
        elif mark in (b"]", b"}"):
            depth -= 1
            if depth <= 0 and token.end() != len(content):
                raise UnbalancedError("brackets that do not match")
        elif mark == b"," and depth == 1:
            found.append(content[begin : token.start()].strip())
            begin = token.end()
    if depth != 0:
        raise UnbalancedError("brackets that do not match")
    last = content[begin:-1].strip()
    return [*found, last] if found or last else []
