"""The choice of workers under shared sight: one real gateway, and many over a network in memory."""

import socket
import threading
import time

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.fake_monitor import FakeWorkerMonitor
from features.support.hosted_gateway import GatewayUnderTest
from features.support.sight_nodes import SERVICE, GossipNetwork
from hypothesis import given, settings

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import WorkerEntry
from bellweir.hosted.serving.attempt import AttemptState
from bellweir.hosted.serving.failed_attempt import FailedAttempt
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S
from bellweir.hosted.sight.interface import ObservedOutcome, WorkerStats
from bellweir.hosted.sight.retry_budget import RESERVE_RETRIES
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.listeners import address_of
from bellweir_rehearsal.hosted.worker import WorkerStandIn

TRY_SHARE = 0.5
WORD_S = 7.0
"""Time in which word of a further try reaches all 24 gateways: 14 rounds."""


@given_step('workers "a" and "b" behind a gateway that shares its sight')
def given_workers(context):
    context.workers = {name: WorkerStandIn(f"i-{name}") for name in "ab"}
    context.sight = FakeWorkerMonitor()
    context.gateway = GatewayUnderTest(list(context.workers.values()), context.sight)
    context.cleanup.callback(context.gateway.close)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)


def incarnation_of(context, name):
    return context.gateway.workers.worker(f"i-{name}").incarnation


@given_step('worker "{name}" is set aside')
def given_aside(context, name):
    one = incarnation_of(context, name)
    context.sight.stats_by_worker[one] = WorkerStats(one, is_ejected=True)


@given_step('worker "{name}" may get a trial')
def given_trial(context, name):
    context.sight.probes.add(incarnation_of(context, name))


@given_step('the next request at worker "{name}" fails')
def given_failure(context, name):
    context.workers[name].faults.fail = 1


@given_step('other gateways have {count:d} requests at worker "{name}"')
def given_others(context, count, name):
    for each in "ab":
        one = incarnation_of(context, each)
        in_hand = count if each == name else 0
        context.sight.stats_by_worker[one] = WorkerStats(
            one, in_hand, median_s=0.5, p95_s=0.6, age_s=0.1
        )


@given_step(
    "a worker that takes {factor:d} times as long and has nothing, and a sound one with "
    "{count:d} of {slots:d} slots in use"
)
def given_slow_and_sound(context, factor, count, slots):
    context.slow, context.sound = (
        Worker(name, WorkerEntry("app", f"{name}:1", slots=slots)) for name in ("slow", "sound")
    )
    context.known = FakeWorkerMonitor()
    context.loads = WorkerLoads("a", monitor=context.known)
    note_seen(context, context.slow, 0, 0.04 * factor)
    note_seen(context, context.sound, count, 0.04)


def note_seen(context, worker, in_hand, usual_s):
    one = worker.incarnation
    context.known.stats_by_worker[one] = WorkerStats(one, in_hand, usual_s, 2 * usual_s, age_s=0.1)


def chosen_of(context, count):
    """Workers of so many choices, each of which is over at once."""
    found = []
    for _ in range(count):
        found.append(context.loads.choose([context.slow, context.sound], ()))
        context.loads.release(found[-1].incarnation)
    return found


@then("31 of 32 choices take the sound one, and the other one is looked at now and then")
def then_sound(context):
    found = chosen_of(context, 320)
    assert found.count(context.sound) == 310, found.count(context.sound)


@then("a sound one that has a queue of 4 times its slots is passed over")
def then_full(context):
    note_seen(context, context.sound, 4 * context.sound.entry.slots, 0.04)
    assert set(chosen_of(context, 31)) == {context.slow}


@given_step('worker "{name}" tells the load "{text}"')
def given_load(context, name, text):
    context.workers[name].told_load = text


@then(
    "the sight was told {requests:d} requests, {slots:d} slots and a pace of {pace:d} of worker "
    '"{name}", and nothing of "{other}"'
)
def then_load(context, requests, slots, pace, name, other):
    told = context.sight.loads[f"i-{name}"]
    assert (told.requests, told.slots, told.pace) == (requests, slots, pace)
    assert f"i-{other}" not in context.sight.loads


