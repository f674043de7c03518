"""Decisions on room and on the order of requests that wait, on replayed load."""

import random
from collections import Counter

import hypothesis.strategies as st
from behave import given as given_step
from behave import then
from features.support.room_replay import Replay, burst
from features.support.room_ways import AppointmentRetryAfter, DeficitRoundRobin
from hypothesis import given, settings

from bellweir.hosted.queueing.admission_queue import AdmissionQueue
from bellweir.hosted.queueing.interface import CapacityEstimate, QueuedRequest, ReleaseCause
from bellweir.hosted.queueing.retry_after import RateBasedRetryAfter
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.queueing.start_time_fair import StartTimeFairQueueing
from bellweir.hosted.room.interface import AdmissionAction, TimeLimits, WorkerCapacity
from bellweir.hosted.room.policy import MIN_UTILIZATION, ExpectedLatencyPolicy

USUAL_S = 0.0375
HALF_SLOW = (USUAL_S, USUAL_S, 8 * USUAL_S, 8 * USUAL_S)
LARGE = {"large": 0.8} | {f"small-{number}": 0.02 for number in range(10)}
IN_TIME = ("in_time", "in_time_after_refusal")
ORDERS = (StartTimeFairQueueing, DeficitRoundRobin)
BOUND = 16
FULL = [WorkerCapacity(6, 30, 0.04)]
EMPTY = [WorkerCapacity(6, 0, 0.04)]

rooms = st.lists(
    st.builds(WorkerCapacity, st.integers(1, 16), st.integers(0, 200), st.floats(0, 5)), max_size=6
)
needs = st.builds(TimeLimits, st.floats(0, 10), st.floats(0, 2), st.floats(0, 0.5))
arrivals = st.lists(
    st.tuples(st.sampled_from("abcd"), st.integers(0, 3), st.floats(0.01, 0.2)),
    min_size=1,
    max_size=40,
)


def play(context, discipline=StartTimeFairQueueing, reserve=True, **switches):
    kept = [
        RateBasedRetryAfter(random.Random(3).random) for _ in range(getattr(context, "gateways", 4))
    ]
    policy = ExpectedLatencyPolicy(**switches)
    more = {"gateways": len(kept), "sight_age_s": getattr(context, "sight_age_s", 0.1)}
    replay = Replay(policy, discipline, kept.__getitem__, context.times_s, reserve=reserve, **more)
    found = replay.run(context.arrivals)
    assert sum(found.values()) == len(context.arrivals), "a client has no end"
    return replay, found


def play_starting(context):
    return play(context, waits=False, refuses=False, sheds=False)


def share(found, states, is_meant=lambda _tenant: True):
    meant = {key: number for key, number in found.items() if is_meant(key[0])}
    return sum(n for key, n in meant.items() if key[1] in states) / sum(meant.values())


def is_small(tenant):
    return tenant != "large"


def queued_request(number, tenant="", priority=5, arrived_s=0.0, wait_s=0.025, **more):
    return QueuedRequest(
        f"r{number}",
        tenant,
        priority,
        arrived_s,
        arrived_s + wait_s,
        more.pop("deadline_s", arrived_s + 1.5),
        cost_s=0.04,
        target_s=more.pop("target_s", 0.2),
    )


@given_step("requests 14 times as many for 10 s, and half of the workers slow")
def given_burst(context):
    context.arrivals, context.times_s = burst(1, 6), HALF_SLOW


@given_step("requests beyond all workers for 10 s")
def given_beyond(context):
    context.arrivals, context.times_s = burst(1, 60), HALF_SLOW


@given_step("{number:d} gateways that hear of each other each {milliseconds:d} ms")
def given_gateways(context, number, milliseconds):
    context.gateways, context.sight_age_s = number, milliseconds / 1000


@then("more are answered in time than where every request starts at once, and no more are refused")
def then_more_though_late(context):
    _, starting = play_starting(context)
    _, found = play(context)
    assert share(found, IN_TIME) > share(starting, IN_TIME), (found, starting)
    lost = ("refused", "lost")
    assert share(found, lost) < share(starting, lost) + 0.01, (found, starting)


@given_step("a tenant with 80% of the requests, beyond all workers for 10 s")
def given_large(context):
    context.arrivals = burst(1, 60, tenants=LARGE)
    context.times_s = (USUAL_S,) * 4


