"""Hedged requests: a second attempt on another back end if the first one is slow.

Follows Dean and Barroso, "The Tail at Scale" (2013): the second attempt starts once the first
exceeds the 95th latency percentile; a budget bounds the added load when all requests are slow.
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

HEDGE_QUANTILE = 0.95
MAX_HEDGE_RATIO = 0.05
"""Upper bound of the long-term ratio of hedges to requests."""
MAX_SAVED_HEDGES = 5.0
WINDOW_SAMPLES = 256
MIN_SAMPLES = 32
"""Latencies needed for a quantile, and between its updates."""
MIN_DELAY_S = 0.005

Outcome = Result[ApplicationAnswer, Refusal]
MakeAttempt = Callable[[set[str]], Outcome]
"""Sends a request, avoiding the back ends in the set and adding those it uses."""


class HedgePolicy:
    """Hedging delay and budget of one pool; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latencies_s: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._delay_s: float | None = None
        self._samples = 0
        self._balance = 1.0

    @property
    def delay_s(self) -> float | None:
        """Delay before a hedge is sent; None until enough latencies are recorded."""
        return self._delay_s

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a request and add its share of a hedge to the budget."""
        with self._lock:
            self._latencies_s.append(latency_s)
            self._samples += 1
            self._balance = min(MAX_SAVED_HEDGES, self._balance + MAX_HEDGE_RATIO)
            if self._samples % MIN_SAMPLES == 0:
                ordered = sorted(self._latencies_s)
                slow_s = ordered[int(HEDGE_QUANTILE * len(ordered))]
                self._delay_s = max(MIN_DELAY_S, slow_s)

    def withdraw(self) -> bool:
        """Spend one hedge; return False if the budget is exhausted."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True


class Hedger:
    """Runs a request and its hedge on the executors."""

    def __init__(self, executors: Executors) -> None:
        self._executors = executors

    def run(self, make_attempt: MakeAttempt, policy: HedgePolicy, delay_s: float) -> Outcome:
        """Return the first success, or else the last refusal; close the other answer."""
        used: set[str] = set()
        first = self._submit(make_attempt, used)
        if first is None:
            return make_attempt(used)
        done, _ = wait((first,), delay_s)
        if done or not policy.withdraw():
            return first.result()
        second = self._submit(make_attempt, set(used))
        if second is None:
            return first.result()
        return _first_success((first, second))

    def _submit(self, make_attempt: MakeAttempt, used: set[str]) -> "Future[Outcome] | None":
        try:
            return self._executors.submit(WorkKind.INTERACTIVE, make_attempt, used)
        except (ExecutorSaturatedError, RuntimeError):
            return None


def _first_success(attempts: Iterable["Future[Outcome]"]) -> Outcome:
    """Wait for the first success; bounded, as each attempt has a deadline."""
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
    """Close the answer of an attempt that is not used."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    match attempt.result():
        case Success(answer):
            close_body(answer.body)
