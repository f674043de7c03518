"""The evidence against one request, and how often it may still run.

Workers also end by themselves, several at once, so the end of a worker proves less the more workers
of the service ended at the same moment without running the request.

>>> suspect = Suspect("llm")
>>> for number in range(3):
...     _ = suspect.add_end(Incarnation(f"i-{number}"), 10.0 + number)
>>> suspect.blame(13.0), suspect.trials_left(13.0, contact_s=3.0)
(3.0, 3)
>>> suspect.set_beside(Incarnation("i-0"), 3)
>>> suspect.blame(13.0), suspect.trials_left(13.0, contact_s=3.0) is None
(2.25, True)
"""

from collections.abc import Mapping

from bellweir.hosted.incarnation import Incarnation

MAX_ENDS = 3
"""Ends of workers, weighed by what they prove, from which on a request is suspended."""
MAX_TRIALS = 3
"""Runs that a suspended request may have, each of which may acquit it."""
MAX_LATE_ENDS = 2
"""Ends later than the contact time after the third one, from which on a request is suspended
whatever the ends prove."""
HOLD_S = 600.0
"""Time for which a request is suspended after the last end."""
OWED_HOLD_S = 3.0
"""Time for which a request that is owed is suspended after the last end, unless a trial of it ended
its worker."""
RETENTION_S = 3_600.0
"""Time for which ends are remembered: after the suspension one more end renews it at once."""
SAME_MOMENT_S = 0.1
"""Ends of workers within this time count as simultaneous."""
MAX_WITHDRAWN = 2
"""Trials of a request that are not counted since their workers did not run them."""
TRIAL_SLOT_S = 0.3
"""Time from the beginning of a trial within which a crashing request ends its worker."""
MAX_KEPT_ENDS = 12
"""Ends and trials kept for each request, the newest ones."""
NEVER_S = float("-inf")
ROUNDING = 1e-9


