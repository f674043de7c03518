"""Lets a process's time of day differ from the true one by what a file says."""

import time
from pathlib import Path

READ_PERIOD_S = 0.05


class ClockRig:
    """`time.time` with an offset in seconds, which stands as text in a file.

    The file is read again at most every 50 ms; where it is missing the offset is 0, and what is no
    number changes nothing.
    The steady clock is left as it is.
    """

    __slots__ = ("_due_s", "_file", "_offset_s", "_plain")

    def __init__(self, file: Path) -> None:
        self._file = file
        self._plain = time.time
        self._offset_s = 0.0
        self._due_s = 0.0

    def install(self) -> None:
        """Replace `time.time` and `time.time_ns` in this process."""
        setattr(time, "time", self.time_s)  # noqa: B010
        setattr(time, "time_ns", lambda: int(self.time_s() * 1e9))  # noqa: B010

    def time_s(self) -> float:
        """The time of day as this process is to see it, in seconds."""
        now_s = time.monotonic()
        if now_s >= self._due_s:
            self._due_s = now_s + READ_PERIOD_S
            self._offset_s = self._read_s()
        return self._plain() + self._offset_s

    def _read_s(self) -> float:
        try:
            return float(self._file.read_text())
        except FileNotFoundError:
            return 0.0
        except ValueError:
            # Its writer is at it; what held before holds a little longer.
            return self._offset_s
