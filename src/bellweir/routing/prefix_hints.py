"""Reads cache events of owned engines and tells subscribers, within a bound of bytes."""

import array
import threading
from collections.abc import Callable

from bellweir.clients.interface import Engine
from bellweir.routing.cache_events import CacheEventReader, PrefixChange
from bellweir.routing.messages import PushPrefixes
from bellweir.routing.prefix_index import PrefixIndex

HINT_BYTES_PER_S = 1024
"""Bound of what an owner sends on prefixes; what is above it is dropped, newest blocks first in."""
BLOCK_BYTES = 4

SendHints = Callable[[str, PushPrefixes], bool]


class PrefixHints:
    """The node's index, what it reads for it and what it passes on; thread-safe."""

    def __init__(self, send: SendHints, period_s: float) -> None:
        self.index = PrefixIndex()
        self._send = send
        self._period_s = period_s
        self._lock = threading.Lock()
        self._readers: dict[str, CacheEventReader] = {}
        self._routed: set[str] = set()

    def read(self, worker: str, engine: Engine, now_s: float, subscribers: list[str]) -> None:
        """Read an owned engine's events; called by one probe at a time for each engine."""
        with self._lock:
            reader = self._readers.setdefault(worker, CacheEventReader())
        change = reader.read(engine, now_s)
        if change is None:
            return
        self._apply(worker, change.reset, change.added, change.removed)
        if subscribers:
            message = self._message(worker, change, len(subscribers))
            for address in subscribers:
                self._send(address, message)

    def apply_message(self, message: PushPrefixes) -> None:
        """Take an owner's hints."""
        added, removed = _unpack(message.added), _unpack(message.removed)
        self._apply(message.worker, message.reset, added, removed)

    def retain(self, routed: set[str], known: set[str]) -> None:
        """Forget hints of engines not routed over, and readers of engines that are gone."""
        self._routed = routed
        self.index.retain(routed)
        with self._lock:
            self._readers = {name: found for name, found in self._readers.items() if name in known}

    def _apply(
        self, worker: str, reset: bool, added: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        if worker not in self._routed:
            return
        if reset:
            self.index.reset(worker)
        self.index.remove(worker, removed)
        self.index.add(worker, reversed(added))

    def _message(self, worker: str, change: PrefixChange, subscribers: int) -> PushPrefixes:
        engines = max(1, len(self._readers))
        share = HINT_BYTES_PER_S * self._period_s / subscribers / engines / BLOCK_BYTES
        room = max(1, int(share))
        added = change.added[-room:]
        removed = change.removed[: max(0, room - len(added))]
        return PushPrefixes(worker, change.reset, _pack(added), _pack(removed))


def _pack(blocks: tuple[int, ...]) -> bytes:
    return array.array("I", blocks).tobytes()


def _unpack(data: bytes) -> tuple[int, ...]:
    blocks = array.array("I")
    blocks.frombytes(data[: len(data) // BLOCK_BYTES * BLOCK_BYTES])
    return tuple(blocks)
