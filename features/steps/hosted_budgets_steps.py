"""Bounds on the runs of an item or a request, counted over processes that are lost."""

import json
import random
import threading
from unittest import mock

from behave import given, then, when
from features.support.hosted_jobs import make_job
from features.support.waiting import wait_until

from bellweir.hosted.batches import attempts
from bellweir.hosted.batches.state import JOBS_KEY, AcceptJob
from bellweir_rehearsal.hosted.clients import call, item_documents

FIRST_ITEM = "job-0"
ALLOWED = 3
"""Attempts of the routes."""
LEADERS = 12
"""Leaders that are lost at most."""
FAILS_AT = {"text": FIRST_ITEM, "score": f"score-{FIRST_ITEM}"}
"""Id of the request that fails, by stage."""
FIRST_WAIT_S = 0.3
JOB = "failing"
RUN_S = 0.15
"""Time of a run, so that the leader can be killed between two of them."""


def _count(workers, request_id):
    return sum(worker.record.ran[request_id] for worker in workers)


@given("the first item fails at every worker in its {stage}")
def given_failing(context, stage):
    context.failing = FAILS_AT[stage]
    context.workers = [*context.leader.models, *context.leader.scorers]
    for worker in context.workers:
        worker.faults.fail_ids = frozenset({context.failing})


@given("it does so after {factor:g} times the time that a leader waits at first")
def given_late(context, factor):
    for name in ("FIRST_EVENT_TIMEOUT_S", "SCORING_TIMEOUT_S"):
        context.cleanup.enter_context(mock.patch.object(attempts, name, FIRST_WAIT_S))
    for worker in context.workers:
        worker.faults.fail_after_s = factor * FIRST_WAIT_S


@when(
    "a job of {items:d} items in {groups:d} groups is accepted, "
    "and another node leads after each {answers:d} answers of 500"
)
def when_led_by_others(context, items, groups, answers):
    ledger, coordinator = context.leader.ledger, context.leader.coordinator
    received = _note_failures(coordinator._attempts)
    ledger.submit(JOBS_KEY, AcceptJob(make_job("job", items, groups)), 1.0)
    context.state = ledger.machine.jobs["job"]
    for _ in range(LEADERS):
        wanted = len(received) + answers
        wait_until(
            lambda wanted=wanted: (
                FIRST_ITEM in context.state.recorded_ids or len(received) >= wanted
            ),
            "answers of 500 or a result",
        )
        if FIRST_ITEM in context.state.recorded_ids:
            return
        # The coordinator drops its state when it steps down, so it goes on as another one would.
        ledger.leading = False
        wait_until(
            lambda: not coordinator._running and not coordinator._progress,
            "the former leader's attempts ended and dropped",
        )
        ledger.leading = True


def _note_failures(attempts):
    """Return a list that grows with each answer of 500 to the first item that a leader gets."""
    received, record = [], attempts._record_failure

    def note(progress, worker, status, cancellation):
        record(progress, worker, status, cancellation)
        if progress.item.id == FIRST_ITEM:
            received.append(status)

    attempts._record_failure = note
    return received


@then("the first item is listed as dead, and the others as completed")
def then_listed(context):
    context.state = context.leader.ledger.machine.jobs["job"]
    wait_until(lambda: len(context.state.results) == len(context.state.items), "a result of each")
    dead = {result.item_id for result in context.state.results if not result.is_complete}
    assert dead == {FIRST_ITEM}, dead


@then("the first item was sent {most:d} times at most in its {stage}")
def then_first_bounded(context, most, stage):
    sent = _count(context.workers, FAILS_AT[stage])
    assert ALLOWED <= sent <= most, sent


@given("an item that answers {status:d} at each run in its {stage}")
def given_failing_item(context, status, stage):
    deployment = context.traffic.deployment
    context.item = "item-that-fails"
    (context.document,) = item_documents([context.item])
    fails = context.item if stage == "text" else f"score-{context.item}"
    context.failing, context.workers = fails, deployment.workers
    for worker in deployment.workers:
        worker.faults.fail_ids = frozenset({fails})
        worker.faults.fail_after_s = RUN_S
        worker.faults.fail_status = status


@when(
    "its job is accepted, and the leader of the jobs is killed {kills:d} times, "
    "after each {answers:d} answers of 500"
)
def when_leaders_killed(context, kills, answers):
    deployment = context.traffic.deployment
    content = {"step": 0, "model": "drafts", "minVersion": 1, "items": [context.document]}
    headers = {"X-Bellweir-Attempt-Id": JOB, "Content-Type": "application/json"}
    address = deployment.address(deployment.running("gateway")[0], "front")
    body = json.dumps(content).encode()

    def is_accepted():
        answer = call(address, "POST", f"/drafts/{JOB}", body, headers)
        return answer is not None and answer.status == 202

    wait_until(is_accepted, "the job is accepted")
    for _ in range(kills):
        # The worker counts a run when it begins.
        wanted = _count(context.workers, context.failing) + answers + 1
        wait_until(
            lambda wanted=wanted: (
                _is_listed(context, address) or _count(context.workers, context.failing) >= wanted
            ),
            "answers of 500 or a result",
        )
        leader = deployment.jobs_leader()
        if leader is None or _is_listed(context, address):
            break
        deployment.kill(leader)
        deployment.start_machine(leader)
    context.address = address


def _results(address):
    answer = call(address, "GET", f"/api/lots/{JOB}?after=0")
    return json.loads(answer.body)["results"] if answer and answer.status == 200 else []


def _is_listed(context, address):
    return bool(_results(address))


@then("the item is listed as dead")
def then_dead(context):
    wait_until(lambda: _is_listed(context, context.address), "a result of the item")
    assert [one["state"] for one in _results(context.address)] == ["dead"]


@then("it has been sent {most:d} times at most")
def then_bounded(context, most):
    sent = _count(context.workers, context.failing)
    assert ALLOWED <= sent <= most, sent


@given("a gateway is killed and started again each {pause_s:g} s, drawn by seed {seed:d}")
def given_restarts(context, pause_s, seed):
    threading.Thread(target=_restart, args=(context, pause_s, seed), daemon=True).start()


def _restart(context, pause_s, seed):
    deployment, chance = context.traffic.deployment, random.Random(seed)
    while not context.stopping.wait(pause_s):
        name = chance.choice(deployment.names("gateway"))
        deployment.kill(name)
        deployment.start_machine(name)


@then(
    "later than {seconds:g} s after the third crash all gateways have sent it "
    "{most:d} times at most"
)
def then_bounded_everywhere(context, seconds, most):
    from_s = context.crashes_s[2] + seconds
    runs = [
        run for worker in context.traffic.deployment.scorers for run in worker.record.crashing_runs
    ]
    late = sorted(
        (round(run.at_s - from_s, 2), run.request_id) for run in runs if run.at_s > from_s
    )
    assert len(late) <= most, f"{late}, {len(runs)} runs"
