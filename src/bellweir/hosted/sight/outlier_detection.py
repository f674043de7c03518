"""Ejects workers that are slower or fail more often than the other workers of their service.

Workers are compared with each other at the same time, never with a fixed threshold: if all are slow
or all fail, none is ejected, since no other would do better.

>>> from bellweir.hosted.sight.interface import ObservedOutcome
>>> a, b = Incarnation("i-a"), Incarnation("i-b")
>>> observed = {a: DecayingCounts(), b: DecayingCounts()}
>>> for _ in range(4):
...     observed[a].add(ObservedOutcome.FAILED, 0.01, now_s=0.0)
...     observed[b].add(ObservedOutcome.SERVED, 0.1, now_s=0.0)
>>> detector = OutlierDetector()
>>> changes = detector.update("s", observed, now_s=0.0)
>>> [(str(change.incarnation), change.cause.value) for change in changes]
[('i-a', 'failing_all')]
>>> detector.is_ejected(a), detector.may_probe(a, now_s=0.1), detector.is_ejected(b)
(True, False, False)
"""

import math
import random
from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from enum import Enum

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts

MAX_EJECTED_SHARE = 0.5
"""Share of a service's workers; the others have to carry the load. With half of the workers slow,
the other half alone serves more than both together."""
MIN_FAILURES = 1.8
"""Two recent failures, allowing for decay: a single one may be the fault of the request."""
MIN_ANSWERS = 2.5
"""Answers required for the median of the worker under test."""
MIN_REFERENCE_REQUESTS = 1.5
"""Requests required for a worker to count in the reference failure rate."""
MIN_REFERENCE_ANSWERS = 4.0
"""Answers required for a worker's median to count in the reference."""
MIN_KNOWN_SHARE = 0.5
"""Share of the workers not ejected whose medians must be known before any is compared."""
MEDIAN_RANK_MARGIN = 0.75
"""Divided by the square root of the number of answers: how far below 0.5 the quantile that is
compared lies, about 1.5 standard deviations of a sample median."""
SLOW_FACTOR = 3.0
"""Workers on different hardware may differ by a smaller factor without being outliers: healthy ones
of several kinds, which batch, differ by 2 to 2.5."""
MIN_SLOW_EXCESS_S = 0.05
"""Smaller differences do not matter to clients."""
MIN_FAILURE_EXCESS = 0.05
"""Minimum difference of the lower bound of a worker's failure rate to the reference."""
REFERENCE_Z = 1.0
"""Standard deviations added to the reference failure rate: requests that fail wherever they go hit
one worker more often than another by chance."""
FAILURE_Z = 2.6
"""Standard deviations subtracted from the failure rate of the worker under test: a healthy worker
is taken for a failing one about once in 200 times."""
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
PROBE_INTERVAL_S = 1.5
"""Between two probes of all gateways together; a failed probe costs its client a retry."""
MIN_GOOD_PROBES = 2.0
"""Weight of successful probes required for reinstatement."""
LONG_PROBING_S = 20.0
"""Probing time after which one successful probe suffices: with rare requests, probes decay before
their weight reaches `MIN_GOOD_PROBES`."""
BAD_PROBE_WEIGHT = 0.7
"""Weight of failed or slow probes that ejects the worker again."""
BACKOFF_RESET_S = 60.0
"""Time without ejection after which the backoff starts anew."""
QUARTILE = 0.25


class EjectionCause(Enum):
    """Why a worker was ejected or reinstated."""

    SLOW = "slow"
    """Its median latency is several times the reference."""
    FAILING = "failing"
    """Its failure rate exceeds that of the other workers."""
    FAILING_ALL = "failing_all"
    """All its requests fail."""
    BAD_PROBE = "bad_trial"
    """A probe showed that it is still slow or failing."""
    GOOD_PROBES = "good_trials"
    """Reinstated after successful probes."""
    TOO_MANY = "too_many"
    """Reinstated because too many workers of the service are ejected."""


class EjectionChange:
    """An ejection or reinstatement of a worker, with its evidence."""

    __slots__ = ("cause", "counts", "for_s", "incarnation", "reference")

    def __init__(
        self,
        incarnation: Incarnation,
        cause: EjectionCause,
        counts: DecayingCounts,
        reference: float = 0.0,
        for_s: float = 0.0,
    ) -> None:
        """`reference` is a median in seconds or a failure rate, depending on the cause.

        `for_s` is the time without any requests; 0 for a reinstatement.
        """
        self.incarnation = incarnation
        self.cause = cause
        self.counts = counts
        self.reference = reference
        self.for_s = for_s

    @property
    def is_reinstatement(self) -> bool:
        """Whether the worker gets regular requests again."""
        return self.for_s == 0.0


