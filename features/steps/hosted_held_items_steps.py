"""Items of jobs that the crash guard holds, at the level of the coordinator."""

import time
from collections.abc import Callable
from typing import NamedTuple

from behave import given, then, when
from features.support.hosted_jobs import make_job, make_leader
from features.support.waiting import wait_until

from bellweir.hosted.batches import attempts, held_items
from bellweir.hosted.batches.progress import Stage
from bellweir.hosted.batches.state import JOBS_KEY, AcceptJob
from bellweir.hosted.crashes.fingerprint import fingerprint
from bellweir.hosted.crashes.guard import SharedCrashGuard
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import WorkersView

END_GAP_S = 0.3
"""Time between two ends: each stands alone, and they are one series."""
BAD = 2
"""Position of the item that is held."""
DOWN_S = 0.25
CRASH_GAP_S = 0.4
TRIAL_GAP_S = 4.0
TRIAL_END_S = 0.1
"""Time after the beginning of a trial at which its worker ends: the trial has ended it."""


class ClientSent(NamedTuple):
    """A client's request as the guard sees it."""

    fingerprint: bytes
    request_id: str = "r-1"
    is_owed: bool = False


class Clock:
    """The monotonic clock, with a lead that grows while ends are made up."""

    def __init__(self):
        self.lead_s = 0.0

    def __call__(self):
        return time.monotonic() + self.lead_s


def _generation(job, item):
    body = item.id.encode() + b"\n" + item.body
    return fingerprint("POST", job.host, item.path, job.tenant, body)


def _add_ends(context, request, service, count):
    for number in range(count):
        context.clock.lead_s += END_GAP_S
        worker = Incarnation(f"gone-{request.hex()[:8]}-{number}")
        context.suspects.add_end(request, service, worker)


def _use_guard(context):
    context.suspects = CrashTable(now_s=context.clock)
    context.view = WorkersView()
    context.guard = SharedCrashGuard(
        context.suspects, context.view, lambda: True, now_s=context.clock
    )


def _make_guard(context):
    context.clock = Clock()
    _use_guard(context)
    context.fields = {}
    context.engine_count = 2
    context.before_start: list[Callable[[], None]] = []
    context.lines = []

    def emit(event, **fields):
        context.lines.append((time.monotonic(), event.name, fields))

    def emit_run(event, **fields):
        if event.name == "item_started":
            context.started.append((time.monotonic(), fields["request_id"]))
        emit_attempt(event, **fields)

    context.started = []
    emit_attempt, attempts.emit = attempts.emit, emit_run
    context.cleanup.callback(setattr, attempts, "emit", emit_attempt)
    original, held_items.emit = held_items.emit, emit
    context.cleanup.callback(setattr, held_items, "emit", original)


def _make_job(context, count, groups):
    context.job = make_job("job-1", count, groups)
    context.bad = context.job.items[min(BAD, count - 1)]


@given(
    "a leader with a guard, and an item of {count:d} in {groups:d} groups under which engines "
    "ended {ends:d} times"
)
def given_item(context, count, groups, ends):
    _make_guard(context)
    _make_job(context, count, groups)
    _add_ends(context, _generation(context.job, context.bad), "llm", ends)


@given(
    "a leader with a guard, and an item of {count:d} in {groups:d} groups under whose scoring "
    "{ends:d} workers ended"
)
def given_scoring(context, count, groups, ends):
    _make_guard(context)
    _make_job(context, count, groups)
    scorer = context.bad.scorer
    body = scorer.id.encode() + b"\n" + scorer.body
    context.scoring = fingerprint("POST", scorer.host, scorer.path, context.job.tenant, body)
    _add_ends(context, context.scoring, "app", ends)


@given("the route's longest wait is {seconds:d} s")
def given_longest_wait(context, seconds):
    context.fields = {"maxWaitS": seconds}


@given("{count:d} requests of {service} that nobody sends any more, each with {ends:d} ends before")
def given_absent(context, count, service, ends):
    name = "llm" if service == "the same one" else "app"
    for number in range(count):
        _add_ends(context, fingerprint("POST", "h", f"/gone-{number}", "", b""), name, ends)


@given("the engine {number:d} {state}")
def given_state(context, number, state):
    def strike():
        engine = context.batches.models[number]
        if state == "refuses all":
            engine.faults.refuse = 1_000_000
        else:
            engine.crash()

    context.before_start.append(strike)


@when("its job is accepted")
def when_accepted(context):
    context.batches = make_leader(
        context,
        crashes=context.guard,
        fields=context.fields,
        workers=context.view,
        workers_each=context.engine_count,
    )
    for act in context.before_start:
        act()
    context.accepted_s = time.monotonic()
    context.batches.ledger.submit(JOBS_KEY, AcceptJob(context.job), 1.0)
    context.state = context.batches.ledger.machine.jobs["job-1"]


