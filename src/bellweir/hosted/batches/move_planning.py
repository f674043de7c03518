"""Which runs go on at another worker, behind their last event.

A step is as long as its last few texts, and a text is as slow as the worker it happens to be at.
Moving one costs the reading of its prompt and of what it has made, some hundredths of a second. So
a run is moved when its worker has gone silent while others have not, or when so much of its text
is left that a faster worker with room gains more than the move costs.

>>> slow = RunOutlook("item", Incarnation("i-slow"), 0.12, silent_s=0.1, left_events=50.0)
>>> [str(move.target) for move in plan_moves([slow], [MoveTarget(Incarnation("i-fast"), 0.04, 2)])]
['i-fast']
>>> plan_moves([slow], [MoveTarget(Incarnation("i-same"), 0.11, 2)])
[]
"""

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

from bellweir.hosted.incarnation import Incarnation

SILENCE_S = 0.35
"""Time without an event after which a run counts as standing still."""
SILENT_GAPS = 6.0
"""The same in gaps between two events at its worker, where that is longer."""
MOVE_COST_S = 0.15
"""What a move is taken to cost a run."""
LEAST_GAIN_S = 0.4
"""A run that is not silent is moved for no less."""
LEAST_GAIN_SHARE = 0.2
"""The same as a share of the time that it would still take where it is."""

Key = TypeVar("Key")


class RunOutlook(Generic[Key]):
    """A run in hand and what it still needs."""

    __slots__ = ("key", "left_events", "pace_s", "silent_s", "worker")

    def __init__(
        self, key: Key, worker: Incarnation, pace_s: float, silent_s: float, left_events: float
    ) -> None:
        self.key = key
        self.worker = worker
        self.pace_s = pace_s
        self.silent_s = silent_s
        self.left_events = left_events

    @property
    def stands_still(self) -> bool:
        """Whether its next event is long overdue."""
        return self.silent_s > max(SILENCE_S, SILENT_GAPS * self.pace_s)

    @property
    def left_s(self) -> float:
        """Seconds that it still needs where it is."""
        return self.left_events * self.pace_s


class MoveTarget:
    """A worker that could take runs."""

    __slots__ = ("pace_s", "room", "worker")

    def __init__(self, worker: Incarnation, pace_s: float, room: int) -> None:
        self.worker = worker
        self.pace_s = pace_s
        self.room = room


class PlannedMove(Generic[Key]):
    """A run that is to go on elsewhere."""

    __slots__ = ("cause", "run", "target")

    def __init__(self, run: RunOutlook[Key], target: Incarnation, cause: str) -> None:
        self.run = run
        self.target = target
        self.cause = cause


def plan_moves(
    runs: Iterable[RunOutlook[Key]], targets: Sequence[MoveTarget]
) -> list[PlannedMove[Key]]:
    """Return the moves that pay, the longest runs first; no target gets more than it has room for.

    `targets` are workers that make events now; a silent one must not be among them.
    """
    moves: list[PlannedMove[Key]] = []
    for run in sorted(runs, key=lambda one: (one.stands_still, one.left_s), reverse=True):
        open_targets = [one for one in targets if one.room > 0 and one.worker != run.worker]
        if not open_targets:
            continue
        best = min(open_targets, key=lambda one: (one.pace_s, -one.room))
        cause = _cause(run, best)
        if cause is not None:
            best.room -= 1
            moves.append(PlannedMove(run, best.worker, cause))
    return moves


def _cause(run: RunOutlook[Key], best: MoveTarget) -> str | None:
    if run.stands_still:
        return "silent"
    gain_s = run.left_s - run.left_events * best.pace_s - MOVE_COST_S
    if gain_s >= max(LEAST_GAIN_S, LEAST_GAIN_SHARE * run.left_s):
        return "faster"
    return None
