"""Steps of rehearsal_run.feature."""

from behave import given, then

from bellweir_rehearsal.demo import demo_plan
from bellweir_rehearsal.promises.checker import CHECKS
from bellweir_rehearsal.promises.loading import load_evidence
from bellweir_rehearsal.promises.mutations import MUTATIONS
from bellweir_rehearsal.promises.verdict import Ruling
from bellweir_rehearsal.rehearsal import Rehearsal
from bellweir_rehearsal.topology.layout import RunFolder


@given("the rehearsal demonstration has run in a folder")
def step_demo(context):
    context.run_folder = RunFolder(context.folder)
    with Rehearsal(demo_plan(), context.run_folder) as rehearsal:
        rehearsal.start()
        rehearsal.run()
        context.result = rehearsal.finish()
        context.cluster = rehearsal.cluster


@then("every promise of the rehearsal was checked and held")
def step_held(context):
    for promise in context.result.promises:
        assert promise.ruling is Ruling.HELD, promise


@then("every rehearsal mutation of its evidence breaks the promise that it names")
def step_mutations(context):
    evidence = load_evidence(context.run_folder)
    for mutation in MUTATIONS.values():
        verdict = CHECKS[mutation.promise](mutation.apply(evidence))
        assert verdict.ruling is Ruling.BROKEN, mutation.name


@then("no process that the rehearsal started is left")
def step_no_process(context):
    assert not any(node.running for node in context.cluster.nodes.values())
    assert not any(standin.running for standin in context.cluster.standins)
