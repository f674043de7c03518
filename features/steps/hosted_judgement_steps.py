"""Steps for the outlier detection, on replayed load with simulated time."""

import itertools
import random

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from hypothesis import given, settings

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.outlier_detection import MAX_EJECTION_S, OutlierDetector, max_ejected

STEP_S = 0.1
NORMAL_LATENCY_S = 0.1
GREY_FAILURE_SHARE = 0.5
SLOWNESS = {"ten times as slow": 10.0, "2.2 times as slow": 2.2}


class ReplayedLoad:
    """Sends requests to random workers that are not ejected, and probes to ejected ones."""

    def __init__(self, count, seed=1):
        self.random = random.Random(seed)
        self.workers = [Incarnation(f"i-{number}") for number in range(count)]
        self.seen = {one: DecayingCounts() for one in self.workers}
        self.detector = OutlierDetector()
        self.changes = []
        self.requests = dict.fromkeys(self.workers, 0)
        self.probes = dict.fromkeys(self.workers, 0)

    def run(self, outcome_of, seconds, begin_s=0.0):
        for step in range(round(seconds / STEP_S)):
            now_s = begin_s + step * STEP_S
            one = self._choose(now_s)
            outcome, took_s = outcome_of(one, now_s)
            self.seen[one].add(outcome, took_s, now_s)
            new = self.detector.update("s", self.seen, now_s)
            self.changes += [(now_s, change) for change in new]

    def _choose(self, now_s):
        for one in self.workers:
            if self.detector.may_probe(one, now_s):
                self.probes[one] += 1
                return one
        healthy = [one for one in self.workers if not self.detector.is_ejected(one)]
        one = self.random.choice(healthy)
        self.requests[one] += 1
        return one


def outcomes(load, bad, kind):
    """Outcome of a request by the kind of its worker; normal latency varies by a third."""

    def outcome_of(one, _now_s):
        took_s = NORMAL_LATENCY_S * load.random.uniform(0.67, 1.33)
        if one not in bad:
            return ObservedOutcome.SERVED, took_s
        if kind in SLOWNESS:
            return ObservedOutcome.SERVED, took_s * SLOWNESS[kind]
        if kind == "failing every request" or load.random.random() < GREY_FAILURE_SHARE:
            return ObservedOutcome.FAILED, 0.001
        return ObservedOutcome.SERVED, took_s

    return outcome_of


@when("{count:d} workers serve load of which {bad:d} are {kind}")
def when_served(context, count, bad, kind):
    context.load = load = ReplayedLoad(count)
    context.bad = set(load.workers[:bad])
    load.run(outcomes(load, context.bad, kind), 20.0)


@then("within 20 s exactly the bad ones were ejected, and they got few requests afterwards")
def then_bad_ejected(context):
    load = context.load
    ejected = {change.incarnation for _, change in load.changes if not change.is_reinstatement}
    assert ejected == context.bad, ejected
    for one in context.bad:
        assert load.requests[one] <= 40, load.requests
        assert load.probes[one] <= 8, load.probes


@then("no worker was ever ejected")
def then_none_ejected(context):
    assert not context.load.changes, [str(one.incarnation) for _, one in context.load.changes]


@then("at {loads:d} loads of 6 slower and 2 faster workers no more than 1 in 40 is ever ejected")
def then_two_kinds(context, loads):
    ejected = 0
    for seed in range(loads):
        load = ReplayedLoad(8, seed)
        fast = set(load.workers[:2])

        def outcome_of(one, _now_s, load=load, fast=fast):
            took_s = 0.03 * load.random.lognormvariate(0.0, 0.5)
            return ObservedOutcome.SERVED, took_s if one in fast else 2.2 * took_s

        load.run(outcome_of, 30.0)
        ejected += len({change.incarnation for _, change in load.changes})
    assert ejected <= 8 * loads / 40, ejected


@then(
    "at {loads:d} loads of {count:d} workers that fail {percent:d}% alike no more than 1 in 10 is "
    "ever ejected"
)
def then_fail_alike(context, loads, count, percent):
    ejected = 0
    for seed in range(loads):
        load = ReplayedLoad(count, seed)

        def outcome_of(_one, _now_s, load=load):
            failed = load.random.random() < percent / 100
            return ObservedOutcome.FAILED if failed else ObservedOutcome.SERVED, NORMAL_LATENCY_S

        load.run(outcome_of, 20.0)
        ejected += len({change.incarnation for _, change in load.changes})
    assert ejected <= count * loads / 10, ejected


