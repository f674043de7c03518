"""Answers that a worker breaks on purpose: cut, doubled, with contradictory framing, endless.

A worker writes an answer through an `AnswerTap`, which passes its bytes on as an `AnswerBreak`
says. None of the breaks yields bytes that a strict reader takes for another whole answer to the
same request.
"""

import contextlib
import random
import re
import threading
import time
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

MOST_KEPT_ANSWERS = 20
LATEST_SURPLUS_S = 0.3
"""Longest time behind an answer after which surplus bytes follow."""
ENDLESS_BLOCK_BYTES = 64 * 1024
ENDLESS_PAUSE_S = 0.002
LONGEST_ENDLESS_S = 25.0
"""Longer than any time-out of a route."""
MOST_GARBAGE_BYTES = 3000
MOST_WRITES = 6
"""A body is cut in one of so many writes, the last one if it has fewer."""
HUGE_BYTES = 10**12
FRAMING_LINE = re.compile(rb"(?:Content-Length|Transfer-Encoding):[^\r]*\r\n")
LENGTH_LINE = re.compile(rb"Content-Length: (\d+)\r\n")
CHUNK_LINE = re.compile(rb"([0-9a-f]+)\r\n")


class BrokenOffError(ConnectionError):
    """The worker ends the connection on purpose."""


class AnswerWire:
    """What a break writes to: the connection, and what the worker answered earlier."""

    __slots__ = ("_handler", "_write", "earlier")

    def __init__(self, handler: Any, earlier: list[bytes]) -> None:
        self._handler = handler
        self._write = handler.wfile
        self.earlier = earlier
        """Whole answers to other requests."""

    def send(self, data: bytes) -> None:
        """Send bytes at once."""
        self._write.write(data)
        self._write.flush()

    def break_off(self, *, by_reset: bool) -> None:
        """End the connection. Raises `BrokenOffError`."""
        self._handler.close_connection = True
        if by_reset:
            self._handler.reset()
        raise BrokenOffError

    def send_endlessly(self, block: bytes) -> None:
        """Send a block again and again until the caller closes. Raises `ConnectionError`."""
        until_s = time.monotonic() + LONGEST_ENDLESS_S
        while time.monotonic() < until_s:
            self.send(block)
            time.sleep(ENDLESS_PAUSE_S)
        self.break_off(by_reset=True)


class AnswerBreak(ABC):
    """One way to break an answer, drawn when it is made."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = random.Random(chance.getrandbits(32))
        self.by_reset = self.chance.random() < 0.5

    @property
    def name(self) -> str:
        """Name in the soak's notes."""
        return type(self).__name__

    @abstractmethod
    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the head."""

    def body(self, wire: AnswerWire, data: bytes) -> None:
        """Send a part of the body as the worker writes it."""
        wire.send(data)

    def surplus(self, answer: bytes) -> bytes:
        """Return what follows behind the answer."""
        return b""

    def part(self, data: bytes) -> bytes:
        """Return the beginning of some bytes up to a drawn one, never all of them."""
        return data[: self.chance.randrange(len(data))] if data else b""

    def garbage(self) -> bytes:
        """Return drawn bytes; some begin like an answer."""
        noise = self.chance.randbytes(self.chance.randint(1, MOST_GARBAGE_BYTES))
        beginning = self.chance.choice((b"", b"\r\n", b"HTTP/1.1 ", b"HTTP/1.1 200 OK\r\n", b"\n"))
        return beginning + noise


class CutHead(AnswerBreak):
    """The connection ends in the head."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send a part of the head."""
        wire.send(self.part(head))
        wire.break_off(by_reset=self.by_reset)


class CutBody(AnswerBreak):
    """The connection ends in the body."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self._whole_writes = self.chance.randrange(MOST_WRITES)

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the whole head."""
        if LENGTH_LINE.search(head):
            self._whole_writes = 0
        wire.send(head)

    def body(self, wire: AnswerWire, data: bytes) -> None:
        """Send the body up to the cut."""
        if self._whole_writes and not data.startswith(b"0\r\n"):
            self._whole_writes -= 1
            wire.send(data)
            return
        wire.send(self.part(data))
        wire.break_off(by_reset=self.by_reset)


class SurplusBefore(AnswerBreak):
    """The beginning of an earlier answer comes before the answer that is due."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send both, together or one after the other."""
        before = self.part(self.chance.choice(wire.earlier)) if wire.earlier else self.garbage()
        if self.chance.random() < 0.5:
            wire.send(before + head)
        else:
            wire.send(before)
            wire.send(head)


