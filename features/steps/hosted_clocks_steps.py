"""Retention of jobs when clocks differ or jump."""

import time
from unittest.mock import patch

import cbor2
import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import make_job, make_leader
from features.support.job_replicas import STATUS_S, Shard
from hypothesis import given, settings

from bellweir.hosted.batches.retention import CHECK_INTERVAL_S, COUNT_INTERVAL_S
from bellweir.hosted.batches.state import AcceptJob, BatchJobs, EndJob, ForgetJobs, ReadResults

CHECK_TIMEOUT_S = 15.0


@given_step("a job that a gateway accepted and ended")
def given_ended(context):
    context.leader = make_leader(context)
    gateway_s = time.time()
    job = msgspec.structs.replace(make_job("job", 2, 1), accepted_at_s=gateway_s)
    context.leader.ledger.submit("", AcceptJob(job), 1.0)
    context.leader.ledger.submit("", EndJob("job", gateway_s), 1.0)


@when("the leader, whose wall clock is {ahead:d} s ahead, has checked for expired jobs")
def when_ahead(context, ahead):
    ledger, real_time, forgotten = context.leader.ledger, time.time, []
    submit = ledger.submit

    def recording_submit(key, command, timeout_s):
        reply = submit(key, command, timeout_s)
        if isinstance(command, ForgetJobs):
            forgotten.append(command)
        return reply

    ledger.submit = recording_submit
    context.cleanup.enter_context(patch("time.time", lambda: real_time() + ahead))
    context.wait_until(lambda: forgotten, "a check for expired jobs", CHECK_TIMEOUT_S)


@then("the results of the job can still be read")
def then_read(context):
    page = context.leader.ledger.machine.answer(ReadResults("job", 0, 1 << 20))
    assert page.total == 2, "a job was forgotten before its time"


WALL_CLOCKS_S = (-1e9, 0.0, 1e9, 1e12)
MAX_STEADY_RETENTION_S = STATUS_S + 2 * (COUNT_INTERVAL_S + CHECK_INTERVAL_S)
"""Upper bound of the retention time with instant commits and a stable leader."""
MAX_RETENTION_S = STATUS_S * (1 + CHECK_INTERVAL_S / COUNT_INTERVAL_S) + 2 * (
    COUNT_INTERVAL_S + CHECK_INTERVAL_S
)
"""Upper bound if the leader changes at each count."""


@then("no ended job is forgotten before its time, in any order of events")
def then_not_early(context):
    replica, seldom = st.integers(0, 2), st.sampled_from((False, False, True))
    event = st.one_of(
        st.tuples(st.just("end"), st.sampled_from(WALL_CLOCKS_S)),
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
    assert sum(forgotten) > 100, f"{sum(forgotten)} jobs forgotten: too few for this test"


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
            shard.replicas[value].restart()
        case "catch up":
            shard.replicas[value].catch_up()
        case "stand still":
            shard.replicas[value].suspended_s += 3.0
            shard.now_s += 3.0
        case "lose":
            shard.loses = value
        case "delay":
            shard.delays = value
        case "arrive" if shard.late:
            # A command may be applied late and more than once.
            shard.append(shard.late[0] if value else shard.late.pop())


@then("every ended job is forgotten soon after its time, even if the leader changes at each check")
def then_soon(context):
    for checks_led in (1, 2, 5, 1_000):
        shard = Shard()
        for number in range(200):
            shard.now_s += CHECK_INTERVAL_S
            if number % 7 == 0:
                shard.end_job(WALL_CLOCKS_S[number % len(WALL_CLOCKS_S)])
            shard.leader = shard.replicas[number // checks_led % 3]
            shard.leader.catch_up()
            shard.check_retention()
            shard.check_kept()
            for job_id in shard.leader.machine.jobs:
                latest_s = MAX_STEADY_RETENTION_S if checks_led == 1_000 else MAX_RETENTION_S
                assert shard.age_s(job_id) <= latest_s, (checks_led, shard.age_s(job_id))


@when("a leader is paused during a check while another one counts, and resumes after it caught up")
def when_paused_in_check(context):
    context.shard = shard = Shard()
    first, second = shard.replicas[:2]
    shard.end_job(0.0)
    shard.now_s += COUNT_INTERVAL_S
    shard.check_retention()
    leads = first.leads

    def pausing_leads(key):
        is_leading = leads(key)
        shard.leader = second
        while shard.age_s("job-0") < STATUS_S - COUNT_INTERVAL_S:
            shard.now_s += COUNT_INTERVAL_S
            second.catch_up()
            second.retention.check()
        first.catch_up()
        return is_leading

    with patch.object(first, "leads", pausing_leads):
        shard.now_s += COUNT_INTERVAL_S
        first.retention.check()


@then("the job that ended before is kept for its full retention time")
def then_full_time(context):
    context.shard.check_kept()


@then("the memory of jobs that end continuously is bounded by the retention time")
def then_bounded(context):
    shard, largest = Shard(1), 0
    for _ in range(2_000):
        shard.now_s += CHECK_INTERVAL_S
        shard.end_job(0.0)
        shard.check_retention()
        machine = shard.leader.machine
        assert machine.retention_clock.since_ms.keys() <= machine.jobs.keys(), (
            "a forgotten job is still counted"
        )
        largest = max(largest, len(machine.jobs))
    assert largest <= MAX_STEADY_RETENTION_S / CHECK_INTERVAL_S + 1, largest
    encoded_bytes = len(msgspec.json.encode(machine.retention_clock))
    assert encoded_bytes <= 64 * (len(machine.jobs) + 1), encoded_bytes


def saved_without_counts(machine):
    """A snapshot of a release without retention counts."""
    plain = cbor2.loads(machine.save())
    del plain["kept"]
    return cbor2.dumps(plain)


@then("their ended jobs are kept for their full retention time and forgotten after it")
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
        shard.check_retention()
        shard.check_kept()
        assert shard.now_s - began_s <= MAX_RETENTION_S


@then("a replica that lacks counts keeps its jobs for longer and counts along with the others")
def then_uncounted(context):
    shard = Shard()
    counted, uncounted, _ = shard.replicas
    shard.end_job(1.0)
    advance(shard, 20.0)
    uncounted.machine.load(saved_without_counts(uncounted.machine))
    shard.leader = uncounted
    shard.end_job(1.0)
    advance(shard, 5.0)
    assert (
        0
        < uncounted.machine.retention_clock.counted_ms
        < counted.machine.retention_clock.counted_ms
    )
    shard.leader = counted
    advance(shard, 5.0)
    assert (
        uncounted.machine.retention_clock.counted_ms == counted.machine.retention_clock.counted_ms
    )
    shard.leader = uncounted
    advance(shard, STATUS_S + MAX_RETENTION_S)
    assert not any(each.machine.jobs for each in shard.replicas)


def advance(shard, seconds):
    """Advance the clock; all replicas check, and no job is forgotten before its time."""
    until_s = shard.now_s + seconds
    while shard.now_s < until_s:
        shard.now_s += CHECK_INTERVAL_S
        shard.check_retention()
        shard.check_kept()
