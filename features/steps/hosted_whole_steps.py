"""The hosted roles as processes."""

import re

from behave import then, when

from bellweir.explanation.explanation import explain
from bellweir.explanation.lines import read_lines
from bellweir_rehearsal.hosted.clients import call
from bellweir_rehearsal.hosted.day import HostedDay

METRIC_ROW = re.compile(r"^\| `(bellweir_\w+)` \| (\w+) \| (\w+) \|", re.MULTILINE)
TYPE_LINE = re.compile(r"^# TYPE (bellweir_\w+) (\w+)$", re.MULTILINE)


@when("the short day is played")
def when_played(context):
    context.day = HostedDay(context.folder)
    context.cleanup.callback(context.day.close)
    context.day.play()


@then("everything that must hold has held")
def then_held(context):
    for check in context.day.checks:
        assert check.held, (check.name, check.checked, check.faults[:3])


@then("the metrics of both roles are those that docs/METRICS.md lists")
def then_metrics(context):
    page = (context.repository / "docs" / "METRICS.md").read_text(encoding="utf-8")
    rows = METRIC_ROW.findall(page)
    assert rows, "docs/METRICS.md lists no metrics"
    for role in ("gateway", "store"):
        machine = context.day.deployment.running(role)[0]
        address = context.day.deployment.address(machine, "metrics")
        found = set(TYPE_LINE.findall(call(address, "GET", "/metrics").body.decode()))
        found = {(name, kind) for name, kind in found if not name.endswith("_created")}
        listed = {(name, kind) for name, kind, roles in rows if roles in (role, "both")}
        assert found == listed, (role, found ^ listed)


@then("the logs of the day explain a request, an item and a batch job")
def then_explained(context):
    files = [machine.log_file for machine in context.day.deployment.machines.values()]
    lines = read_lines([file.read_text(encoding="utf-8").splitlines() for file in files])
    # From the step without faults: a killed process loses its last log lines.
    step = context.day.trainer.steps[0]
    job = explain(step.job_id, lines).summary
    assert "was accepted on gateway-" in job
    assert f"has {len(step.items)} of {len(step.items)} items listed" in job
    item = explain(step.items[0], lines).summary
    assert f"Item {step.items[0]} is listed completed" in item
    answered = next(line for line in lines if line.event == "request_answered")
    request_id = answered.text("request_id")
    assert f"Request {request_id} was answered with status 200" in (
        explain(request_id, lines).summary
    )
    # It also names exactly the processes that were killed.
    nothing = explain("nothing", lines).summary
    assert nothing.startswith(
        "No log line mentions nothing. Processes that ended without a shutdown line"
    )
    assert "gateway-0 (started again at" in nothing
