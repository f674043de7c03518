"""A hosted process one of whose services hangs in the phase that the environment names.

HANGS_IN=drain BELLWEIR_CONFIG=FILE python hanging_process.py
"""

import os
import signal
import sys
import threading

from bellweir.hosted.process import HostedProcess, main
from bellweir.kernel.service import Service

HANG_S = 60.0
TAKES_SIGNAL = "TAKES_SIGNAL"
"""Set: a line of input makes another thread than the main one receive SIGTERM."""
MARKER = "service hangs"
PHASE = os.environ.get("HANGS_IN", "")


def hang_in(phase):
    if phase == PHASE:
        print(MARKER, flush=True)
        threading.Event().wait(HANG_S)


def take_signal():
    sys.stdin.readline()
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)


class HangingService(Service):
    name = "hanging"

    def start(self):
        hang_in("start")

    def drain(self, deadline_s):
        hang_in("drain")

    def stop(self):
        hang_in("stop")


class HangingProcess(HostedProcess):
    def _register(self, settings, platform):
        super()._register(settings, platform)
        self.kernel.registry.register(HangingService())


if __name__ == "__main__":
    if os.environ.get(TAKES_SIGNAL):
        threading.Thread(target=take_signal, daemon=True).start()
    main(HangingProcess)
