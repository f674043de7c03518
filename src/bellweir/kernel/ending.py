"""The wish of a service that the process ends, since it can't go on as it is."""

import threading
from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.kernel.log_events import PROCESS_GIVES_UP

EXIT_GIVEN_UP = 1
"""Exit code of a process that ended for this: whoever supervises it starts it again."""


class Ending:
    """Whether the process is to end, and why; whoever runs the node listens. Safe for threads.

    A service asks when what it holds in memory can't be trusted or kept any more. The process then
    ends as at a planned stop, but with an exit code that tells its supervisor to start it again.

    >>> ending = Ending()
    >>> ending.cause is None
    True
    """

    __slots__ = ("_cause", "_listener", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cause: str | None = None
        self._listener: Callable[[], None] = lambda: None

    @property
    def cause(self) -> str | None:
        """Why the process is to end; None while it may go on."""
        return self._cause

    def listen(self, listener: Callable[[], None]) -> None:
        """Have `listener` called when the end is asked for, from the thread that asks."""
        with self._lock:
            self._listener = listener
            is_asked = self._cause is not None
        if is_asked:
            listener()

    def ask(self, cause: str) -> None:
        """Ask for the end; the first cause stands."""
        with self._lock:
            if self._cause is not None:
                return
            self._cause = cause
            listener = self._listener
        emit(PROCESS_GIVES_UP, cause=cause)
        listener()
