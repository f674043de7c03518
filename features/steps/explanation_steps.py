"""Steps for explanations of requests, batch jobs and workers from log lines."""

import json
import subprocess
import sys

from behave import given as given_step
from behave import then

from bellweir.explanation.explanation import explain
from bellweir.explanation.lines import read_lines


def line(second, node, event, **fields):
    stamp = f"2026-01-01T00:00:{second:06.3f}Z"
    return json.dumps({"timestamp": stamp, "node": node, "event": event, **fields})


def attempt(second, number, outcome):
    return line(
        second,
        "gateway-a",
        "attempt_failed",
        request_id="r-1",
        attempt=number,
        instance=f"i-{number}",
        outcome=outcome,
        detail="",
    )


@given_step(
    'log lines in which request "{request}" was given up because of "{cause}" after attempts that '
    "{outcome}"
)
def given_request(context, request, cause, outcome):
    end = line(
        3,
        "gateway-a",
        "request_given_up",
        request_id=request,
        status=503,
        cause=cause,
        configuration=4,
        attempts=2,
        ms=20,
    )
    # Unsorted, with a prefix before one line, and one line that is not JSON.
    context.lines = [end, "  0.5 gateway-a " + attempt(2, 2, outcome), "{", attempt(1, 1, outcome)]


@given_step(
    "log lines of an item that failed {count:d} times in earlier jobs and is listed as dead"
)
def given_item_without_run(context, count):
    item = {"request_id": "i-1", "job": "j-1", "events": 0}
    context.lines = [
        line(1, "store-a", "item_taken_over", failures=count, earlier=count, **item),
        line(2, "store-a", "item_listed", state="dead", versions=[], cause=None, **item),
    ]


@given_step(
    "log lines of a gateway that learns of evacuations and refuses a request half a minute later"
)
def given_evacuated(context):
    context.lines = [
        line(1, "gateway-a", "evacuation_began", zone="a", revision=7),
        line(2, "gateway-a", "evacuation_began", zone="b", revision=8),
        line(3, "gateway-b", "evacuation_began", zone="c", revision=9),
        line(9, "gateway-a", "evacuation_ended", zone="b", revision=8, after_s=7),
        line(
            31,
            "gateway-a",
            "request_given_up",
            request_id="r-1",
            status=503,
            cause="zone_evacuated",
            configuration=4,
            attempts=0,
            ms=1,
        ),
    ]


@then("the explanation names the evacuation in force, and not the one that has ended")
def then_evacuation_named(context):
    context.explanation = explain("r-1", read_lines([context.lines]))
    shown = [(event.event, event.text("zone")) for event in context.explanation.node_events]
    assert shown == [("evacuation_began", "a")], shown


@then("it says that the request was not sent because of the evacuation")
def then_evacuation_said(context):
    assert "the operator evacuates the zones" in context.explanation.summary


@given_step(
    "log lines of a job that competes with other steps and cannot complete all groups in time"
)
def given_competing(context):
    def ordered(second, late):
        return line(
            second,
            "store-a",
            "step_ordered",
            request_id="j-5",
            due_ms=7500 - 1000 * (second - 1),
            wanted_groups=5,
            late_groups=late,
            waiting=20,
            running=12,
            left_events=447,
            places=40,
            pace_ms=46,
            steps=2,
        )

    accepted = line(1, "gateway-a", "job_accepted", request_id="j-5", items=40, step=3)
    context.lines = [accepted, ordered(2, 0), ordered(3, 3), ordered(4, 1)]


@given_step("log lines of a job with an interrupted run, a change of leader and a late item")
def given_job(context):
    context.lines = [
        line(1, "gateway-a", "job_accepted", request_id="j-1", items=2, step=3),
        line(2, "store-a", "item_started", request_id="i-1", job="j-1"),
        line(3, "store-a", "item_listed", request_id="i-1", job="j-1", state="completed"),
        line(4, "store-a", "item_broken", request_id="i-2", job="j-1", cause="OSError"),
        line(5, "store-b", "coordination_taken", jobs=1),
        line(6, "store-b", "item_started", request_id="i-2", job="j-1"),
        line(10, "store-b", "item_listed", request_id="i-2", job="j-1", state="completed"),
        line(11, "gateway-b", "job_ended", request_id="j-1"),
    ]


