"""Decides which workers of a service are set aside, by comparison with their fellows.

The load: plain requests of many gateways at workers of which some are slow, some fail a share of
what they get, and some fail everything while their entries say that they are well. A worker that
fails at once always has room and would draw most requests of a choice by load.

A worker is compared with what its fellows do at the same time, never with a fixed bound: where all
are slow or all fail, as in a burst or when what they rest upon is away, nobody is set aside, since
nobody would serve better. Medians are compared with the fellow's at the lower quartile, so that a
slow half does not hide itself; failures with those of all fellows together, since some requests
fail wherever they go, and with few of them the best fellow looks better than it is. At most
`MOST_SET_ASIDE` of a service is set aside, the worst first: what is left must carry the load.

A worker that is set aside gets nothing for a while, then trials, few for all gateways together. It
returns after some good ones and is set aside for twice as long after a bad one.

>>> from bellweir.hosted.sight.interface import ObservedOutcome
>>> a, b = Incarnation("i-a"), Incarnation("i-b")
>>> seen = {a: DecayingCounts(), b: DecayingCounts()}
>>> for _ in range(4):
...     seen[a].add(ObservedOutcome.FAILED, 0.01, now_s=0.0)
...     seen[b].add(ObservedOutcome.SERVED, 0.1, now_s=0.0)
>>> judgement = OutlierDetector()
>>> [(str(one.incarnation), one.kind.value) for one in judgement.update("s", seen, now_s=0.0)]
[('i-a', 'failing_all')]
>>> judgement.is_ejected(a), judgement.may_probe(a, now_s=0.1), judgement.is_ejected(b)
(True, False, False)
"""

import math
import random
from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from enum import Enum

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts

MOST_SET_ASIDE = 0.5
"""Share of a service's workers: of a slow half the other half serves more than both together."""
FEWEST_FAILURES = 1.8
"""Two within a second or two: one may be chance or the request's own fault."""
FEWEST_TIMES = 2.5
"""Answers before a worker's median tells anything."""
FEWEST_OF_FELLOW = 1.5
"""Requests before a worker is one to compare failures with."""
FEWEST_TIMES_OF_FELLOW = 4.0
"""Answers before its median is one to compare with."""
SHARE_KNOWN = 0.5
"""Share of the workers in good standing whose medians must be known before any is compared."""
MEDIAN_SURENESS = 0.75
"""Over the root of the number of answers: by so much the rank that is compared lies below the
middle of a worker's own answers. Of a median that is one and a half standard deviations; few
answers that happen to be long don't make a worker slow."""
SLOW_FACTOR = 3.0
"""Above the unlikeness of sound workers of several kinds, which batch and differ by 2 to 2.5."""
SLOW_AT_LEAST_S = 0.05
"""Callers don't notice less."""
FAILURE_MARGIN = 0.05
"""Share of failures that a worker must surely have above its fellows'."""
FELLOWS_SURENESS = 1.0
"""Standard deviations above the share of all fellows: requests that fail wherever they go hit one
worker more often than another by chance."""
SURENESS = 2.6
"""Standard deviations: a sound worker is taken for a failing one about once in 200 times."""
FIRST_ASIDE_S = 2.0
"""A stop or restart of a worker is over in about this time."""
LONGEST_ASIDE_S = 30.0
TRIAL_PERIOD_S = 1.5
"""Time between two trials of all gateways together; a trial may cost its caller a second try."""
GOOD_TRIALS = 2.0
"""Weight of good trials before the return."""
LONG_TRIALS_S = 20.0
"""Time of trials after which one good one is enough: where few requests come, two weigh less than
two by the time that the second one ends."""
BAD_TRIAL = 0.7
"""Weight of a failed one after which the worker is set aside again."""
FORGIVEN_AFTER_S = 60.0
"""Time after a return in which the next while is longer than the last."""
QUARTILE = 0.25


class EjectionCause(Enum):
    """What a judgement says of a worker."""

    SLOW = "slow"
    """Its median answer takes several times that of a fellow."""
    FAILING = "failing"
    """It fails a larger share than its fellows."""
    FAILING_ALL = "failing_all"
    """It fails everything."""
    BAD_TRIAL = "bad_trial"
    """A trial showed it as bad as before."""
    GOOD_TRIALS = "good_trials"
    """It returns after trials."""
    TOO_MANY = "too_many"
    """It returns since too large a part of its service is set aside."""