def _listed(context):
    return set(context.state.recorded_ids)


def _all_ids(context):
    return {item.id for item in context.job.items}


def _held_lines(context):
    found = [line for line in context.lines if line[1] == "item_held"]
    assert {fields["request_id"] for _, _, fields in found} <= {context.bad.id}, found
    return found


@then("the other items are listed within {seconds:d} s")
def then_others(context, seconds):
    others = _all_ids(context) - {context.bad.id}
    wait_until(lambda: others <= _listed(context), "the other items", seconds)


@then("all items are listed within {seconds:d} s")
def then_all(context, seconds):
    wait_until(lambda: _listed(context) == _all_ids(context), "all items", seconds)
    outcomes = [result.is_complete for result in context.state.results]
    assert all(outcomes), outcomes


@then("the held item is logged within {seconds:d} s, with its reason and {most:d} s left at most")
def then_logged(context, seconds, most):
    wait_until(lambda: _held_lines(context), "a line", seconds)
    ((_, _, fields),) = _held_lines(context)
    assert fields["reason"] == held_items.SUSPENDED, fields
    assert fields["job"] == context.job.id, fields
    assert 0 < fields["left_s"] <= most, fields


@then("the held item has reached no engine and is not listed")
def then_not_listed(context):
    runs = sum(engine.record.ran[context.bad.id] for engine in context.batches.models)
    assert runs == 0, runs
    assert context.bad.id not in _listed(context)


@then("the held item is logged in the scoring stage")
def then_logged_in_scoring(context):
    wait_until(lambda: _held_lines(context), "a line", 2.0)
    assert {fields["stage"] for _, _, fields in _held_lines(context)} == {Stage.SCORING.value}
    assert context.bad.id not in _listed(context)


@then("all items are listed within {seconds:d} s once an operator releases it")
def then_released(context, seconds):
    context.suspects.lift([context.scoring])
    then_all(context, seconds)


@given("a leader with a guard and {count:d} engines that stream slowly")
def given_slow(context, count):
    _make_guard(context)
    context.engine_count = count

    def slow_down():
        for engine in context.batches.models:
            engine.event_pause_s = 0.4

    context.before_start.append(slow_down)


@when("a job of {count:d} items runs while all engines crash {crashes:d} times")
def when_crashes(context, count, crashes):
    _make_job(context, count, 2)
    when_accepted(context)
    for _ in range(crashes):
        time.sleep(CRASH_GAP_S)
        for engine in context.batches.models:
            engine.crash()
        time.sleep(DOWN_S)
        for engine in context.batches.models:
            engine.start_again()
        context.batches.show()


@then("all items are listed within {seconds:d} s after the last crash")
def then_all_after(context, seconds):
    then_all(context, seconds)


@given("{count:d} engines that all refuse for {seconds:d} s")
def given_refusing(context, count, seconds):
    def refuse():
        for engine in context.batches.models:
            engine.refuse_for(seconds)

    context.engine_count = count
    context.before_start.append(refuse)


@given("{count:d} trials of the item have ended their engines")
def given_failed_trials(context, count):
    request = _generation(context.job, context.bad)
    for number in range(count):
        context.clock.lead_s += TRIAL_GAP_S
        worker = Incarnation(f"tried-{number}")
        context.suspects.add_trial(request, worker)
        context.clock.lead_s += TRIAL_END_S
        context.suspects.add_end(request, "llm", worker)
    assert context.suspects.failed_trials(request) == count


@given("{count:d} trials of the item were refused")
def given_refused_trials(context, count):
    request = _generation(context.job, context.bad)
    for number in range(count):
        worker = Incarnation(f"refused-{number}")
        context.suspects.add_trial(request, worker)
        context.suspects.withdraw_trial(request, worker)
    assert context.suspects.trials_left(request) == 0


@given("another node leads from now on, which was told all that")
def given_another_leader(context):
    records = context.suspects.records()
    _use_guard(context)
    for record in records:
        assert context.suspects.receive(record)


@given(
    "a leader with a guard, and {count:d} items under each of which engines ended {ends:d} times"
)
def given_items(context, count, ends):
    _make_guard(context)
    _make_job(context, count, 2)
    for item in context.job.items:
        _add_ends(context, _generation(context.job, item), "llm", ends)


@then("the item reached a worker within {seconds:d} s")
def then_reached(context, seconds):
    runs = [at_s for at_s, request_id in context.started if request_id == context.bad.id]
    assert runs, context.started
    assert runs[0] <= context.accepted_s + seconds, runs[0] - context.accepted_s


@then("a client's request under which as many workers ended is held for more than {seconds:d} s")
def then_client_held(context, seconds):
    request = ClientSent(fingerprint("POST", "h", "/client", "", b""))
    _add_ends(context, request.fingerprint, "llm", 6)
    assert context.guard.quarantine_left_s(request) > seconds
