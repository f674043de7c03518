"""Summarizes the outcome of a request, item, batch job or worker in a sentence."""

from collections import Counter
from collections.abc import Iterable, Sequence

from bellweir.explanation.lines import LogLine
from bellweir.explanation.steps import collect_steps

CAUSES = {
    "workers_full": "each worker that was tried reported no capacity and had not run it",
    "no_room": "its service could not answer in time, so it was refused before it was sent",
    "no_worker": "no worker of the route's service was listed as ready, or all had been tried",
    "zone_evacuated": "the operator evacuates the zones of all its workers, so it was not sent",
    "outside_allowed_regions": "no worker stands in a region in which it may be served",
    "worker_cold": "all its workers are cold and take few requests a second, so it was not sent",
    "not_reached": "no worker could be reached, so it has not run",
    "no_answer": "a worker may have run it but returned no complete answer",
    "worker_failed": "the worker itself returned an error",
    "timeout": "the route's timeout or the client's deadline expired first",
    "no_route": "no route of the configuration in force matches its host and path",
    "unknown_key": "the configuration in force has no such key, or the request carried none",
    "no_configuration": "the process had no configuration yet",
}
WORKER_EVENTS = frozenset({"worker_set_aside", "worker_returned"})
"""Events whose subject is a worker, identified by `instance`."""
MAX_ITEMS_SHOWN = 3
MAX_GROUPS_SHOWN = 3


def summarize(identifier: str, lines: Sequence[LogLine]) -> str:
    """Return a sentence on `identifier` from its own lines, which are sorted by time."""
    if not lines:
        return f"No log line mentions {identifier}."
    of_job = [line for line in lines if line.fields.get("job") == identifier]
    if of_job or any(line.event.startswith("job_") for line in lines):
        return _summarize_job(identifier, lines, of_job)
    if any(line.event.startswith("item_") for line in lines):
        return _summarize_item(identifier, lines)
    if lines[0].event in WORKER_EVENTS:
        return _summarize_worker(identifier, lines)
    return _summarize_request(identifier, lines)


def _summarize_worker(identifier: str, lines: Sequence[LogLine]) -> str:
    outcome = [
        part
        for part in (
            _summarize_ejections([line for line in lines if line.event == "worker_set_aside"]),
            _summarize_returns([line for line in lines if line.event == "worker_returned"]),
        )
        if part
    ]
    return f"Worker {identifier} {'; it '.join(outcome)}."


def _summarize_ejections(lines: Sequence[LogLine]) -> str:
    if not lines:
        return ""
    first = lines[0]
    cause_counts = Counter(line.text("cause") for line in lines)
    parts = ", ".join(f"{count} x {cause}" for cause, count in cause_counts.most_common())
    nodes = len({line.node for line in lines})
    return (
        f"was set aside {len(lines)} times by {nodes} gateways ({parts}), first on {first.node} at"
        f" {first.time}: {first.text('failed')} failed and {first.text('served')} served with a"
        f" median of {first.text('usual_ms')} ms, compared with"
        f" {first.text('fellow')} for the other workers"
    )


def _summarize_returns(lines: Sequence[LogLine]) -> str:
    if not lines:
        return "has no line of its return"
    last = lines[-1]
    when = f"last on {last.node} at {last.time}"
    return f"returned {len(lines)} times, {when} ({last.text('cause')})"


def _summarize_request(identifier: str, lines: Sequence[LogLine]) -> str:
    last = lines[-1]
    details = _summarize_waits(lines) + _failed_attempts(
        [line for line in lines if line.event == "attempt_failed"]
    )
    if last.event == "request_answered":
        workers = ", ".join(last.fields.get("instance") or ["a worker"])
        outcome = f"was answered with status {last.text('status')} by {workers}"
        return f"Request {identifier} {outcome} after {last.text('ms')} ms{details}."
    if last.event == "request_given_up":
        cause = last.text("cause")
        why = CAUSES.get(cause, cause)
        outcome = f"was given up with status {last.text('status')} after {last.text('ms')} ms"
        under = f"under configuration {last.text('configuration')}"
        return f"Request {identifier} {outcome} on {last.node}, {under}: {why}{details}."
    if last.event == "client_left":
        return f"Request {identifier}: its client left before there was an answer{details}."
    if last.event == "job_not_accepted":
        return f"Batch job {identifier} was not accepted on {last.node}: {last.text('cause')}."
    return (
        f"Request {identifier} has no final line: {last.node} ended or the line is not in these "
        f"logs; the latest line is {last.event}{details}."
    )


def _summarize_waits(lines: Sequence[LogLine]) -> str:
    """Describe what a request's wait in the queue, or its refusal, was based on."""
    parts = []
    for line in lines:
        if line.event not in ("request_queued", "request_refused"):
            continue
        what = "waited" if line.event == "request_queued" else "was refused after a wait of"
        why = line.text("release") or line.text("why")
        parts.append(
            f"; it {what} {line.text('waited_ms')} ms ({why}): an answer of "
            f"{line.text('service')} was expected after {line.text('expected_ms')} ms, with "
            f"{line.text('in_hand')} requests at {line.text('slots')} slots as of "
            f"{line.text('age_ms')} ms before"
        )
    return "".join(parts)