@then(
    "of two workers alike the one that just told a load is chosen last, and word of a minute ago "
    "changes nothing"
)
def then_by_age(context):
    def ranks(load, age_s):
        sight = FakeWorkerMonitor()
        loads = WorkerLoads("a", monitor=sight)
        workers = [worker_of(number) for number in range(2)]
        for worker in workers:
            loads.acquire(worker)
            loads.record_success(worker.incarnation, 0.1)
        first = workers[0].incarnation
        sight.stats_by_worker[first] = WorkerStats(first, load=load, load_age_s=age_s)
        return [loads._rank(worker, time.monotonic(), None)[:-1] for worker in workers]

    for load in (WorkerLoad(3, 1, 4), WorkerLoad(0, 0, 4, 300)):
        told, other = ranks(load, 0.0)
        assert told > other, (told, other)
        assert len(set(ranks(load, 60.0))) == 1, ranks(load, 60.0)


@given_step("the budget of further tries is spent")
def given_spent(context):
    context.sight.allows_retries = False


@given_step("fellows answer within {milliseconds:d} ms")
def given_fellows(context, milliseconds):
    context.sight.p95_s = milliseconds / 1000


@given_step('worker "{name}" takes its requests and never answers, and is tried first')
def given_silent(context, name):
    call = context.gateway._connections.call
    context.timeouts_s = []

    def noted_call(worker, sent, timeout_s, deadline_ms, cancellation):
        context.timeouts_s.append(timeout_s)
        return call(worker, sent, timeout_s, deadline_ms, cancellation)

    context.gateway._connections.call = noted_call
    listener = socket.create_server(("127.0.0.1", 0))
    context.cleanup.callback(listener.close)
    context.closed = threading.Event()
    entries = {f"i-{each}": worker.entry("app") for each, worker in context.workers.items()}
    entries[f"i-{name}"]["address"] = address_of(listener)
    context.gateway.show_workers(entries)
    for each in "ab":
        one = incarnation_of(context, each)
        usual_s = 0.01 if each == name else 0.5
        context.sight.stats_by_worker[one] = WorkerStats(
            one, median_s=usual_s, p95_s=0.6, age_s=0.1
        )

    def swallow():
        connection, _ = listener.accept()
        with connection:
            while connection.recv(65_536):
                pass
        context.closed.set()

    threading.Thread(target=swallow, daemon=True).start()


@when("{count:d} requests are sent one after the other")
def when_sent(context, count):
    before = dict.fromkeys(context.workers, 0)
    del context.sight.ends[:]
    context.answers = [context.gateway.send("/idempotent/x") for _ in range(count)]
    context.ran = before
    for instance, outcome in context.sight.ends:
        context.ran[instance.removeprefix("i-")] += outcome is ObservedOutcome.SERVED


def then_all_answered(context):
    assert [one.status for one in context.answers] == [200] * len(context.answers)


@then('all were answered, and worker "{name}" ran {count:d} of them')
def then_ran(context, name, count):
    then_all_answered(context)
    assert context.ran[name] == count, context.ran


@then('all were answered, and worker "{name}" ran some of them')
def then_ran_some(context, name):
    then_all_answered(context)
    assert context.ran[name] > 0, context.ran


@then('the last answer is {status:d}, and worker "{name}" ran {count:d} of them')
def then_status(context, status, name, count):
    assert context.answers[-1].status == status
    assert context.ran[name] == count, context.ran


@then("the last answer is {status:d}, and 1 further try was refused")
def then_refused(context, status):
    assert context.answers[-1].status == status
    assert context.sight.retries == {"refused": 1}, context.sight.retries


@then(
    'all were answered, and the try at worker "{name}" was given up after twice their time and its '
    "connection closed"
)
def then_given_up(context, name):
    then_all_answered(context)
    assert (f"i-{name}", ObservedOutcome.LATE) in context.sight.ends, context.sight.ends
    assert context.timeouts_s[0] == 2 * context.sight.p95_s, context.timeouts_s
    assert context.closed.wait(5.0)
    assert context.sight.retries == {"made": 1}


