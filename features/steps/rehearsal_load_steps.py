"""Steps of rehearsal_load.feature."""

import itertools
import json
import math
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from bellweir_rehearsal.faults.kinds import FaultKind
from bellweir_rehearsal.faults.schedule import (
    REPLACEMENT_GAP_S,
    random_schedule,
    targets_of,
)
from bellweir_rehearsal.load.arrivals import bursts, diurnal, poisson, trace
from bellweir_rehearsal.load.generator import LoadGenerator
from bellweir_rehearsal.load.lengths import LengthModel
from bellweir_rehearsal.load.mix import Load, TrafficClass
from bellweir_rehearsal.records.model import CallEnded, CallOutcome
from bellweir_rehearsal.topology.deployment import (
    DeploymentError,
    load_deployment,
    parse_deployment,
    shipped_deployments,
)

DEVIATIONS = 6
"""Counts may be this many standard deviations off: once in 500 million draws by chance."""


def for_any_load(check):
    @settings(max_examples=20)
    @hypothesis_given(
        strategies.floats(1, 200), strategies.floats(20, 60), strategies.integers(0, 2**32)
    )
    def run(rate, duration_s, seed):
        check(rate, duration_s, seed)

    run()


def assert_near(count, expected):
    assert abs(count - expected) <= DEVIATIONS * math.sqrt(expected) + 1, (count, expected)


@given("any rehearsal load rate, duration and seed")
def step_any_load(context):
    context.for_any_load = for_any_load


@then("the rehearsal arrivals are ascending, within the duration, and as many as the rate gives")
def step_poisson(context):
    def check(rate, duration_s, seed):
        times = list(poisson(rate, duration_s, seed))
        assert times == sorted(times)
        assert all(0 <= at_s < duration_s for at_s in times)
        assert_near(len(times), rate * duration_s)

    context.for_any_load(check)


@then("the rehearsal arrivals are the same again for the same seed")
def step_same(context):
    context.for_any_load(
        lambda rate, duration_s, seed: (
            list(poisson(rate, duration_s, seed)) == list(poisson(rate, duration_s, seed))
        )
    )


@then("rehearsal bursts hold the burst's share of the arrivals")
def step_bursts(context):
    def check(rate, duration_s, seed):
        whole_s = duration_s - duration_s % 10
        times = list(bursts(rate, whole_s, seed, period_s=10, burst_s=2, factor=5))
        within = [at_s for at_s in times if at_s % 10 < 2]
        assert_near(len(within), rate * 5 * whole_s / 5)
        assert_near(len(times) - len(within), rate * whole_s * 4 / 5)

    context.for_any_load(check)


@then("a rehearsal day has most of its arrivals around its middle")
def step_day(context):
    def check(rate, duration_s, seed):
        times = list(diurnal(rate, duration_s, seed, day_s=duration_s, swing=0.8))
        assert_near(len(times), rate * duration_s)
        middle = [at_s for at_s in times if duration_s / 4 <= at_s < duration_s * 3 / 4]
        # The mean of 1 - 0.8 cos(x) over the middle half of a period is 1 + 1.6 / pi.
        assert_near(len(middle), rate * duration_s / 2 * (1 + 1.6 / math.pi))

    context.for_any_load(check)


@given("a rehearsal trace file of ascending times")
def step_trace(context):
    source = random.Random(3)
    context.times = sorted(source.uniform(0, 20) for _ in range(50))
    context.trace = context.folder / "trace.jsonl"
    context.trace.write_text("".join(json.dumps({"at_s": at_s}) + "\n" for at_s in context.times))


@then("the replayed rehearsal arrivals are those times divided by the speed")
def step_replayed(context):
    replayed = list(trace(context.trace, duration_s=5.0, speed=2.0))
    assert replayed == [at_s / 2 for at_s in context.times if at_s / 2 < 5.0]


@then("a rehearsal trace whose time goes back is refused with its line")
def step_trace_back(context):
    context.trace.write_text('{"at_s": 2}\n{"at_s": 1}\n')
    try:
        list(trace(context.trace, duration_s=5.0))
    except ValueError as failure:
        assert ":2:" in str(failure)
    else:
        raise AssertionError("a trace that goes back was replayed")


@given("any rehearsal length model")
def step_lengths(context):
    context.medians = (1, 24, 600)


@then("half of the rehearsal lengths are below the median and none exceeds 20 medians")
def step_median(context):
    for median in context.medians[1:]:
        source = random.Random(median)
        lengths = [LengthModel(median).draw(source) for _ in range(10_000)]
        assert_near(sum(length < median for length in lengths), 5_000)
        assert 10 * median < max(lengths) <= 20 * median
    assert LengthModel(1).draw(random.Random(0)) >= 1


