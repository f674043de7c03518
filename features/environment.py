"""Hooks around scenarios: a temporary folder, and clean-up of what a scenario started."""

import faulthandler
import os
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import structlog
from hypothesis import HealthCheck, settings

from support.leftovers import Leftovers
from support.waiting import wait_until

REPOSITORY = Path(__file__).resolve().parent.parent

settings.register_profile(
    "features",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("features")


def before_all(context):
    sink = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115 - open for the whole run
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sink))
    # A crash of the process tells where each of its threads was.
    faulthandler.enable(sys.__stderr__)
    context.leftovers = Leftovers()


def after_all(context):
    # Not to what the run captures.
    for line in context.leftovers.report():
        print(line, file=sys.__stdout__)


def before_scenario(context, scenario):
    context.leftovers.note(scenario)
    context.repository = REPOSITORY
    context.wait_until = wait_until
    context.cleanup = ExitStack()
    context.folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))


def after_scenario(context, scenario):
    context.cleanup.close()
