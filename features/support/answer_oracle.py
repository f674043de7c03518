"""What an HTTP/1.1 peer has said, told by a plain reading of all its bytes (RFC 9112).

Shares no code with the readers under test. Lines may end in LF alone; folded lines count as one.
PROTOCOL.md, Workers: bytes that are no answer belong to no request.
"""

from dataclasses import dataclass

LONGEST_HEAD = 64 * 1024
LONGEST_CHUNK_LINE = 4 * 1024
MOST_INTERIM = 16
ONE_VALUE = {
    "content-length",
    "content-type",
    "date",
    "retry-after",
    "x-bellweir-attempt-id",
    "x-bellweir-not-executed",
    "x-bellweir-server-load",
    "x-bellweir-server-stamp",
    "x-bellweir-weight-versions",
}
NAME_BYTES = set(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
DIGITS = set(b"0123456789")
HEX_DIGITS = set(b"0123456789abcdefABCDEF")


class NoAnswerError(Exception):
    """The bytes are not one whole answer."""


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that was sent whole; `used` counts its bytes and those of interim answers."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes
    used: int


def whole_answer(data: bytes, method: str = "GET") -> WholeAnswer:
    """Return the answer that `data` begins with, the connection ending behind it.

    Raises `NoAnswerError`.
    """
    at = 0
    for _ in range(MOST_INTERIM + 1):
        lines, at = head_lines(data, at)
        minor, status = status_of(lines[0])
        fields = fields_of(lines[1:])
        check_one_value(fields)
        need(status != 101)
        if status >= 200:
            body, at = body_of(data, at, method, minor, status, fields)
            return WholeAnswer(status, tuple(fields), body, at)
    raise NoAnswerError


def need(holds: bool) -> None:
    if not holds:
        raise NoAnswerError


def line_at(data: bytes, at: int, longest: int) -> tuple[bytes, int]:
    end = data.find(b"\n", at)
    need(end >= 0 and end - at <= longest)
    line = data[at:end]
    return (line[:-1] if line.endswith(b"\r") else line), end + 1


def head_lines(data: bytes, begin: int) -> tuple[list[bytes], int]:
    lines, at = [], begin
    while not lines or lines[-1]:
        line, at = line_at(data, at, LONGEST_HEAD)
        lines.append(line)
        need(line != b"" or len(lines) > 1)
    need(at - begin <= LONGEST_HEAD)
    need(not has_status_line(data[begin + 1 : at]))
    return lines[:-1], at


def has_status_line(text: bytes) -> bool:
    return any(
        len(rest) >= 7
        and rest[0] in DIGITS
        and rest[1:2] == b"."
        and rest[2] in DIGITS
        and rest[3:4] == b" "
        and set(rest[4:7]) <= DIGITS
        for rest in text.split(b"HTTP/")[1:]
    )


def is_text(text: bytes) -> bool:
    return all(each == 9 or 32 <= each < 127 or each > 127 for each in text)


def status_of(line: bytes) -> tuple[int, int]:
    need(line.startswith(b"HTTP/1.") and len(line) >= 12)
    need(line[7] in DIGITS and line[8:9] == b" " and set(line[9:12]) <= DIGITS)
    need(line[9:10] in b"12345" and line[12:13] in (b"", b" ") and is_text(line[12:]))
    return int(line[7:8]), int(line[9:12])


def fields_of(lines: list[bytes]) -> list[tuple[str, str]]:
    fields: list[tuple[str, str]] = []
    for line in lines:
        need(is_text(line))
        if line[:1] in (b" ", b"\t"):
            need(bool(fields))
            name, value = fields.pop()
            fields.append((name, f"{value} {trimmed(line)}".strip(" ")))
        else:
            raw_name, colon, raw_value = line.partition(b":")
            need(bool(colon) and bool(raw_name) and set(raw_name) <= NAME_BYTES)
            fields.append((raw_name.decode("latin-1"), trimmed(raw_value)))
    return fields


def trimmed(value: bytes) -> str:
    return value.decode("latin-1").strip(" \t")


def check_one_value(fields: list[tuple[str, str]]) -> None:
    for name in ONE_VALUE:
        need(len({value for key, value in fields if key.lower() == name}) <= 1)


def body_of(
    data: bytes, at: int, method: str, minor: int, status: int, fields: list[tuple[str, str]]
) -> tuple[bytes, int]:
    lengths = [value for key, value in fields if key.lower() == "content-length"]
    codings = [value for key, value in fields if key.lower() == "transfer-encoding"]
    for length in lengths:
        need(0 < len(length) < 19 and set(length.encode("latin-1")) <= DIGITS)
    if codings:
        need([each.strip(" \t").lower() for each in codings] == ["chunked"])
        need(minor > 0 and not lengths)
    if method == "HEAD" or status in (204, 304):
        return b"", at
    if codings:
        return chunks_of(data, at)
    if not lengths:
        return data[at:], len(data)
    end = at + int(lengths[0])
    need(end <= len(data))
    return data[at:end], end


def chunks_of(data: bytes, at: int) -> tuple[bytes, int]:
    body = b""
    while True:
        line, at = line_at(data, at, LONGEST_CHUNK_LINE)
        digits, _, extension = line.partition(b";")
        digits = digits.rstrip(b" \t")
        need(0 < len(digits) < 16 and set(digits) <= HEX_DIGITS and is_text(extension))
        need(not has_status_line(line))
        size = int(digits, 16)
        if not size:
            return body, trailer_end(data, at)
        body += data[at : at + size]
        line, at = line_at(data, at + size, LONGEST_CHUNK_LINE)
        need(line == b"")


def trailer_end(data: bytes, at: int) -> int:
    length = 0
    while True:
        line, at = line_at(data, at, LONGEST_HEAD)
        if not line:
            return at
        need(not has_status_line(line))
        need(line[:1] not in (b" ", b"\t"))
        fields_of([line])
        length += len(line)
        need(length <= LONGEST_HEAD)
