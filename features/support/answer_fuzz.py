"""Draws bytes of workers that break answers off, and checks how `AnswerReader` reads them.

Every function that draws takes a `random.Random`; `hypothesis` has one that it can shrink.
"""

import http.client
import io
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random

from bellweir.clients.answer_head import SINGLE_FIELDS
from bellweir.clients.answer_reader import MAXIMUM_HEAD_BYTES, READ_BLOCK_BYTES, AnswerReader
from bellweir_platform.headers import HEADERS
from support.answer_oracle import (
    LONGEST_CHUNK_LINE,
    LONGEST_HEAD,
    MOST_INTERIM,
    NoAnswerError,
    WholeAnswer,
    whole_answer,
)

SHOWN_BYTES = 4000
MOST_HELD_BYTES = MAXIMUM_HEAD_BYTES + READ_BLOCK_BYTES
"""A head that is not yet whole, and what arrived last."""
ONE_VALUE_FIELDS = SINGLE_FIELDS | HEADERS.of_answers
STATUSES = (200, 200, 200, 201, 204, 304, 400, 404, 421, 429, 500, 502, 503, 504, 299, 599)
REASONS = (b" OK", b" Internal Server Error", b" ", b"", b" Caf\xe9", b" HTTP", b" 200", b" a\tb")
STATUSES_WITH_BODY = tuple(each for each in STATUSES if each not in (204, 304))
FRAMINGS = ("length", "length", "chunks", "chunks", "connection")
CUTS = 12
"""Streams of bytes that are made of the same two answers."""
LINE_ENDS = (b"\r\n", b"\r\n", b"\r\n", b"\n")
NAMES = (b"Server", b"Via", b"set-cookie", b"!#$%&'*+-.^_`|~", b"0", b"X-Bellweir-Instance-Id")
VALUES = (
    b"",
    b"one",
    b"a: b",
    b":",
    b"\xa0x\x85",
    b"HTTP/1.1",
    b"1.1 HTTP/1.1",
    b"HTTP/1.1 20",
    b"HTTP/1.1 x200",
    b'"a, b;c=\\"d"',
    b"\xe9\xff\x80",
    b"a\t b",
    b",,",
    b"5",
    b"200 OK",
)
BODIES = (b"", b"x", b"0123456789" * 8, b"a\r\n\r\nb", b"0\r\n\r\n", b"5\r\nhello\r\n", b"\n\n")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
EXTENSIONS = (b"", b"", b"", b";last", b" ;a=b", b';a="b c"', b" ")
TRAILERS = (b"", b"", b"Digest: one\r\n", b"Server-Timing: a;dur=1\nX:\n")
ODD_BYTES = b"\r\n \t:;,\0HTP/1.0\xff\xa0\x85"
NAMES_UNFOLDED = {
    b"X-Bellweir-Attempt-Id",
    b"Content-Length",
    b"Transfer-Encoding",
    b"transfer-encoding",
}


@dataclass(frozen=True)
class DrawnAnswer:
    """An answer as its peer sends it."""

    status: int
    lines: tuple[bytes, ...]
    """Status line and field lines, each with its end; a folded field is one."""
    head_end: bytes
    fields: tuple[tuple[str, str], ...]
    body: bytes
    sent_body: bytes
    interim: bytes
    opaque: tuple[range, ...]
    """Where bytes stand in `sent_body` that may be any."""

    @property
    def head(self) -> bytes:
        return self.interim + b"".join(self.lines) + self.head_end

    @property
    def sent(self) -> bytes:
        return self.head + self.sent_body


@dataclass(frozen=True)
class Stream:
    """Bytes that a connection brings before it ends."""

    data: bytes
    answers: tuple[DrawnAnswer, ...] | None = None
    """What alone may be taken for an answer, by the way that the bytes were made; None leaves it
    to the oracle alone."""
    must_be_taken: bool = False


