"""Says in a sentence what became of a request, an item or a batch job."""

from collections import Counter
from collections.abc import Iterable, Sequence

from bellweir.explanation.lines import LogLine
from bellweir.explanation.steps import steps_of

CAUSES = {
    "workers_full": "each worker that was tried said that it had no room and had not run it",
    "no_room": "its service could not answer in time, so that it was refused before it was sent",
    "no_worker": "no worker of the route's service was listed as ready, or all had been tried",
    "not_reached": "no worker could be reached, so it has not run",
    "no_answer": "a worker may have run it but gave no whole answer of its own",
    "worker_failed": "the worker itself answered with a failure",
    "timeout": "the route's time-out or the client's deadline passed first",
    "no_route": "no route of the configuration in force has its host and path",
    "unknown_key": "the configuration in force has no such key, or the request carried none",
    "no_configuration": "the process knew no configuration yet",
}
WORKER_EVENTS = frozenset({"worker_set_aside", "worker_returned"})
"""Events that tell of a worker by its id."""
MOST_ITEMS_SHOWN = 3
MOST_GROUPS_SHOWN = 3


def explain(identifier: str, lines: Sequence[LogLine]) -> str:
    """A sentence on `identifier`, from its own lines in order of time."""
    if not lines:
        return f"No line tells of {identifier}."
    of_job = [line for line in lines if line.fields.get("job") == identifier]
    if of_job or any(line.event.startswith("job_") for line in lines):
        return _explain_job(identifier, lines, of_job)
    if any(line.event.startswith("item_") for line in lines):
        return _explain_item(identifier, lines)
    if lines[0].event in WORKER_EVENTS:
        return _explain_worker(identifier, lines)
    return _explain_request(identifier, lines)


def _explain_worker(identifier: str, lines: Sequence[LogLine]) -> str:
    said = [
        part
        for part in (
            _set_aside([line for line in lines if line.event == "worker_set_aside"]),
            _returned([line for line in lines if line.event == "worker_returned"]),
        )
        if part
    ]
    return f"Worker {identifier} {'; it '.join(said)}."


def _set_aside(lines: Sequence[LogLine]) -> str:
    if not lines:
        return ""
    first = lines[0]
    causes = Counter(line.text("cause") for line in lines)
    told = ", ".join(f"{count} x {cause}" for cause, count in causes.most_common())
    nodes = len({line.node for line in lines})
    return (
        f"was set aside {len(lines)} times by {nodes} gateways ({told}), first on {first.node} at"
        f" {first.time}: {first.text('failed')} failed and {first.text('served')} served with a"
        f" median of {first.text('usual_ms')} ms, beside {first.text('fellow')} of its fellow"
    )


def _returned(lines: Sequence[LogLine]) -> str:
    if not lines:
        return "has no line of its return"
    last = lines[-1]
    when = f"last on {last.node} at {last.time}"
    return f"returned {len(lines)} times, {when} ({last.text('cause')})"


def _explain_request(identifier: str, lines: Sequence[LogLine]) -> str:
    last = lines[-1]
    tries = _waits(lines) + _tries([line for line in lines if line.event == "attempt_failed"])
    if last.event == "request_answered":
        workers = ", ".join(last.fields.get("instance") or ["a worker"])
        said = f"was answered with status {last.text('status')} by {workers}"
        return f"Request {identifier} {said} after {last.text('ms')} ms{tries}."
    if last.event == "request_given_up":
        cause = last.text("cause")
        why = CAUSES.get(cause, cause)
        said = f"was given up with status {last.text('status')} after {last.text('ms')} ms"
        under = f"under configuration {last.text('configuration')}"
        return f"Request {identifier} {said} on {last.node}, {under}: {why}{tries}."
    if last.event == "client_left":
        return f"Request {identifier}: its client left before there was an answer{tries}."
    if last.event == "job_not_accepted":
        return f"Batch job {identifier} was not accepted on {last.node}: {last.text('cause')}."
    return (
        f"Request {identifier} has no last line: {last.node} ended or the line is not in these "
        f"logs; the newest one is {last.event}{tries}."
    )


def _waits(lines: Sequence[LogLine]) -> str:
    """What a request's wait for room, or its refusal, rested on."""
    told = []
    for line in lines:
        if line.event not in ("request_queued", "request_refused"):
            continue
        what = "waited" if line.event == "request_queued" else "was refused after a wait of"
        why = line.text("release") or line.text("why")
        told.append(
            f"; it {what} {line.text('waited_ms')} ms ({why}): an answer of "
            f"{line.text('service')} was expected after {line.text('expected_ms')} ms, with "
            f"{line.text('in_hand')} requests at {line.text('slots')} slots as of "
            f"{line.text('age_ms')} ms before"
        )
    return "".join(told)


