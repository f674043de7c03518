"""Steps of rehearsal_promises.feature."""

import json
import random
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from bellweir_rehearsal.promises.checker import CHECKS, check_promises
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.mutations import MUTATIONS
from bellweir_rehearsal.promises.story import tell_story
from bellweir_rehearsal.promises.verdict import Promise, Ruling
from bellweir_rehearsal.records.model import (
    CallEnded,
    CallKind,
    CallOutcome,
    CallSent,
    FaultBegan,
    FaultEnded,
)
from bellweir_rehearsal.topology.layout import RunFolder
from support.rehearsal_evidence import START_S, healthy_evidence

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
    story = tell_story(context.run_folder, "call-7")
    assert [line.time_s for line in story] == [1.0, 2.0, 2.5, 3.0, 4.0], story
    assert [line.source for line in story][:3] == ["rehearsal", "engine-e1", "node-1"]
