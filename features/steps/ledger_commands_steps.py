"""Steps of the operators' commands about the ledger."""

import contextlib
import io
import os
import shlex
import socket
from unittest import mock

import cappa
from behave import given, then, when

from bellweir.cli.main import Bellweir
from bellweir.clients.service import HttpPlatformClients
from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.placement import PlacementCandidate, PlacementStore, first_placement
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin

SHARDS = 2


@given("a ledger command line before a store with a placement on nodes a, b and c")
def given_store(context):
    standin = ObjectApiStandin(ObjectApiOptions())
    standin.start()
    context.add_cleanup(standin.stop)
    clients = HttpPlatformClients(PlatformSettings(object_api=standin.address))
    context.add_cleanup(clients.close)
    context.ledger_store = PlacementStore(clients.object_store())
    candidates = [
        PlacementCandidate(ReplicaId(node, f"disk-{node}"), f"zone-{node}") for node in "abc"
    ]
    assert context.ledger_store.write(first_placement(SHARDS, candidates, 3), 0) is None
    context.ledger_store_address = standin.address


@given("a ledger command line before no store")
def given_no_store(context):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        context.ledger_store_address = f"127.0.0.1:{unused.getsockname()[1]}"


@when('the ledger command "{command}" runs')
def when_command(context, command):
    output = io.StringIO()
    settings = f"--set node.name=op --set platform.object_api={context.ledger_store_address}"
    argv = shlex.split(f"ledger {command} {settings}")
    wide = mock.patch.dict(os.environ, {"COLUMNS": "200"})
    with wide, contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            cappa.invoke(Bellweir, argv=argv)
            context.ledger_code = 0
        except SystemExit as end:
            context.ledger_code = end.code or 0
    context.ledger_output = output.getvalue()


@then("the ledger command exits with {code:d} and names nodes a, b and c")
def then_names(context, code):
    assert context.ledger_code == code, context.ledger_output
    assert all(f'"{node}"' in context.ledger_output for node in "abc"), context.ledger_output


@then('the ledger command exits with {code:d} and says "{text}"')
def then_says(context, code, text):
    assert context.ledger_code == code, (context.ledger_code, context.ledger_output)
    assert text in context.ledger_output, context.ledger_output


@then("the ledger placement has generations {first:d} and {second:d}")
def then_generations(context, first, second):
    placement, _ = context.ledger_store.read()
    assert [home.generation for home in placement.shards] == [first, second]