class Segments(io.RawIOBase):
    """Bytes as they arrive, one segment with each read."""

    def __init__(self, segments: Iterator[bytes], note: Callable[[], None]) -> None:
        self._segments = segments
        self._pending = b""
        self._note = note
        self.arrived = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int:
        self._note()
        while not self._pending:
            try:
                self._pending = next(self._segments)
            except StopIteration:
                return 0
        length = min(len(buffer), len(self._pending))
        buffer[:length] = self._pending[:length]
        self._pending = self._pending[length:]
        self.arrived += length
        return length


class SegmentConnection:
    """A connection of given segments."""

    def __init__(self, segments: Iterator[bytes]) -> None:
        self.most_held = 0
        self.reader: AnswerReader | None = None
        self.file = Segments(segments, self._note)

    def makefile(self, mode: str, buffering: int) -> io.RawIOBase:
        assert (mode, buffering) == ("rb", 0)
        return self.file

    def _note(self) -> None:
        if self.reader is not None:
            self.most_held = max(self.most_held, len(self.reader._buffer))


def read(
    segments: Iterator[bytes], method: str = "GET"
) -> WholeAnswer | type[OSError] | type[http.client.HTTPException]:
    """Read an answer; returns the error's type where what arrived is taken for none."""
    connection = SegmentConnection(segments)
    reader = AnswerReader(connection, method, ONE_VALUE_FIELDS)
    connection.reader = reader
    body = bytearray()
    try:
        reader.begin()
        while block := reader.read_block():
            body += block
    except (OSError, http.client.HTTPException) as failure:
        assert not reader.is_whole
        return type(failure)
    finally:
        assert connection.most_held <= MOST_HELD_BYTES, connection.most_held
    assert reader.is_whole
    assert not reader.read_block()
    assert reader.isclosed()
    used = connection.file.arrived - len(reader._buffer)
    assert reader.has_surplus == (used < connection.file.arrived)
    return WholeAnswer(reader.head.status, tuple(reader.head.fields), bytes(body), used)


def expected(data: bytes, method: str = "GET") -> WholeAnswer | None:
    try:
        return whole_answer(data, method)
    except NoAnswerError:
        return None


def check(stream: Stream, rng: Random, method: str = "GET") -> None:
    """Read a stream at once and in drawn segments; raises `AssertionError`."""
    wanted = expected(stream.data, method)
    found = read(iter((stream.data,)), method)
    taken = found if isinstance(found, WholeAnswer) else None
    assert taken == wanted, f"taken: {found}, sent: {wanted}, {shown(stream, method)}"
    segments = split(stream.data, rng)
    in_segments = read(iter(segments), method)
    assert in_segments == found, f"{found} at once, {in_segments} in {segments}"
    if taken is None:
        assert not stream.must_be_taken, f"refused, {shown(stream, method)}"
    elif stream.answers is not None:
        sent = [(one.status, one.fields, one.body) for one in stream.answers]
        is_sent = (taken.status, taken.fields, taken.body) in sent
        assert is_sent, f"taken: {taken}, {shown(stream, method)}"


def shown(stream: Stream, method: str) -> str:
    return f"{method}, by {stream.data[:SHOWN_BYTES]!r}"


def split(data: bytes, rng: Random) -> list[bytes]:
    """Cut into segments at drawn places; sometimes everywhere within one stretch."""
    if not data:
        return []
    places = {rng.randrange(len(data)) for _ in range(rng.randrange(4))}
    begin = rng.randrange(len(data))
    places.update(range(begin, min(len(data), begin + rng.choice((0, 0, 8, 40)))))
    bounds = [0, *sorted(places), len(data)]
    return [data[low:high] for low, high in itertools.pairwise(bounds)]


