"""Entry point `python -m bellweir.hosted`; `BELLWEIR_CONFIG` names the settings file."""

import os
import signal
from types import FrameType


def _end(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)


if __name__ == "__main__":
    # Set before the slow imports and the start of the services: by default SIGHUP (new settings)
    # would kill the process, and SIGTERM (planned stop) would look like a failure.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)
    from bellweir.hosted.process import main

    main()
