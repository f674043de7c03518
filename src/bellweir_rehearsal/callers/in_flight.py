"""How many calls each node has in hand, as its callers see it."""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Counts open calls by node; safe from several threads."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._open: Counter[str] = Counter()

    @contextmanager
    def call(self, node: str) -> Iterator[None]:
        """Count a call to the node while the block runs."""
        self._add(node, 1)
        try:
            yield
        finally:
            self._add(node, -1)

    def wait_for_calls(self, node: str, at_least: int, timeout_s: float) -> bool:
        """Wait until so many calls to the node are open; return whether they are."""
        with self._condition:
            return self._condition.wait_for(lambda: self._open[node] >= at_least, timeout_s)

    def _add(self, node: str, number: int) -> None:
        with self._condition:
            self._open[node] += number
            self._condition.notify_all()
