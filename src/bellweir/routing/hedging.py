"""Hedged requests: a second attempt elsewhere when the first one is slow for its kind.

After Dean and Barroso, "The Tail at Scale" (2013): the second attempt starts once the first has
taken longer than the 95th percentile of its kind, so that it adds about 5 % of load at most; a
budget keeps it there when everything is slow.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Future, wait

from returns.result import Result, Success

from bellweir.clients.interface import ApplicationAnswer
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.routing.answers import close_body
from bellweir.routing.interface import Refusal

HEDGED_QUANTILE = 0.95
MAX_HEDGE_RATIO = 0.05
"""Hedges for each request, on average."""
MOST_SAVED_HEDGES = 5.0
WINDOW_SAMPLES = 256
FEWEST_SAMPLES = 32
"""Below this number nothing is known of what is slow."""
SHORTEST_DELAY_S = 0.005

Outcome = Result[ApplicationAnswer, Refusal]
MakeAttempt = Callable[[set[str]], Outcome]
"""Makes a request's attempts; avoids the back ends in the set and adds those it uses."""


class HedgePolicy:
    """When a pool's requests are hedged; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latencies_s: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._delay_s: float | None = None
        self._samples = 0
        self._saved = 1.0

    @property
    def delay_s(self) -> float | None:
        """Time after which a request is slow; None while that is not known."""
        return self._delay_s

    def record_latency(self, latency_s: float) -> None:
        """Take the latency of one request; it also pays for a share of a hedge."""
        with self._lock:
            self._latencies_s.append(latency_s)
            self._samples += 1
            self._saved = min(MOST_SAVED_HEDGES, self._saved + MAX_HEDGE_RATIO)
            if self._samples % FEWEST_SAMPLES == 0:
                ordered = sorted(self._latencies_s)
                slow_s = ordered[int(HEDGED_QUANTILE * len(ordered))]
                self._delay_s = max(SHORTEST_DELAY_S, slow_s)

    def withdraw(self) -> bool:
        """Take one hedge; False when the budget is spent."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True


class Hedger:
    """Runs attempts beside the caller's thread."""

    def __init__(self, executors: Executors) -> None:
        self._executors = executors

    def run(self, make: MakeAttempt, policy: HedgePolicy, delay_s: float) -> Outcome:
        """Return the first success, or the last refusal; the loser's answer is closed."""
        used: set[str] = set()
        first = self._submit(make, used)
        if first is None:
            return make(used)
        done, _ = wait((first,), delay_s)
        if done or not policy.withdraw():
            return first.result()
        second = self._submit(make, set(used))
        if second is None:
            return first.result()
        return _first_success((first, second))

    def _submit(self, make: MakeAttempt, used: set[str]) -> "Future[Outcome] | None":
        try:
            return self._executors.submit(WorkKind.INTERACTIVE, make, used)
        except (ExecutorSaturatedError, RuntimeError):
            return None


def _first_success(attempts: Iterable["Future[Outcome]"]) -> Outcome:
    """Wait for a success; each attempt ends by its own deadline, so this does too."""
    waiting = set(attempts)
    outcome: Outcome | None = None
    while waiting:
        done, waiting = wait(waiting, return_when=FIRST_COMPLETED)
        for attempt in done:
            if isinstance(outcome, Success):
                _discard(attempt)
            else:
                outcome = attempt.result()
        if isinstance(outcome, Success):
            for loser in waiting:
                loser.add_done_callback(_discard)
            break
    if outcome is None:
        raise ValueError("no attempts to wait for")
    return outcome


def _discard(attempt: "Future[Outcome]") -> None:
    """Close the answer of an attempt that lost."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    match attempt.result():
        case Success(answer):
            close_body(answer.body)
