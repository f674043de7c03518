"""The loop that watches all connections: epoll in place of waitress's poll.

waitress asks every connection at every turn whether it wants to read or write, which costs two
calls a connection and turn, streams that only write included. Here a connection is asked again
only after an event of its own, or after its request thread says that it needs the loop.
"""

import select
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

from waitress import wasyncore


class WatchedSockets(dict[int, Any]):
    """waitress's map of open sockets; tells the loop what was added and removed."""

    def __init__(self) -> None:
        super().__init__()
        self.changed: deque[int] = deque()
        self.interest: dict[int, int] = {}
        """Events that epoll reports now, by file number."""

    def __setitem__(self, number: int, watched: Any) -> None:
        super().__setitem__(number, watched)
        self.changed.append(number)

    def __delitem__(self, number: int) -> None:
        # The socket is closed right after this, which takes it out of epoll; its number may come
        # back with the next connection.
        super().__delitem__(number)
        self.interest.pop(number, None)


class ConnectionLoop:
    """Runs the events of a map of sockets on one thread."""

    def __init__(
        self, sockets: WatchedSockets, wake: Callable[[], None], full_look_period_s: float
    ) -> None:
        """All sockets are asked again after each `full_look_period_s`.

        The listening one then does the server's maintenance.
        """
        self._sockets = sockets
        self._wake = wake
        self._full_look_period_s = full_look_period_s
        self._wake_pending = False
        self._epoll = select.epoll()

    def ask_again(self, number: int) -> None:
        """Have the loop look at one socket again; from any thread."""
        self._sockets.changed.append(number)
        if not self._wake_pending:
            # Cleared by the loop before it takes from `changed`, so that an entry made after
            # that wakes it once more.
            self._wake_pending = True
            self._wake()

    def run(self, ended: threading.Event, now_s: Callable[[], float]) -> None:
        """Serve events until `ended` is set and the loop is woken."""
        next_full_look_s = now_s()
        try:
            while not ended.is_set():
                if now_s() >= next_full_look_s:
                    self._sockets.changed.extend(list(self._sockets))
                    next_full_look_s = now_s() + self._full_look_period_s
                self._turn(max(0.0, next_full_look_s - now_s()))
        finally:
            self._epoll.close()

    def _turn(self, timeout_s: float) -> None:
        self._wake_pending = False
        changed = self._sockets.changed
        while changed:
            self._update(changed.popleft())
        for number, events in self._epoll.poll(timeout_s):
            watched = self._sockets.get(number)
            if watched is not None:
                # The flags of epoll have the values of those of poll.
                wasyncore.readwrite(watched, events)
                changed.append(number)

    def _update(self, number: int) -> None:
        watched = self._sockets.get(number)
        if watched is None:
            return
        wanted = select.EPOLLIN if watched.readable() else 0
        if watched.writable() and not watched.accepting:
            wanted |= select.EPOLLOUT
        known = self._sockets.interest.get(number, 0)
        if wanted == known:
            return
        if not wanted:
            self._epoll.unregister(number)
            del self._sockets.interest[number]
            return
        if known:
            self._epoll.modify(number, wanted)
        else:
            self._epoll.register(number, wanted)
        self._sockets.interest[number] = wanted
