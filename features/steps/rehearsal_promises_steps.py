"""Steps of rehearsal_promises.feature."""

import json
import random
from dataclasses import replace

import msgspec
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from bellweir_rehearsal.promises.checker import CHECKS, check_promises
from bellweir_rehearsal.promises.evidence import ApplicationRun, Evidence
from bellweir_rehearsal.promises.mutations import MUTATIONS
from bellweir_rehearsal.promises.story import StoryTeller
from bellweir_rehearsal.promises.verdict import Promise, Ruling
from bellweir_rehearsal.records.model import (
    CallEnded,
    CallKind,
    CallOutcome,
    CallSent,
    FaultBegan,
    FaultEnded,
    NodeExited,
    NodeStarted,
    NodeStopping,
    StepDeclared,
    StepEnded,
)
from bellweir_rehearsal.topology.layout import RunFolder
from support.rehearsal_evidence import NODES, START_S, healthy_evidence

sizes = strategies.tuples(
    strategies.integers(0, 2**32),
    strategies.integers(1, 3),
    strategies.integers(1, 3),
    strategies.integers(1, 5),
)


def for_any_run(check):
    @settings(max_examples=10)
    @hypothesis_given(sizes)
    def run(drawn):
        seed, steps, prompts, calls = drawn
        check(healthy_evidence(random.Random(seed), steps, prompts, calls))

    run()


@given("rehearsal evidence of any run of an ideal service")
def step_healthy(context):
    context.for_any_run = for_any_run


@given("rehearsal evidence of a run in which nothing happened")
def step_empty(context):
    context.evidence = Evidence()


@given("a rehearsal folder whose logs name one request among many others")
def step_folder(context):
    folder = RunFolder(context.folder)
    folder.create()
    journal = [
        {"record": "CallSent", "time_s": 1.0, "call_id": "call-7"},
        {"record": "CallSent", "time_s": 1.5, "call_id": "call-8"},
        {"record": "CallEnded", "time_s": 4.0, "call_id": "call-7"},
    ]
    engine = [
        {"record": "GenerationStarted", "time_s": 2.0, "request_id": "call-7", "attempt_id": "a1"},
        {"record": "GenerationEnded", "time_s": 3.0, "request_id": "", "attempt_id": "a1"},
        {"record": "GenerationEnded", "time_s": 3.5, "request_id": "call-8", "attempt_id": "a2"},
    ]
    for path, lines in ((folder.journal, journal), (folder.logs / "engine-e1.jsonl", engine)):
        path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    node = {
        "event": "attempt_failed",
        "request_id": "call-7",
        "timestamp": "1970-01-01T00:00:02.5Z",
    }
    (folder.outputs / "node-1.txt").write_text("no JSON\n" + json.dumps(node) + "\n")
    context.run_folder = folder


@given("rehearsal evidence of a call that was {cut} at a node under the fault {fault}")
def step_cut_call(context, cut, fault):
    evidence = healthy_evidence(random.Random(1))
    sent_s = START_S + 10
    sent = CallSent(
        sent_s, "lost", "caller-1", "node-1", CallKind.COMPLETION, "interactive", "policy-1"
    )
    ended = CallEnded(sent_s + 2, "lost", CallOutcome.CUT, timed_out=cut == "given up")
    began = FaultBegan(sent_s + 1, "f2", fault, ("node-1",), False)
    over = FaultEnded(sent_s + 3, "f2", fault, ("node-1",))
    context.evidence = replace(evidence, records=[*evidence.records, sent, ended, began, over])


RUN_TIMES_S = {"before": -1.0, "while": 1.0, "after": 3.0}
"""When a run takes place, from the sending of a call that is refused after 2 s."""


@given(
    "rehearsal evidence of a key that ran through {call}, {when_run} a call with it was refused "
    "as not run"
)
def step_refused_key(context, call, when_run):
    sent_s = START_S + 10
    runs = {"another call": "other", "that very call": "refused", "a call refused too": "other"}
    outcome = CallOutcome.REFUSED if call == "a call refused too" else CallOutcome.ANSWERED
    state = "not_run" if outcome is CallOutcome.REFUSED else None
    evidence = healthy_evidence(random.Random(1))
    records = [
        once_call(sent_s, "refused"),
        CallEnded(sent_s + 2, "refused", CallOutcome.REFUSED, run_state="not_run"),
    ]
    if call != "that very call":
        records.append(once_call(sent_s - 2, "other"))
        other = CallEnded(sent_s + 5, "other", outcome, run_state=state)
        records.append(other)
    run_s = sent_s + RUN_TIMES_S[when_run]
    run = ApplicationRun("worker-1", run_s, "a", runs[call], "k", "POST", "/once?wish=k", "")
    context.evidence = replace(
        evidence,
        records=[*evidence.records, *records],
        application_runs=[*evidence.application_runs, run],
    )


def once_call(sent_s, call_id):
    return CallSent(
        sent_s,
        call_id,
        "caller-1",
        "node-1",
        CallKind.APPLICATION,
        "once",
        "pool-1/once?wish=k",
        idempotency_key="k",
    )


@then("the checker finds true refusals {ruling}")
def step_true_refusals(context, ruling):
    verdict = CHECKS[Promise.TRUE_REFUSALS](context.evidence)
    assert verdict.ruling is Ruling(ruling), verdict