class _Outlier:
    """Evidence that a worker is slow or failing."""

    __slots__ = ("cause", "reference", "severity")

    def __init__(self, cause: EjectionCause, reference: float, severity: float) -> None:
        self.cause = cause
        self.reference = reference
        self.severity = severity


class _EjectionState:
    """State of a worker that was ejected at least once."""

    __slots__ = (
        "baseline",
        "ejected_until_s",
        "ejections",
        "is_ejected",
        "next_probe_s",
        "probing_since_s",
        "reinstated_s",
    )

    def __init__(self) -> None:
        self.is_ejected = False
        self.ejected_until_s = 0.0
        self.ejections = 0
        self.reinstated_s = 0.0
        self.probing_since_s = 0.0
        self.next_probe_s: float | None = None
        """When this process may probe next; None until probing begins."""
        self.baseline = DecayingCounts()
        """Counts at the start of probing; only later observations are compared."""


class OutlierDetector:
    """Ejected workers by incarnation. Not safe for threads.

    An ejected worker gets no requests for a while, then probes. It is reinstated after successful
    probes and ejected for twice as long after a bad one.
    """

    def __init__(self) -> None:
        self._states: dict[Incarnation, _EjectionState] = {}

    def is_ejected(self, incarnation: Incarnation) -> bool:
        """Whether a worker gets probe requests only."""
        state = self._states.get(incarnation)
        return state is not None and state.is_ejected

    def may_probe(self, incarnation: Incarnation, now_s: float, gateways: int = 1) -> bool:
        """Claim a probe request to an ejected worker; False if none is due.

        The probe rate is divided among `gateways`, each of which counts its own probes.
        """
        state = self._states.get(incarnation)
        if state is None or not state.is_ejected or state.next_probe_s is None:
            return False
        if now_s < state.next_probe_s:
            return False
        state.next_probe_s = now_s + PROBE_INTERVAL_S * max(1, gateways)
        return True

    def update(
        self,
        service: str,
        observed: Mapping[Incarnation, DecayingCounts],
        now_s: float,
        gateways: int = 1,
    ) -> list[EjectionChange]:
        """Compare all workers of a service, including those without observations.

        Returns the ejections and reinstatements.
        """
        recent = {
            worker: self._recent_counts(worker, counts, now_s)
            for worker, counts in observed.items()
        }
        changes = [
            change
            for worker, counts in recent.items()
            if self.is_ejected(worker)
            and (change := self._check_ejected(worker, counts, recent, observed, now_s, gateways))
        ]
        changes += self._reinstate_excess(recent)
        return changes + self._eject_worst(recent, now_s)

    def retain(self, present: Collection[Incarnation]) -> None:
        """Drop the state of workers that are not present."""
        for worker in [worker for worker in self._states if worker not in present]:
            del self._states[worker]

    def _recent_counts(
        self, worker: Incarnation, counts: DecayingCounts, now_s: float
    ) -> DecayingCounts:
        """The observations since probing last began; all of them for a worker never ejected."""
        now = counts.as_of(now_s)
        state = self._states.get(worker)
        return now if state is None else now.since(state.baseline)

    def _check_ejected(
        self,
        worker: Incarnation,
        counts: DecayingCounts,
        recent: Mapping[Incarnation, DecayingCounts],
        observed: Mapping[Incarnation, DecayingCounts],
        now_s: float,
        gateways: int,
    ) -> EjectionChange | None:
        state = self._states[worker]
        if now_s < state.ejected_until_s:
            return None
        if state.next_probe_s is None:
            # Spread the first probes of the gateways over one probe cycle.
            spread_s = PROBE_INTERVAL_S * (gateways - 1)
            state.next_probe_s = now_s + random.uniform(0.0, max(0.0, spread_s))
            state.baseline = observed[worker].as_of(now_s)
            state.probing_since_s = now_s
            return None
        outlier = _find_outlier(counts, self._reference(recent), is_included=False)
        if outlier is not None:
            return self._eject(worker, EjectionCause.BAD_PROBE, counts, outlier.reference, now_s)
        has_long_probing = counts.served > 0 and now_s - state.probing_since_s >= LONG_PROBING_S
        if counts.served >= MIN_GOOD_PROBES or has_long_probing:
            return self._reinstate(worker, EjectionCause.GOOD_PROBES, counts, now_s)
        return None

    def _reinstate_excess(
        self, recent: Mapping[Incarnation, DecayingCounts]
    ) -> list[EjectionChange]:
        """Reinstate the workers ejected beyond the bound, as when other workers are removed."""
        ejected = [worker for worker in recent if self.is_ejected(worker)]
        excess = len(ejected) - max_ejected(len(recent))
        soonest = sorted(ejected, key=lambda worker: self._states[worker].ejected_until_s)
        return [
            self._reinstate(worker, EjectionCause.TOO_MANY, recent[worker], recent[worker].as_of_s)
            for worker in soonest[: max(0, excess)]
        ]

    def _eject_worst(
        self, recent: Mapping[Incarnation, DecayingCounts], now_s: float
    ) -> list[EjectionChange]:
        ejected = sum(self.is_ejected(worker) for worker in recent)
        remaining = max_ejected(len(recent)) - ejected
        if remaining <= 0:
            return []
        reference = self._reference(recent)
        outliers = {
            worker: outlier
            for worker, counts in recent.items()
            if not self.is_ejected(worker)
            and (outlier := _find_outlier(counts, reference, is_included=True))
        }
        worst = sorted(outliers, key=lambda worker: -outliers[worker].severity)[:remaining]
        return [
            self._eject(
                worker, outliers[worker].cause, recent[worker], outliers[worker].reference, now_s
            )
            for worker in worst
        ]

    def _reference(self, recent: Mapping[Incarnation, DecayingCounts]) -> "_ServiceReference":
        return _ServiceReference(
            [counts for worker, counts in recent.items() if not self.is_ejected(worker)]
        )

    def _eject(
        self,
        worker: Incarnation,
        cause: EjectionCause,
        counts: DecayingCounts,
        reference: float,
        now_s: float,
    ) -> EjectionChange:
        state = self._states.setdefault(worker, _EjectionState())
        if not state.is_ejected and now_s - state.reinstated_s > BACKOFF_RESET_S:
            state.ejections = 0
        for_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**state.ejections)
        state.ejections += 1
        state.is_ejected = True
        state.ejected_until_s = now_s + for_s
        state.next_probe_s = None
        return EjectionChange(worker, cause, counts, reference, for_s)

    def _reinstate(
        self, worker: Incarnation, cause: EjectionCause, counts: DecayingCounts, now_s: float
    ) -> EjectionChange:
        state = self._states[worker]
        state.is_ejected = False
        state.reinstated_s = now_s
        return EjectionChange(worker, cause, counts)