class SurplusBehind(AnswerBreak):
    """More bytes or a copy of the answer come behind it, at once or late."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.late_s = self.chance.choice((0.0, self.chance.uniform(0.0, LATEST_SURPLUS_S)))

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the whole head."""
        wire.send(head)

    def surplus(self, answer: bytes) -> bytes:
        """Return a copy, a part of it, or other bytes."""
        return self.chance.choice((lambda: answer, lambda: self.part(answer), self.garbage))()


class ContradictoryFraming(AnswerBreak):
    """The head has two lengths, or a length beside chunks."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the head with one framing field more, before or behind its own."""
        found = LENGTH_LINE.search(head)
        more = b"Content-Length: %d\r\n" % self.chance.randint(0, 2000)
        if found is not None:
            other = int(found[1]) + self.chance.choice((-3, -1, 1, 7, 5000))
            length = b"Content-Length: %d\r\n" % max(0, other)
            more = self.chance.choice((length, b"Transfer-Encoding: chunked\r\n"))
        at = head.index(b"\r\n") + 2 if self.chance.random() < 0.5 else len(head) - 2
        wire.send(head[:at] + more + head[at:])


class BrokenChunk(AnswerBreak):
    """A chunk has a size that is no number or not its own; a body with a length is cut."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self._whole_chunks = self.chance.randrange(MOST_WRITES)

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the whole head."""
        wire.send(head)

    def body(self, wire: AnswerWire, data: bytes) -> None:
        """Send the body, one of its chunks with another size."""
        found = CHUNK_LINE.match(data)
        if found is None:
            wire.send(self.part(data))
            wire.break_off(by_reset=self.by_reset)
            return
        self._whole_chunks -= 1
        if self._whole_chunks == -1:
            data = self._size(int(found[1], 16)) + b"\r\n" + data[found.end() :]
        wire.send(data)

    def _size(self, size: int) -> bytes:
        if not size:
            return b"0x"
        sizes = (b"%x" % max(1, size - self.chance.randint(1, 9)), b"%x" % (size + 2))
        return self.chance.choice((*sizes, b"", b"-5", b"0x%x" % size, b"%x %x" % (size, size)))


class Garbage(AnswerBreak):
    """Bytes that are no answer."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send some and end the connection."""
        wire.send(self.garbage())
        wire.break_off(by_reset=self.by_reset)


