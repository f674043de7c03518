"""Ordering of steps and placement of texts, on generated demands and simulated load."""

import itertools
import time

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from bench.step_replay import ORDERS, PLACEMENTS, Replay, loads
from features.support.hosted_jobs import HOST, configuration, make_job, make_leader
from hypothesis import given, settings

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.placement import (
    MAX_HOLD_S,
    EarliestEnd,
    EngineState,
    FastestFree,
    TextDemand,
)
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.state import AcceptJob, JobState
from bellweir.hosted.batches.step_ordering import (
    LATE_SLOT_SHARE,
    EnginePool,
    GroupDemand,
    GroupStatus,
    MostInTime,
    StepDemand,
)
from bellweir.hosted.batches.step_scheduler import OpenStep, StepScheduler
from bellweir.hosted.records import Configuration
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir_platform.headers import HEADERS

TIME_PER_EVENT_S = 0.1


def steps_strategy(max_groups, tenants=("a", "b")):
    group = st.tuples(st.integers(1, 60), st.floats(0.1, 1.0), st.integers(0, 3), st.integers(0, 3))
    step = st.tuples(
        st.floats(-3.0, 9.0),
        st.lists(group, max_size=max_groups),
        st.integers(0, 4),
        st.integers(4, 6) if len(tenants) > 1 else st.just(5),
        st.sampled_from(tenants),
    )

    def made(drawn):
        steps = []
        for number, (due_s, groups, wanted, priority, tenant) in enumerate(drawn):
            demands = [
                GroupDemand(f"g-{at}", work, work * share, waiting, running)
                for at, (work, share, waiting, running) in enumerate(groups)
            ]
            steps.append(StepDemand(f"job-{number}", due_s, demands, wanted, priority, tenant))
        return steps

    return st.lists(step, max_size=4).map(made)


def keys(ordered):
    return [(one.job, one.group, one.status) for one in ordered]


@then("the order has each group once and doesn't depend on the order of the steps")
def then_total(context):
    @settings(max_examples=200)
    @given(steps=steps_strategy(6), slots=st.integers(1, 40), data=st.data())
    def total(steps, slots, data):
        pool = EnginePool(slots, TIME_PER_EVENT_S)
        listed = data.draw(st.permutations(steps))
        for order in ORDERS.values():
            found = keys(order.order(steps, pool, 0.0))
            wanted = sorted((step.job, group.name) for step in steps for group in step.groups)
            assert sorted(one[:2] for one in found) == wanted
            assert found == keys(order.order(steps, pool, 0.0))
        in_order = keys(MostInTime().order(steps, pool, 0.0))
        assert in_order == keys(MostInTime().order(listed, pool, 0.0))

    total()


@then("the number of groups in time is the largest possible, with late and surplus ones after them")
def then_most(context):
    @settings(max_examples=200)
    @given(steps=steps_strategy(3, ("a",)), slots=st.integers(1, 3))
    def most(steps, slots):
        pool = EnginePool(slots, TIME_PER_EVENT_S)
        found = MostInTime().order(steps, pool, 0.0)
        in_time = [one for one in found if one.status is GroupStatus.IN_TIME]
        assert len(in_time) == most_together(steps, pool)
        ranks = [list(GroupStatus).index(one.status) for one in found]
        assert ranks == sorted(ranks)

    most()


def most_together(steps, pool):
    """The largest number of wanted groups that are in time together, by exhaustive search."""
    wanted = []
    for step in steps:
        by_work = sorted(step.groups, key=lambda group: (group.remaining_events, group.name))
        wanted += [(step.due_s, group) for group in by_work[: step.wanted]]
    wanted = [
        one for one in wanted if one[1].longest_remaining_events * pool.time_per_event_s <= one[0]
    ]
    wanted.sort(key=lambda one: one[0])
    for count in range(len(wanted), 0, -1):
        for chosen in itertools.combinations(wanted, count):
            done = itertools.accumulate(group.remaining_events for _, group in chosen)
            pairs = zip(chosen, done, strict=True)
            if all(
                work * pool.time_per_event_s / pool.slots <= due_s for (due_s, _), work in pairs
            ):
                return count
    return 0


