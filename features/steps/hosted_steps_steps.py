"""Order of steps and placing of texts, on any needs and on replayed load."""

import itertools
import time

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from bench.step_replay import ORDERS, PLACEMENTS, Replay, loads
from features.support.hosted_jobs import HOST, configuration, make_job, make_leader
from hypothesis import given, settings

from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.placement import (
    LONGEST_HOLD_S,
    EarliestEnd,
    EngineRoom,
    FastestFree,
    TextNeed,
)
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.state import AcceptJob, JobState
from bellweir.hosted.batches.step_ordering import (
    LATE_SHARE,
    EnginesRoom,
    GroupNeed,
    MostInTime,
    Standing,
    StepNeed,
)
from bellweir.hosted.batches.step_scheduler import OpenStep, StepScheduler
from bellweir.hosted.records import Configuration
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir_platform.headers import HEADERS

PACE_S = 0.1


def steps_strategy(most_groups, tenants=("a", "b")):
    group = st.tuples(st.integers(1, 60), st.floats(0.1, 1.0), st.integers(0, 3), st.integers(0, 3))
    step = st.tuples(
        st.floats(-3.0, 9.0),
        st.lists(group, max_size=most_groups),
        st.integers(0, 4),
        st.integers(4, 6) if len(tenants) > 1 else st.just(5),
        st.sampled_from(tenants),
    )

    def made(drawn):
        steps = []
        for number, (due_s, groups, wanted, priority, tenant) in enumerate(drawn):
            needs = [
                GroupNeed(f"g-{at}", work, work * share, waiting, running)
                for at, (work, share, waiting, running) in enumerate(groups)
            ]
            steps.append(StepNeed(f"job-{number}", due_s, needs, wanted, priority, tenant))
        return steps

    return st.lists(step, max_size=4).map(made)


def keys(ordered):
    return [(one.job, one.group, one.standing) for one in ordered]


@then("the order has each group once and is the same however the steps are listed")
def then_total(context):
    @settings(max_examples=200)
    @given(steps=steps_strategy(6), places=st.integers(1, 40), data=st.data())
    def total(steps, places, data):
        room = EnginesRoom(places, PACE_S)
        listed = data.draw(st.permutations(steps))
        for order in ORDERS.values():
            found = keys(order.order(steps, room, 0.0))
            wanted = sorted((step.job, group.name) for step in steps for group in step.groups)
            assert sorted(one[:2] for one in found) == wanted
            assert found == keys(order.order(steps, room, 0.0))
        in_order = keys(MostInTime().order(steps, room, 0.0))
        assert in_order == keys(MostInTime().order(listed, room, 0.0))

    total()


@then("as many groups are in time as can be together, before late ones and surplus ones")
def then_most(context):
    @settings(max_examples=200)
    @given(steps=steps_strategy(3, ("a",)), places=st.integers(1, 3))
    def most(steps, places):
        room = EnginesRoom(places, PACE_S)
        found = MostInTime().order(steps, room, 0.0)
        in_time = [one for one in found if one.standing is Standing.IN_TIME]
        assert len(in_time) == most_together(steps, room)
        ranks = [list(Standing).index(one.standing) for one in found]
        assert ranks == sorted(ranks)

    most()


def most_together(steps, room):
    """The most wanted groups that are in time together, of all choices."""
    wanted = []
    for step in steps:
        nearest = sorted(step.groups, key=lambda group: (group.work, group.name))
        wanted += [(step.due_s, group) for group in nearest[: step.wanted]]
    wanted = [one for one in wanted if one[1].longest * room.pace_s <= one[0]]
    wanted.sort(key=lambda one: one[0])
    for count in range(len(wanted), 0, -1):
        for chosen in itertools.combinations(wanted, count):
            done = itertools.accumulate(group.work for _, group in chosen)
            pairs = zip(chosen, done, strict=True)
            if all(work * room.pace_s / room.places <= due_s for (due_s, _), work in pairs):
                return count
    return 0


@then("a group that can't be in time gets places while such groups have few")
def then_not_starved(context):
    @settings(max_examples=300)
    @given(steps=steps_strategy(6), places=st.integers(8, 40))
    def not_starved(steps, places):
        found = MostInTime().order(steps, EnginesRoom(places, PACE_S), 0.0)
        needs = {(step.job, group.name): group for step in steps for group in step.groups}
        late = [one for one in found if one.standing is Standing.LATE]
        running = sum(needs[one.job, one.group].running for one in late)
        waits = any(needs[one.job, one.group].waiting for one in late)
        if waits and running < int(LATE_SHARE * places):
            first = found[0]
            assert first.standing is Standing.LATE
            in_time = any(one.standing is Standing.IN_TIME for one in found)
            assert needs[first.job, first.group].waiting or not in_time

    not_starved()


@then("two trainers' steps of texts whose lengths nobody knows go by their due times, none late")
def then_unknown(context):
    attempts = ItemAttempts(WorkerConnections(HEADERS), WorkerLoads("a"))
    queue = StepScheduler(attempts.known_events, lambda _service: [(PACE_S, 8)], lambda: 5.0)
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
    queue.update(steps, known, (), table)
    ranks = {key: queue.rank(progress) for key, progress in known.items()}
    assert all(queue.urgency(progress) is None for progress in known.values())
    assert {rank for (job, _), rank in ranks.items() if job == "/rewrite/"} == {0}
    assert {rank for (job, _), rank in ranks.items() if job == "/draft/"} == {1}


