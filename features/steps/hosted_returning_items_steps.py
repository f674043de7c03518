"""Items that fail at each run and come again, under the same ids, in later batch jobs."""

import json
import random
import threading
import time

import msgspec
from behave import given, then, when
from features.support.hosted_jobs import make_job
from features.support.waiting import wait_until

from bellweir.hosted.batches.state import JOBS_KEY, AcceptJob, EndJob
from bellweir_rehearsal.hosted.clients import call, hand_in

FIRST_ITEM = "job-0"
ITEMS, GROUPS = 4, 2
JOB = "again"
LAST_JOB = "job"
SHORTEST_S, LONGEST_S = 0.35, 0.6
"""Times after which a job ends."""
SEED = 1


def _sent(context):
    return sum(worker.record.ran[context.failing] for worker in context.workers)


def _running(context):
    return sum(worker.in_hand[context.failing] for worker in context.workers)


@given("the first item is answered {status:d} after {run_s:g} s at every worker in its {stage}")
def given_answered(context, status, run_s, stage):
    context.failing = FIRST_ITEM if stage == "text" else f"score-{FIRST_ITEM}"
    context.workers = [*context.leader.models, *context.leader.scorers]
    for worker in context.workers:
        worker.faults.fail_ids = frozenset({context.failing})
        worker.faults.fail_status = status
        worker.faults.fail_after_s = run_s


def _accept(context, job_id):
    job = msgspec.structs.replace(make_job(LAST_JOB, ITEMS, GROUPS), id=job_id)
    context.leader.ledger.submit(JOBS_KEY, AcceptJob(job), 1.0)
    return context.leader.ledger.machine.jobs[job_id]


def _is_first_listed(state):
    return FIRST_ITEM in state.recorded_ids


def _wait_for_end(context, state, end):
    if end == "once it is listed":
        wait_until(lambda: _is_first_listed(state), "the first item is listed")
    elif end == "as its run ends":
        wait_until(lambda: _running(context) or _is_first_listed(state), "a run or a result")
        wait_until(lambda: not _running(context), "the run has ended")
    else:
        time.sleep(float(end.split()[0]))


@when("the same items come in {jobs:d} jobs, each ended {end}")
def when_again(context, jobs, end):
    for number in range(jobs):
        state = _accept(context, f"{JOB}-{number}")
        _wait_for_end(context, state, end)
        context.leader.ledger.submit(JOBS_KEY, EndJob(state.job.id, time.time()), 1.0)
    coordinator = context.leader.coordinator
    wait_until(lambda: not coordinator.running_count(), "the runs of ended jobs have ended")


@when("they come in a last job")
def when_last(context):
    context.sent_before = _sent(context)
    _accept(context, LAST_JOB)


@then(
    "the first item was sent {fewest:d} to {most:d} times in its {stage}, and never in the last job"
)
def then_sent(context, fewest, most, stage):
    sent = _sent(context)
    assert fewest <= sent <= most, sent
    assert sent == context.sent_before, f"{sent - context.sent_before} runs in the last job"


@when("no item fails any more")
def when_mended(context):
    for worker in context.workers:
        worker.faults.fail_ids = frozenset()


@when("no item fails any more after {seconds:g} s")
def when_mended_later(context, seconds):
    time.sleep(seconds)
    when_mended(context)


@then("all jobs list all items as completed")
def then_all_jobs_completed(context):
    for state in context.states:
        wait_until(lambda state=state: len(state.results) == ITEMS, "a result of each item")
        assert all(result.is_complete for result in state.results), state.results


@then("all items are listed as completed")
def then_all_completed(context):
    state = context.leader.ledger.machine.jobs[LAST_JOB]
    wait_until(lambda: len(state.results) == ITEMS, "a result of each item")
    assert all(result.is_complete for result in state.results), state.results


@when("the same items come in {jobs:d} jobs that stay open")
def when_open(context, jobs):
    context.states = [_accept(context, f"{JOB}-{number}") for number in range(jobs)]


@then("all jobs list the first item as dead, and the others as completed")
def then_all_dead(context):
    for state in context.states:
        wait_until(lambda state=state: len(state.results) == ITEMS, "a result of each item")
        dead = [result.item_id for result in state.results if not result.is_complete]
        assert dead == [FIRST_ITEM], (state.job.id, dead)


@then("the first item was sent {fewest:d} to {most:d} times")
def then_sent_in_all(context, fewest, most):
    sent = _sent(context)
    assert fewest <= sent <= most, sent


@when("its job ends between an answer and its reading")
def when_cancelled(context):
    ledger, coordinator = context.leader.ledger, context.leader.coordinator
    runner = coordinator._attempts
    open_generation = runner._open_generation

    def open_and_cancel(progress, worker, timeout_s, cancellation):
        opened = open_generation(progress, worker, timeout_s, cancellation)
        if progress.item.id == FIRST_ITEM and opened.opened is not None:
            ledger.submit(JOBS_KEY, EndJob(JOB, time.time()), 1.0)
            wait_until(cancellation.cancelled.is_set, "the run is cancelled")
        return opened

    runner._open_generation = open_and_cancel
    _accept(context, JOB)
    wait_until(lambda: not ledger.machine.jobs[JOB].is_open, "the job has ended")
    wait_until(lambda: not coordinator.running_count(), "its runs have ended")


@then("{count:d} failure of the first item is recorded")
def then_recorded(context, count):
    machine = context.leader.ledger.machine
    job = machine.jobs[JOB].job
    request = job.generation_request(job.items[0])
    wait_until(lambda: machine.failed_requests.failures_of(request), "a failure is recorded")
    assert len(machine.failed_requests.failures_of(request)) == count


def _content(context):
    step = {"step": 0, "model": "drafts", "minVersion": 1, "items": [context.document]}
    return json.dumps(step).encode()


def _hand_in(context, job_id, chance):
    deployment = context.traffic.deployment
    assert hand_in(deployment, job_id, _content(context), chance, threading.Event()), job_id


def _end(context, job_id, chance):
    deployment = context.traffic.deployment

    def is_ended():
        address = deployment.address(chance.choice(deployment.running("gateway")), "front")
        answer = call(address, "DELETE", f"/api/lots/{job_id}")
        return answer is not None and answer.status == 200

    wait_until(is_ended, f"{job_id} is ended")


@when(
    "it comes in {jobs:d} jobs that end after 0.35 to 0.6 s, "
    "and their leader is killed {kills:d} times"
)
def when_comes_again(context, jobs, kills):
    deployment, chance = context.traffic.deployment, random.Random(SEED)
    killed_in = set(range(1, 2 * kills, 2))
    for number in range(jobs):
        job_id = f"{JOB}-{number}"
        _hand_in(context, job_id, chance)
        time.sleep(chance.uniform(SHORTEST_S, LONGEST_S))
        leader = deployment.jobs_leader() if number in killed_in else None
        if leader is not None:
            deployment.kill(leader)
            deployment.start_machine(leader)
        _end(context, job_id, chance)


@then("it has been sent {fewest:d} to {most:d} times")
def then_sent_by_processes(context, fewest, most):
    sent = _sent(context)
    assert fewest <= sent <= most, sent


@when("it comes in a last job")
def when_comes_last(context):
    deployment = context.traffic.deployment
    _hand_in(context, "failing", random.Random(SEED))
    context.address = deployment.address(deployment.running("gateway")[0], "front")