class EndlessHead(AnswerBreak):
    """A head without end."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send fields, or one long one, until the caller closes."""
        wire.send(head[:-2])
        lines = b"X-More: more\r\n" * (ENDLESS_BLOCK_BYTES // 14)
        wire.send_endlessly(self.chance.choice((lines, b"x" * ENDLESS_BLOCK_BYTES)))


class EndlessBody(AnswerBreak):
    """A body without end: of a huge length, in chunks, or until the connection ends."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the head with a framing that fits, then bytes until the caller closes."""
        block = b"x" * ENDLESS_BLOCK_BYTES
        chunk = b"%x\r\n%s\r\n" % (len(block), block)
        huge = b"Content-Length: %d\r\n" % HUGE_BYTES
        chunked = b"Transfer-Encoding: chunked\r\n"
        framing, block = self.chance.choice(((huge, block), (chunked, chunk), (b"", block)))
        wire.send(FRAMING_LINE.sub(b"", head)[:-2] + framing + b"\r\n")
        wire.send_endlessly(block)


class UntilClose(AnswerBreak):
    """A body without a length is reset before its end; one in chunks is cut."""

    def head(self, wire: AnswerWire, head: bytes) -> None:
        """Send the head without a length, unless there is no body."""
        found = LENGTH_LINE.search(head)
        has_body = found is not None and int(found[1]) > 0
        wire.send(LENGTH_LINE.sub(b"Connection: close\r\n", head) if has_body else head)

    def body(self, wire: AnswerWire, data: bytes) -> None:
        """Send a part of the body and reset the connection."""
        wire.send(self.part(data))
        wire.break_off(by_reset=True)


BREAKS: tuple[type[AnswerBreak], ...] = (
    CutHead,
    CutBody,
    SurplusBefore,
    SurplusBefore,
    SurplusBehind,
    SurplusBehind,
    ContradictoryFraming,
    BrokenChunk,
    Garbage,
    EndlessHead,
    EndlessBody,
    UntilClose,
)


class LateSurplus:
    """Surplus bytes of one connection that follow late, but never amid another answer."""

    __slots__ = ("_lock", "_pending", "_write", "has_surplus")

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self._lock = threading.Lock()
        self._pending = b""
        self._write = write
        self.has_surplus = False
        """Whether there were any on this connection."""

    def put(self, data: bytes, late_s: float) -> None:
        """Send bytes so much later, or right before the next answer."""
        self.has_surplus = True
        with self._lock:
            self._pending = data
        if not late_s:
            self.send()
            return
        later = threading.Timer(late_s, self.send)
        later.daemon = True
        later.start()

    def send(self) -> None:
        """Send what is left of them."""
        with self._lock, contextlib.suppress(OSError, ValueError):
            data, self._pending = self._pending, b""
            if data:
                self._write(data)


class AnswerTap:
    """What a worker writes one answer to; the first write is the head."""

    __slots__ = ("_break", "_chance", "_wire", "answer")

    def __init__(
        self, wire: AnswerWire, broken: AnswerBreak | None, chance: random.Random | None
    ) -> None:
        """`chance` draws the order of the head's fields."""
        self._wire = wire
        self._break = broken
        self._chance = chance
        self.answer = b""
        """What the worker wrote."""

    def write(self, data: bytes) -> int:
        """Pass bytes on, as the break says."""
        length, is_head = len(data), not self.answer
        if is_head and self._chance is not None:
            data = _shuffled(data, self._chance)
        self.answer += data
        if self._break is None:
            self._wire.send(data)
        elif is_head:
            self._break.head(self._wire, data)
        elif data:
            self._break.body(self._wire, data)
        return length

    def flush(self) -> None:
        """Do nothing: all is sent at once."""


def _shuffled(head: bytes, chance: random.Random) -> bytes:
    """Return a head with its fields in another order."""
    first, *fields = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    chance.shuffle(fields)
    return b"\r\n".join((first, *fields)) + b"\r\n\r\n"


class AnswerBreaker:
    """Breaks a share of one worker's answers while it is told to. Thread-safe."""

    def __init__(self) -> None:
        self.broken: Counter[str] = Counter()
        """Broken answers by kind."""
        self.broken_ids: dict[str, list[str]] = {}
        """Kinds by request whose answers were broken, or came behind surplus bytes."""
        self._share = 0.0
        self._chance = random.Random(0)
        self._lock = threading.Lock()
        self._earlier: deque[tuple[str, bytes]] = deque(maxlen=MOST_KEPT_ANSWERS)

    def begin(self, share: float, chance: random.Random) -> None:
        """Break a share of the answers from now on."""
        with self._lock:
            self._share, self._chance = share, chance

    def end(self) -> None:
        """Break no more."""
        with self._lock:
            self._share = 0.0

    @contextlib.contextmanager
    def answering(self, handler: Any, request_id: str) -> Iterator[None]:
        """Have the answer that is written within pass through a tap."""
        plain = handler.wfile
        late = self._late_of(handler)
        broken = self._draw(request_id, is_behind=late.has_surplus)
        with self._lock:
            earlier = [answer for of, answer in self._earlier if of != request_id]
            order = random.Random(self._chance.getrandbits(32)) if self._share else None
        tap = AnswerTap(AnswerWire(handler, earlier), broken, order)
        handler.wfile = tap
        try:
            with contextlib.suppress(BrokenOffError):
                yield
                with self._lock:
                    self._earlier.append((request_id, tap.answer))
                surplus = broken.surplus(tap.answer) if broken is not None else b""
                if surplus:
                    late.put(surplus, getattr(broken, "late_s", 0.0))
        except BaseException:
            handler.close_connection = True
            raise
        finally:
            handler.wfile = plain

    def send_late(self, handler: Any) -> None:
        """Send what is left of surplus bytes, before the answer that is due."""
        self._late_of(handler).send()

    def _late_of(self, handler: Any) -> LateSurplus:
        late = getattr(handler, "late_surplus", None)
        if late is None:
            late = handler.late_surplus = LateSurplus(AnswerWire(handler, []).send)
        found: LateSurplus = late
        return found

    def _draw(self, request_id: str, *, is_behind: bool) -> AnswerBreak | None:
        with self._lock:
            if is_behind:
                self.broken_ids.setdefault(request_id, []).append("behind surplus")
            if self._chance.random() >= self._share:
                return None
            broken = self._chance.choice(BREAKS)(self._chance)
            self.broken[broken.name] += 1
            self.broken_ids.setdefault(request_id, []).append(broken.name)
            return broken