@then("late groups get slots while they have less than their share")
def then_not_starved(context):
    @settings(max_examples=300)
    @given(steps=steps_strategy(6), slots=st.integers(8, 40))
    def not_starved(steps, slots):
        found = MostInTime().order(steps, EnginePool(slots, TIME_PER_EVENT_S), 0.0)
        demands = {(step.job, group.name): group for step in steps for group in step.groups}
        late = [one for one in found if one.status is GroupStatus.LATE]
        running = sum(demands[one.job, one.group].running for one in late)
        waits = any(demands[one.job, one.group].waiting for one in late)
        if waits and running < int(LATE_SLOT_SHARE * slots):
            first = found[0]
            assert first.status is GroupStatus.LATE
            in_time = any(one.status is GroupStatus.IN_TIME for one in found)
            assert demands[first.job, first.group].waiting or not in_time

    not_starved()


@then("two trainers' steps of texts of unknown length are ordered by due time, none of them late")
def then_unknown(context):
    attempts = ItemRunner(WorkerConnections(HEADERS), WorkerLoads("a"))
    scheduler = StepScheduler(
        attempts.predicted_events_or_none, lambda _service: [(TIME_PER_EVENT_S, 8)], lambda: 5.0
    )
    table = RouteTable(msgspec.convert(configuration(), Configuration))
    steps, known = [], {}
    for prefix, due_ms in (("/draft/", 9_000.0), ("/rewrite/", 7_000.0)):
        job = msgspec.structs.replace(
            make_job(prefix, 12, 3), path_prefix=prefix, accepted_at_s=time.time()
        )
        route = msgspec.structs.replace(table.find(HOST, prefix), due_ms=due_ms)
        steps.append(OpenStep(JobState(job), route))
        for item in job.items:
            progress = known[job.id, item.id] = ItemProgress(job, route, item)
            progress.guessed_tokens = 50_000.0
    scheduler.update(steps, known, (), table)
    ranks = {key: scheduler.rank(progress) for key, progress in known.items()}
    assert all(scheduler.urgency(progress) is None for progress in known.values())
    assert {rank for (job, _), rank in ranks.items() if job == "/rewrite/"} == {0}
    assert {rank for (job, _), rank in ranks.items() if job == "/draft/"} == {1}


def texts_and_engines():
    text = st.tuples(st.floats(1, 100), st.integers(0, 60), st.floats(0.0, 2.0))
    engine = st.tuples(
        st.floats(0.01, 0.5),
        st.integers(1, 4),
        st.lists(st.floats(0.0, 5.0), max_size=4),
        st.one_of(st.none(), st.integers(0, 100)),
    )
    return st.lists(text, max_size=20), st.lists(engine, max_size=4)


def made(texts, engine_specs):
    demands = [TextDemand(number, *text) for number, text in enumerate(texts)]
    engines = [
        EngineState(number, time_per_event_s, slots, end_times_s[:slots], free)
        for number, (time_per_event_s, slots, end_times_s, free) in enumerate(engine_specs)
    ]
    return demands, engines


@then("no engine gets more texts than it has slots and memory for")
def then_within_limits(context):
    texts, engine_specs = texts_and_engines()

    @settings(max_examples=300)
    @given(texts=texts, engine_specs=engine_specs)
    def within_limits(texts, engine_specs):
        for placement in (EarliestEnd(), FastestFree()):
            demands, engines = made(texts, engine_specs)
            before = [(engine.in_flight, engine.free_tokens) for engine in engines]
            placed = placement.place(demands, engines, 0.0)
            assert len({one.key for one in placed}) == len(placed), "a text was placed twice"
            for engine, (runs, free) in zip(engines, before, strict=True):
                own = [one for one in placed if one.starts_now and one.engine == engine.key]
                assert runs + len(own) <= engine.slots or not own
                tokens = sum(demands[one.key].tokens for one in own)
                # An idle engine accepts one text of any size.
                alone = demands[own[0].key].tokens if own and runs == 0 else 0
                assert free is None or not own or tokens <= max(free, alone)

    within_limits()