class EjectionChange:
    """A change of what is believed of a worker, with what it rests upon."""

    __slots__ = ("counts", "fellow", "for_s", "incarnation", "kind")

    def __init__(
        self,
        incarnation: Incarnation,
        kind: EjectionCause,
        counts: DecayingCounts,
        fellow: float = 0.0,
        for_s: float = 0.0,
    ) -> None:
        """`fellow` is the fellow's median in seconds, or the fellows' share of failures.

        `for_s` is how long the worker gets nothing; 0 for a return.
        """
        self.incarnation = incarnation
        self.kind = kind
        self.counts = counts
        self.fellow = fellow
        self.for_s = for_s

    @property
    def is_return(self) -> bool:
        """Whether the worker gets requests as its fellows do again."""
        return self.for_s == 0.0


class _Finding:
    """That a worker is worse than its fellows, and by how much."""

    __slots__ = ("fellow", "kind", "severity")

    def __init__(self, kind: EjectionCause, fellow: float, severity: float) -> None:
        self.kind = kind
        self.fellow = fellow
        self.severity = severity


class _Standing:
    """What is believed of a worker that was set aside once."""

    __slots__ = (
        "baseline",
        "is_aside",
        "next_trial_s",
        "repeats",
        "returned_s",
        "trials_since_s",
        "until_s",
    )

    def __init__(self) -> None:
        self.is_aside = False
        self.until_s = 0.0
        self.repeats = 0
        self.returned_s = 0.0
        self.trials_since_s = 0.0
        self.next_trial_s: float | None = None
        """None while it gets nothing; from then on the next trial of this process."""
        self.baseline = DecayingCounts()
        """What was seen until its trials began; only what came after it counts."""


