"""Steps for admission control and queueing, on replayed load."""

import random
from collections import Counter

import hypothesis.strategies as st
from behave import given as given_step
from behave import then
from features.support.alternative_policies import AppointmentRetryAfter, DeficitRoundRobin
from features.support.raising_gate import RaisingGate
from features.support.room_replay import Replay, burst
from hypothesis import given, settings

from bellweir.hosted.queueing.admission_queue import AdmissionQueue
from bellweir.hosted.queueing.interface import CapacityEstimate, QueuedRequest, ReleaseCause
from bellweir.hosted.queueing.retry_after import RateBasedRetryAfter
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.queueing.start_time_fair import StartTimeFairQueueing
from bellweir.hosted.room.interface import AdmissionAction, TimeLimits, WorkerCapacity
from bellweir.hosted.room.policy import MIN_UTILIZATION, ExpectedLatencyPolicy

SERVICE_TIME_S = 0.0375
HALF_SLOW = (SERVICE_TIME_S, SERVICE_TIME_S, 8 * SERVICE_TIME_S, 8 * SERVICE_TIME_S)
LARGE = {"large": 0.8} | {f"small-{number}": 0.02 for number in range(10)}
IN_TIME = ("in_time", "in_time_after_refusal")
DISCIPLINES = (StartTimeFairQueueing, DeficitRoundRobin)
BOUND = 16
RAISING_ROUNDS = 60
FULL = [WorkerCapacity(6, 30, 0.04)]
EMPTY = [WorkerCapacity(6, 0, 0.04)]

capacities = st.lists(
    st.builds(WorkerCapacity, st.integers(1, 16), st.integers(0, 200), st.floats(0, 5)), max_size=6
)
time_limits = st.builds(TimeLimits, st.floats(0, 10), st.floats(0, 2), st.floats(0, 0.5))
arrivals = st.lists(
    st.tuples(st.sampled_from("abcd"), st.integers(0, 3), st.floats(0.01, 0.2)),
    min_size=1,
    max_size=40,
)


def replay_load(context, discipline=StartTimeFairQueueing, reserve=True, **switches):
    retry_policies = [
        RateBasedRetryAfter(random.Random(3).random) for _ in range(getattr(context, "gateways", 4))
    ]
    policy = ExpectedLatencyPolicy(**switches)
    more = {
        "gateways": len(retry_policies),
        "report_interval_s": getattr(context, "report_interval_s", 0.1),
    }
    replay = Replay(
        policy,
        discipline,
        retry_policies.__getitem__,
        context.service_times_s,
        reserve=reserve,
        **more,
    )
    outcomes = replay.run(context.arrivals)
    assert sum(outcomes.values()) == len(context.arrivals), "a client has no outcome"
    return replay, outcomes


def replay_without_admission(context):
    return replay_load(context, waits=False, refuses=False, sheds=False)


def share(outcomes, states, is_meant=lambda _tenant: True):
    meant = {key: number for key, number in outcomes.items() if is_meant(key[0])}
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


@given_step("a burst of 14 times the requests for 10 s, and half of the workers slow")
def given_burst(context):
    context.arrivals, context.service_times_s = burst(1, 6), HALF_SLOW


@given_step("a burst beyond the capacity of all workers for 10 s")
def given_overload(context):
    context.arrivals, context.service_times_s = burst(1, 60), HALF_SLOW


@given_step("{number:d} gateways that hear of each other every {milliseconds:d} ms")
def given_gateways(context, number, milliseconds):
    context.gateways, context.report_interval_s = number, milliseconds / 1000


@then(
    "more are answered in time than if every request started immediately, and no more are refused"
)
def then_more_though_late(context):
    _, baseline = replay_without_admission(context)
    _, outcomes = replay_load(context)
    assert share(outcomes, IN_TIME) > share(baseline, IN_TIME), (outcomes, baseline)
    lost = ("refused", "lost")
    assert share(outcomes, lost) < share(baseline, lost) + 0.01, (outcomes, baseline)


@given_step("a tenant with 80% of the requests, beyond the capacity of all workers for 10 s")
def given_large_tenant(context):
    context.arrivals = burst(1, 60, tenants=LARGE)
    context.service_times_s = (SERVICE_TIME_S,) * 4


