"""Admission by expected latency."""

from collections.abc import Sequence

from bellweir.hosted.room.interface import (
    AdmissionAction,
    AdmissionDecision,
    AdmissionPolicy,
    TimeLimits,
    WorkerCapacity,
)

DEADLINE_FACTOR = 1.5
"""A deadline counts as missed if the expected latency exceeds the remaining time by this factor:
half of all answers take less than the median."""
MIN_UTILIZATION = 0.5
"""Below this utilization no request is refused, whatever the latencies were."""
TARGET_SHARE = 0.8
"""An answer counts as in time if it is expected within this share of the target: half of all
answers take longer than the median, and reports of other gateways lag."""
MIN_SERVICE_ROUNDS = 2.0
"""Workers slower than the target are still given this many rounds of their slots, since a retry
would not be faster."""


class ExpectedLatencyPolicy(AdmissionPolicy):
    """Decides by the earliest expected completion among the workers.

    A request starts if its answer is expected within its latency target. If it would be slightly
    late, it is queued here for the first free slot, so that this gateway's queue discipline applies
    and not the workers'. If waiting cannot help, it is refused: it would be late itself and delay
    those behind it, while its client can retry when there is capacity.

    >>> policy = ExpectedLatencyPolicy()
    >>> limits = TimeLimits(remaining_s=1.5, target_s=0.2, max_wait_s=0.025)
    >>> policy.decide([WorkerCapacity(6, 3, 0.04)], limits).action
    <AdmissionAction.START: 'start'>
    >>> policy.decide([WorkerCapacity(6, 24, 0.04)], limits).action
    <AdmissionAction.WAIT: 'wait'>
    >>> policy.decide([WorkerCapacity(6, 60, 0.04)], limits).action
    <AdmissionAction.REFUSE: 'refuse'>
    """

    __slots__ = ("_refuses", "_sheds", "_waits")

    def __init__(self, *, waits: bool = True, refuses: bool = True, sheds: bool = True) -> None:
        """`waits` queues requests that would be late by no more than they may wait.

        `refuses` refuses requests that would miss their deadline, `sheds` those that would miss
        their target because of the load ahead of them.
        """
        self._waits = waits
        self._refuses = refuses
        self._sheds = sheds

    def decide(
        self, workers: Sequence[WorkerCapacity], limits: TimeLimits, ahead: int = 0
    ) -> AdmissionDecision:
        """Decide on one request; without workers, or with one of unknown latency, it starts."""
        in_flight = sum(worker.in_flight for worker in workers)
        slots = sum(worker.slots for worker in workers)
        age_s = max((worker.age_s for worker in workers), default=0.0)
        # Distribute the requests ahead over the workers in proportion to their slots.
        completions = [
            (worker.completion_s(ahead * worker.slots / slots), worker) for worker in workers
        ]
        expected_s = min((completion_s for completion_s, _ in completions), default=0.0)
        late_s = min(
            (
                completion_s - _latency_limit_s(worker, limits)
                for completion_s, worker in completions
            ),
            default=0.0,
        )
        is_busy = slots > 0 and in_flight + ahead >= MIN_UTILIZATION * slots
        action = AdmissionAction.START
        if (
            self._refuses
            and is_busy
            and expected_s > DEADLINE_FACTOR * max(0.0, limits.remaining_s)
        ):
            action = AdmissionAction.REFUSE
        elif late_s > 0:
            action = self._decide_late(late_s, limits, is_busy=is_busy)
        return AdmissionDecision(action, expected_s, in_flight, slots, age_s)

    def _decide_late(self, late_s: float, limits: TimeLimits, *, is_busy: bool) -> AdmissionAction:
        if self._waits and late_s <= limits.max_wait_s:
            return AdmissionAction.WAIT
        return AdmissionAction.REFUSE if self._sheds and is_busy else AdmissionAction.START


def _latency_limit_s(worker: WorkerCapacity, limits: TimeLimits) -> float:
    """Latency up to which an answer of a worker counts as in time."""
    return max(TARGET_SHARE * limits.target_s, MIN_SERVICE_ROUNDS * worker.service_time_s)
