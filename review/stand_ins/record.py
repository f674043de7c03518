"""The record of a case: what was sent, answered and run, with times."""

import threading
from pathlib import Path

from bellweir.kernel.clock import elapsed_s


class Record:
    """Lines of `record.txt`, each with the seconds since the record began. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._began_s = elapsed_s()
        self._lines: list[str] = []
        self._path = path

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line; `at_s` is a time of `elapsed_s`, now without it."""
        at_s = elapsed_s() if at_s is None else at_s
        with self._lock:
            self._lines.append(f"{at_s - self._began_s:9.3f} {text}")

    def write(self) -> None:
        """Write the lines, ordered by time."""
        with self._lock:
            text = "\n".join(sorted(self._lines)) + "\n"
        self._path.write_text(text, encoding="utf-8")
