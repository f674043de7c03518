"""The judgement of CI about a test run, as the program that CI runs."""

import subprocess
import sys

from behave import given, then, when


@given('a feature "{file}" with scenarios "{first}" and "{second}"')
def given_feature(context, file, first, second):
    path = context.folder / file
    path.parent.mkdir()
    path.write_text(f"Feature: F\n  Scenario: {first}\n  Scenario Outline: {second}\n")


@given('KNOWN-RED.txt with "{known}"')
def given_known(context, known):
    (context.folder / "KNOWN-RED.txt").write_text(known.replace(" // ", " | ") + "\n")


@given('KNOWN-RED.txt with ""')
def given_none_known(context):
    (context.folder / "KNOWN-RED.txt").write_text("\n")


@given('a run in which "{failing}" failed and {passed:d} scenarios passed')
def given_run(context, failing, passed):
    names = failing.split(", ")
    rows = "".join(f"  features/a.feature:{n}  {name} -- @1.1 \n" for n, name in enumerate(names))
    write_report(context, f"Failing scenarios:\n{rows}\n", passed, 1)


@given('a run in which "" failed and {passed:d} scenarios passed')
def given_green_run(context, passed):
    write_report(context, "", passed, 0)


@given("a run that ended with {code:d} after {passed:d} scenarios and lists nothing")
def given_broken_run(context, code, passed):
    write_report(context, "", passed, code)


def write_report(context, failing, passed, code):
    report = f"  A day ...F\n\n{failing}0 features passed\n{passed} scenarios passed, 1 failed\n"
    (context.folder / "report").write_text(report)
    context.code = code


@when("CI judges the run")
def when_judged(context):
    program = context.repository / ".ci" / "known_red.py"
    command = [sys.executable, str(program), "report", str(context.code), "0"]
    context.judged = subprocess.run(
        command, cwd=context.folder, capture_output=True, text=True, check=False
    )


@then('it says "{verdict}" and "{word}"')
def then_says(context, verdict, word):
    lines = context.judged.stdout.splitlines()
    assert lines, context.judged.stderr
    assert lines[-1] == verdict, lines
    assert word in context.judged.stdout, lines
    assert (context.judged.returncode == 0) == (" 0 failed" in verdict)