class OutlierDetector:
    """Workers that are set aside, by incarnation. Not safe for threads."""

    def __init__(self) -> None:
        self._standings: dict[Incarnation, _Standing] = {}

    def is_ejected(self, incarnation: Incarnation) -> bool:
        """Whether a worker gets no more than trials."""
        standing = self._standings.get(incarnation)
        return standing is not None and standing.is_aside

    def may_probe(self, incarnation: Incarnation, now_s: float, gateways: int = 1) -> bool:
        """Take a trial at a worker that is set aside; False when none is due.

        `gateways` share the trials; each counts its own.
        """
        standing = self._standings.get(incarnation)
        if standing is None or not standing.is_aside or standing.next_trial_s is None:
            return False
        if now_s < standing.next_trial_s:
            return False
        standing.next_trial_s = now_s + TRIAL_PERIOD_S * max(1, gateways)
        return True

    def update(
        self,
        service: str,
        seen: Mapping[Incarnation, DecayingCounts],
        now_s: float,
        gateways: int = 1,
    ) -> list[EjectionChange]:
        """Look at all workers of a service, those of which nothing was seen included.

        Returns what changed. `service` is for the caller's log alone.
        """
        counted = {one: self._counted(one, counts, now_s) for one, counts in seen.items()}
        verdicts = [
            verdict
            for one, counts in counted.items()
            if self.is_ejected(one)
            and (verdict := self._judge_aside(one, counts, counted, seen, now_s, gateways))
        ]
        verdicts += self._return_surplus(counted)
        return verdicts + self._set_worst_aside(counted, now_s)

    def retain(self, present: Collection[Incarnation]) -> None:
        """Drop what is believed of workers that are gone."""
        for one in [one for one in self._standings if one not in present]:
            del self._standings[one]

    def _counted(self, one: Incarnation, counts: DecayingCounts, now_s: float) -> DecayingCounts:
        """What counts of what was seen: nothing of before the last trials."""
        now = counts.as_of(now_s)
        standing = self._standings.get(one)
        return now if standing is None else now.since(standing.baseline)

    def _judge_aside(
        self,
        one: Incarnation,
        counts: DecayingCounts,
        counted: Mapping[Incarnation, DecayingCounts],
        seen: Mapping[Incarnation, DecayingCounts],
        now_s: float,
        gateways: int,
    ) -> EjectionChange | None:
        standing = self._standings[one]
        if now_s < standing.until_s:
            return None
        if standing.next_trial_s is None:
            # Trials of all gateways are spread over the time in which each makes one.
            spread_s = TRIAL_PERIOD_S * (gateways - 1)
            standing.next_trial_s = now_s + random.uniform(0.0, max(0.0, spread_s))
            standing.baseline = seen[one].as_of(now_s)
            standing.trials_since_s = now_s
            return None
        finding = _finding(counts, self._fellows(counted), is_one=False)
        if finding is not None:
            return self._set_aside(one, EjectionCause.BAD_TRIAL, counts, finding.fellow, now_s)
        is_long_well = counts.served > 0 and now_s - standing.trials_since_s >= LONG_TRIALS_S
        if counts.served >= GOOD_TRIALS or is_long_well:
            return self._return(one, EjectionCause.GOOD_TRIALS, counts, now_s)
        return None

    def _return_surplus(
        self, counted: Mapping[Incarnation, DecayingCounts]
    ) -> list[EjectionChange]:
        """Let those return that are set aside beyond the bound, as after a loss of fellows."""
        aside = [one for one in counted if self.is_ejected(one)]
        surplus = len(aside) - most_set_aside(len(counted))
        soonest = sorted(aside, key=lambda one: self._standings[one].until_s)
        return [
            self._return(one, EjectionCause.TOO_MANY, counted[one], counted[one].as_of_s)
            for one in soonest[: max(0, surplus)]
        ]

    def _set_worst_aside(
        self, counted: Mapping[Incarnation, DecayingCounts], now_s: float
    ) -> list[EjectionChange]:
        aside = sum(self.is_ejected(one) for one in counted)
        places = most_set_aside(len(counted)) - aside
        if places <= 0:
            return []
        fellows = self._fellows(counted)
        found = {
            one: finding
            for one, counts in counted.items()
            if not self.is_ejected(one) and (finding := _finding(counts, fellows, is_one=True))
        }
        worst = sorted(found, key=lambda one: -found[one].severity)[:places]
        return [
            self._set_aside(one, found[one].kind, counted[one], found[one].fellow, now_s)
            for one in worst
        ]

    def _fellows(self, counted: Mapping[Incarnation, DecayingCounts]) -> "_Fellows":
        return _Fellows([counts for one, counts in counted.items() if not self.is_ejected(one)])

    def _set_aside(
        self,
        one: Incarnation,
        kind: EjectionCause,
        counts: DecayingCounts,
        fellow: float,
        now_s: float,
    ) -> EjectionChange:
        standing = self._standings.setdefault(one, _Standing())
        if not standing.is_aside and now_s - standing.returned_s > FORGIVEN_AFTER_S:
            standing.repeats = 0
        for_s = min(LONGEST_ASIDE_S, FIRST_ASIDE_S * 2**standing.repeats)
        standing.repeats += 1
        standing.is_aside = True
        standing.until_s = now_s + for_s
        standing.next_trial_s = None
        return EjectionChange(one, kind, counts, fellow, for_s)

    def _return(
        self, one: Incarnation, kind: EjectionCause, counts: DecayingCounts, now_s: float
    ) -> EjectionChange:
        standing = self._standings[one]
        standing.is_aside = False
        standing.returned_s = now_s
        return EjectionChange(one, kind, counts)


def most_set_aside(workers: int) -> int:
    """Workers of a service that may be set aside at once.

    >>> [most_set_aside(workers) for workers in (1, 2, 3, 4)]
    [0, 1, 1, 2]
    """
    return int(workers * MOST_SET_ASIDE)


def surely_at_least(failed: float, judged: float, sureness: float = SURENESS) -> float:
    """Lower end of Wilson's interval for a share of failures.

    >>> round(surely_at_least(3, 3), 2), round(surely_at_least(4, 20), 2)
    (0.31, 0.06)
    """
    return _wilson(failed, judged, -sureness)


def surely_at_most(failed: float, judged: float, sureness: float = SURENESS) -> float:
    """Upper end of the same interval.

    >>> round(surely_at_most(0, 6, 1.0), 2), round(surely_at_most(5, 20, 1.0), 2)
    (0.14, 0.36)
    """
    return _wilson(failed, judged, sureness)


