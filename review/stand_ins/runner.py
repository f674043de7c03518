"""Runs one case: starts the deployment, plays, ends everything and gives the exit code."""

import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from stand_ins.deployment import CannotRunError, Deployment
from stand_ins.record import Record

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes."""

Play = Callable[[Deployment, Record, bool], list[str]]
"""Plays a case, with the disruption or without it; returns what broke the rule, a line each."""


def run_case(rule: str, case: str, play: Play) -> int:
    """Play the case whose file is `case`; write `record.txt` beside it, return the exit code.

    With `TROUBLE=0` in the environment the case is played without its disruption.
    """
    # Processes that were started must end also when the script is told to.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))
    record = Record(Path(case).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if has_trouble else "without the disruption")
    deployment = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            deployment = Deployment(Path(folder))
            findings = play(deployment, record, has_trouble)
        except (CannotRunError, OSError) as failure:
            record.note(f"the case could not run: {failure!r}")
            return NOT_RUN
        finally:
            if deployment is not None:
                deployment.close()
            record.write()
    for finding in findings:
        record.note(f"{rule} {finding}")
    verdict = f"{rule} broken {len(findings)} times" if findings else f"{rule} held"
    record.note(f"verdict: {verdict}")
    record.write()
    print(verdict)
    return BROKEN if findings else HELD
