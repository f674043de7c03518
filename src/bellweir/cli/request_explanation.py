"""Prints what became of a request, from the logs of several processes."""

import sys
from contextlib import ExitStack

import cappa

from bellweir.cli import exit_codes
from bellweir.cli.resources.options import print_json
from bellweir.explanation.lines import LogLine, read_lines
from bellweir.explanation.story import Story, story_of

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
        story = story_of(identifier, read_lines(sources))
    if output == "json":
        print_json([line.fields for line in story.own] + [{"explanation": story.sentence}])
    else:
        _print_story(story)
    if not story.own:
        raise cappa.Exit(f"no line tells of {identifier}", code=exit_codes.NOT_FOUND)


def _print_story(story: Story) -> None:
    for line in story.own:
        print(_shown(line))
    if story.meanwhile:
        print("meanwhile:")
    for line in story.meanwhile:
        print(f"  {_shown(line)}")
    print(story.sentence)


def _shown(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in LEFT_OUT
    )
    return f"{line.time} {line.node} {line.event} {fields}"
