"""Hands signals to a task of their own, whichever thread the system delivers them to."""

import os
import signal
import threading
from collections.abc import Callable, Mapping
from types import FrameType

MAX_READ_BYTES = 64


class SignalInbox:
    """Calls a function for each signal, on the task that runs `run`.

    Python runs signal handlers on the main thread alone, once it executes code again. While
    another signal is pending there, the system delivers the next one to some other thread, which
    doesn't wake a main thread that waits. So each signal is also written to a pipe.
    """

    __slots__ = ("_actions", "_reader", "_writer")

    def __init__(self, actions: Mapping[int, Callable[[], None]]) -> None:
        """`actions` are the functions by signal number."""
        self._actions = dict(actions)
        self._reader, self._writer = os.pipe()

    def install(self) -> None:
        """Take the signals over; must be called by the main thread."""
        os.set_blocking(self._writer, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in self._actions:
            signal.signal(number, _ignore)

    def run(self, _stopping: threading.Event) -> None:
        """Call the functions until `close`."""
        while numbers := os.read(self._reader, MAX_READ_BYTES):
            for number in numbers:
                action = self._actions.get(number)
                if action is not None:
                    action()

    def close(self) -> None:
        """Take no more signals, and end the task; must be called by the main thread."""
        signal.set_wakeup_fd(-1)
        os.close(self._writer)


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Do nothing: the signal is in the pipe."""
