"""Decides which runs move to another worker, where they resume after their last event.

A move costs the prefill of the prompt and of the events so far. A run is moved when its worker is
silent, or when a faster worker with free slots saves clearly more time than the move costs.

>>> slow = RunForecast("item", Incarnation("i-slow"), 0.12, silent_s=0.1, remaining_events=50.0)
>>> [str(move.target) for move in plan_moves([slow], [MoveTarget(Incarnation("i-fast"), 0.04, 2)])]
['i-fast']
>>> plan_moves([slow], [MoveTarget(Incarnation("i-same"), 0.11, 2)])
[]
"""

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

from bellweir.hosted.incarnation import Incarnation

MIN_SILENCE_S = 0.35
"""A run counts as silent after this time without an event ..."""
SILENCE_EVENT_TIMES = 6.0
"""... or after this many times the time per event of its worker, if that is longer."""
MOVE_COST_S = 0.15
MIN_GAIN_S = 0.4
"""Least gain for which a run that is not silent is moved ..."""
MIN_GAIN_SHARE = 0.2
"""... and the same as a share of its remaining time, if that is more."""

SILENT = "silent"
"""Cause of a move: the worker is silent."""

Key = TypeVar("Key")


class RunForecast(Generic[Key]):
    """A run in flight and its predicted remaining work."""

    __slots__ = ("key", "patience", "remaining_events", "silent_s", "time_per_event_s", "worker")

    def __init__(
        self,
        key: Key,
        worker: Incarnation,
        time_per_event_s: float,
        silent_s: float,
        remaining_events: float,
        patience: float = 1.0,
    ) -> None:
        """`patience`: factor on the time without an event after which it counts as silent."""
        self.key = key
        self.worker = worker
        self.time_per_event_s = time_per_event_s
        self.silent_s = silent_s
        self.remaining_events = remaining_events
        self.patience = patience

    @property
    def is_silent(self) -> bool:
        """Whether its next event is overdue."""
        usual_s = max(MIN_SILENCE_S, SILENCE_EVENT_TIMES * self.time_per_event_s)
        return self.silent_s > self.patience * usual_s

    @property
    def remaining_s(self) -> float:
        """Predicted remaining time on its current worker."""
        return self.remaining_events * self.time_per_event_s


class MoveTarget:
    """A worker that can accept runs."""

    __slots__ = ("free_slots", "time_per_event_s", "worker")

    def __init__(self, worker: Incarnation, time_per_event_s: float, free_slots: int) -> None:
        self.worker = worker
        self.time_per_event_s = time_per_event_s
        self.free_slots = free_slots


class PlannedMove(Generic[Key]):
    """A run, the worker that it moves to and the cause."""

    __slots__ = ("cause", "forecast", "target")

    def __init__(self, forecast: RunForecast[Key], target: Incarnation, cause: str) -> None:
        self.forecast = forecast
        self.target = target
        self.cause = cause


def plan_moves(
    runs: Iterable[RunForecast[Key]], targets: Sequence[MoveTarget]
) -> list[PlannedMove[Key]]:
    """Return the moves, silent and long runs first; no target gets more than its free slots.

    `targets` must not contain silent workers.
    """
    moves: list[PlannedMove[Key]] = []
    for run in sorted(runs, key=lambda one: (one.is_silent, one.remaining_s), reverse=True):
        candidates = [one for one in targets if one.free_slots > 0 and one.worker != run.worker]
        if not candidates:
            continue
        best = min(candidates, key=lambda one: (one.time_per_event_s, -one.free_slots))
        cause = _cause(run, best)
        if cause is not None:
            best.free_slots -= 1
            moves.append(PlannedMove(run, best.worker, cause))
    return moves


def _cause(run: RunForecast[Key], best: MoveTarget) -> str | None:
    if run.is_silent:
        return SILENT
    gain_s = run.remaining_s - run.remaining_events * best.time_per_event_s - MOVE_COST_S
    if gain_s >= max(MIN_GAIN_S, MIN_GAIN_SHARE * run.remaining_s):
        return "faster"
    return None
