"""Judges by the time at which an answer is expected.

The load it answers: more requests than a service's workers serve in time, or workers that got
slow. A request whose answer is expected within its target starts. One that would be just too late
waits here for the worker that gets a place first, so that the order among those that wait is ours
and not that of the workers' queues. One that no wait can help is refused: if it started, it would
come too late itself and make those behind it late, while its client, told when there is room, may
still be served in time. One whose deadline can't be met is refused in any case.
"""

from collections.abc import Sequence

from bellweir.hosted.room.interface import Judgement, Need, RoomJudge, Verdict, WorkerRoom

CERTAINTY = 1.5
"""An answer counts as impossible only when it is expected after so many times of what is left:
half of all answers take less than the median that is reckoned with."""
TAKEN_SHARE = 0.5
"""Below this share of slots taken nobody is refused: such a service has room, whatever the times
of its answers were."""
TARGET_SHARE = 0.8
"""An answer counts as in time only when it is expected within this share of the target: half of
all answers take longer than the median, and what other gateways send is heard of a little later."""
ROUNDS = 2.0
"""A worker that is slower than the target allows still takes so many rounds of its slots: coming
back later would not make its answers sooner."""


class ExpectedTimes(RoomJudge):
    """Judges by the soonest end among the workers.

    >>> judge, need = ExpectedTimes(), Need(left_s=1.5, target_s=0.2, wait_s=0.025)
    >>> judge.judge([WorkerRoom(6, 3, 0.04)], need).verdict
    <Verdict.START: 'start'>
    >>> judge.judge([WorkerRoom(6, 24, 0.04)], need).verdict
    <Verdict.WAIT: 'wait'>
    >>> judge.judge([WorkerRoom(6, 60, 0.04)], need).verdict
    <Verdict.REFUSE: 'refuse'>
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

    def judge(self, workers: Sequence[WorkerRoom], need: Need, ahead: int = 0) -> Judgement:
        """Judge one request. Without workers, or with one of unknown times, it starts."""
        in_hand = sum(worker.in_hand for worker in workers)
        slots = sum(worker.slots for worker in workers)
        age_s = max((worker.age_s for worker in workers), default=0.0)
        # Those ahead spread over the workers by their slots.
        ends = [(worker.end_s(ahead * worker.slots / slots), worker) for worker in workers]
        expected_s = min((end_s for end_s, _ in ends), default=0.0)
        late_s = min((end_s - _limit_s(worker, need) for end_s, worker in ends), default=0.0)
        is_taken = slots > 0 and in_hand + ahead >= TAKEN_SHARE * slots
        verdict = Verdict.START
        if self._refuses and is_taken and expected_s > CERTAINTY * max(0.0, need.left_s):
            verdict = Verdict.REFUSE
        elif late_s > 0:
            verdict = self._of_late(late_s, need, is_taken=is_taken)
        return Judgement(verdict, expected_s, in_hand, slots, age_s)

    def _of_late(self, late_s: float, need: Need, *, is_taken: bool) -> Verdict:
        if self._waits and late_s <= need.wait_s:
            return Verdict.WAIT
        return Verdict.REFUSE if self._sheds and is_taken else Verdict.START


def _limit_s(worker: WorkerRoom, need: Need) -> float:
    """Time within which an answer of a worker is as good as can be had."""
    return max(TARGET_SHARE * need.target_s, ROUNDS * worker.usual_s)