STEP_S = 40.0
LOST_STEP_FAULTS = {
    # Kind, node, and begin and end in seconds from the step's declaration.
    "nothing happened": (),
    "one node was down": (("node_kill", "node-2", 0, STEP_S),),
    "two nodes were down": (("node_kill", "node-2", 0, STEP_S), ("zone_loss", "node-3", 0, STEP_S)),
    "two nodes were down for 10 s of it": (
        ("node_kill", "node-2", 0, STEP_S),
        ("node_pause", "node-3", 0, 10),
    ),
    "one node was replaced and another down at once": (
        ("node_replaced", "node-2", 0, 2),
        ("node_kill", "node-3", 3, STEP_S),
    ),
    "one node was replaced and another down a while later": (
        ("node_replaced", "node-2", 0, 2),
        ("node_kill", "node-3", 20, STEP_S),
    ),
}


@given("rehearsal evidence of a step of {length:d} s that never came while {what}")
def step_lost(context, length, what):
    evidence = healthy_evidence(random.Random(1))
    began_s = START_S + 10
    records = [NodeStarted(START_S - 60, node, True) for node in NODES]
    for number, (kind, node, from_s, to_s) in enumerate(LOST_STEP_FAULTS[what]):
        name = f"lost-{number}"
        records.append(FaultBegan(began_s + from_s, name, kind, (node,), False))
        records.append(FaultEnded(began_s + to_s, name, kind, (node,)))
    declared = StepDeclared(
        began_s, "lost", "t", "node-1", "policy-1", ("p",), 1, 0, 1, None, began_s
    )
    records += [declared, StepEnded(began_s + length, "lost", "abandoned", 0, 1)]
    ordered = sorted([*evidence.records, *records], key=lambda record: record.time_s)
    context.evidence = replace(evidence, records=ordered)


@then("the checker finds exactly once {ruling}")
def step_exactly_once(context, ruling):
    verdict = CHECKS[Promise.EXACTLY_ONCE](context.evidence)
    assert verdict.ruling is Ruling(ruling), verdict
    assert [breach.subject for breach in verdict.breaches] == ["lost"] * (ruling == "broken")


@given("rehearsal evidence of a stopping node that is killed, its end told first by the {teller}")
def step_overtaken(context, teller):
    evidence = healthy_evidence(random.Random(1))
    ends = [NodeExited(START_S + 31, "node-3", -9, planned) for planned in (True, False)]
    if teller == "kill":
        ends.reverse()
    later = replace_time(ends[1], START_S + 31.01)
    records = [*evidence.records, NodeStopping(START_S + 30, "node-3"), ends[0], later]
    context.evidence = replace(evidence, records=records)


def replace_time(record, time_s):
    return msgspec.structs.replace(record, time_s=time_s)


@then("the checker finds planned stops held, and one of them overtaken")
def step_not_judged(context):
    verdict = CHECKS[Promise.PLANNED_STOPS](context.evidence)
    assert verdict.ruling is Ruling.HELD, verdict
    assert verdict.checked["stops overtaken by a crash"] == 1


@when("the rehearsal mutation {name} breaks it")
def step_mutate(context, name):
    context.mutation = MUTATIONS[name]


@then("the checker holds all nine promises with counts")
def step_all_held(context):
    def check(evidence):
        verdicts = check_promises(evidence)
        assert [verdict.promise for verdict in verdicts] == list(Promise)
        for verdict in verdicts:
            assert verdict.ruling is Ruling.HELD, (verdict.promise, verdict.breaches)
            assert all(verdict.checked[what] > 0 for what in verdict.required)

    context.for_any_run(check)


@then("the checker finds whole answers {ruling}")
def step_whole_answers(context, ruling):
    verdict = CHECKS[Promise.WHOLE_ANSWERS](context.evidence)
    assert verdict.ruling is Ruling(ruling), verdict
    assert [breach.subject for breach in verdict.breaches] == ["lost"] * (ruling == "broken")


@then("the checker has nothing to check for all nine promises, and the run has not held")
def step_nothing(context):
    rulings = [verdict.ruling for verdict in check_promises(context.evidence)]
    assert rulings == [Ruling.NOTHING_CHECKED] * 9, rulings


@then("the checker finds the promise {name} broken, and names its subject")
def step_broken(context, name):
    promise = Promise[name]
    assert context.mutation.promise is promise

    def check(evidence):
        verdict = CHECKS[promise](context.mutation.apply(evidence))
        assert verdict.ruling is Ruling.BROKEN, verdict
        assert all(breach.subject and breach.detail for breach in verdict.breaches)
        assert CHECKS[promise](evidence).ruling is Ruling.HELD, "the mutation altered its input"

    context.for_any_run(check)


@then("the rehearsal mutations are those of the outline and cover all nine promises")
def step_all_mutations(context):
    outline = next(
        scenario
        for scenario in context.feature.scenarios
        if scenario.name == "The checker catches a broken variant"
    )
    tested = {row["mutation"] for examples in outline.examples for row in examples.table}
    assert tested == set(MUTATIONS), tested ^ set(MUTATIONS)
    assert {mutation.promise for mutation in MUTATIONS.values()} == set(Promise)


@then("the story of that request has its lines of every log in order of time, and no others")
def step_story(context):
    story = StoryTeller(context.run_folder).tell("call-7")
    assert [line.time_s for line in story] == [1.0, 2.0, 2.5, 3.0, 4.0], story
    assert [line.source for line in story][:3] == ["rehearsal", "engine-e1", "node-1"]
