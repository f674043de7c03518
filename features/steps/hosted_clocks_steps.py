"""Clocks that differ or jump: what is kept, and for how long."""

import time
from unittest.mock import patch

import cbor2
import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import make_job, make_leader
from features.support.kept_jobs import STATUS_S, Shard
from hypothesis import given, settings

from bellweir.hosted.batches.retention import CHECK_INTERVAL_S, COUNT_INTERVAL_S
from bellweir.hosted.batches.state import AcceptJob, BatchJobs, EndJob, ForgetJobs, ReadResults

LOOK_TIMEOUT_S = 15.0


@given_step("a job that a gateway accepted and ended")
def given_ended(context):
    context.leader = make_leader(context)
    gateway_s = time.time()
    job = msgspec.structs.replace(make_job("job", 2, 1), accepted_at_s=gateway_s)
    context.leader.ledger.submit("", AcceptJob(job), 1.0)
    context.leader.ledger.submit("", EndJob("job", gateway_s), 1.0)


@when("the leader, whose time of day is {ahead:d} s ahead, has looked for jobs that are old")
def when_ahead(context, ahead):
    ledger, true_time, forgotten = context.leader.ledger, time.time, []
    submit = ledger.submit

    def noting(key, command, timeout_s):
        reply = submit(key, command, timeout_s)
        if isinstance(command, ForgetJobs):
            forgotten.append(command)
        return reply

    ledger.submit = noting
    context.cleanup.enter_context(patch("time.time", lambda: true_time() + ahead))
    context.wait_until(lambda: forgotten, "a look for old jobs", LOOK_TIMEOUT_S)


@then("the job is read again")
def then_read(context):
    page = context.leader.ledger.machine.answer(ReadResults("job", 0, 1 << 20))
    assert page.total == 2, "a job that is owed is gone"


TIMES_OF_DAY_S = (-1e9, 0.0, 1e9, 1e12)
STEADY_S = STATUS_S + 2 * (COUNT_INTERVAL_S + CHECK_INTERVAL_S)
"""Longest time for which an ended job is kept where commits take no time and the leader stays."""
LATEST_S = STATUS_S * (1 + CHECK_INTERVAL_S / COUNT_INTERVAL_S) + 2 * (
    COUNT_INTERVAL_S + CHECK_INTERVAL_S
)
"""The same where each count is another leader's."""


@then("no ended job is forgotten before its time, in any order of events")
def then_not_early(context):
    replica, seldom = st.integers(0, 2), st.sampled_from((False, False, True))
    event = st.one_of(
        st.tuples(st.just("end"), st.sampled_from(TIMES_OF_DAY_S)),
        st.tuples(st.just("pass"), st.floats(0, 20)),
        st.tuples(st.just("look"), replica),
        st.tuples(st.just("go on"), st.integers(1, 20)),
        st.tuples(st.just("lead"), replica),
        st.tuples(st.just("anew"), replica),
        st.tuples(st.just("catch up"), replica),
        st.tuples(st.just("stand still"), replica),
        st.tuples(st.just("lose"), seldom),
        st.tuples(st.just("delay"), seldom),
        st.tuples(st.just("arrive"), st.booleans()),
    )
    forgotten = []

    @settings(max_examples=400)
    @given(events=st.lists(event, min_size=20, max_size=80))
    def not_early(events):
        shard = Shard()
        for what, value in events:
            play_event(shard, what, value)
            shard.check_shown()
        shard.check_kept()
        forgotten.append(len(shard.ended_s.keys() - shard.leader.machine.jobs.keys()))

    not_early()
    assert sum(forgotten) > 100, f"{sum(forgotten)} jobs forgotten: too few to try anything"


def play_event(shard, what, value):
    match what:
        case "end":
            shard.end_job(value)
        case "pass":
            shard.now_s += value
        case "go on":
            for _ in range(value):
                shard.now_s += COUNT_INTERVAL_S
                shard.leader.retention.check()
        case "look":
            shard.replicas[value].retention.check()
        case "lead":
            shard.leader = shard.replicas[value]
            shard.leader.catch_up()
        case "anew":
            shard.replicas[value].start_anew()
        case "catch up":
            shard.replicas[value].catch_up()
        case "stand still":
            shard.replicas[value].stood_s += 3.0
            shard.now_s += 3.0
        case "lose":
            shard.loses = value
        case "delay":
            shard.delays = value
        case "arrive" if shard.late:
            # A command may be applied long after it was sent, and more than once.
            shard.append(shard.late[0] if value else shard.late.pop())