@given_step("{count:d} workers serve load of which one fails every request for 10 s")
def given_failing_for_a_while(context, count):
    context.load = load = ReplayedLoad(count)
    bad = outcomes(load, {load.workers[0]}, "failing every request")
    healthy = outcomes(load, set(), "")
    load.run(lambda one, now_s: (bad if now_s < 10 else healthy)(one, now_s), 55.0)


@then("it is ejected, and reinstated within 45 s")
def then_returns(context):
    load = context.load
    assert {one.incarnation for _, one in load.changes} == {load.workers[0]}
    assert not load.changes[0][1].is_reinstatement
    assert load.changes[-1][1].is_reinstatement, load.changes[-1][1].kind
    assert not load.detector.is_ejected(load.workers[0])


@given_step("{count:d} workers serve load of which one fails every request for 5 s of each 12 s")
def given_flapping(context, count):
    context.load = load = ReplayedLoad(count)
    bad = outcomes(load, {load.workers[0]}, "failing every request")
    healthy = outcomes(load, set(), "")
    load.run(lambda one, now_s: (bad if now_s % 12 < 5 else healthy)(one, now_s), 120.0)


@then("each ejection within a minute of the last is longer, up to 30 s")
def then_backoff_grows(context):
    ejections_s = [one.for_s for _, one in context.load.changes if not one.is_reinstatement]
    assert len(ejections_s) >= 4, ejections_s
    assert {one.incarnation for _, one in context.load.changes} == {context.load.workers[0]}
    for shorter, longer in itertools.pairwise(ejections_s):
        assert longer == min(MAX_EJECTION_S, 2 * shorter), ejections_s


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.sampled_from([ObservedOutcome.SERVED, ObservedOutcome.FAILED, ObservedOutcome.REFUSED]),
        st.floats(0.001, 10.0),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


@then("under any outcomes at most half of a service is ejected, and a single worker never is")
def then_bounded(context):
    @settings(max_examples=200, deadline=None)
    @given(count=st.integers(1, 5), events=EVENTS, leaves=st.integers(0, 60))
    def bounded(count, events, leaves):
        workers = [Incarnation(f"i-{number}") for number in range(count)]
        seen = {one: DecayingCounts() for one in workers}
        detector = OutlierDetector()
        now_s = 0.0
        for number, (index, outcome, took_s, pause_s) in enumerate(events):
            now_s += pause_s
            if number == leaves and len(seen) > 1:
                del seen[next(iter(seen))]
                detector.retain(seen)
            one = list(seen)[index % len(seen)]
            seen[one].add(outcome, took_s, now_s)
            detector.update("s", seen, now_s)
            ejected = sum(detector.is_ejected(each) for each in seen)
            assert ejected <= max_ejected(len(seen))

    bounded()


@then("counts since an earlier time are exact under any outcomes")
def then_exact(context):
    @settings(max_examples=100, deadline=None)
    @given(before=EVENTS, after=EVENTS)
    def exact(before, after):
        whole, late = DecayingCounts(), DecayingCounts()
        now_s = 0.0
        for _, outcome, took_s, pause_s in before:
            now_s += pause_s
            whole.add(outcome, took_s, now_s)
        earlier = whole.as_of(now_s)
        for _, outcome, took_s, pause_s in after:
            now_s += pause_s
            whole.add(outcome, took_s, now_s)
            late.add(outcome, took_s, now_s)
        since = whole.as_of(now_s).since(earlier)
        for name in ("served", "failed", "refused"):
            assert abs(getattr(since, name) - getattr(late, name)) < 1e-6, name

    exact()


@then("a worker whose probes are 9 s apart is reinstated within a minute of its recovery")
def then_returns(context):
    bad, good = Incarnation("bad"), Incarnation("good")
    seen, detector = {bad: DecayingCounts(), good: DecayingCounts()}, OutlierDetector()
    for _ in range(4):
        seen[bad].add(ObservedOutcome.FAILED, 0.01, now_s=0.0)
        seen[good].add(ObservedOutcome.SERVED, 0.1, now_s=0.0)
    detector.update("s", seen, now_s=0.0)
    assert detector.is_ejected(bad)
    now_s = 0.0
    while detector.is_ejected(bad):
        now_s += 9.0
        assert now_s <= 60.0, "still ejected"
        seen[good].add(ObservedOutcome.SERVED, 0.1, now_s)
        detector.update("s", seen, now_s)
        if detector.may_probe(bad, now_s):
            seen[bad].add(ObservedOutcome.SERVED, 0.1, now_s)
        detector.update("s", seen, now_s)
