"""Texts whose events name the run that made them, and whether the runs follow each other."""

from collections.abc import Mapping

BY_RUN = " by "
"""Stands between an event and its run."""


def plain_text(text: str) -> str:
    r"""Return a text without the names of its runs.

    >>> plain_text("piece 1 of a by llm-0/3\npiece 2 of a by llm-1/0")
    'piece 1 of a\npiece 2 of a'
    """
    return "\n".join(line.partition(BY_RUN)[0] for line in text.split("\n"))


def wrong_join(text: str, asked_after: Mapping[str, int]) -> str | None:
    r"""Tell where a text goes on with a run that was not asked to take it up there.

    `asked_after` holds for each run the event after which it was asked to go on. None for a text
    that is joined as it was asked for.

    >>> wrong_join("piece 1 of a by x/0\npiece 2 of a by x/1", {"x/0": 0, "x/1": 1}) is None
    True
    >>> wrong_join("piece 1 of a by x/0\npiece 2 of a by x/1", {"x/0": 0, "x/1": 0})
    'event 2 is of x/1, which was asked to go on after 0'
    """
    known = ""
    for number, line in enumerate(text.split("\n"), start=1):
        run = line.partition(BY_RUN)[2]
        if run != known and asked_after.get(run) != number - 1:
            return (
                f"event {number} is of {run}, which was asked to go on after {asked_after.get(run)}"
            )
        known = run
    return None
