"""Steps of rehearsal_run.feature."""

import subprocess
import sys

from behave import given, then

from bellweir_rehearsal.demo import demo_plan
from bellweir_rehearsal.promises.checker import CHECKS
from bellweir_rehearsal.promises.loading import load_evidence
from bellweir_rehearsal.promises.mutations import MUTATIONS
from bellweir_rehearsal.promises.verdict import Ruling
from bellweir_rehearsal.records.journal import read_journal
from bellweir_rehearsal.records.model import StepEnded
from bellweir_rehearsal.rehearsal import Rehearsal
from bellweir_rehearsal.topology.layout import RunFolder


@given("the rehearsal demonstration has run in a folder")
def step_demo(context):
    context.run_folder = RunFolder(context.folder)
    with Rehearsal(demo_plan(), context.run_folder) as rehearsal:
        rehearsal.start()
        rehearsal.run()
        context.trainer = run_trainer(rehearsal, context.run_folder)
        context.result = rehearsal.finish()
        context.cluster = rehearsal.cluster


def run_trainer(rehearsal, folder):
    addresses = [entry.gateway_address for entry in rehearsal.cluster.directory.all_nodes()]
    nodes = [argument for address in addresses for argument in ("--node", address)]
    command = [sys.executable, "-m", "bellweir_rehearsal", "trainer", *nodes]
    command += ["--policy", "policy-1", "--prompts", "2", "--max-tokens", "20"]
    command += ["--log-file", str(folder.root / "trainer.jsonl")]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@then("the rehearsal trainer that ran alone beside it has all samples of its step")
def step_trainer_alone(context):
    assert context.trainer.returncode == 0, context.trainer
    records = list(read_journal(context.run_folder.root / "trainer.jsonl"))
    ended = [record for record in records if isinstance(record, StepEnded)]
    assert [(entry.state, entry.received) for entry in ended] == [("complete", 4)], ended


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