def _tries(failed: Sequence[LogLine]) -> str:
    if not failed:
        return ""
    told = [
        f"{line.text('instance')} {line.text('outcome')}"
        + (f" ({line.text('detail')})" if line.text("detail") else "")
        for line in failed
    ]
    return f"; failed attempts: {'; '.join(told)}"


def _explain_item(identifier: str, lines: Sequence[LogLine]) -> str:
    starts = sum(line.event == "item_started" for line in lines)
    broken = [line for line in lines if line.event == "item_broken"]
    listed = next((line for line in lines if line.event == "item_listed"), None)
    causes = _counted(line.text("cause") for line in broken)
    tail = f"; broken runs: {causes}" if broken else ""
    if listed is None:
        return f"Item {identifier} was started {starts} times and is not listed{tail}."
    seconds = listed.seconds() - lines[0].seconds()
    state = f"is listed {listed.text('state')} with versions {listed.text('versions')}"
    return (
        f"Item {identifier} {state}, {seconds:.1f} s after its first start, in {starts} runs{tail}."
    )


def _explain_job(identifier: str, lines: Sequence[LogLine], of_job: Sequence[LogLine]) -> str:
    own = [line for line in lines if line.fields.get("request_id") == identifier]
    accepted = next((line for line in own if line.event == "job_accepted"), None)
    refused = [line for line in own if line.event == "job_not_accepted"]
    ended = next((line for line in own if line.event == "job_ended"), None)
    if accepted is None:
        cause = refused[-1].text("cause") if refused else "no line tells of it"
        return f"Batch job {identifier} was not accepted: {cause}."
    listed = [line for line in of_job if line.event == "item_listed"]
    broken = [line for line in of_job if line.event == "item_broken"]
    since = accepted.seconds()
    latest = sorted(listed, key=lambda line: line.time)[-MOST_ITEMS_SHOWN:]
    parts = [
        f"Batch job {identifier} (step {accepted.text('step')}) was accepted on {accepted.node} "
        f"and has {len(listed)} of {accepted.text('items')} items listed"
    ]
    if latest:
        told = ", ".join(
            f"{line.text('request_id')} after {line.seconds() - since:.1f} s" for line in latest
        )
        parts.append(f"the last ones: {told}")
    parts += _late_groups(identifier, lines)
    parts += _worst_order(own, since)
    if broken:
        parts.append(f"{len(broken)} runs broke: {_counted(line.text('cause') for line in broken)}")
    leaders = [line.node for line in lines if line.event == "coordination_taken"]
    if leaders:
        parts.append(f"its coordination moved meanwhile to {', '.join(leaders)}")
    if ended is not None:
        parts.append(f"it was ended after {ended.seconds() - since:.1f} s")
    return "; ".join(parts) + "."


def _late_groups(identifier: str, lines: Sequence[LogLine]) -> list[str]:
    """The groups that were whole last, or never, each with what its last item waited for."""
    groups = [group for step in steps_of(lines) if step.job == identifier for group in step.groups]
    return [
        f"group {group.name} was "
        + (f"whole after {group.listed_s:.1f} s" if group.listed_s is not None else "never whole")
        + f" ({group.cause})"
        for group in groups[-MOST_GROUPS_SHOWN:]
    ]


def _worst_order(own: Sequence[LogLine], since_s: float) -> list[str]:
    """How a step stood beside others when most of its groups could not be in time."""
    orders = [line for line in own if line.event == "step_ordered" and line.number("late_groups")]
    if not orders:
        return []
    worst = max(orders, key=lambda line: line.number("late_groups"))
    told = {name: f"{worst.number(name):g}" for name in _ORDER_FIELDS}
    due_in_s = worst.number("due_ms") / 1000
    return [
        f"after {worst.seconds() - since_s:.1f} s, {due_in_s:.1f} s before it was due, "
        f"{told['late_groups']} of the {told['wanted_groups']} groups that it still wanted "
        f"could not be in time: {told['left_events']} events were left, {told['waiting']} texts at "
        f"no worker and {told['running']} at one, for {told['steps']} steps on {told['places']} "
        f"places of {told['pace_ms']} ms an event"
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