def draw_answer(rng: Random, request_id: bytes, framing: str | None = None) -> DrawnAnswer:
    """Draw a whole answer, sometimes of a given framing; its id also stands in its stamp."""
    status = rng.choice(STATUSES if framing is None else STATUSES_WITH_BODY)
    framing = framing or rng.choice(FRAMINGS)
    ends = LINE_ENDS if rng.random() < 0.3 else (rng.choice(LINE_ENDS),)
    pairs = [
        (b"X-Bellweir-Attempt-Id", request_id),
        (b"X-Bellweir-Server-Stamp", b"signed." + request_id),
    ]
    if rng.random() < 0.5:
        pairs.append((b"Content-Type", rng.choice((b"text/plain", b"text/event-stream"))))
    if rng.random() < 0.3:
        pairs.append((b"X-Bellweir-Weight-Versions", b"%d" % rng.randrange(5)))
    pairs += [(rng.choice(NAMES), rng.choice(VALUES)) for _ in range(rng.randrange(3))]
    body, framing_fields, sent_body, opaque = draw_body(rng, status, framing)
    pairs += framing_fields
    if rng.random() < 0.5:
        rng.shuffle(pairs)
    lines, fields = [], []
    for name, value in pairs:
        line, field = draw_line(rng, name, value, rng.choice(ends))
        lines.append(line)
        fields.append(field)
    reason, end = rng.choice(REASONS), rng.choice(ends)
    first = b"HTTP/1.1 %d%s%s" % (status, reason, end)
    return DrawnAnswer(
        status,
        (first, *lines),
        rng.choice(ends),
        tuple(fields),
        body,
        sent_body,
        INTERIM if rng.random() < 0.05 else b"",
        opaque,
    )


def draw_body(rng: Random, status: int, framing: str):
    """Draw a body; returns it, its fields, its bytes as sent, and which of these may be any."""
    if status in (204, 304):
        return b"", [], b"", ()
    body = rng.choice(BODIES)
    if framing == "length":
        return body, [(b"Content-Length", b"%d" % len(body))], body, (range(len(body)),)
    if framing == "connection":
        return body, [], body, (range(len(body) + 1),)
    pieces = [body, rng.choice(BODIES)]
    sent, opaque = b"", []
    for piece in filter(None, pieces):
        sent += b"%x%s\r\n" % (len(piece), rng.choice(EXTENSIONS))
        opaque.append(range(len(sent), len(sent) + len(piece)))
        sent += piece + rng.choice(LINE_ENDS)
    sent += b"0%s\r\n%s\r\n" % (rng.choice(EXTENSIONS), rng.choice(TRAILERS))
    coding = (rng.choice((b"Transfer-Encoding", b"transfer-encoding")), b"chunked")
    return b"".join(pieces), [coding], sent, tuple(opaque)


def draw_line(rng: Random, name: bytes, value: bytes, end: bytes):
    """Draw how a field stands in its head; returns the line and what it says."""
    text = value.decode("latin-1")
    before, behind = rng.choice((b" ", b" ", b"", b"\t ")), rng.choice((b"", b"", b" "))
    line = name + b":" + before + value + behind + end
    if name not in NAMES_UNFOLDED and rng.random() < 0.05:
        line += rng.choice((b" ", b"\t ")) + b"folded" + end
        text = f"{text} folded".strip(" ")
    return line, (name.decode("ascii"), text)


def draw_pair(rng: Random) -> tuple[DrawnAnswer, DrawnAnswer]:
    first, second = rng.sample(range(1 << 16), 2)
    return draw_answer(rng, b"%04x" % first), draw_answer(rng, b"%04x" % second)


def whole_ones(rng: Random) -> Iterator[Stream]:
    """One whole answer, and one with another behind it."""
    first, second = draw_pair(rng)
    is_framed = not first.opaque or first.opaque[-1].stop <= len(first.sent_body)
    yield Stream(first.sent, (first,), must_be_taken=True)
    if is_framed:
        yield Stream(first.sent + second.sent, (first,), must_be_taken=True)


def joined_heads(rng: Random) -> Iterator[Stream]:
    """The beginning of a head before a whole answer.

    A head that is whole is left out: the bytes of the second answer may be its body.
    """
    first, second = draw_pair(rng)
    yield Stream(second.sent, (second,), must_be_taken=True)
    for cut in {rng.randrange(1, len(first.head)) for _ in range(CUTS)}:
        is_interim = bool(first.interim) and cut == len(first.interim)
        yield Stream(first.head[:cut] + second.sent, (second,) if is_interim else ())


