"""Lets a stopped process pass for one of a suspended machine.

A process that SIGSTOP halts finds its steady clock gone on; one of a suspended machine does not.
The kit notes in a file for how long it halted the process, before it lets it go on, and the rig
takes that from the steady clock. Waits that are under way end as after a stop.
"""

import mmap
import struct
import time
from pathlib import Path

SECONDS = struct.Struct("<d")


def note_suspension(file: Path, seconds: float) -> None:
    """Add to the time for which a machine was suspended.

    The file is written in place, since the process has it mapped.
    """
    before_s = SECONDS.unpack(file.read_bytes())[0] if file.exists() else 0.0
    with file.open("r+b" if file.exists() else "wb") as opened:
        opened.write(SECONDS.pack(before_s + seconds))


class SuspensionRig:
    """`time.monotonic` less the seconds that stand in a file."""

    __slots__ = ("_clock_gettime", "_monotonic", "_suspended")

    def __init__(self, file: Path) -> None:
        """`file` holds what `note_suspension` wrote; it is made where it is missing."""
        if not file.exists():
            note_suspension(file, 0.0)
        with file.open("r+b") as opened:
            self._suspended = mmap.mmap(opened.fileno(), SECONDS.size)
        self._monotonic = time.monotonic
        self._clock_gettime = time.clock_gettime

    def install(self) -> None:
        """Replace the steady clock in this process; `CLOCK_BOOTTIME` stays as it is."""
        setattr(time, "monotonic", self.monotonic_s)  # noqa: B010
        setattr(time, "monotonic_ns", lambda: int(self.monotonic_s() * 1e9))  # noqa: B010
        setattr(time, "clock_gettime", self._read_s)  # noqa: B010

    def monotonic_s(self) -> float:
        """The steady clock as this process is to see it, in seconds."""
        return self._monotonic() - self._suspended_s()

    def _read_s(self, clock: int) -> float:
        read_s = self._clock_gettime(clock)
        return read_s - self._suspended_s() if clock == time.CLOCK_MONOTONIC else read_s

    def _suspended_s(self) -> float:
        return float(SECONDS.unpack_from(self._suspended)[0])
