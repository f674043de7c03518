"""Verdicts on promises."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from bellweir_rehearsal.promises.evidence import Evidence


class Promise(Enum):
    """What must always hold, in the order of the users' list."""

    VERSIONS_NAMED = "Each sample names the weight versions that produced it"
    STALENESS_BOUND = "No sample is older than the agreed staleness bound"
    EXACTLY_ONCE = "Each sample reaches its trainer exactly once"
    WHOLE_ANSWERS = "A caller gets the whole answer to its own request"
    TRUE_REFUSALS = 'A refusal that says "not run" is true'
    AT_MOST_ONCE = "A request that must not be repeated runs at most once"
    LEAVING_BACKENDS = "A leaving back end gets no new work after a few seconds"
    PLANNED_STOPS = "A planned stop cuts no request"
    CONFIGURATION = "An accepted configuration is in force everywhere and never reverts"


class Ruling(Enum):
    """Result of checking a promise."""

    HELD = "held"
    BROKEN = "broken"
    NOTHING_CHECKED = "nothing to check"
    """The run had no case of it; this counts as a failure of the run, not of the service."""


@dataclass(frozen=True)
class Breach:
    """One case in which a promise was broken."""

    subject: str
    """The id that the case is about: a call, key, sample, step, worker, node or object."""
    detail: str


@dataclass
class Verdict:
    """What the checker found about one promise."""

    promise: Promise
    required: tuple[str, ...]
    """Counts of `checked` that must not be zero for the promise to count as checked."""
    checked: dict[str, int] = field(default_factory=dict)
    """What was looked at, and how much of it."""
    breaches: list[Breach] = field(default_factory=list)

    def count(self, what: str, number: int = 1) -> None:
        """Count something that was looked at."""
        self.checked[what] = self.checked.get(what, 0) + number

    def breach(self, subject: str, detail: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(subject, detail))

    @property
    def ruling(self) -> Ruling:
        """The result."""
        if self.breaches:
            return Ruling.BROKEN
        if any(not self.checked.get(what) for what in self.required):
            return Ruling.NOTHING_CHECKED
        return Ruling.HELD


Check = Callable[[Evidence], Verdict]
"""Checks one promise."""
