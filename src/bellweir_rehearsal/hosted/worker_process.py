"""A worker's stand-in as a process of its own, so that it can be killed and started again.

`python -m bellweir_rehearsal.hosted.worker_process INSTANCE PORT MODEL VERSION RAN` serves until
it is killed. The file RAN gets one line for each request that begins to run, and is kept through
all starts; the first line that the process prints is its entry in the store, as JSON.
"""

import json
import sys
import threading
from pathlib import Path

from bellweir_rehearsal.hosted.worker import WorkerStandIn

EVENT_PAUSE_S = 0.1
LOAD_S = 1.0
HOST = "127.0.0.1"


def main(instance: str, port: str, model: str, version: str, ran: str) -> None:
    """Serve as one start of a worker."""
    lock = threading.Lock()

    def note_run(request_id: str) -> None:
        with lock, Path(ran).open("a", encoding="utf-8") as file:
            file.write(f"{request_id}\n")

    worker = WorkerStandIn(
        instance, HOST, model, int(version), events=12, port=int(port), on_run=note_run
    )
    worker.event_pause_s = worker.faults.delay_s = EVENT_PAUSE_S
    worker.load_s = LOAD_S
    print(json.dumps(worker.entry("app")), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
