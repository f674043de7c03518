"""Runs a hosted process: `python -m bellweir.hosted`, settings by `BELLWEIR_CONFIG`."""

import os
import signal
from types import FrameType


def _end(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)


if __name__ == "__main__":
    # Before the imports and the services' start, which take some tens of milliseconds: a change of
    # the settings would end the process, a planned stop would look like a failure.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)
    from bellweir.hosted.process import main

    main()
