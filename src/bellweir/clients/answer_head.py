"""Parses the head of an HTTP/1.1 answer strictly: what is not one answer is refused (RFC 9112).

A peer may break an answer off and send another one behind it. A lenient parser takes such bytes for
one answer, with the status of the first and the fields of both.
"""

import http.client
import re
from enum import Enum

STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?")
STATUS_LINE_INSIDE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)")
FOLDED_LINE = re.compile(rb"[\t ][\t -~\x80-\xff]*")
LENGTH = re.compile(r"[0-9]{1,18}")
WHITESPACE = " \t"
SINGLE_FIELDS = frozenset({"content-length", "content-type", "date", "retry-after"})
"""Fields of which an answer has one value; in two answers read as one they often differ."""
NO_BODY_STATUSES = frozenset({204, 304})


class MalformedAnswerError(http.client.HTTPException):
    """What a peer sent is not an HTTP answer, or not one alone."""


class Framing(Enum):
    """What ends the body of an answer."""

    LENGTH = "length"
    """The declared number of bytes, also where the status allows no body."""
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection: a body that is cut can't be told from a whole one."""


class AnswerHead:
    """Status and fields of an answer."""

    __slots__ = ("fields", "minor_version", "status", "values")

    def __init__(self, minor_version: int, status: int, fields: list[tuple[str, str]]) -> None:
        """`fields` are names and values in order, a folded value on one line."""
        self.minor_version = minor_version
        self.status = status
        self.fields = fields
        self.values = {name.lower(): value for name, value in fields}
        """Values by lower-case name; of repeated fields the last."""

    @property
    def is_interim(self) -> bool:
        """Whether the answer proper is still to come (1xx)."""
        return self.status < 200

    def closes_connection(self) -> bool:
        """Whether the peer ends the connection behind this answer."""
        options = self._elements("connection")
        return "close" in options or (self.minor_version == 0 and "keep-alive" not in options)

    def framing(self, method: str) -> tuple[Framing, int]:
        r"""Return what ends the body, and its declared length in bytes, for a request's `method`.

        Raises `MalformedAnswerError` where the fields contradict each other.

        >>> parse_head(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").framing("GET")
        (<Framing.LENGTH: 'length'>, 5)
        """
        codings = self._elements("transfer-encoding")
        length = self.values.get("content-length")
        if length is not None and not LENGTH.fullmatch(length):
            raise MalformedAnswerError(f"Content-Length {length!r} is not a number of bytes")
        if codings:
            self._check_codings(codings, length)
        if method == "HEAD" or self.status in NO_BODY_STATUSES:
            return Framing.LENGTH, 0
        if codings:
            return Framing.CHUNKS, 0
        return (Framing.CONNECTION, 0) if length is None else (Framing.LENGTH, int(length))

    def _check_codings(self, codings: list[str], length: str | None) -> None:
        if codings != ["chunked"] or self.minor_version == 0:
            raise MalformedAnswerError(
                f"Transfer-Encoding {', '.join(codings)!r} in HTTP/1.{self.minor_version}"
            )
        if length is not None:
            raise MalformedAnswerError(f"Content-Length {length} beside Transfer-Encoding")

    def _elements(self, lower_name: str) -> list[str]:
        """The elements of all fields of a name whose value is a list, in lower case."""
        if lower_name not in self.values:
            return []
        values = [value for name, value in self.fields if name.lower() == lower_name]
        return [each.strip(WHITESPACE).lower() for each in ",".join(values).split(",")]


def parse_head(text: bytes, single_fields: frozenset[str] = SINGLE_FIELDS) -> AnswerHead:
    r"""Parse a head from its status line to its empty line; lines may end in LF alone.

    Fields of `single_fields`, lower-case names, may be repeated with the same value only. Raises
    `MalformedAnswerError`.

    >>> head = parse_head(b"HTTP/1.1 404 Not Found\r\nServer: one\r\n two\r\n\r\n")
    >>> head.status, head.fields
    (404, [('Server', 'one two')])
    """
    inside = STATUS_LINE_INSIDE.search(text, 1)
    if inside is not None:
        raise MalformedAnswerError(f"a second status line at byte {inside.start()} of the head")
    first, *lines = (line.removesuffix(b"\r") for line in text.split(b"\n"))
    status = STATUS_LINE.fullmatch(first)
    if status is None:
        raise MalformedAnswerError(f"status line {first[:40]!r}")
    fields = parse_fields(lines)
    _check_single(fields, single_fields)
    return AnswerHead(int(status[1]), int(status[2]), fields)


def parse_fields(lines: list[bytes]) -> list[tuple[str, str]]:
    """Parse field lines up to the first empty one; raises `MalformedAnswerError`.

    >>> parse_fields([b"Age: 1 ", b""])
    [('Age', '1')]
    """
    fields: list[tuple[str, str]] = []
    for line in lines:
        if not line:
            break
        field = FIELD_LINE.fullmatch(line)
        if field is not None:
            name, value = field.groups()
            fields.append((name.decode("ascii"), _text(value)))
        elif fields and FOLDED_LINE.fullmatch(line):
            name_of_folded, before = fields[-1]
            fields[-1] = (name_of_folded, f"{before} {_text(line)}".strip(WHITESPACE))
        else:
            raise MalformedAnswerError(f"field line {line[:40]!r}")
    return fields


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip(WHITESPACE)


def _check_single(fields: list[tuple[str, str]], single_fields: frozenset[str]) -> None:
    found: dict[str, str] = {}
    for name, value in fields:
        key = name.lower()
        if key in single_fields and found.setdefault(key, value) != value:
            raise MalformedAnswerError(f"field {name} with two values: {found[key]!r}, {value!r}")