def _wilson(failed: float, judged: float, sureness: float) -> float:
    if judged <= 0:
        return 0.0 if sureness < 0 else 1.0
    square = sureness * sureness
    share = min(1.0, failed / judged)
    spread = sureness * math.sqrt(share * (1 - share) / judged + square / (4 * judged * judged))
    return max(0.0, (share + square / (2 * judged) + spread) / (1 + square / judged))


class _Fellows:
    """What the workers that are compared with do: failures of all together, medians sorted."""

    __slots__ = ("failed", "judged", "medians")

    def __init__(self, fellows: Sequence[DecayingCounts]) -> None:
        known = [one for one in fellows if one.judged >= FEWEST_OF_FELLOW]
        self.failed = sum(one.failed for one in known)
        self.judged = sum(one.judged for one in known)
        self.medians = sorted(
            one.quantile_s(0.5) for one in fellows if one.served >= FEWEST_TIMES_OF_FELLOW
        )
        if len(self.medians) < SHARE_KNOWN * len(fellows):
            # The few that are known may just be the fastest kind.
            self.medians = []

    def failures_without(self, own: DecayingCounts | None) -> tuple[float, float]:
        """Failed and judged requests of all but one; None: of all."""
        if own is None or own.judged < FEWEST_OF_FELLOW:
            return self.failed, self.judged
        return max(0.0, self.failed - own.failed), self.judged - own.judged


def _finding(counts: DecayingCounts, fellows: _Fellows, *, is_one: bool) -> _Finding | None:
    """What is wrong with a worker beside its fellows; `is_one`: it is among them itself.

    One that is not is on trial, where less shows that it is bad still.
    """
    fewest_failures, fewest_times = (
        (FEWEST_FAILURES, FEWEST_TIMES) if is_one else (BAD_TRIAL, BAD_TRIAL)
    )
    failing = _failing(counts, fellows, fewest_failures, is_one=is_one)
    return failing or _slow(counts, fellows.medians, fewest_times, is_one=is_one)


def _failing(
    counts: DecayingCounts, fellows: _Fellows, fewest: float, *, is_one: bool
) -> _Finding | None:
    if counts.failed < fewest:
        return None
    failed, judged = fellows.failures_without(counts if is_one else None)
    if judged < FEWEST_OF_FELLOW:
        return None
    most = surely_at_most(failed, judged, FELLOWS_SURENESS)
    excess = surely_at_least(counts.failed, counts.judged) - most
    if excess <= FAILURE_MARGIN:
        return None
    fails_all = counts.served < FEWEST_FAILURES / 4
    kind = EjectionCause.FAILING_ALL if fails_all else EjectionCause.FAILING
    # A failing worker is worse than any slow one.
    return _Finding(kind, failed / judged, 1_000.0 + excess)


def _slow(
    counts: DecayingCounts, medians: Sequence[float], fewest: float, *, is_one: bool
) -> _Finding | None:
    if counts.served < fewest:
        return None
    own = counts.quantile_s(0.5)
    fellow = lower_quartile(medians, own if is_one else None)
    surely = surely_at_least_s(counts)
    if fellow is None or surely <= SLOW_FACTOR * fellow or own - fellow < SLOW_AT_LEAST_S:
        return None
    return _Finding(EjectionCause.SLOW, fellow, own / fellow)


def surely_at_least_s(counts: DecayingCounts) -> float:
    """A time in seconds that the true median of a worker's answers surely is not below."""
    answers = max(1.0, sum(counts.buckets.values()))
    return counts.quantile_s(max(0.0, 0.5 - MEDIAN_SURENESS / math.sqrt(answers)))


def lower_quartile(figures: Sequence[float], own: float | None) -> float | None:
    """The figure at the lower quartile of sorted ones without `own`; None when none is left.

    >>> [lower_quartile([1.0, 2.0, 3.0, 4.0, 5.0], own) for own in (1.0, 2.0, 5.0, None)]
    [3.0, 3.0, 2.0, 2.0]
    >>> lower_quartile([1.0], 1.0) is None, lower_quartile([1.0], 7.0)
    (True, 1.0)
    """
    place = bisect_left(figures, own) if own is not None else len(figures)
    has_own = place < len(figures) and figures[place] == own
    left = len(figures) - has_own
    if left <= 0:
        return None
    wanted = int(QUARTILE * left)
    return figures[wanted + (has_own and place <= wanted)]
