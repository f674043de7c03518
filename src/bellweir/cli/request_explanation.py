"""Prints what became of a request, from the logs of several processes."""

import sys
from contextlib import ExitStack

import cappa

from bellweir.cli import exit_codes
from bellweir.cli.resources.options import print_json
from bellweir.explanation.explanation import Explanation, explain
from bellweir.explanation.lines import LogLine, read_lines

STANDARD_INPUT = "-"
LEFT_OUT = frozenset({"event", "timestamp", "node", "level", "code", "request_id"})


def explain_request(identifier: str, files: list[str], output: str) -> None:
    """Print the lines of an id in order, what happened meanwhile, and the cause in a sentence."""
    with ExitStack() as opened:
        try:
            sources = [
                sys.stdin
                if name == STANDARD_INPUT
                else opened.enter_context(open(name, encoding="utf-8", errors="replace"))
                for name in files
            ]
        except OSError as failure:
            raise cappa.Exit(str(failure), code=exit_codes.USAGE) from failure
        explanation = explain(identifier, read_lines(sources))
    if output == "json":
        print_json(
            [line.fields for line in explanation.own_lines] + [{"explanation": explanation.summary}]
        )
    else:
        _print_explanation(explanation)
    if not explanation.own_lines:
        raise cappa.Exit(f"no line tells of {identifier}", code=exit_codes.NOT_FOUND)


def _print_explanation(explanation: Explanation) -> None:
    for line in explanation.own_lines:
        print(_shown(line))
    if explanation.node_events:
        print("meanwhile:")
    for line in explanation.node_events:
        print(f"  {_shown(line)}")
    print(explanation.summary)


def _shown(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in LEFT_OUT
    )
    return f"{line.time} {line.node} {line.event} {fields}"
