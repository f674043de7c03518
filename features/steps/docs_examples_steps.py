"""Runs the examples that stand in doc comments."""

import doctest
import importlib
from pathlib import Path

from behave import then


@then("each example in the doc comments of the service gives what it says")
def then_examples_hold(context):
    source = Path(context.repository) / "src"
    with_examples = [
        path
        for path in sorted(source.glob("bellweir*/**/*.py"))
        if ">>> " in path.read_text(encoding="utf-8")
    ]
    assert with_examples, "no example was found"
    for path in with_examples:
        name = ".".join(path.relative_to(source).with_suffix("").parts)
        tried = doctest.testmod(importlib.import_module(name))
        assert tried.attempted, name
        assert not tried.failed, f"{name}: {tried.failed} of {tried.attempted} examples fail"
