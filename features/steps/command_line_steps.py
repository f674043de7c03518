"""Steps that run the command line as its users do, and steps of command_line.feature."""

import os
import shlex
import subprocess
import sys

from behave import then, when

COMMAND_TIMEOUT_S = 60


def run(context, arguments):
    environment = dict(os.environ)
    environment["PYTHONPATH"] = str(context.repository / "src")
    environment["COLUMNS"] = "200"
    done = subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        env=environment,
        check=False,
    )
    context.exit_code, context.output, context.errors = done.returncode, done.stdout, done.stderr


@when('the command "{arguments}" runs on the settings file')
def step_run_on_settings(context, arguments):
    run(
        context,
        ["-m", "bellweir", *shlex.split(arguments), "--settings", str(context.settings_file)],
    )


@when('the command "{arguments}" runs')
def step_run(context, arguments):
    run(context, ["-m", "bellweir", *shlex.split(arguments)])


@then("the command exits with code {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, (context.exit_code, context.output, context.errors)


@then('the command prints "{text}"')
def step_prints(context, text):
    assert text in context.output, (context.output, context.errors)


@then('the command reports "{text}"')
def step_reports(context, text):
    assert text in context.errors, context.errors


@then('the command\'s output is the page "{page}"')
def step_page(context, page):
    assert context.output == (context.repository / page).read_text()


@when("the modules of a node are imported")
def step_import_node(context):
    program = (
        "import sys, bellweir.entrypoints.node, bellweir.cli.main\n"
        "loaded = [name for name in sys.modules if name.startswith('bellweir_rehearsal')]\n"
        "print(loaded or 'rehearsal kit not loaded')"
    )
    run(context, ["-c", program])