def _failed_attempts(failed: Sequence[LogLine]) -> str:
    if not failed:
        return ""
    parts = [
        f"{line.text('instance')} {line.text('outcome')}"
        + (f" ({line.text('detail')})" if line.text("detail") else "")
        for line in failed
    ]
    return f"; failed attempts: {'; '.join(parts)}"


def _summarize_item(identifier: str, lines: Sequence[LogLine]) -> str:
    starts = sum(line.event == "item_started" for line in lines)
    broken = [line for line in lines if line.event == "item_broken"]
    listed = next((line for line in lines if line.event == "item_listed"), None)
    cause_counts = _counted(line.text("cause") for line in broken)
    tail = f"; broken runs: {cause_counts}" if broken else ""
    if listed is None:
        return f"Item {identifier} was started {starts} times and is not listed{tail}."
    if not starts:
        taken_over = [line for line in lines if line.event == "item_taken_over"]
        earlier = taken_over[-1].text("earlier") if taken_over else 0
        return (
            f"Item {identifier} is listed {listed.text('state')} without a run; {earlier} answers "
            "of 500 or 422 in earlier jobs count."
        )
    seconds = listed.seconds() - lines[0].seconds()
    state = f"is listed {listed.text('state')} with versions {listed.text('versions')}"
    return (
        f"Item {identifier} {state}, {seconds:.1f} s after its first start, in {starts} runs{tail}."
    )


def _summarize_job(identifier: str, lines: Sequence[LogLine], of_job: Sequence[LogLine]) -> str:
    own = [line for line in lines if line.fields.get("request_id") == identifier]
    accepted = next((line for line in own if line.event == "job_accepted"), None)
    refused = [line for line in own if line.event == "job_not_accepted"]
    ended = next((line for line in own if line.event == "job_ended"), None)
    if accepted is None:
        cause = refused[-1].text("cause") if refused else "no log line mentions its acceptance"
        return f"Batch job {identifier} was not accepted: {cause}."
    listed = [line for line in of_job if line.event == "item_listed"]
    broken = [line for line in of_job if line.event == "item_broken"]
    since = accepted.seconds()
    latest = sorted(listed, key=lambda line: line.time)[-MAX_ITEMS_SHOWN:]
    parts = [
        f"Batch job {identifier} (step {accepted.text('step')}) was accepted on {accepted.node} "
        f"and has {len(listed)} of {accepted.text('items')} items listed"
    ]
    if latest:
        item_times = ", ".join(
            f"{line.text('request_id')} after {line.seconds() - since:.1f} s" for line in latest
        )
        parts.append(f"the last ones: {item_times}")
    parts += _summarize_late_groups(identifier, lines)
    parts += _summarize_worst_order(own, since)
    if broken:
        parts.append(f"{len(broken)} runs broke: {_counted(line.text('cause') for line in broken)}")
    leaders = [line.node for line in lines if line.event == "coordination_taken"]
    if leaders:
        parts.append(f"its coordination moved meanwhile to {', '.join(leaders)}")
    if ended is not None:
        parts.append(f"it was ended after {ended.seconds() - since:.1f} s")
    return "; ".join(parts) + "."


def _summarize_late_groups(identifier: str, lines: Sequence[LogLine]) -> list[str]:
    """Describe the groups that were complete last, or never, and what delayed each."""
    groups = [
        group for step in collect_steps(lines) if step.job == identifier for group in step.groups
    ]
    return [
        f"group {group.name} was "
        + (
            f"complete after {group.listed_s:.1f} s"
            if group.listed_s is not None
            else "never complete"
        )
        + f" ({group.cause})"
        for group in groups[-MAX_GROUPS_SHOWN:]
    ]


def _summarize_worst_order(own: Sequence[LogLine], since_s: float) -> list[str]:
    """Describe the competition with other steps when the most groups could not be in time."""
    orders = [line for line in own if line.event == "step_ordered" and line.number("late_groups")]
    if not orders:
        return []
    worst = max(orders, key=lambda line: line.number("late_groups"))
    values = {name: f"{worst.number(name):g}" for name in _ORDER_FIELDS}
    due_in_s = worst.number("due_ms") / 1000
    return [
        f"after {worst.seconds() - since_s:.1f} s, {due_in_s:.1f} s before it was due, "
        f"{values['late_groups']} of the {values['wanted_groups']} groups that it still wanted "
        f"could not be in time: {values['left_events']} events were left, "
        f"{values['waiting']} items at no worker and {values['running']} at one, for "
        f"{values['steps']} steps on {values['places']} slots at {values['pace_ms']} ms per event"
    ]


_ORDER_FIELDS = (
    "late_groups",
    "wanted_groups",
    "left_events",
    "waiting",
    "running",
    "steps",
    "places",
    "pace_ms",
)


def _counted(causes: Iterable[str]) -> str:
    counts = Counter(causes)
    return ", ".join(f"{count} x {cause}" for cause, count in counts.most_common(4))