@given_step(
    "log lines of a job with a group that waited, one that was moved and one that never completed"
)
def given_held_up(context):
    def item(second, event, number, **fields):
        return line(
            second, "store-a", f"item_{event}", request_id=f"i-{number}", job="j-4", **fields
        )

    context.lines = [
        line(1, "gateway-a", "job_accepted", request_id="j-4", items=4, wanted=2, step=3),
        item(1, "started", 2, group="g-2"),
        item(1, "started", 3, group="g-3"),
        item(1, "started", 4, group="g-1"),
        item(2, "listed", 4, events=3),
        item(3, "moved", 2, cause="silent", events=20),
        item(3, "broken", 2, cause="ended here", events=20),
        item(3, "started", 2, group="g-2", after_event=20),
        item(4, "broken", 3, cause="refused: status 503", events=9),
        item(4, "started", 1, group="g-1"),
        item(5, "listed", 1, events=8),
        item(6, "listed", 2, events=60),
    ]


@given_step('log lines in which job "{job}" was not accepted')
def given_refused(context, job):
    refused = line(
        1, "gateway-a", "job_not_accepted", request_id=job, status=503, cause="no leader"
    )
    context.lines = [refused]


@then('the explanation of "{identifier}" says "{said}"')
def then_says(context, identifier, said):
    summary = explain(identifier, read_lines([context.lines])).summary
    assert said in summary, summary


def run(context, identifier):
    file = context.folder / "lines.log"
    file.write_text("\n".join(context.lines), encoding="utf-8")
    command = [sys.executable, "-m", "bellweir", "explain", identifier, "--log", str(file)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@then('the command "explain r-1 --log FILE" prints the lines in order and the summary')
def then_printed(context):
    done = run(context, "r-1")
    assert done.returncode == 0, done.stderr
    found = [shown.split(" ")[2] for shown in done.stdout.splitlines()[:3]]
    assert found == ["attempt_failed", "attempt_failed", "request_given_up"]
    assert "attempt=1" in done.stdout.splitlines()[0]
    assert done.stdout.splitlines()[-1].startswith("Request r-1 was given up with status 503")


@then('the command "explain r-9 --log FILE" fails with an error that names the id')
def then_failed(context):
    done = run(context, "r-9")
    assert done.returncode != 0
    assert "r-9" in done.stdout + done.stderr


@given_step("log lines of a process that was killed and started again")
def given_killed(context):
    context.lines = [
        line(1, "gateway-a", "process_started"),
        line(1, "gateway-b", "process_started"),
        line(3, "gateway-b", "process_stopped"),
        line(4, "gateway-b", "process_started"),
        line(5, "gateway-a", "process_started"),
    ]


@given_step("log lines of a worker that two gateways set aside and that returned at one of them")
def given_worker(context):
    seen = {"instance": "i-1", "service": "app", "served": 1.2, "failed": 3.1, "usual_ms": 54}
    aside = seen | {"cause": "failing", "fellow": 0.0, "for_s": 2.0}
    context.lines = [
        line(1, "gateway-a", "worker_set_aside", **aside),
        line(2, "gateway-b", "worker_set_aside", **aside),
        attempt(2.5, 1, "unknown"),
        line(6, "gateway-b", "worker_returned", **seen, cause="good_trials"),
    ]


@then('the explanation of "{identifier}" includes a worker that was set aside in the same period')
def then_includes_worker(context, identifier):
    explanation = explain(identifier, read_lines([context.lines]))
    assert any(line.event == "worker_set_aside" for line in explanation.node_events)