def changed_fields(rng: Random) -> Iterator[Stream]:
    """Fields that are repeated, swapped between two answers, moved, or removed.

    One that is swapped or removed leaves a head that may be one answer's: the oracle alone judges.
    """
    first, second = draw_pair(rng)
    place = rng.randrange(1, len(first.lines) + 1)
    at = rng.randrange(len(second.fields))
    name, value = second.fields[at]
    is_contradiction = name.lower() in ONE_VALUE_FIELDS and any(
        key.lower() == name.lower() and other != value for key, other in first.fields
    )
    added = with_lines(first, [*first.lines[:place], second.lines[at + 1], *first.lines[place:]])
    yield Stream(added.sent, () if is_contradiction else None)
    own = rng.randrange(1, len(first.lines))
    others = [line for number, line in enumerate(first.lines) if number != own]
    yield Stream(with_lines(first, others).sent)
    yield Stream(with_lines(first, [*others, second.lines[at + 1]]).sent)
    swapped = [second.lines[0], *first.lines[1:]]
    yield Stream(with_lines(first, swapped).sent)
    yield Stream(with_lines(first, [*first.lines, second.lines[0]]).sent, ())
    key, old = first.fields[own - 1]
    if key.lower() in ONE_VALUE_FIELDS:
        changed = b"%s: %s0\r\n" % (key.encode(), old.encode("latin-1"))
        repeated = [*first.lines[:place], changed, *first.lines[place:]]
        yield Stream(with_lines(first, repeated).sent, ())


def with_lines(answer: DrawnAnswer, lines) -> DrawnAnswer:
    return replace(answer, lines=tuple(lines))


def changed_bytes(rng: Random) -> Iterator[Stream]:
    """Bytes that are flipped, inserted, deleted, or sent twice.

    The result may be another answer that is whole: the oracle alone judges.
    """
    first, second = draw_pair(rng)
    data = first.sent + rng.choice((b"", second.sent))
    for _ in range(CUTS):
        yield Stream(changed(data, rng))


def changed(data: bytes, rng: Random) -> bytes:
    for _ in range(rng.choice((1, 1, 2, 4))):
        at = rng.randrange(len(data) + 1)
        new = bytes([rng.choice(ODD_BYTES) if rng.random() < 0.6 else rng.randrange(256)])
        kind = rng.randrange(4)
        if kind == 0:
            data = data[:at] + new + data[at + 1 :]
        elif kind == 1:
            data = data[:at] + new + data[at:]
        elif kind == 2:
            data = data[:at] + data[at + rng.randrange(1, 4) :]
        else:
            data = data[:at] + data[max(0, at - rng.randrange(1, 40)) :]
    return data


def both_cut(rng: Random) -> Iterator[Stream]:
    """The beginning of a head before a piece of another answer.

    Without the second one's status line, and with no field in both, such a head may be one
    answer's: only those with both ids, or a whole status line in their midst, have to be refused.
    """
    first, second = draw_pair(rng)
    for _ in range(CUTS):
        cut, begin = rng.randrange(1, len(first.head)), rng.randrange(len(second.head))
        end = rng.randrange(begin, len(second.sent) + 1)
        joined = behind_join(first.head[:cut], second.head[begin:end])
        has_both = has_id(first, first.head[:cut]) and has_id(second, joined)
        is_behind_interim = bool(first.interim) and cut == len(first.interim)
        is_refused = has_both or (begin == 0 and not is_behind_interim)
        third = draw_answer(rng, b"third") if rng.random() < 0.3 else None
        tail = b"" if third is None else third.sent
        yield Stream(first.head[:cut] + second.sent[begin:end] + tail, () if is_refused else None)


def behind_join(before: bytes, piece: bytes) -> bytes:
    """What of a piece belongs to the head that it continues, and two bytes before it."""
    joined = before[-2:] + piece
    ends = [at for at in (joined.find(b"\n\n"), joined.find(b"\n\r\n")) if at >= 0]
    return joined[: min(ends) + 1] if ends else joined


def has_id(answer: DrawnAnswer, piece: bytes) -> bool:
    """Whether the line with an answer's id stands in a piece as a line."""
    ids = [line for line in answer.lines if line.startswith(b"X-Bellweir-Attempt-Id:")]
    return any(b"\n" + line in piece for line in ids)


