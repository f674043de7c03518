"""Two builds side by side, as processes."""

import os
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from bellweir_rehearsal.hosted.builds import REPOSITORY, build_of, is_in_history
from bellweir_rehearsal.hosted.mixed_day import MixedDay

OLDER_COMMIT = "e33d2c1"
"""The build that was in service before messages had levels."""


@given("the build that was in service before")
def given_older(context):
    if not is_in_history(OLDER_COMMIT):
        context.scenario.skip(f"{OLDER_COMMIT} is not in this clone's history")
        return
    home = REPOSITORY / "build"
    home.mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix="older-", dir=home))
    context.cleanup.callback(shutil.rmtree, folder, ignore_errors=True)
    context.older = build_of(OLDER_COMMIT, folder)
    environment = {**os.environ, "PYTHONPATH": str(context.older.code)}
    assert context.older.code_in_use(environment) == context.older.code


@when("the day is played on which this build takes its place")
def when_played(context):
    context.told = []
    context.day = MixedDay(context.folder, context.older, context.told.append)
    context.cleanup.callback(context.day.close)
    context.day.play()


@then("on that day everything that must hold has held")
def then_held(context):
    for check in context.day.checks:
        assert check.held, (check.name, check.checked, check.faults[:3])
