"""A stream is resumed at a worker that left long before.

Six workers of one service serve streams that may be resumed. One of them is replaced as planned:
its successor comes, then it says `draining`. Four seconds later another worker crashes. Its streams
go on at other workers; none may reach the one that is leaving, which ends two seconds later.
"""

import os
import signal
import sys
import time
from pathlib import Path

from standins_2.deployment import ZONES, Record, SmallDeployment, now_s
from standins_2.streams import StreamClient

from bellweir_rehearsal.hosted.worker import WorkerStandIn

HELD, BROKEN, NOT_RUN = 0, 10, 2
"""Exit statuses; `run.sh` gives 1 for `BROKEN`, and 2 for an exception that nobody caught."""
HOST = "studio.example"
SERVICE = "engines"
WORKERS = 6
EVENTS = 40
EVENT_PAUSE_S = 0.25
SEND_EVERY_S = 0.2
DRAIN_AFTER_S = 8.0
CRASH_AFTER_S = 4.0
"""Time from the acknowledgement of the leaving to the crash."""
END_AFTER_S = 2.0
"""Time from the crash to the end of the leaving worker."""
DOWN_S = 4.0
LOOK_ON_S = 3.0
DRAIN_TIMEOUT_S = 2.0
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "host": HOST,
            "pathPrefix": "/stories/",
            "kind": "streaming",
            "name": "stories",
            "service": SERVICE,
            "canResume": True,
            "timeoutMs": 20_000,
            "targetMs": 1_000,
            "maxAttempts": 2,
            "priority": 1,
            "sticky": False,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConns": 150,
            "engine": {"slots": 12, "kvCapacity": 100_000, "models": [{"name": "drafts"}]},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1 << 20,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 20_000,
    },
}


def make_worker(number: int) -> WorkerStandIn:
    """Return a worker whose streams take some ten seconds."""
    worker = WorkerStandIn(f"i-{number}", model="drafts", events=EVENTS)
    worker.event_pause_s = EVENT_PAUSE_S
    return worker


def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return the exit status."""
    deployment = SmallDeployment(record)
    clients: list[StreamClient] = []

    def send_for(seconds: float) -> None:
        until_s = now_s() + seconds
        while now_s() < until_s:
            number = len(clients)
            client = StreamClient(
                deployment,
                record,
                f"gateway-{number % 2}",
                f"{number:016x}",
                HOST,
                "/stories/x",
                20_000,
            )
            clients.append(client)
            client.start()
            time.sleep(SEND_EVERY_S)

    workers = [make_worker(number) for number in range(WORKERS)]
    successor = make_worker(WORKERS)
    try:
        deployment.put_configuration(CONFIGURATION)
        for number, worker in enumerate(workers):
            deployment.add_worker(worker, SERVICE, ZONES[number % len(ZONES)])
        deployment.start()
        send_for(DRAIN_AFTER_S)
        leaving, crashing = workers[1], workers[4]
        deployment.add_worker(successor, SERVICE, ZONES[1])
        send_for(1.0)
        acknowledged_s = deployment.say_draining(leaving)
        send_for(CRASH_AFTER_S)
        if has_trouble:
            record.note(f"{crashing.instance}: crashes, runs {sum(crashing.in_hand.values())}")
            crashing.crash_for(DOWN_S)
        send_for(END_AFTER_S)
        record.note(f"{leaving.instance}: ends, runs {sum(leaving.in_hand.values())}")
        deployment.remove_entry(leaving)
        leaving.crash()
        send_for(LOOK_ON_S)
        for client in clients:
            client.join(15.0)
        return judge(record, deployment, clients, leaving, acknowledged_s)
    finally:
        deployment.close()
        for worker in (*workers, successor):
            worker.close()


def judge(
    record: Record,
    deployment: SmallDeployment,
    clients: list[StreamClient],
    leaving: WorkerStandIn,
    acknowledged_s: float,
) -> int:
    """Apply the rule to what the leaving worker saw."""
    whole = sum(client.events == list(range(1, EVENTS + 1)) for client in clients)
    record.note(f"{whole} of {len(clients)} streams were whole")
    late_s = [
        at_s - acknowledged_s
        for at_s in leaving.record.arrived_s
        if at_s > acknowledged_s + DRAIN_TIMEOUT_S
    ]
    for each_s in late_s:
        record.note(f"{leaving.instance}: a request came {each_s:.3f} s after its leaving")
    cut = [client.request_id for client in clients if client.outcome.startswith("cut")]
    lost = [each for each in cut if leaving.record.resumed_after.get(each)]
    record.note(f"streams cut: {len(cut)}; of these had been resumed at {leaving.instance}: {lost}")
    resumed = {key: after for key, after in leaving.record.resumed_after.items() if after}
    record.note(f"{leaving.instance}: streams that went on here, after event: {resumed}")
    ended = deployment.ended()
    if ended or not whole:
        record.note(f"could not run: ended by themselves: {ended}")
        return NOT_RUN
    record.note("DRAIN broken" if late_s else "DRAIN held")
    return BROKEN if late_s else HELD


def main() -> int:
    """Run the case as the environment says."""
    # A time-out has to end the processes as well.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return play(record, has_trouble=os.environ.get("TROUBLE") != "0")
    except (OSError, RuntimeError) as failure:
        record.note(f"could not run: {failure!r}")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