class Suspect:
    """What is known of one request. Times are those of the owner's clock, in seconds."""

    __slots__ = (
        "_beside",
        "_beside_told",
        "_idle_beside",
        "acquitted_s",
        "ended_s",
        "excused",
        "service",
        "trials_s",
        "withdrawn",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.ended_s: dict[Incarnation, float] = {}
        """Time of each worker's end."""
        self._beside: dict[Incarnation, int] = {}
        """Workers that ended at the moment of an end without running the request."""
        self._idle_beside: dict[Incarnation, int] = {}
        """Those of them that ran nothing."""
        self._beside_told: dict[Incarnation, int] = {}
        """The same, as other nodes have told."""
        self.trials_s: dict[Incarnation, float] = {}
        """Time of the newest trial at each worker."""
        self.excused: set[Incarnation] = set()
        """Workers that ended under a trial of another request."""
        self.withdrawn: set[Incarnation] = set()
        """Workers that did not run the trial they were sent."""
        self.acquitted_s = NEVER_S

    def counted(self, now_s: float) -> dict[Incarnation, float]:
        """Times of the ends that count, by worker."""
        since_s = max(self.acquitted_s, now_s - RETENTION_S)
        return {worker: at_s for worker, at_s in self.ended_s.items() if at_s > since_s}

    def counted_trials(self, now_s: float) -> dict[Incarnation, float]:
        """Times of the trials that count, by worker."""
        since_s = max(self.acquitted_s, now_s - RETENTION_S)
        return {
            worker: at_s
            for worker, at_s in self.trials_s.items()
            if at_s >= since_s and worker not in self.withdrawn
        }

    def add_end(self, worker: Incarnation, at_s: float) -> bool:
        """Add an end; False if it is known."""
        if worker in self.ended_s:
            return False
        self.ended_s[worker] = at_s
        if len(self.ended_s) > MAX_KEPT_ENDS:
            oldest = min(self.ended_s, key=self.ended_s.__getitem__)
            del self.ended_s[oldest]
            self._beside.pop(oldest, None)
            self._idle_beside.pop(oldest, None)
            self._beside_told.pop(oldest, None)
            self.excused.discard(oldest)
            return oldest != worker
        return True

    def add_trial(self, worker: Incarnation, at_s: float) -> bool:
        """Add a trial; False if it is known."""
        if at_s <= self.trials_s.get(worker, NEVER_S):
            return False
        self.trials_s[worker] = at_s
        if len(self.trials_s) > MAX_KEPT_ENDS:
            del self.trials_s[min(self.trials_s, key=self.trials_s.__getitem__)]
        return True

    def withdraw_trial(self, worker: Incarnation) -> bool:
        """Stop counting a trial that its worker did not run; False if too many were withdrawn."""
        if worker not in self.trials_s or worker in self.withdrawn:
            return False
        if len(self.withdrawn) >= MAX_WITHDRAWN:
            return False
        self.withdrawn.add(worker)
        return True

    def ends_trial(self, worker: Incarnation, at_s: float) -> bool:
        """Whether the end of a worker at a time is put down to a trial of this request."""
        return 0.0 <= at_s - self.trials_s.get(worker, NEVER_S) <= TRIAL_SLOT_S

    def beside(self, worker: Incarnation) -> int:
        """Return how many workers ended at the moment of an end without running the request."""
        return max(self._beside.get(worker, 0), self._beside_told.get(worker, 0))

    def idle_beside(self, worker: Incarnation) -> int:
        """Return how many of them ran nothing, as far as this node has seen or been told."""
        return max(self._idle_beside.get(worker, 0), self._beside_told.get(worker, 0))

    def set_beside(self, worker: Incarnation, count: int, idle: int = 0) -> None:
        """Replace the counts of an end by what this node sees; `idle` of `count` ran nothing."""
        self._beside[worker] = count
        self._idle_beside[worker] = idle

    def hear_beside(self, worker: Incarnation, count: int) -> bool:
        """Note a count of another node; False if as many have been told."""
        if worker not in self.ended_s or count <= self._beside_told.get(worker, 0):
            return False
        self._beside_told[worker] = count
        return True

    def failed_trials(self, now_s: float) -> int:
        """Return how many trials ended their workers."""
        return sum(self.ends_trial(one, at_s) for one, at_s in self.counted(now_s).items())

    def acquit(self, at_s: float) -> bool:
        """Clear what came before a run that a worker survived; False if a later one is known."""
        if at_s <= self.acquitted_s:
            return False
        self.acquitted_s = at_s
        return True

    def weights(self, now_s: float) -> dict[Incarnation, float]:
        """Return what each end proves, from 0 to 1.

        That is the share of workers that ran the request, of those that ended at the moment. An end
        right after the beginning of a trial proves that the trial caused it, and nothing against
        what ran beside it.
        """
        counted = self.counted(now_s)
        found: dict[Incarnation, float] = {}
        for worker, at_s in counted.items():
            ran = sum(abs(other_s - at_s) <= SAME_MOMENT_S for other_s in counted.values())
            share = ran / (ran + self.beside(worker))
            if worker in self.excused:
                share = 0.0
            found[worker] = 1.0 if self.ends_trial(worker, at_s) else share
        return found

    def blame(self, now_s: float) -> float:
        """Return the sum of what the ends prove."""
        return sum(self.weights(now_s).values())

    def trials_left(self, now_s: float, contact_s: float) -> int | None:
        """Return how often the request may still run; None if it is not suspended.

        It is suspended if its ends prove enough, or if it ran on for long after the third one.
        After `HOLD_S` it may run once more, by all processes together.
        """
        if len(self.ended_s) < MAX_ENDS:
            return None
        counted = self.counted(now_s)
        if len(counted) < MAX_ENDS:
            return None
        left = self._trials_left(counted, now_s, contact_s)
        is_over = now_s >= max(counted.values()) + HOLD_S
        return max(1, left) if left is not None and is_over else left

    def _trials_left(
        self, counted: Mapping[Incarnation, float], now_s: float, contact_s: float
    ) -> int | None:
        """Return how often it may still run before the hold is over."""
        weights = self.weights(now_s)
        blame = sum(weights.values()) + ROUNDING
        late_from_s = sorted(counted.values())[MAX_ENDS - 1] + contact_s
        late = [worker for worker, at_s in counted.items() if at_s > late_from_s]
        trials = self.counted_trials(now_s)
        undecided = sum(worker not in self.ended_s for worker in trials)
        is_proven = self.failed_trials(now_s) > 0
        if blame < MAX_ENDS and not is_proven:
            late_runs = sum(weights[worker] > 0 for worker in late) + undecided
            return max(1, MAX_TRIALS - late_runs) if late_runs >= MAX_LATE_ENDS else None
        late_proof = int(sum(weights[worker] for worker in late) + ROUNDING)
        by_time = MAX_TRIALS - late_proof - undecided
        by_blame = MAX_TRIALS - max(0, int(blame) - MAX_ENDS) - undecided
        return max(0, min(by_blame, by_time if trials else max(1, by_time)))

    def owed_trials_left(self, now_s: float, contact_s: float) -> int | None:
        """Return the same for a request that is owed, which always may run once more.

        Ends suspend it while they are recent; after that, only those under its trials do.
        """
        left = self.trials_left(now_s, contact_s)
        if left is None:
            return None
        last_s = max(self.counted(now_s).values())
        if now_s >= last_s + OWED_HOLD_S and not self.failed_trials(now_s):
            return None
        return max(1, left)