@then("a request starts if a worker has free slots or unknown latency, or there is no worker")
def then_starts(context):
    policy, limits = ExpectedLatencyPolicy(), TimeLimits(1.5, 0.2, 0.025)
    unknown = WorkerCapacity(6, 90, 0.0)
    for workers in ([], EMPTY, [*FULL, *EMPTY], [*FULL, unknown]):
        assert policy.decide(workers, limits).action is AdmissionAction.START, workers


@then("no request is refused while less than half of the slots are in use")
def then_not_refused(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(capacities, time_limits, st.integers(0, 20))
    def holds(workers, limits, ahead):
        outcomes = ExpectedLatencyPolicy().decide(workers, limits, ahead)
        occupied, slots = (
            sum(each.in_flight for each in workers) + ahead,
            sum(w.slots for w in workers),
        )
        if outcomes.action is AdmissionAction.REFUSE:
            assert occupied >= MIN_UTILIZATION * slots > 0

    holds()


@then("no client fares worse than if every request started immediately")
def then_not_worse(context):
    _, baseline = replay_without_admission(context)
    _, outcomes = replay_load(context)
    assert share(outcomes, IN_TIME) >= share(baseline, IN_TIME), (outcomes, baseline)
    assert not share(outcomes, ("refused", "lost")), outcomes


@then(
    "more are answered in time than if every request started immediately, with half of the attempts"
)
def then_more(context):
    unlimited, baseline = replay_without_admission(context)
    context.replay, outcomes = replay_load(context)
    assert share(outcomes, IN_TIME) > share(baseline, IN_TIME), (outcomes, baseline)
    assert context.replay.attempts < unlimited.attempts / 2, (
        context.replay.attempts,
        unlimited.attempts,
    )


@then("the queue never exceeded its maximum length")
def then_bounded(context):
    assert 0 < context.replay.max_queue_length <= 64, context.replay.max_queue_length


@then("small tenants are served in time more often than the large one")
def then_fair(context):
    _, context.fair = replay_load(context)
    small = share(context.fair, IN_TIME, is_small)
    assert small > share(context.fair, IN_TIME, lambda each: not is_small(each)), context.fair


@then("more often than without a reserve for them, while the large one is still served")
def then_reserved(context):
    _, outcomes = replay_load(context, reserve=False)
    assert share(context.fair, IN_TIME, is_small) > share(outcomes, IN_TIME, is_small)
    large, before = (
        share(each, IN_TIME, lambda name: name == "large") for each in (context.fair, outcomes)
    )
    assert large > 0.9 * before, (large, before)


@given_step("half of the requests more urgent, beyond the capacity of all workers for 10 s")
def given_urgent(context):
    context.arrivals = burst(1, 60, tenants={"urgent": 0.5, "other": 0.5}, urgent=("urgent",))
    context.service_times_s = (SERVICE_TIME_S,) * 4


@then("the more urgent are served in time more often, while the others are still served")
def then_urgent(context):
    _, outcomes = replay_load(context)
    urgent, others = (
        share(outcomes, IN_TIME, lambda each, meant=name: each == meant)
        for name in ("urgent", "other")
    )
    assert urgent > others > 0.5, (urgent, others)


@then(
    "a tenant alone or among equals is within its share, and a flooding tenant is not until it ends"
)
def then_shares(context):
    alone, same_priority, flooded = RecentShares(), RecentShares(), RecentShares()
    for number in range(100):
        alone.record(queued_request(number), 0.01 * number)
        same_priority.record(queued_request(number, "abcd"[number % 4]), 0.01 * number)
        flooded.record(queued_request(number, "abcdaaaa"[number % 8]), 0.01 * number)
    assert not alone.exceeds_share(queued_request(0))
    assert not any(same_priority.exceeds_share(queued_request(0, name)) for name in "abcd")
    assert [name for name in "abcd" if flooded.exceeds_share(queued_request(0, name))] == ["a"]
    for number in range(100):
        flooded.record(queued_request(number, "abcd"[number % 4]), 5.0 + 0.01 * number)
    assert not flooded.exceeds_share(queued_request(0, "a")), (
        "a tenant stays beyond its share after its flood"
    )


@then("requests neither wait nor are refused by the queue")
def then_without_workers(context):
    queue = AdmissionQueue(ExpectedLatencyPolicy(), StartTimeFairQueueing(), BOUND)
    decision, _ = queue.submit(queued_request(1), [], 0.0)
    assert decision.action is AdmissionAction.START, "waiting cannot help without workers"


@then("their clients get a Retry-After")
def then_retry_after(context):
    estimate = CapacityEstimate.from_workers([], 0.2, 0, 0.0)
    for policy in (RateBasedRetryAfter(), AppointmentRetryAfter()):
        assert 0 < policy.retry_after_s("cards", estimate, 1.5, 1.0, 0.0) <= 0.5


@then("under any arrivals, the most urgent go first and no tenant is starved")
def then_fairly_ordered(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(arrivals, st.sampled_from(DISCIPLINES))
    def holds(arriving, make_discipline):
        discipline = make_discipline()
        for number, (tenant, priority, _) in enumerate(arriving):
            discipline.push(queued_request(number, tenant, priority))
        skipped = Counter()
        while (first := discipline.peek()) is not None:
            same_priority = [each for each in discipline.all() if each.priority == first.priority]
            assert first.priority == min(each.priority for each in discipline.all())
            own = [each for each in same_priority if each.tenant == first.tenant]
            assert own[0] is first, "requests of one tenant were reordered"
            for tenant in {each.tenant for each in same_priority}:
                skipped[tenant, first.priority] += 1
            skipped[first.tenant, first.priority] = 0
            assert max(skipped.values()) <= 2 * len("abcd"), "a tenant is starved"
            assert discipline.remove(first, served=True)

    holds()


@then("the queue never exceeds its bound, and each request is released once")
def then_queue_bounded(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(arrivals, st.sampled_from(DISCIPLINES), st.integers(0, 40))
    def holds(arriving, make_discipline, in_flight):
        queue, now_s = AdmissionQueue(ExpectedLatencyPolicy(), make_discipline(), BOUND), 0.0
        workers = [WorkerCapacity(6, in_flight, 0.04)]
        inside, ended = [], []
        for number, (tenant, priority, wait_s) in enumerate(arriving):
            now_s += 0.001
            request = queued_request(number, tenant, priority, now_s, wait_s)
            decision, displaced = queue.submit(request, workers, now_s)
            (inside if decision.action is AdmissionAction.WAIT else ended).append(request)
            if displaced is not None:
                inside.remove(displaced)
                ended.append(displaced)
            assert len(queue) == len(inside) <= BOUND
        for released in queue.release_ready(workers, now_s + 0.5):
            inside.remove(released.request)
            ended.append(released.request)
        assert not inside, "a request waits beyond its limit"
        assert len(queue) == 0, "the queue holds a released request"
        assert len({id(each) for each in ended}) == len(arriving), "a request was released twice"

    holds()


@then("a request that can no longer meet its deadline is refused before it")
def then_refused_after_wait(context):
    queue = AdmissionQueue(ExpectedLatencyPolicy(sheds=False), StartTimeFairQueueing(), BOUND)
    request = queued_request(1, deadline_s=0.5)
    decision, _ = queue.submit(request, [WorkerCapacity(6, 24, 0.04)], 0.0)
    assert decision.action is AdmissionAction.WAIT, decision.action
    (released,) = queue.release_ready([WorkerCapacity(6, 120, 0.04)], 0.01)
    assert released.request is request
    assert released.cause is ReleaseCause.HOPELESS


@then("Retry-After is at most a third of the client's remaining time")
def then_a_third(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(capacities, st.floats(0, 10), st.floats(0, 1), st.integers(0, 40))
    def holds(workers, remaining_s, remaining_share, number):
        estimate = CapacityEstimate.from_workers(workers, 0.2, number, 1.0)
        for policy in (RateBasedRetryAfter(), AppointmentRetryAfter()):
            for _ in range(3):
                retry_after_s = policy.retry_after_s(
                    "cards", estimate, remaining_s, remaining_share, 5.0
                )
                assert 0 <= retry_after_s <= remaining_s / 3 + 1e-9

    holds()


@then("clients with the least time left retry first, and not all at once")
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


@then("whatever raises while requests wait, each of them ends and none stays counted")
def then_none_stays_counted(context):
    for seed in range(RAISING_ROUNDS):
        fault = RaisingGate(seed).play()
        assert fault is None, f"seed {seed}: {fault}"
