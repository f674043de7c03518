"""Runs one stand-in as a process of its own until SIGTERM or SIGINT."""

import signal
import threading
from pathlib import Path

from bellweir_rehearsal.standins.base import Standin, write_ready_file

WAKE_PERIOD_S = 0.5


def run_until_signal(standin: Standin, ready_file: Path | None) -> None:
    """Start, write the ready file, wait for a signal, stop."""
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    standin.start()
    try:
        if ready_file is not None:
            write_ready_file(ready_file, standin.name, standin.address)
        while not ended.wait(WAKE_PERIOD_S):
            pass
    finally:
        standin.stop()