def changed_chunks(rng: Random) -> Iterator[Stream]:
    """Chunks that are cut, joined to another answer, or of other sizes.

    Where the cut lies within a chunk, the bytes behind it may be the rest of the chunk; so they may
    where a size is larger: the oracle alone judges.
    """
    first, second = draw_answer(rng, b"first", "chunks"), draw_answer(rng, b"second")
    for _ in range(6):
        cut = rng.randrange(len(first.sent_body))
        is_in_chunk = any(cut in one for one in first.opaque)
        beginning = first.head + first.sent_body[:cut]
        yield Stream(beginning, ())
        yield Stream(beginning + second.sent, None if is_in_chunk else ())
        yield Stream(beginning + second.sent_body)
    size = rng.choice(
        (b"0", b"1", b"3", b"50", b"51", b"ff", b"fffffffffffffff", b"-1", b"0x5", b"")
    )
    _, _, rest = first.sent_body.partition(b"\n")
    yield Stream(first.head + size + b"\r\n" + rest)
    yield Stream(first.head + changed(first.sent_body, rng))


def any_bytes(rng: Random) -> Iterator[Stream]:
    """Bytes of any kind, also behind the beginning of an answer."""
    length = rng.choice((0, 1, 5, 40, 200))
    noise = bytes(rng.getrandbits(8) for _ in range(length))
    words = (
        b"HTTP/1.1 200 OK",
        b"\r\n",
        b"\n",
        b"a:b",
        b"5",
        b"0",
        b":",
        b" ",
        b"\r",
        b"\0",
        b"100 ",
    )
    text = b"".join(rng.choice(words) for _ in range(rng.randrange(30)))
    first = draw_answer(rng, b"first")
    yield Stream(noise)
    yield Stream(text)
    yield Stream(b"HTTP/1.1 200 OK\r\n" + text)
    yield Stream(INTERIM + text)
    yield Stream(first.sent[: rng.randrange(len(first.sent) + 1)] + noise)


def long_ones(rng: Random) -> Iterator[Stream]:
    """Heads, lines and trailers about as long as may be, and many interim answers."""
    more, end = rng.choice((-1, 0, 1, 2, 40)), rng.choice((b"\r\n", b"\n"))
    kind = rng.randrange(4)
    if kind == 0:
        first = b"HTTP/1.1 204 No Content\r\nA:"
        yield Stream(first + b"a" * (LONGEST_HEAD - len(first) - 2 * len(end) + more) + 2 * end)
    elif kind == 1:
        line = b"1;" + b"a" * (LONGEST_CHUNK_LINE - 2 + more)
        yield Stream(CHUNKED + line + end + b"x\r\n0\r\n\r\n")
    elif kind == 2:
        half = LONGEST_HEAD // 2
        trailer = b"A:" + b"a" * half + end + b"B:" + b"b" * (half - 4 + more) + end
        yield Stream(CHUNKED + b"0\r\n" + trailer + end)
    else:
        yield Stream(INTERIM * (MOST_INTERIM + more) + b"HTTP/1.1 204 No Content\r\n\r\n")


def endless(rng: Random) -> Iterator[bytes]:
    """Bytes without end that are no whole answer: one piece again and again."""
    beginnings = (
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK",
        INTERIM,
        CHUNKED + b"0\r\n",
        CHUNKED,
    )
    pieces = (b"a", b"A: b\r\n", b" a\n", b"1;", b"\xff", b"\0", b" ", INTERIM, b"HTTP/1.1 ", b"0")
    beginning, piece = rng.choice(beginnings), rng.choice(pieces)
    block = piece * rng.choice((1, 7, 1000))
    yield beginning
    while True:
        yield block


KINDS: dict[str, Callable[[Random], Iterator[Stream]]] = {
    "whole answers": whole_ones,
    "a head that is cut before a whole answer": joined_heads,
    "fields that are repeated, swapped or removed": changed_fields,
    "bytes that are changed, added or missing": changed_bytes,
    "two answers that are both cut": both_cut,
    "chunks that are cut, joined or resized": changed_chunks,
    "any bytes at all": any_bytes,
    "heads and lines about as long as may be": long_ones,
}
