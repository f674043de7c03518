import contextlib
import io
import json
import os
import shlex
from unittest import mock

import cappa
from behave import given, then, when

from bellweir.cli.main import Bellweir
from bellweir.cli.resources.options import ADDRESS_VARIABLE
from bellweir.entrypoints.node import Node
from bellweir.settings.models import NodeIdentity, PlatformSettings, Settings
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin

DOCUMENTS = """
kind: Policy
metadata: {name: writer}
spec: {model: writer-model}
---
kind: Pool
metadata: {name: engines}
spec: {kind: engine, policies: [writer]}
---
kind: WeightVersion
metadata: {name: writer-1}
spec: {policy: writer, version: 1}
"""
FAULTY = {
    "one.yaml": "kind: Policy\nmetadata: {name: writer}\nspec: {modell: m}\n",
    "two.json": '{"kind": "Pool", "metadata": {"name": "p"}, '
    '"spec": {"kind": "engine", "subsetSize": 0}}',
}


@given("a resource command line before a running node")
def step_node(context):
    context.store = ObjectApiStandin(ObjectApiOptions())
    context.store.start()
    settings = Settings(
        node=NodeIdentity(name="node"), platform=PlatformSettings(object_api=context.store.address)
    )
    node = Node(settings)
    node.start()
    context.cleanup.callback(node.stop)
    context.cleanup.callback(context.store.stop)
    context.environment = {ADDRESS_VARIABLE: node.kernel.listeners.gateway_address}
    context.wait_until(lambda: _run(context, "get policies") == 0, "the node is ready")


def _run(context, arguments):
    """Run a command in this process; its exit code."""
    output, errors = io.StringIO(), io.StringIO()
    argv = shlex.split(arguments.replace("FOLDER", str(context.folder)))
    wide = mock.patch.dict(os.environ, {"COLUMNS": "200", **context.environment})
    with wide, contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            cappa.invoke(Bellweir, argv=argv)
            code = 0
        except SystemExit as end:
            code = end.code or 0
    context.code, context.output, context.errors = code, output.getvalue(), errors.getvalue()
    return code


@given("a resource folder with a policy, its weight version and a pool")
def step_folder(context):
    (context.folder / "all.yaml").write_text(DOCUMENTS)


@given("a resource folder with two faulty documents")
def step_faulty_folder(context):
    for name, text in FAULTY.items():
        (context.folder / name).write_text(text)


@when('the resource command "{arguments}" runs')
def step_run(context, arguments):
    _run(context, arguments)


@then('the resource command exits with {code:d} and prints "{text}"')
def step_exit_and_print(context, code, text):
    assert context.code == code, (context.code, context.output, context.errors)
    assert text in context.output, context.output


@then('the resource command exits with {code:d} and reports "{text}"')
def step_exit_and_report(context, code, text):
    assert context.code == code, (context.code, context.output, context.errors)
    assert text in context.errors, context.errors


@then("the resource command exits with 0 and prints nothing")
def step_nothing(context):
    assert (context.code, context.output) == (0, ""), (context.code, context.output)


@then('the resource command prints "{text}"')
def step_prints(context, text):
    assert text in context.output, (context.output, context.errors)


@then('the resource command reports "{text}"')
def step_reports(context, text):
    assert text in context.errors, context.errors


@then('the resource command\'s JSON names the pool "{name}"')
def step_json(context, name):
    assert [item["metadata"]["name"] for item in json.loads(context.output)["items"]] == [name]


@then("the resource command line's store holds nothing")
def step_store_empty(context):
    assert context.store.state.revision == 0
