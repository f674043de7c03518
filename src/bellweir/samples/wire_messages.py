"""Messages between a step's coordinator and the nodes that hold its attempts.

All but `AskProgress` are one-way: what is lost is said again by the next report or round, and a
lease that nobody refreshes lapses.
"""

from bellweir.samples.attempts import Assignment, AttemptEnd, AttemptReport
from bellweir.wire.interface import Message


class AssignAttempts(Message, frozen=True):
    """A coordinator asks a node to run attempts."""

    assignments: tuple[Assignment, ...]


class InstructAttempts(Message, frozen=True):
    """A coordinator tells a node what to do with attempts it runs; unknown ones are no error."""

    cancel: tuple[str, ...] = ()
    move: tuple[str, ...] = ()
    """Go on with the tokens had so far on another engine."""


class ReportAttempts(Message, frozen=True):
    """A node tells a coordinator of the attempts it runs for it."""

    node: str
    free_places: int
    running: tuple[AttemptReport, ...]
    ended: tuple[AttemptEnd, ...] = ()
    is_full: bool = True
    """Whether `running` names all attempts; else none, and the others go on as reported."""
    next_full_s: float = 0.5
    """Seconds until the next full report."""


class AskProgress(Message, frozen=True):
    """Any node asks a step's coordinator how far it is."""

    step_id: str


class StepProgress(Message, frozen=True):
    """Answer to `AskProgress`."""

    is_known: bool
    running: int = 0
    expected_end_s: float | None = None
