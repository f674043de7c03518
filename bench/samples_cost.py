"""Processor time and memory that coordinating one step costs, by its number of slots.

Steady state: a quarter of the slots filled, a quarter running, the rest waiting for places, and
one commit between rounds. Run with `python -m bench.samples_cost`.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

import msgspec

from bellweir.routing.interface import Segment
from bellweir.samples.attempts import AttemptReport
from bellweir.samples.messages import BulkValue, CommitSample
from bellweir.samples.staleness import StalenessBound
from bellweir.samples.wire_messages import ReportAttempts
from bench.samples_tail import make_engines
from bench.tail_model.bellweir_scheduler import NODE, POLICY, Bellweir
from bench.tail_model.workload import Workload

SLOT_COUNTS = (256, 1024, 2048)
ROUNDS = 50
REFERENCE = BulkValue(reference="0123456789abcdef0123456789abcdef/0123456789abcdef")


def commit(scheduler: Bellweir, slot: int) -> None:
    """Fill a slot."""
    command = CommitSample(
        step_id="step",
        slot=slot,
        attempt_id=f"{slot:032x}",
        content=REFERENCE,
        segments=(Segment(1, 0, 500), Segment(2, 500, 400)),
        score=None,
        observation=scheduler._publications.observation(POLICY),
    )
    scheduler._ledger.submit("step", command, 1.0)


def reports(first: int, count: int) -> tuple[AttemptReport, ...]:
    """Running attempts of a holder."""
    return tuple(
        AttemptReport("step", slot, f"{slot:032x}", 300, 90.0, 4.0, 0.1, 1, "engine-1")
        for slot in range(first, first + count)
    )


def measure(slots: int) -> dict[str, float]:
    """Figures for one number of slots."""
    workload = replace(Workload(), prompts=slots // 8)
    tracemalloc.start()
    scheduler = Bellweir(workload, make_engines(workload), StalenessBound(versions=4))
    scheduler.holder.free_places = lambda: 0  # type: ignore[method-assign]
    scheduler.declare("step", 0.0)
    filled = slots // 4
    for slot in range(filled):
        commit(scheduler, slot)
    message = ReportAttempts(NODE, 0, reports(filled + ROUNDS, slots // 4))
    coordinator = scheduler._coordinator
    coordinator.take_report(message)
    coordinator.go_round()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report_s = timed(lambda _: coordinator.take_report(message))
    quiet_s = timed(lambda _: coordinator.go_round())
    commit_s = timed(lambda number: commit(scheduler, filled + number))

    def commit_and_round(number: int) -> None:
        scheduler._clock.advance(0.2)
        coordinator.take_report(message)
        commit(scheduler, filled + number % ROUNDS)
        coordinator.go_round()

    busy_s = timed(commit_and_round)
    snapshot = scheduler._ledger.machine.save()
    return {
        "slots": slots,
        "memory_bytes_for_each_slot": round(memory_bytes / slots),
        "snapshot_bytes_for_each_filled_slot": round(len(snapshot) / (filled + ROUNDS)),
        "report_bytes_for_each_attempt": len(msgspec.msgpack.encode(message.running[0])),
        "commit_ms": round(commit_s * 1e3, 3),
        "report_ms": round(report_s * 1e3, 3),
        "quiet_round_ms": round(quiet_s * 1e3, 3),
        "busy_round_ms": round(busy_s * 1e3, 3),
    }


def timed(act: Callable[[int], object]) -> float:
    """Mean processor seconds of a call."""
    began_s = time.process_time()
    for number in range(ROUNDS):
        act(number)
    return (time.process_time() - began_s) / ROUNDS


def main() -> None:
    """Measure all sizes."""
    print(json.dumps([measure(slots) for slots in SLOT_COUNTS], indent=1))


if __name__ == "__main__":
    main()
