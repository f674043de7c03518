"""Routes of batch jobs that end, or that a leader does not know, while items wait."""

import time

import msgspec
from behave import given, then, when
from features.support.hosted_jobs import HOST, configuration, make_job, make_leader
from features.support.waiting import wait_until

from bellweir.hosted.batches.state import JOBS_KEY, AcceptJob

JOB = "job"
JOB_PREFIX = "/draft/"
RUN_S = 0.3
JOB_VERSION = 2
NEXT_VERSION = 3
LATER_VERSION = 9


def _configuration(version, route=None):
    """The leader's configuration with a route "/"; `route` replaces the fields of the job's."""
    found = configuration()
    routes = [one for one in found["routes"] if one["pathPrefix"] != JOB_PREFIX]
    (own,) = [one for one in found["routes"] if one["pathPrefix"] == JOB_PREFIX]
    shorter = {"host": HOST, "pathPrefix": "/", "kind": "non_idempotent", "service": "app"}
    kept = [own | route] if route is not None else []
    return found | {"version": version, "routes": [*kept, *routes, shorter]}


@given('a leader with a slow model worker, and a route "/" to the scorers\' service')
def given_slow_leader(context):
    context.leader = make_leader(context, workers_each=1)
    context.leader.models[0].faults.delay_s = RUN_S
    context.view = context.leader.coordinator._configuration
    context.view.apply(_configuration(JOB_VERSION, {}), "test")


def _accept(context, items, version):
    job = msgspec.structs.replace(make_job(JOB, items, 2), configuration_version=version)
    context.leader.ledger.submit(JOBS_KEY, AcceptJob(job), 1.0)
    context.state = context.leader.ledger.machine.jobs[JOB]


def _change_leader(context):
    context.leader.ledger.leading = False
    coordinator = context.leader.coordinator
    wait_until(lambda: not coordinator._progress, "the former leader has stepped down")
    context.leader.ledger.leading = True


@when("a job of {items:d} items is accepted, and a configuration comes that {change}")
def when_accepted(context, items, change):
    version = JOB_VERSION
    if change.startswith("is older"):
        version = LATER_VERSION
    elif change.endswith("the job names none"):
        version = 0
    _accept(context, items, version)
    wait_until(context.leader.coordinator.running_count, "items run")
    route = None
    if change == "has its route as one for requests":
        route = {"kind": "idempotent"}
    elif change.endswith("can not be read"):
        route = {"kind": 7}
    context.view.apply(_configuration(NEXT_VERSION, route), "test")
    if change.endswith("another leader"):
        _change_leader(context)


@when("a configuration with its route comes {pause_s:g} s later")
def when_back(context, pause_s):
    time.sleep(pause_s)
    context.view.apply(_configuration(LATER_VERSION, {}), "test")


def _wait_for_results(context):
    wanted = len(context.state.items)
    wait_until(lambda: len(context.state.results) == wanted, "a result of each item")


@then("each item is listed once: those that ran as completed, the others as dead")
def then_dead(context):
    _wait_for_results(context)
    completed = {result.item_id for result in context.state.results if result.is_complete}
    ran = set(context.leader.models[0].record.ran)
    assert completed <= ran, completed - ran
    listed = [result.item_id for result in context.state.results]
    assert sorted(listed) == sorted(context.state.items), listed
    # At least those beyond the worker's places waited.
    assert len(completed) < len(listed), completed


@then("all {items:d} items are listed as completed")
def then_completed(context, items):
    _wait_for_results(context)
    assert all(result.is_complete for result in context.state.results)


@then("no scorer runs the text of an item")
def then_not_elsewhere(context):
    for scorer in context.leader.scorers:
        assert not set(scorer.record.ran) & set(context.state.items), scorer.record.ran


@when("a job of {items:d} items is accepted, and all {places:d} places of the worker are taken")
def when_all_taken(context, items, places):
    _accept(context, items, JOB_VERSION)
    ran = context.leader.models[0].record.ran
    wait_until(lambda: len(ran) == places, "a run at each place")


@when("a configuration comes that moves its route to the scorers' service")
def when_moved(context):
    context.begun = set(context.leader.models[0].record.ran)
    context.view.apply(_configuration(NEXT_VERSION, {"service": "app"}), "test")


@then("the model worker runs no item that had not begun by then")
def then_moved(context):
    scorers = context.leader.scorers
    wait_until(
        lambda: any(set(each.record.ran) & set(context.state.items) for each in scorers),
        "an item runs at the other service",
    )
    assert set(context.leader.models[0].record.ran) == context.begun


@when("a configuration comes that allows {attempts:d} attempts")
def when_raised(context, attempts):
    view = context.leader.coordinator._configuration
    view.apply(_configuration(NEXT_VERSION, {"maxAttempts": attempts}), "test")


@then("it ran in the last job again, {count:d} times in all")
def then_ran_again(context, count):
    sent = sum(worker.record.ran[context.failing] for worker in context.workers)
    assert sent == count, sent
    assert sent > context.sent_before, sent