@then("a request starts while a worker has room, is unknown, or there is no worker at all")
def then_starts(context):
    policy, limits = ExpectedLatencyPolicy(), TimeLimits(1.5, 0.2, 0.025)
    unknown = WorkerCapacity(6, 90, 0.0)
    for workers in ([], EMPTY, [*FULL, *EMPTY], [*FULL, unknown]):
        assert policy.decide(workers, limits).action is AdmissionAction.START, workers


@then("nobody is refused while under half of the slots are taken")
def then_not_refused(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(rooms, needs, st.integers(0, 20))
    def holds(workers, limits, ahead):
        found = ExpectedLatencyPolicy().decide(workers, limits, ahead)
        occupied, slots = (
            sum(each.in_flight for each in workers) + ahead,
            sum(w.slots for w in workers),
        )
        if found.action is AdmissionAction.REFUSE:
            assert occupied >= MIN_UTILIZATION * slots > 0

    holds()


@then("no client fares worse than where every request starts at once")
def then_not_worse(context):
    _, starting = play_starting(context)
    _, found = play(context)
    assert share(found, IN_TIME) >= share(starting, IN_TIME), (found, starting)
    assert not share(found, ("refused", "lost")), found


@then("more are answered in time than where every request starts at once, with half of the offers")
def then_more(context):
    starts, starting = play_starting(context)
    context.replay, found = play(context)
    assert share(found, IN_TIME) > share(starting, IN_TIME), (found, starting)
    assert context.replay.offered < starts.offered / 2, (context.replay.offered, starts.offered)


@then("no more waited than the queue may hold")
def then_bounded(context):
    assert 0 < context.replay.longest_queue <= 64, context.replay.longest_queue


@then("small tenants are served in time more often than the large one")
def then_fair(context):
    _, context.fair = play(context)
    small = share(context.fair, IN_TIME, is_small)
    assert small > share(context.fair, IN_TIME, lambda each: not is_small(each)), context.fair


@then("more often than without a reserve for them, while the large one is served, too")
def then_reserved(context):
    _, found = play(context, reserve=False)
    assert share(context.fair, IN_TIME, is_small) > share(found, IN_TIME, is_small)
    large, before = (
        share(each, IN_TIME, lambda name: name == "large") for each in (context.fair, found)
    )
    assert large > 0.9 * before, (large, before)


@given_step("half of the requests more urgent, beyond all workers for 10 s")
def given_urgent(context):
    context.arrivals = burst(1, 60, tenants={"urgent": 0.5, "other": 0.5}, urgent=("urgent",))
    context.times_s = (USUAL_S,) * 4


@then("the more urgent are served in time more often, while the others are served, too")
def then_urgent(context):
    _, found = play(context)
    urgent, others = (
        share(found, IN_TIME, lambda each, meant=name: each == meant)
        for name in ("urgent", "other")
    )
    assert urgent > others > 0.5, (urgent, others)


@then("a tenant alone or among equals is not beyond its share, and a flood is until it ends")
def then_shares(context):
    alone, equals, flooded = RecentShares(), RecentShares(), RecentShares()
    for number in range(100):
        alone.record(queued_request(number), 0.01 * number)
        equals.record(queued_request(number, "abcd"[number % 4]), 0.01 * number)
        flooded.record(queued_request(number, "abcdaaaa"[number % 8]), 0.01 * number)
    assert not alone.exceeds_share(queued_request(0))
    assert not any(equals.exceeds_share(queued_request(0, name)) for name in "abcd")
    assert [name for name in "abcd" if flooded.exceeds_share(queued_request(0, name))] == ["a"]
    for number in range(100):
        flooded.record(queued_request(number, "abcd"[number % 4]), 5.0 + 0.01 * number)
    assert not flooded.exceeds_share(queued_request(0, "a")), (
        "a flood is held against its tenant for ever"
    )


@then("requests neither wait nor are refused by the queue")
def then_without_workers(context):
    queue = AdmissionQueue(ExpectedLatencyPolicy(), StartTimeFairQueueing(), BOUND)
    decision, _ = queue.submit(queued_request(1), [], 0.0)
    assert decision.action is AdmissionAction.START, "nobody is there to be waited for"


@then("their clients are told when to come back")
def then_told(context):
    estimate = CapacityEstimate.from_workers([], 0.2, 0, 0.0)
    for way in (RateBasedRetryAfter(), AppointmentRetryAfter()):
        assert 0 < way.retry_after_s("cards", estimate, 1.5, 1.0, 0.0) <= 0.5


@then("whatever comes and goes, the most urgent go first and no tenant is passed over for long")
def then_ordered(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(arrivals, st.sampled_from(ORDERS))
    def holds(arriving, order_of):
        discipline = order_of()
        for number, (tenant, priority, _) in enumerate(arriving):
            discipline.push(queued_request(number, tenant, priority))
        passed_over = Counter()
        while (first := discipline.peek()) is not None:
            equals = [each for each in discipline.all() if each.priority == first.priority]
            assert first.priority == min(each.priority for each in discipline.all())
            own = [each for each in equals if each.tenant == first.tenant]
            assert own[0] is first, "a tenant's own requests changed places"
            for tenant in {each.tenant for each in equals}:
                passed_over[tenant, first.priority] += 1
            passed_over[first.tenant, first.priority] = 0
            assert max(passed_over.values()) <= 2 * len("abcd"), "a tenant waits too long"
            assert discipline.remove(first, served=True)

    holds()


@then("the queue never holds more than its bound, and who is let go was in it")
def then_queue_bounded(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(arrivals, st.sampled_from(ORDERS), st.integers(0, 40))
    def holds(arriving, order_of, in_flight):
        queue, now_s = AdmissionQueue(ExpectedLatencyPolicy(), order_of(), BOUND), 0.0
        workers = [WorkerCapacity(6, in_flight, 0.04)]
        inside, ended = [], []
        for number, (tenant, priority, wait_s) in enumerate(arriving):
            now_s += 0.001
            asked = queued_request(number, tenant, priority, now_s, wait_s)
            decision, displaced = queue.submit(asked, workers, now_s)
            (inside if decision.action is AdmissionAction.WAIT else ended).append(asked)
            if displaced is not None:
                inside.remove(displaced)
                ended.append(displaced)
            assert len(queue) == len(inside) <= BOUND
        for released in queue.release_ready(workers, now_s + 0.5):
            inside.remove(released.request)
            ended.append(released.request)
        assert not inside, "one waits beyond its time"
        assert len(queue) == 0, "the queue holds one that was let go"
        assert len({id(each) for each in ended}) == len(arriving), "one has two ends"

    holds()


@then("one whose deadline can't be met any more is refused before its deadline")
def then_hopeless(context):
    queue = AdmissionQueue(ExpectedLatencyPolicy(sheds=False), StartTimeFairQueueing(), BOUND)
    asked = queued_request(1, deadline_s=0.5)
    decision, _ = queue.submit(asked, [WorkerCapacity(6, 24, 0.04)], 0.0)
    assert decision.action is AdmissionAction.WAIT, decision.action
    (released,) = queue.release_ready([WorkerCapacity(6, 120, 0.04)], 0.01)
    assert released.request is asked
    assert released.cause is ReleaseCause.HOPELESS


@then("a time to come back is at most a third of what the client has left")
def then_a_third(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(rooms, st.floats(0, 10), st.floats(0, 1), st.integers(0, 40))
    def holds(workers, remaining_s, remaining_share, number):
        estimate = CapacityEstimate.from_workers(workers, 0.2, number, 1.0)
        for way in (RateBasedRetryAfter(), AppointmentRetryAfter()):
            for _ in range(3):
                retry_after_s = way.retry_after_s(
                    "cards", estimate, remaining_s, remaining_share, 5.0
                )
                assert 0 <= retry_after_s <= remaining_s / 3 + 1e-9

    holds()


@then("clients that have least time left come back first, and not all at once")
def then_spread(context):
    estimate = CapacityEstimate.from_workers([WorkerCapacity(6, 30, 0.04)] * 4, 0.1, 10, 5.0)
    rates = RateBasedRetryAfter(lambda: 0.5)
    times = [rates.retry_after_s("cards", estimate, 9.0, left / 10, 0.0) for left in range(11)]
    assert times == sorted(times), times
    assert times[0] < times[-1], times
    drawn = RateBasedRetryAfter(random.Random(1).random)
    assert len({drawn.retry_after_s("cards", estimate, 9.0, 0.5, 0.0) for _ in range(20)}) == 20
    queue = AppointmentRetryAfter()
    booked = [queue.retry_after_s("cards", estimate, 9.0, 0.5, 0.0) for _ in range(20)]
    assert booked == sorted(set(booked)), booked
