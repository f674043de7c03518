"""Waiting on conditions, so that no test depends on how fast the machine is."""

import time
from collections.abc import Callable


class ConditionNeverMetError(AssertionError):
    """A condition did not come true in time."""


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 30.0) -> None:
    """Wait until `condition()` is true; raise with `what` and the time when it never is."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise ConditionNeverMetError(f"not within {timeout_s:g} s: {what}")
        time.sleep(0.01)
