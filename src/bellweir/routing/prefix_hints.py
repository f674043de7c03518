"""Reads cache events of owned engines and sends them to subscribers at a bounded rate."""

import array
import threading
from collections.abc import Callable

from bellweir.clients.interface import Engine
from bellweir.routing.cache_events import CacheEventReader, PrefixChange
from bellweir.routing.messages import PushPrefixes
from bellweir.routing.prefix_index import PrefixIndex

MAX_HINT_BYTES_PER_S = 1024
"""Rate limit of an owner; the oldest blocks above it are dropped."""
BLOCK_BYTES = 4

SendHints = Callable[[str, PushPrefixes], bool]


class PrefixHints:
    """Maintains the node's prefix index from its own engines and other owners; thread-safe."""

    def __init__(self, send: SendHints, period_s: float) -> None:
        self.index = PrefixIndex()
        self._send = send
        self._period_s = period_s
        self._lock = threading.Lock()
        self._readers: dict[str, CacheEventReader] = {}
        self._routed: set[str] = set()

    def read(self, worker: str, engine: Engine, now_s: float, subscribers: list[str]) -> None:
        """Read an owned engine's events; one call at a time per engine."""
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
        """Apply the hints of an owner to the index."""
        added, removed = _unpack(message.added), _unpack(message.removed)
        self._apply(message.worker, message.reset, added, removed)

    def retain(self, routed: set[str], known: set[str]) -> None:
        """Drop the hints of engines outside `routed` and the readers of engines outside `known`."""
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
        blocks_per_message = (
            MAX_HINT_BYTES_PER_S * self._period_s / subscribers / engines / BLOCK_BYTES
        )
        max_blocks = max(1, int(blocks_per_message))
        added = change.added[-max_blocks:]
        removed = change.removed[: max(0, max_blocks - len(added))]
        return PushPrefixes(worker, change.reset, _pack(added), _pack(removed))


def _pack(blocks: tuple[int, ...]) -> bytes:
    return array.array("I", blocks).tobytes()


def _unpack(data: bytes) -> tuple[int, ...]:
    blocks = array.array("I")
    blocks.frombytes(data[: len(data) // BLOCK_BYTES * BLOCK_BYTES])
    return tuple(blocks)