def texts_and_rooms():
    text = st.tuples(st.floats(1, 100), st.integers(0, 60), st.floats(0.0, 2.0))
    room = st.tuples(
        st.floats(0.01, 0.5),
        st.integers(1, 4),
        st.lists(st.floats(0.0, 5.0), max_size=4),
        st.one_of(st.none(), st.integers(0, 100)),
    )
    return st.lists(text, max_size=20), st.lists(room, max_size=4)


def made(texts, rooms):
    needs = [TextNeed(number, *text) for number, text in enumerate(texts)]
    engines = [
        EngineRoom(number, pace_s, places, ends_s[:places], free)
        for number, (pace_s, places, ends_s, free) in enumerate(rooms)
    ]
    return needs, engines


@then("no engine gets more texts than it has places and memory for")
def then_within(context):
    texts, rooms = texts_and_rooms()

    @settings(max_examples=300)
    @given(texts=texts, rooms=rooms)
    def within(texts, rooms):
        for placement in (EarliestEnd(), FastestFree()):
            needs, engines = made(texts, rooms)
            before = [(engine.runs, engine.free_tokens) for engine in engines]
            placed = placement.place(needs, engines, 0.0)
            assert len({one.key for one in placed}) == len(placed), "a text twice"
            for engine, (runs, free) in zip(engines, before, strict=True):
                own = [one for one in placed if one.is_now and one.engine == engine.key]
                assert runs + len(own) <= engine.places or not own
                tokens = sum(needs[one.key].tokens for one in own)
                # An engine without runs takes one text of any size.
                alone = needs[own[0].key].tokens if own and runs == 0 else 0
                assert free is None or not own or tokens <= max(free, alone)

    within()


@then("a text waits for a better engine for a bounded time only")
def then_bounded(context):
    texts, rooms = texts_and_rooms()

    @settings(max_examples=300)
    @given(texts=texts, rooms=rooms)
    def bounded(texts, rooms):
        needs, engines = made(texts, rooms)
        for one in EarliestEnd().place(needs, engines, 0.0):
            assert one.is_now or needs[one.key].waited_s < LONGEST_HOLD_S
        needs, engines = made(texts, rooms)
        first = next(iter(needs), None)
        if first is not None and first.waited_s >= LONGEST_HOLD_S:
            can_begin = any(one.has_place and one.has_memory(first) for one in engines)
            placed = {one.key for one in EarliestEnd().place(needs, engines, 0.0) if one.is_now}
            assert (first.key in placed) == can_begin

    bounded()


@then('of the load "{name}" more wanted groups are in time than with the oldest step first')
def then_replayed(context, name):
    load = next(each for each in loads() if each.name == name)
    shares = {}
    for order, placing in (("oldest first", "fastest free"), ("most in time", "earliest end")):
        replay = Replay(load, ORDERS[order], PLACEMENTS[placing], seed=1)
        replay.run()
        assert replay.overfull == 0, "more texts at an engine than it has places"
        assert all(step.ended_s is not None for step in replay.steps), "a step never ended"
        shares[order] = replay.shares()[0]
    assert shares["most in time"] >= shares["oldest first"], shares


@when(
    "another trainer's job of {items:d} items in {groups:d} groups is accepted that wants "
    "{wanted:d} of them"
)
def when_another(context, items, groups, wanted):
    context.wait_until(lambda: begun(context, "job") >= 16, "all places taken")
    job = msgspec.structs.replace(
        make_job("small", items, groups, minimum_version=2),
        path_prefix="/rewrite/",
        wanted_groups=wanted,
        accepted_at_s=time.time(),
    )
    context.leader.ledger.submit("", AcceptJob(job), 1.0)


def begun(context, job_id):
    ids = {item for worker in context.leader.models for item in worker.record.ran}
    return sum(item.startswith(f"{job_id}-") for item in ids)


@then("its wanted group is whole before all items of the older job have begun")
def then_soon(context):
    results = context.leader.ledger.machine.jobs["small"].results

    def has_whole_group():
        listed = [int(result.item_id.rpartition("-")[2]) % 2 for result in results]
        return 4 in (listed.count(0), listed.count(1))

    context.wait_until(has_whole_group, "a whole group", 30.0)
    assert begun(context, "job") < len(context.job.items), "the older job went first"


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


@given_step("a leader that counts the memory of engines")
def given_counting_leader(context):
    context.leader = make_leader(context, policy=BatchSettings(count_memory=True))


@given_step("the engines have memory for {tokens:d} tokens and each item takes {each:d}")
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
    look = coordinator._choice.begin_round

    def noted(running, table):
        texts = [run for run in running if run.progress.item.tokens]
        at = [run.worker.instance for run in texts if run.progress.stage.value == "text"]
        context.counts += [at.count(worker) for worker in set(at)]
        look(running, table)

    coordinator._choice.begin_round = noted


@then("no engine ever had more than {most:d} items")
def then_memory(context, most):
    assert max(context.counts) == most, max(context.counts)
