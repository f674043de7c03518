"""Injects a schedule of faults while a run goes on."""

import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from bellweir_rehearsal.callers.operator import OperatorError
from bellweir_rehearsal.faults.actions import (
    FaultStage,
    Occurrence,
    UnknownTargetError,
    begin_fault,
    node_targets,
)
from bellweir_rehearsal.faults.kinds import PLANNED, FaultKind
from bellweir_rehearsal.faults.schedule import PlannedFault
from bellweir_rehearsal.records.model import NOT_ENDED, FaultBegan, FaultEnded
from bellweir_rehearsal.topology.processes import ProcessFailedError
from bellweir_rehearsal.topology.standins import ControlError

MAXIMUM_FAULTS_AT_ONCE = 6

FaultProblem = (UnknownTargetError, ControlError, OperatorError, ProcessFailedError, OSError)
"""Ways in which a fault can fail to be injected or ended, for example through another one."""


class FaultInjector:
    """Runs one schedule."""

    def __init__(self, stage: FaultStage, schedule: Sequence[PlannedFault]) -> None:
        self._stage = stage
        self._schedule = sorted(schedule, key=lambda fault: fault.at_s)
        self._target_locks: dict[str, threading.Lock] = {}

    def run(self, stop: threading.Event) -> int:
        """Inject each fault when it is due, and end it; return how many took place.

        When `stop` is set, faults that have begun are ended and no others begin.
        """
        began = time.monotonic()
        with ThreadPoolExecutor(MAXIMUM_FAULTS_AT_ONCE, "fault") as pool:
            futures: list[Future[bool]] = []
            for number, fault in enumerate(self._schedule, start=1):
                if stop.wait(max(0.0, began + fault.at_s - time.monotonic())):
                    break
                futures.append(pool.submit(self._inject, fault, f"f{number}", stop))
        return sum(future.result() for future in futures)

    def _inject(self, planned: PlannedFault, fault_id: str, stop: threading.Event) -> bool:
        # Two faults of one target come one after the other: a process that is down can't be
        # paused. The same kind without a target is not injected twice at once either.
        name = planned.target or planned.kind.value
        lock = self._target_locks.setdefault(name, threading.Lock())
        with lock:
            # A machine may have been replaced since: what stands in its place is hit.
            target = self._stage.cluster.present_name(planned.target)
            fault = Occurrence(fault_id, planned.kind, target, planned.duration_s)
            targets = node_targets(self._stage, fault)
            self._stage.journal.write(
                FaultBegan(
                    time.time(), fault.fault_id, fault.kind.value, targets, fault.kind in PLANNED
                )
            )
            detail = self._carry_out(fault, stop)
            self._stage.journal.write(
                FaultEnded(time.time(), fault.fault_id, fault.kind.value, targets, detail)
            )
        return not detail

    def _carry_out(self, fault: Occurrence, stop: threading.Event) -> str:
        """Begin, wait and end; the return says what went wrong, empty when nothing did."""
        try:
            end = begin_fault(self._stage, fault)
        except FaultProblem as problem:
            return f"not injected: {problem}"
        if fault.kind is not FaultKind.RACING_OPERATORS:
            stop.wait(fault.duration_s)
        try:
            end()
        except FaultProblem as problem:
            return f"{NOT_ENDED}: {problem}"
        return ""
