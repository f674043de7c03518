"""What a soak tells at its end, in one line; and the memory of its processes."""

import os
from collections.abc import Iterable, Mapping, Sequence

import psutil

from bellweir_rehearsal.hosted.checks import Check

MOST_FAULTS = 3
MEGABYTE = 1_000_000


def memory_mb(processes: Iterable[int]) -> float:
    """Return the resident megabytes of processes by their ids, and of this one."""
    return sum(memory_of_mb(number) for number in (os.getpid(), *processes))


def memory_of_mb(process: int) -> float:
    """Return the resident megabytes of a process; 0 once it is gone."""
    try:
        found: int = psutil.Process(process).memory_info().rss
    except psutil.Error:
        return 0.0
    return found / MEGABYTE


class SoakReport:
    """The figures of one soak.

    >>> held = Check("it works")
    >>> held.expect(True, "a case")
    >>> report = SoakReport(4, 30.2, 11, 512.4, {"KillAll": 2}, [held], 6.04)
    >>> print(report.line())
    seed 4: 30 s, 11 processes, peak 512 MB; strikes: KillAll 2; held 1, broken 0; served again \
6.0 s after the last fault
    """

    __slots__ = ("_checks", "_peak_mb", "_processes", "_seconds", "_seed", "_served_s", "_strikes")

    def __init__(
        self,
        seed: int,
        seconds: float,
        processes: int,
        peak_mb: float,
        strikes: Mapping[str, int],
        checks: Sequence[Check],
        served_s: float | None,
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._processes = processes
        self._peak_mb = peak_mb
        self._strikes = strikes
        self._checks = checks
        self._served_s = served_s
        """Seconds from the last fault's end until the deployment served; None: it did not."""

    def line(self) -> str:
        """Return the whole report; the first faults of broken checks stand at its end."""
        strikes = ", ".join(f"{name} {count}" for name, count in sorted(self._strikes.items()))
        broken = [check for check in self._checks if not check.held]
        served = "never" if self._served_s is None else f"{self._served_s:.1f} s"
        parts = [
            f"{self._seconds:.0f} s, {self._processes} processes, peak {self._peak_mb:.0f} MB",
            f"strikes: {strikes}",
            f"held {len(self._checks) - len(broken)}, broken {len(broken)}",
            f"served again {served} after the last fault",
            *(f"BROKEN {check.name}: {_faults_of(check)}" for check in broken),
        ]
        return f"seed {self._seed}: " + "; ".join(parts)


def _faults_of(check: Check) -> str:
    if not check.checked:
        return "no case"
    return f"{len(check.faults)} of {check.checked}, " + " | ".join(check.faults[:MOST_FAULTS])