def worker_of(number):
    return Worker(f"i-{number}", WorkerEntry(SERVICE, f"h:{number}", zone="a", slots=4))


@then("at any loads of its own a gateway to which nothing was told chooses as one without sight")
def then_as_before(context):
    @settings(max_examples=100, deadline=None)
    @given(loads=st.lists(st.tuples(st.integers(0, 6), st.floats(0.02, 2.0)), min_size=2))
    def as_before(loads):
        plain, sighted = WorkerLoads("a"), WorkerLoads("a", monitor=FakeWorkerMonitor())
        workers = [worker_of(number) for number in range(len(loads))]
        ranks = []
        for each in (plain, sighted):
            for worker, (in_hand, seconds) in zip(workers, loads, strict=True):
                each.acquire(worker)
                each.record_success(worker.incarnation, seconds)
                for _ in range(in_hand):
                    each.acquire(worker)
            ranks.append([each._rank(worker, 0.0, None)[:-1] for worker in workers])
        assert ranks[0] == ranks[1]

    as_before()


@then(
    "each outcome of a try is told: served, failed, refused and late ones, and none of a client "
    "that left"
)
def then_told(context):
    sight = FakeWorkerMonitor()
    loads = WorkerLoads("a", monitor=sight)
    worker = worker_of(1)

    def end(state, **more):
        loads.acquire(worker)
        FailedAttempt("r", 1, worker, state, "", 900, **more).record(loads)

    loads.acquire(worker)
    loads.record_success(worker.incarnation, 0.1)
    end(AttemptState.ANSWERED)
    end(AttemptState.REFUSED)
    end(AttemptState.NOT_SENT)
    end(AttemptState.UNKNOWN, is_timed_out=True)
    end(AttemptState.UNKNOWN, is_timed_out=True, is_cancelled=True)
    told = [outcome for _, outcome in sight.ends]
    failed = ObservedOutcome.FAILED
    expected = [ObservedOutcome.SERVED, failed, ObservedOutcome.REFUSED, failed]
    assert told == [*expected, ObservedOutcome.LATE, ObservedOutcome.UNKNOWN], told
    assert loads.in_flight(worker.incarnation) == 0


@given_step("{gateways:d} gateways in {zones:d} zones that share their sight")
def given_network(context, gateways, zones):
    context.network = network = GossipNetwork(gateways, zones, retry_share=TRY_SHARE)
    context.loads = [WorkerLoads("a", monitor=one.monitor) for one in network.all()]
    context.entries = [worker_of(number) for number in range(len(network.workers))]


@when("each request of theirs fails at every worker for {seconds:d} s")
def when_all_fail(context, seconds):
    context.first = context.further = 0
    context.seconds = seconds
    for _ in range(round(seconds / GOSSIP_INTERVAL_S)):
        for loads in context.loads:
            tried = []
            while (worker := loads.choose(context.entries, tried)) is not None:
                tried.append(worker.incarnation)
                loads.record_failure(worker.incarnation)
            context.first += 1
            context.further += len(tried) - 1
        context.network.run(1)


@then("all tries stay within the budget, but for the reserve and the seconds that word takes")
def then_within(context):
    most_a_request = len(context.entries) - 1
    before_word = WORD_S * context.first / context.seconds * most_a_request
    most = TRY_SHARE * context.first + RESERVE_RETRIES + before_word
    assert context.further <= most, (context.further, context.first)
    assert context.further < 0.4 * most_a_request * context.first, context.further


@when("one worker of 4 takes ten times as long for {seconds:d} s")
def when_slow(context, seconds):
    network = context.network
    for number in range(round(seconds / GOSSIP_INTERVAL_S)):
        for place, one in enumerate(network.all()):
            if place % 4 == number % 4:
                worker = network.workers[(place // 4 + number) % 4]
                slow = worker == Incarnation("i-0")
                one.observe(worker, ObservedOutcome.SERVED, 0.8 if slow else 0.08)
        network.run(1)


@then("all gateways have set just that worker aside")
def then_just_that(context):
    for one in context.network.all():
        aside = {each for each in context.network.workers if one.monitor.stats(each).is_ejected}
        assert aside == {Incarnation("i-0")}, (one.transport.node, aside)
