"""Computes the timing of training steps from log lines.

Finds when each group of a step was complete and what delayed its last item.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from bellweir.explanation.lines import LogLine

MIN_REPORTED_WAIT_S = 0.5
"""Shortest delay between the job's acceptance and an item's first start that is reported."""


class GroupTimes:
    """Timing of a group, which is complete once all of its items are listed."""

    __slots__ = ("cause", "items", "listed_s", "name")

    def __init__(self, name: str, items: int, listed_s: float | None, cause: str) -> None:
        self.name = name
        self.items = items
        self.listed_s = listed_s
        """Seconds after the job's acceptance; None: never complete."""
        self.cause = cause
        """What delayed its last item."""


class StepTimes:
    """Timing of a job. Times are seconds after its acceptance; `accepted_s` is a Unix time."""

    __slots__ = (
        "accepted_s",
        "ended_s",
        "events",
        "groups",
        "items",
        "job",
        "listed_s",
        "started_s",
        "step",
        "wanted",
    )

    def __init__(self, accepted: LogLine) -> None:
        self.job = accepted.text("request_id")
        self.step = accepted.text("step")
        self.items = int(accepted.number("items"))
        self.wanted = int(accepted.number("wanted"))
        self.accepted_s = accepted.seconds()
        self.ended_s: float | None = None
        self.started_s: list[float] = []
        self.listed_s: list[float] = []
        self.events: dict[str, int] = {}
        """Largest number of events logged for each item."""
        self.groups: list[GroupTimes] = []
        """By completion time; incomplete groups come last."""

    def last_needed(self) -> GroupTimes | None:
        """The group that completed the wanted number of groups; None where nothing ran."""
        wanted = self.wanted or len(self.groups)
        return self.groups[min(wanted, len(self.groups)) - 1] if self.groups else None


def time_at_share(times: Sequence[float], share: float, count: int) -> float | None:
    """Return the time by which a share of `count` had occurred; None if it never had.

    >>> time_at_share([0.1, 0.2, 0.9], 0.5, 4), time_at_share([0.1, 0.2, 0.9], 1.0, 4)
    (0.2, None)
    """
    needed = max(1, round(share * count))
    return times[needed - 1] if len(times) >= needed else None


def collect_steps(lines: Iterable[LogLine]) -> list[StepTimes]:
    """Return the steps found in log lines, sorted by acceptance time."""
    steps: dict[str, StepTimes] = {}
    lines_by_item: dict[str, dict[str, list[LogLine]]] = {}
    takeovers: list[float] = []
    for line in lines:
        if line.event == "job_accepted":
            steps.setdefault(line.text("request_id"), StepTimes(line))
        elif line.event == "job_ended" and line.text("request_id") in steps:
            step = steps[line.text("request_id")]
            if step.ended_s is None:
                step.ended_s = line.seconds() - step.accepted_s
        elif line.event == "coordination_taken":
            takeovers.append(line.seconds())
        elif line.event.startswith("item_"):
            items = lines_by_item.setdefault(line.text("job"), {})
            items.setdefault(line.text("request_id"), []).append(line)
    for step in steps.values():
        _fill_step(step, lines_by_item.get(step.job, {}), takeovers)
    return sorted(steps.values(), key=lambda step: step.accepted_s)


def _fill_step(
    step: StepTimes, items: dict[str, list[LogLine]], takeovers: Sequence[float]
) -> None:
    groups: dict[str, list[str]] = {}
    for item, lines in items.items():
        starts = [line for line in lines if line.event == "item_started"]
        listed = next((line for line in lines if line.event == "item_listed"), None)
        if starts:
            step.started_s.append(starts[0].seconds() - step.accepted_s)
            groups.setdefault(starts[0].text("group") or item, []).append(item)
        if listed is not None:
            step.listed_s.append(listed.seconds() - step.accepted_s)
        step.events[item] = max(int(line.number("events")) for line in lines)
    step.started_s.sort()
    step.listed_s.sort()
    step.groups = [
        _group_times(step, name, group, items, takeovers) for name, group in groups.items()
    ]
    step.groups.sort(key=lambda group: (group.listed_s is None, group.listed_s or 0.0))


def _group_times(
    step: StepTimes,
    name: str,
    names: Sequence[str],
    items: dict[str, list[LogLine]],
    takeovers: Sequence[float],
) -> GroupTimes:
    def end_of(item: str) -> float:
        listed = next((line for line in items[item] if line.event == "item_listed"), None)
        return listed.seconds() - step.accepted_s if listed is not None else float("inf")

    last = max(names, key=lambda item: (end_of(item), step.events[item]))
    end_s = end_of(last)
    is_complete = end_s != float("inf")
    cause = _describe_delay(step, items[last], end_s, takeovers)
    return GroupTimes(name, len(names), end_s if is_complete else None, cause)


def _describe_delay(
    step: StepTimes, lines: Sequence[LogLine], end_s: float, takeovers: Sequence[float]
) -> str:
    """Describe what delayed an item."""
    parts: list[str] = []
    starts = [line for line in lines if line.event == "item_started"]
    waited_s = starts[0].seconds() - step.accepted_s if starts else end_s
    if waited_s >= MIN_REPORTED_WAIT_S:
        parts.append(f"waited {waited_s:.1f} s for a slot")
    parts.append(f"an output of {step.events[lines[0].text('request_id')]} events")
    leader_changes = [
        at_s - step.accepted_s for at_s in takeovers if 0 < at_s - step.accepted_s < end_s
    ]
    if leader_changes:
        parts.append(f"another leader at {', '.join(f'{at_s:.1f}' for at_s in leader_changes)} s")
    moved = Counter(line.text("cause") for line in lines if line.event == "item_moved")
    parts += [f"moved {count} x ({cause})" for cause, count in moved.most_common()]
    broken = Counter(
        line.text("cause").split(":")[0] for line in lines if line.event == "item_broken"
    )
    parts += [f"{count} x {cause}" for cause, count in broken.most_common(3)]
    return ", ".join(parts)