@then("every ended job is forgotten soon after its time, though the leader changes at each look")
def then_soon(context):
    for looks_led in (1, 2, 5, 1_000):
        shard = Shard()
        for number in range(200):
            shard.now_s += CHECK_INTERVAL_S
            if number % 7 == 0:
                shard.end_job(TIMES_OF_DAY_S[number % len(TIMES_OF_DAY_S)])
            shard.leader = shard.replicas[number // looks_led % 3]
            shard.leader.catch_up()
            shard.look()
            shard.check_kept()
            for job_id in shard.leader.machine.jobs:
                latest_s = STEADY_S if looks_led == 1_000 else LATEST_S
                assert shard.age_s(job_id) <= latest_s, (looks_led, shard.age_s(job_id))


@when("a leader is frozen in a look while another one counts, and goes on when it has caught up")
def when_frozen_in_look(context):
    context.shard = shard = Shard()
    first, second = shard.replicas[:2]
    shard.end_job(0.0)
    shard.now_s += COUNT_INTERVAL_S
    shard.look()
    leads = first.leads

    def frozen(key):
        is_leading = leads(key)
        shard.leader = second
        while shard.age_s("job-0") < STATUS_S - COUNT_INTERVAL_S:
            shard.now_s += COUNT_INTERVAL_S
            second.catch_up()
            second.retention.check()
        first.catch_up()
        return is_leading

    with patch.object(first, "leads", frozen):
        shard.now_s += COUNT_INTERVAL_S
        first.retention.check()


@then("the job that ended before is kept for its whole time")
def then_whole_time(context):
    context.shard.check_kept()


@then("jobs that end all the time take no more room than those of the time for which they are owed")
def then_room(context):
    shard, largest = Shard(1), 0
    for _ in range(2_000):
        shard.now_s += CHECK_INTERVAL_S
        shard.end_job(0.0)
        shard.look()
        machine = shard.leader.machine
        assert machine.retention_clock.since_ms.keys() <= machine.jobs.keys(), (
            "a forgotten job is noted"
        )
        largest = max(largest, len(machine.jobs))
    assert largest <= STEADY_S / CHECK_INTERVAL_S + 1, largest
    noted = len(msgspec.json.encode(machine.retention_clock))
    assert noted <= 64 * (len(machine.jobs) + 1), noted


def saved_without_counts(machine):
    """A snapshot as a release wrote it that counts nothing."""
    plain = cbor2.loads(machine.save())
    del plain["kept"]
    return cbor2.dumps(plain)


@then("their ended jobs are kept for their whole time, and forgotten after it")
def then_old_snapshot(context):
    shard = Shard()
    shard.end_job(1.0)
    old_command = shard.codec.decode(
        cbor2.dumps({"type": "ForgetJobs", "job_ids": ["other"]}), ForgetJobs
    )
    assert old_command == ForgetJobs(("other",))
    for replica in shard.replicas:
        replica.catch_up()
        saved, replica.machine = saved_without_counts(replica.machine), BatchJobs()
        replica.machine.load(saved)
    shard.append(old_command)
    began_s = shard.now_s
    while "job-0" in shard.leader.machine.jobs:
        shard.now_s += CHECK_INTERVAL_S
        shard.look()
        shard.check_kept()
        assert shard.now_s - began_s <= LATEST_S


@then("a replica that lacks counts keeps its jobs for longer, and counts on with the others")
def then_lacking(context):
    shard = Shard()
    whole, lacking, _ = shard.replicas
    shard.end_job(1.0)
    go_on(shard, 20.0)
    lacking.machine.load(saved_without_counts(lacking.machine))
    shard.leader = lacking
    shard.end_job(1.0)
    go_on(shard, 5.0)
    assert 0 < lacking.machine.retention_clock.counted_ms < whole.machine.retention_clock.counted_ms
    shard.leader = whole
    go_on(shard, 5.0)
    assert lacking.machine.retention_clock.counted_ms == whole.machine.retention_clock.counted_ms
    shard.leader = lacking
    go_on(shard, STATUS_S + LATEST_S)
    assert not any(each.machine.jobs for each in shard.replicas)


def go_on(shard, seconds):
    """Let time pass in which all machines look, and no job that is owed goes."""
    until_s = shard.now_s + seconds
    while shard.now_s < until_s:
        shard.now_s += CHECK_INTERVAL_S
        shard.look()
        shard.check_kept()
