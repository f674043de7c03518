"""Steps of settings.feature."""

import json
from pathlib import Path

from behave import given, then
from hypothesis import given as hypothesis_given
from hypothesis import strategies
from pydantic import BaseModel

from bellweir.settings.findings import SettingsError
from bellweir.settings.loader import DEFAULT_SOURCE, load_settings
from bellweir.settings.models import Settings

FIVE_FAULTS = """[node]
zoen = "x"
peer_port = 99999
[log]
level = "loud"
[ledger]
shards = 0
"""
VALID = """[node]
name = "node-1"
zone = "zone-9"
"""


def write(context, text):
    context.settings_file = context.folder / "settings.toml"
    context.settings_file.write_text(text)


@given("a settings file with five faults")
def step_five_faults(context):
    write(context, FIVE_FAULTS)


@given("a settings file that is no TOML")
def step_no_toml(context):
    write(context, '[node]\nname = = "x"\n')


@given("a valid settings file")
def step_valid(context):
    write(context, VALID)


@then("the settings findings name these places and values")
def step_findings(context):
    lines = [line for line in context.errors.splitlines() if "; allowed: " in line]
    assert len(lines) == len(context.table.rows), lines
    for row in context.table:
        matching = [line for line in lines if row["place"] in line]
        assert len(matching) == 1, (row["place"], lines)
        assert f"found {row['found']}" in matching[0], matching


@then('the settings finding of "{key}" proposes "{nearest}"')
def step_nearest(context, key, nearest):
    line = next(line for line in context.errors.splitlines() if key in line)
    assert f"nearest is '{nearest}'" in line, line


@then('the settings shown have "{in_file}" from the file and "{default}" from the default')
def step_shown(context, in_file, default):
    shown = {row["setting"]: row for row in json.loads(context.output)}
    assert shown[in_file]["value"] == "zone-9"
    assert shown[in_file]["origin"].endswith("settings.toml:3")
    assert shown[default]["origin"] == "default"


@given("settings with any combination of file, environment and flag values")
def step_combinations(context):
    value = strategies.none() | strategies.integers(1, 1000)
    context.combinations = strategies.tuples(value, value, value)


@then("the settings in force and their origins follow the order flag, environment, file, default")
def step_precedence(context):
    path = Path(context.folder) / "node.toml"

    @hypothesis_given(context.combinations)
    def holds(values):
        in_file, in_environment, in_flag = values
        table = "" if in_file is None else f"[ledger]\nshards = {in_file}\n"
        path.write_text(VALID + table)
        environment = (
            {} if in_environment is None else {"BELLWEIR_LEDGER__SHARDS": str(in_environment)}
        )
        flags = () if in_flag is None else (f"ledger.shards={in_flag}",)
        loaded = load_settings(path, environment, flags)
        default = Settings.model_fields["ledger"].default_factory().shards
        candidates = (
            (in_flag, "flag"),
            (in_environment, "environment"),
            (in_file, str(path)),
            (default, DEFAULT_SOURCE),
        )
        expected, origin = next(item for item in candidates if item[0] is not None)
        assert loaded.settings.ledger.shards == expected
        assert loaded.origin_of("ledger.shards").startswith(origin)

    holds()


@given("settings documents with random tables, keys and values")
def step_random_documents(context):
    known = list(Settings.model_fields)
    keys = [key for concern in known for key in fields_of(concern)]
    scalar = (
        strategies.integers(-(2**40), 2**40)
        | strategies.booleans()
        | strategies.text("abc-\u00e9 ", max_size=5)
        | strategies.lists(strategies.integers(0, 9), max_size=2)
    )
    table = strategies.dictionaries(strategies.sampled_from([*keys, "unknown"]), scalar, max_size=4)
    context.documents = strategies.dictionaries(
        strategies.sampled_from([*known, "unknown"]), table | scalar, max_size=4
    )


def fields_of(concern):
    model = Settings.model_fields[concern].annotation
    assert issubclass(model, BaseModel)
    return model.model_fields


@then("loading the settings gives checked settings or findings with a place and what is allowed")
def step_total(context):
    path = Path(context.folder) / "node.toml"

    @hypothesis_given(context.documents)
    def holds(document):
        scalars = [(key, value) for key, value in document.items() if not isinstance(value, dict)]
        tables = [(key, value) for key, value in document.items() if isinstance(value, dict)]
        lines = [f"{key} = {json.dumps(value)}" for key, value in scalars]
        for key, table in tables:
            lines.append(f"[{key}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in table.items()]
        path.write_text("\n".join(lines))
        try:
            loaded = load_settings(path, {}, ("node.name=n",))
        except SettingsError as failure:
            assert failure.findings
            assert all(finding.source and finding.allowed for finding in failure.findings)
        else:
            assert loaded.settings.node.name == "n"

    holds()