def max_ejected(workers: int) -> int:
    """Maximum number of workers of a service ejected at a time.

    >>> [max_ejected(workers) for workers in (1, 2, 3, 4)]
    [0, 1, 1, 2]
    """
    return int(workers * MAX_EJECTED_SHARE)


def failure_rate_lower_bound(failed: float, completed: float, z_score: float = FAILURE_Z) -> float:
    """Lower end of the Wilson score interval for a failure rate.

    >>> round(failure_rate_lower_bound(3, 3), 2), round(failure_rate_lower_bound(4, 20), 2)
    (0.31, 0.06)
    """
    return _wilson(failed, completed, -z_score)


def failure_rate_upper_bound(failed: float, completed: float, z_score: float = FAILURE_Z) -> float:
    """Upper end of the Wilson score interval for a failure rate.

    >>> round(failure_rate_upper_bound(0, 6, 1.0), 2), round(failure_rate_upper_bound(5, 20, 1), 2)
    (0.14, 0.36)
    """
    return _wilson(failed, completed, z_score)


def _wilson(failed: float, completed: float, z_score: float) -> float:
    if completed <= 0:
        return 0.0 if z_score < 0 else 1.0
    square = z_score * z_score
    share = min(1.0, failed / completed)
    spread = z_score * math.sqrt(
        share * (1 - share) / completed + square / (4 * completed * completed)
    )
    return max(0.0, (share + square / (2 * completed) + spread) / (1 + square / completed))