class StubCaller:
    """Answers only once told to, and notes when it was asked."""

    def __init__(self):
        self.sent = []
        self.may_answer = threading.Event()
        self._lock = threading.Lock()

    def complete(self, wish):
        with self._lock:
            self.sent.append(wish)
        self.may_answer.wait(30)
        return CallEnded(time.time(), "call", CallOutcome.ANSWERED)


def completion_load(rate, **bounds):
    entry = TrafficClass(
        name="stub",
        kind="completion",
        request_class="interactive",
        rate_for_each_s=rate,
        target="policy",
    )
    return Load(traffic=(entry,), **bounds)


@given("a rehearsal load against callers that don't answer until all requests are due")
def step_silent(context):
    context.caller = StubCaller()
    context.expected = len(list(poisson(40, 1.0, 5_000)))
    context.generator = LoadGenerator(completion_load(40), [context.caller], seed=5)


@given("a rehearsal load of at most {count:d} requests")
def step_bounded(context, count):
    context.caller = StubCaller()
    context.caller.may_answer.set()
    load = completion_load(500, maximum_requests=count)
    context.generator = LoadGenerator(load, [context.caller], seed=5)


@when("the rehearsal load runs")
def step_run(context):
    def answer_once_all_are_due():
        context.wait_until(
            lambda: len(context.caller.sent) == context.expected, "all requests sent"
        )
        context.caller.may_answer.set()

    if not context.caller.may_answer.is_set():
        pool = context.cleanup.enter_context(ThreadPoolExecutor(1))
        context.cleanup.callback(context.caller.may_answer.set)
        pool.submit(answer_once_all_are_due)
    context.generator.run(1.0, threading.Event())


@then("every rehearsal request was sent before the first answer")
def step_open_loop(context):
    assert len(context.caller.sent) == context.expected


@then("the rehearsal latencies count from when each request was due")
def step_from_due(context):
    summary = context.generator.summaries()[0]
    due = [wish.scheduled_s for wish in context.caller.sent]
    assert summary.latency.count == context.expected
    # All are answered at one moment after the last was due: the first waits the whole span.
    assert summary.latency.worst_ms >= (max(due) - min(due)) * 1000 * 0.999


@then("{count:d} rehearsal requests were sent")
def step_count(context, count):
    assert len(context.caller.sent) == count


@given("any rehearsal seed and both shipped deployments")
def step_deployments(context):
    assert {"configurator", "hammerfield"} <= set(shipped_deployments())
    context.targets = [
        targets_of(load_deployment(name)) for name in ("configurator", "hammerfield")
    ]


def for_any_schedule(context, check):
    @settings(max_examples=20)
    @hypothesis_given(strategies.integers(0, 2**32), strategies.sampled_from(context.targets))
    def run(seed, targets):
        check(random_schedule(targets, 600, seed), targets, seed)

    run()


@then("the rehearsal schedule is the same for the same seed and has only targets that exist")
def step_schedule(context):
    def check(schedule, targets, seed):
        assert schedule == random_schedule(targets, 600, seed)
        for fault in schedule:
            possible = targets.of(fault.kind)
            assert fault.target in possible if possible else fault.target == ""

    for_any_schedule(context, check)


@then("in ten minutes every kind of fault comes up, also in pairs")
def step_kinds(context):
    def check(schedule, targets, seed):
        assert {fault.kind for fault in schedule} == set(FaultKind)
        assert any(
            later.at_s < earlier.at_s + earlier.duration_s
            for earlier, later in itertools.pairwise(schedule)
        )

    for_any_schedule(context, check)


@then("the rehearsal schedule never loses two disks within forty seconds")
def step_disks(context):
    def check(schedule, targets, seed):
        times = [fault.at_s for fault in schedule if fault.kind is FaultKind.NODE_REPLACED]
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert all(gap >= REPLACEMENT_GAP_S - 1 for gap in gaps), gaps

    for_any_schedule(context, check)


@given("a rehearsal deployment file with an unknown key, a negative delay and no zones")
def step_bad_file(context):
    context.deployment_text = 'name = "x"\nzonnes = 1\nzone_delay_ms = -1\nzones = []\n'


@then("reading the deployment finds all three with their key paths")
def step_findings(context):
    try:
        parse_deployment(context.deployment_text, "x.toml")
    except DeploymentError as failure:
        lines = str(failure).splitlines()
        assert {line.split(": ")[1] for line in lines} == {"zonnes", "zone_delay_ms", "zones"}
        assert all(line.startswith("x.toml: ") for line in lines)
    else:
        raise AssertionError("a file with three faults was read")
