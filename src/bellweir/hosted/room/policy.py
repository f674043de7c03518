"""Judges by the time at which an answer is expected.

The load it answers: more requests than a service's workers serve in time, or workers that got
slow. A request whose answer is expected within its target starts. One that would be just too late
waits here for the worker that gets a place first, so that the order among those that wait is ours
and not that of the workers' queues. One that no wait can help is refused: if it started, it would
come too late itself and make those behind it late, while its client, told when there is room, may
still be served in time. One whose deadline can't be met is refused in any case.
"""

from collections.abc import Sequence

from bellweir.hosted.room.interface import (
    AdmissionAction,
    AdmissionDecision,
    AdmissionPolicy,
    TimeLimits,
    WorkerCapacity,
)

DEADLINE_FACTOR = 1.5
"""An answer counts as impossible only when it is expected after so many times of what is left:
half of all answers take less than the median that is reckoned with."""
MIN_UTILIZATION = 0.5
"""Below this share of slots taken nobody is refused: such a service has room, whatever the times
of its answers were."""
TARGET_SHARE = 0.8
"""An answer counts as in time only when it is expected within this share of the target: half of
all answers take longer than the median, and what other gateways send is heard of a little later."""
MIN_SERVICE_ROUNDS = 2.0
"""A worker that is slower than the target allows still takes so many rounds of its slots: coming
back later would not make its answers sooner."""


class ExpectedLatencyPolicy(AdmissionPolicy):
    """Judges by the soonest end among the workers.

    >>> policy, limits = ExpectedLatencyPolicy(), TimeLimits(remaining_s=1.5, target_s=0.2, max_wait_s=0.025)
    >>> policy.decide([WorkerCapacity(6, 3, 0.04)], limits).action
    <AdmissionAction.START: 'start'>
    >>> policy.decide([WorkerCapacity(6, 24, 0.04)], limits).action
    <AdmissionAction.WAIT: 'wait'>
    >>> policy.decide([WorkerCapacity(6, 60, 0.04)], limits).action
    <AdmissionAction.REFUSE: 'refuse'>
    """

    __slots__ = ("_refuses", "_sheds", "_waits")

    def __init__(self, *, waits: bool = True, refuses: bool = True, sheds: bool = True) -> None:
        """`waits` has requests wait that would be late by less than their wait.

        `refuses` has those refused whose deadline can't be met, `sheds` those that would be late
        only because others are before them.
        """
        self._waits = waits
        self._refuses = refuses
        self._sheds = sheds

    def decide(
        self, workers: Sequence[WorkerCapacity], limits: TimeLimits, ahead: int = 0
    ) -> AdmissionDecision:
        """Judge one request. Without workers, or with one of unknown times, it starts."""
        in_flight = sum(worker.in_flight for worker in workers)
        slots = sum(worker.slots for worker in workers)
        age_s = max((worker.age_s for worker in workers), default=0.0)
        # Those ahead spread over the workers by their slots.
        ends = [(worker.completion_s(ahead * worker.slots / slots), worker) for worker in workers]
        expected_s = min((completion_s for completion_s, _ in ends), default=0.0)
        late_s = min(
            (completion_s - _limit_s(worker, limits) for completion_s, worker in ends), default=0.0
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
            action = self._of_late(late_s, limits, is_busy=is_busy)
        return AdmissionDecision(action, expected_s, in_flight, slots, age_s)

    def _of_late(self, late_s: float, limits: TimeLimits, *, is_busy: bool) -> AdmissionAction:
        if self._waits and late_s <= limits.max_wait_s:
            return AdmissionAction.WAIT
        return AdmissionAction.REFUSE if self._sheds and is_busy else AdmissionAction.START


def _limit_s(worker: WorkerCapacity, limits: TimeLimits) -> float:
    """Time within which an answer of a worker is as good as can be had."""
    return max(TARGET_SHARE * limits.target_s, MIN_SERVICE_ROUNDS * worker.service_time_s)
