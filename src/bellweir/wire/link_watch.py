"""Looks at the connections that wait for something from their peers."""

import threading
from collections.abc import Callable, Iterable

from bellweir.kernel.clock import elapsed_s
from bellweir.wire.link_silence import SilenceBounds
from bellweir.wire.peer_link import PeerLink

REST_S = 2.0
"""Without a connection to look at, the watch wakes this often to see that the node stops."""


class LinkWatch:
    """One task for all connections that a node has opened; it rests while none waits."""

    def __init__(
        self,
        bounds: SilenceBounds,
        links: Callable[[], Iterable[PeerLink]],
        closing: threading.Event,
    ) -> None:
        self._bounds = bounds
        self._links = links
        self._closing = closing
        self._written = threading.Event()

    def wake(self) -> None:
        """Called when a connection is written to, and at the end."""
        if not self._written.is_set():
            self._written.set()

    def run(self, stopping: threading.Event) -> None:
        """Look at the connections until the node stops."""
        looked_s = elapsed_s()
        while not stopping.is_set() and not self._closing.is_set():
            self._written.clear()
            now_s = elapsed_s()
            # All links are looked at, so no generator.
            watched = [link.look(now_s - looked_s) for link in self._links()]
            looked_s = now_s
            if any(watched):
                self._closing.wait(self._bounds.look_period_s)
            else:
                self._written.wait(REST_S)
                looked_s = elapsed_s()