class _ServiceReference:
    """Total failures and sorted medians of the workers that others are compared with.

    Failure rates are compared with all others together, since some requests fail at any worker and
    the lowest of a few small samples is too low.
    """

    __slots__ = ("completed", "failed", "medians")

    def __init__(self, reference: Sequence[DecayingCounts]) -> None:
        known = [worker for worker in reference if worker.completed >= MIN_REFERENCE_REQUESTS]
        self.failed = sum(worker.failed for worker in known)
        self.completed = sum(worker.completed for worker in known)
        self.medians = sorted(
            worker.quantile_s(0.5) for worker in reference if worker.served >= MIN_REFERENCE_ANSWERS
        )
        if len(self.medians) < MIN_KNOWN_SHARE * len(reference):
            # The few known medians may all belong to the fastest hardware.
            self.medians = []

    def failures_without(self, own: DecayingCounts | None) -> tuple[float, float]:
        """Failed and completed requests of all workers but one; of all if `own` is None."""
        if own is None or own.completed < MIN_REFERENCE_REQUESTS:
            return self.failed, self.completed
        return max(0.0, self.failed - own.failed), self.completed - own.completed


def _find_outlier(
    counts: DecayingCounts, reference: _ServiceReference, *, is_included: bool
) -> _Outlier | None:
    """Evidence against a worker; `is_included` if it counts in the reference itself.

    A worker that is not included is being probed, where fewer requests suffice as evidence.
    """
    min_failures, min_answers = (
        (MIN_FAILURES, MIN_ANSWERS) if is_included else (BAD_PROBE_WEIGHT, BAD_PROBE_WEIGHT)
    )
    failing = _failing(counts, reference, min_failures, is_included=is_included)
    return failing or _slow(counts, reference.medians, min_answers, is_included=is_included)


def _failing(
    counts: DecayingCounts, reference: _ServiceReference, min_count: float, *, is_included: bool
) -> _Outlier | None:
    if counts.failed < min_count:
        return None
    failed, completed = reference.failures_without(counts if is_included else None)
    if completed < MIN_REFERENCE_REQUESTS:
        return None
    upper_bound = failure_rate_upper_bound(failed, completed, REFERENCE_Z)
    excess = failure_rate_lower_bound(counts.failed, counts.completed) - upper_bound
    if excess <= MIN_FAILURE_EXCESS:
        return None
    fails_all = counts.served < MIN_FAILURES / 4
    cause = EjectionCause.FAILING_ALL if fails_all else EjectionCause.FAILING
    # Rank every failing worker above all slow ones.
    return _Outlier(cause, failed / completed, 1_000.0 + excess)


def _slow(
    counts: DecayingCounts, medians: Sequence[float], min_count: float, *, is_included: bool
) -> _Outlier | None:
    if counts.served < min_count:
        return None
    own = counts.quantile_s(0.5)
    reference = lower_quartile(medians, own if is_included else None)
    lower_bound_s = median_lower_bound_s(counts)
    if (
        reference is None
        or lower_bound_s <= SLOW_FACTOR * reference
        or own - reference < MIN_SLOW_EXCESS_S
    ):
        return None
    return _Outlier(EjectionCause.SLOW, reference, own / reference)


def median_lower_bound_s(counts: DecayingCounts) -> float:
    """Lower confidence bound in seconds of a worker's median latency."""
    answers = max(1.0, sum(counts.buckets.values()))
    return counts.quantile_s(max(0.0, 0.5 - MEDIAN_RANK_MARGIN / math.sqrt(answers)))


def lower_quartile(values: Sequence[float], own: float | None) -> float | None:
    """Lower quartile of sorted figures without `own`; None if none are left.

    As a reference it is not distorted by a service of which up to half is slow.

    >>> [lower_quartile([1.0, 2.0, 3.0, 4.0, 5.0], own) for own in (1.0, 2.0, 5.0, None)]
    [3.0, 3.0, 2.0, 2.0]
    >>> lower_quartile([1.0], 1.0) is None, lower_quartile([1.0], 7.0)
    (True, 1.0)
    """
    index = bisect_left(values, own) if own is not None else len(values)
    has_own = index < len(values) and values[index] == own
    count = len(values) - has_own
    if count <= 0:
        return None
    wanted = int(QUARTILE * count)
    return values[wanted + (has_own and index <= wanted)]