@then("a text waits for a better engine for a bounded time only")
def then_bounded(context):
    texts, engine_specs = texts_and_engines()

    @settings(max_examples=300)
    @given(texts=texts, engine_specs=engine_specs)
    def bounded(texts, engine_specs):
        demands, engines = made(texts, engine_specs)
        for one in EarliestEnd().place(demands, engines, 0.0):
            assert one.starts_now or demands[one.key].waited_s < MAX_HOLD_S
        demands, engines = made(texts, engine_specs)
        first = next(iter(demands), None)
        if first is not None and first.waited_s >= MAX_HOLD_S:
            can_start = any(one.has_free_slot and one.has_memory(first) for one in engines)
            placed = {
                one.key for one in EarliestEnd().place(demands, engines, 0.0) if one.starts_now
            }
            assert (first.key in placed) == can_start

    bounded()


@then('under the load "{name}" no fewer wanted groups are in time than with the oldest step first')
def then_replayed(context, name):
    load = next(each for each in loads() if each.name == name)
    shares = {}
    for order, placing in (("oldest first", "fastest free"), ("most in time", "earliest end")):
        replay = Replay(load, ORDERS[order], PLACEMENTS[placing], seed=1)
        replay.run()
        assert replay.over_capacity == 0, "more texts on an engine than it has slots"
        assert all(step.ended_s is not None for step in replay.steps), "a step never ended"
        shares[order] = replay.shares()[0]
    assert shares["most in time"] >= shares["oldest first"], shares


@when(
    "another trainer's job of {items:d} items in {groups:d} groups is accepted that wants "
    "{wanted:d} of them"
)
def when_another(context, items, groups, wanted):
    context.wait_until(lambda: started_items(context, "job") >= 16, "all slots taken")
    job = msgspec.structs.replace(
        make_job("small", items, groups, minimum_version=2),
        path_prefix="/rewrite/",
        wanted_groups=wanted,
        accepted_at_s=time.time(),
    )
    context.leader.ledger.submit("", AcceptJob(job), 1.0)


def started_items(context, job_id):
    ids = {item for worker in context.leader.models for item in worker.record.ran}
    return sum(item.startswith(f"{job_id}-") for item in ids)


@then("its wanted group is complete before all items of the older job have started")
def then_soon(context):
    results = context.leader.ledger.machine.jobs["small"].results

    def has_complete_group():
        listed = [int(result.item_id.rpartition("-")[2]) % 2 for result in results]
        return 4 in (listed.count(0), listed.count(1))

    context.wait_until(has_complete_group, "a complete group", 30.0)
    assert started_items(context, "job") < len(context.job.items), "the older job was started first"


@then("the engines are told that its other group is less urgent")
def then_urgency(context):
    results = context.leader.ledger.machine.jobs["small"].results
    context.wait_until(lambda: len(results) == 8, "the other group", 30.0)
    name = HEADERS.urgency.lower()
    told = {
        item: headers.get(name)
        for worker in context.leader.models
        for item, headers in worker.record.headers.items()
        if item.startswith("small-")
    }
    assert sorted(value or "" for value in told.values()) == [""] * 4 + ["7"] * 4, told


@given_step("a leader that accounts for the memory of engines")
def given_accounting_leader(context):
    context.leader = make_leader(context, policy=BatchSettings(count_memory=True))


@given_step("the engines have memory for {tokens:d} tokens and each item needs {each:d}")
def given_memory(context, tokens, each):
    spec = configuration()
    spec["version"] = 2
    spec["services"][0]["engine"] = {"slots": 8, "kvCapacity": tokens}
    coordinator = context.leader.coordinator
    coordinator._configuration.apply(spec, "test")
    submit, context.most_at_once = context.leader.ledger.submit, 0

    def with_tokens(key, command, timeout_s):
        if isinstance(command, AcceptJob):
            items = tuple(msgspec.structs.replace(item, tokens=each) for item in command.job.items)
            command = AcceptJob(msgspec.structs.replace(command.job, items=items))
        return submit(key, command, timeout_s)

    context.leader.ledger.submit = with_tokens
    context.counts = []
    begin_round = coordinator._worker_selector.begin_round

    def counted(running, table):
        texts = [run for run in running if run.progress.item.tokens]
        at = [run.worker.instance for run in texts if run.progress.stage.value == "text"]
        context.counts += [at.count(worker) for worker in set(at)]
        begin_round(running, table)

    coordinator._worker_selector.begin_round = counted


@then("no engine ever ran more than {most:d} items")
def then_memory(context, most):
    assert max(context.counts) == most, max(context.counts)
