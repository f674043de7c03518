"""What the hooks of a test run do for whoever reads its output."""

import subprocess
import sys

from behave import then

CRASH = """
import ctypes, threading
from types import SimpleNamespace
from features import environment

environment.before_all(SimpleNamespace())
threading.Thread(target=threading.Event().wait, daemon=True).start()
ctypes.string_at(0)
"""


@then("a test process that crashes tells where its threads were")
def then_told(context):
    done = subprocess.run(
        [sys.executable, "-c", CRASH], cwd=context.repository, capture_output=True, text=True
    )
    assert done.returncode < 0, done.returncode
    assert "Fatal Python error: Segmentation fault" in done.stderr, done.stderr
    assert done.stderr.count("most recent call first") == 2, done.stderr
