"""Bounds the memory that a process uses for answers while it reads them."""

import threading

from bellweir.clients.answer_head import MalformedAnswerError

DEFAULT_TOTAL_BYTES = 64 << 20
FREE_BYTES = 256 * 1024
"""Length up to which an answer is read whatever the others hold."""


class AnswerTooLongError(MalformedAnswerError):
    """An answer needs more memory than is left for answers."""


class AnswerMemory:
    """Bytes that all answers of a process may hold together. Thread-safe.

    An answer takes what it holds beyond `FREE_BYTES` from the total. One that finds too little left
    fails, so that answers without end harm neither the process nor short answers beside them.

    >>> memory = AnswerMemory(1 << 20)
    >>> one, other = AnswerHolding(memory), AnswerHolding(memory)
    >>> one.resize(1_000_000)
    >>> memory.held_bytes
    737856
    >>> other.resize(1_000_000)
    Traceback (most recent call last):
      ...
    bellweir.clients.answer_memory.AnswerTooLongError: 1000000 bytes, 310720 left for answers
    >>> one.release()
    >>> other.resize(1_000_000)
    """

    __slots__ = ("_held_bytes", "_lock", "total_bytes")

    def __init__(self, total_bytes: int = DEFAULT_TOTAL_BYTES) -> None:
        self.total_bytes = total_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes of the total that answers hold now."""
        return self._held_bytes

    def change(self, held: int, wanted: int) -> None:
        """Let an answer hold `wanted` bytes of the total in place of `held`.

        Raises `AnswerTooLongError` if too few are left.
        """
        with self._lock:
            left = self.total_bytes - self._held_bytes + held
            if wanted > left:
                raise AnswerTooLongError(f"{wanted + FREE_BYTES} bytes, {left} left for answers")
            self._held_bytes += wanted - held


PROCESS_MEMORY = AnswerMemory()
"""That of all calls of this process whose pools have none of their own."""


class AnswerHolding:
    """What one answer holds; for one thread at a time."""

    __slots__ = ("_held", "_memory")

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._held = 0

    def resize(self, length: int) -> None:
        """Hold an answer of which `length` bytes are kept; raises `AnswerTooLongError`."""
        wanted = max(0, length - FREE_BYTES)
        if wanted != self._held:
            self._memory.change(self._held, wanted)
            self._held = wanted

    def check_declared(self, length: int) -> None:
        """Raise `AnswerTooLongError` for a length that all of the memory would not do for."""
        if length > self._memory.total_bytes + FREE_BYTES:
            raise AnswerTooLongError(
                f"{length} bytes declared, {self._memory.total_bytes} for all answers"
            )

    def release(self) -> None:
        """Hold nothing more."""
        self.resize(0)
