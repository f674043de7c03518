"""Steps for the settings of hosted processes."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from behave import given as given_step
from behave import then, when

from bellweir.hosted.node_settings import node_settings
from bellweir.hosted.settings import (
    BatchSettings,
    RolloutSettings,
    TenantSettings,
    UsageSettings,
    parse_settings,
)
from bellweir.settings.findings import SettingsError
from bellweir_rehearsal.hosted.template import fill


def platform_fields(role):
    is_store = role == "store"
    listen = {"front": "10.1.0.10:8161", "ready": "10.1.0.10:8167", "directory": "10.1.0.10:8164"}
    return {
        "nodeName": f"{role}-a-1",
        "role": role,
        "ip": "10.1.0.10",
        "zone": "a",
        "region": "r",
        "listen": {} if is_store else listen,
        "portRange": [7720, 7735],
        "seedNodes": ["10.1.0.10:8166", "10.2.0.40:8166"],
        "dataPath": "/data/x" if is_store else None,
        "bounds": {"leaseMs": 3000, "gracePeriodS": 8, "ttl_max_s": 5, "cancelMs": 3000}
        | {"statusS": 120, "usageWindowS": 5, "usageLateS": 10}
        | {"strictRevoke": True, "revokeMs": 4000},
        "tolerate": {"machines": 2, "zones": 0, "regions": 0},
        "limits": {"memoryMb": 300, "maxFds": 4100},
        "provider": {"address": "10.200.1.7:8169"},
        "cloud": {"address": "10.200.0.155:8621"},
    }


def rendered(context, role):
    template = (context.repository / "deploy" / "settings.template").read_text()
    return fill(template, platform_fields(role))


@when("the template is rendered for a gateway and for a store")
def when_filled(context):
    context.texts = [rendered(context, role) for role in ("gateway", "store")]


@then("both settings are accepted without unknown keys")
def then_accepted(context):
    gateway, store = (parse_settings(text.encode()) for text in context.texts)
    assert gateway.unknown_keys == store.unknown_keys == ()
    assert gateway.settings.listen.requests == "10.1.0.10:8161"
    assert store.settings.listen.requests is None
    assert gateway.settings.tenants == TenantSettings(True, 4000)
    assert store.settings.usage == UsageSettings("10.200.0.155:8621", 5, 10)
    shared = node_settings(store.settings)
    assert str(shared.node.data_folder) == "/data/x"
    # The hosts of the other seeds, with the peer port of all machines.
    assert shared.membership.seeds == ("10.2.0.40:7720",)
    # Two disks may be lost at once: of five replicas three remain, one with every entry.
    assert shared.ledger.replicas == 5


@when("the template is rendered for a store without the tolerated losses")
def when_filled_without_tolerance(context):
    template = (context.repository / "deploy" / "settings.template").read_text()
    fields = platform_fields("store")
    del fields["tolerate"]
    context.filled = fill(template, fields)


@then("the settings are accepted, with replicas for the loss of one machine")
def then_three_replicas(context):
    settings = parse_settings(context.filled.encode()).settings
    assert node_settings(settings).ledger.replicas == 3


def changed(context, **changes):
    plain = json.loads(rendered(context, "gateway"))
    for place, value in changes.items():
        part, key = place.split("__")
        if value is ...:
            del plain[part][key]
        else:
            plain[part][key] = value
    return json.dumps(plain).encode()


@given_step("settings with a wrong role, a port out of range, an invalid seed and no data folder")
def given_wrong_values(context):
    changes = {"node__role": "king", "node__peerPort": 99_999, "node__seeds": ["nowhere"]}
    context.content = changed(context, **changes)


@given_step("settings without the node's name and with a string for a number")
def given_wrong_shape(context):
    context.content = changed(context, node__name=..., bounds__leaseMs="soon")


@then("all {count:d} {what} are reported together, each with its key path")
def then_found(context, count, what):
    places = {
        "invalid values": {"node.role", "node.peerPort", "node.seeds.0"},
        "schema errors": {"node.name", "bounds.leaseMs"},
    }
    try:
        parse_settings(context.content)
    except SettingsError as exc:
        assert {finding.key_path for finding in exc.findings} == places[what]
        assert len(exc.findings) == count
        return
    raise AssertionError("accepted")


@given_step("settings with unknown keys")
def given_unknown(context):
    context.content = changed(context, node__colour="red", bounds__wings=2)


@then("they are accepted, and the unknown keys are returned")
def then_unknown_returned(context):
    assert set(parse_settings(context.content).unknown_keys) == {"node.colour", "bounds.wings"}


def show_settings(file):
    command = [sys.executable, "-m", "bellweir", "settings", "hosted", str(file), "-o", "json"]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@given_step("the settings of a store with moving of runs switched off")
def given_not_moved(context):
    plain = json.loads(rendered(context, "store")) | {"batches": {"moveRuns": False}}
    context.file = context.folder / "store.json"
    context.file.write_text(json.dumps(plain), encoding="utf-8")


@then('the command "settings hosted FILE" shows the given value and the defaults of other switches')
def then_shown(context):
    done = show_settings(context.file)
    assert done.returncode == 0, done.stderr
    found = {row["setting"]: (row["value"], row["origin"]) for row in json.loads(done.stdout)}
    assert found["batches.moveRuns"] == (False, "settings file")
    assert found["node.role"] == ("store", "settings file")
    for concern, known in (("batches", BatchSettings), ("rollouts", RolloutSettings)):
        for field in msgspec.structs.fields(known):
            name = f"{concern}.{field.encode_name}"
            assert name == "batches.moveRuns" or found[name] == (field.default, "default"), name


@then('the command "settings hosted FILE" reports the errors of an invalid file')
def then_faults(context):
    context.file.write_text('{"node": {}, "batches": {"keepTextsS": "x"}}', encoding="utf-8")
    done = show_settings(context.file)
    assert done.returncode == 3
    assert "batches.keepTextsS" in done.stderr
    assert "node.name" in done.stderr


def start_blocked_process(context):
    """Start a process that blocks on reading its settings; return it and the file."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    file = Path(folder.name) / "settings.json"
    os.mkfifo(file)
    process = subprocess.Popen(
        [sys.executable, "-m", "bellweir.hosted", "gateway"],
        stdout=subprocess.PIPE,
        env={**os.environ, "BELLWEIR_CONFIG": str(file)},
    )
    context.add_cleanup(process.kill)
    # Opening waits until the process has opened it for reading.
    return process, file.open("w", encoding="utf-8")


@then("a hosted process that receives SIGHUP while it reads its settings continues to start")
def then_starts_on(context):
    process, settings = start_blocked_process(context)
    process.send_signal(signal.SIGHUP)
    settings.write("{}")
    settings.close()
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 2, f"exit code {process.returncode}"
    assert b"settings_refused" in output


@then("a hosted process that receives SIGTERM while it reads its settings exits with code 0")
def then_ends_well(context):
    process, settings = start_blocked_process(context)
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0, f"exit code {process.returncode}"
    settings.close()
