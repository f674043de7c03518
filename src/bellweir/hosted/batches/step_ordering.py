"""Orders what waits of all open steps of all trainers.

The load: steps of several trainers that want more of the same engines than there is for a while.
Callers wait for whole groups by the step's due time. Room spent on a group that comes late anyway
is room that another group needed to be in time, so what matters is how many of the groups that
trainers wait for can be in time together. That is decided group by group, as Moore and Hodgson do
it: groups are taken by due time; when the work taken so far can't be done by a group's due time,
one of those taken is put behind, that with the lowest priority, of the tenant that has most taken,
with the most work left. So groups that are nearly whole stay in, and small tenants keep their part.

Groups that a trainer does not wait for come last, those of its largest ones that are furthest from
whole. Those that can't be in time come between; they keep a small share of the places, so that they
end however long the others press on.

A text takes its events times the pace of the engines. The work of a group is that of its texts; it
ends no sooner than its longest text.

>>> def step(job, due_s, *works):
...     groups = [GroupNeed(f"{job}-{n}", work, longest=work) for n, work in enumerate(works)]
...     return StepNeed(job, due_s, groups, wanted=len(works))
>>> engines = EnginesRoom(places=1, pace_s=0.1)
>>> order = MostInTime().order([step("a", 5.0, 20, 40), step("b", 4.0, 30)], engines, now_s=0.0)
>>> [(one.group, one.standing.value) for one in order]
[('b-0', 'in_time'), ('a-0', 'in_time'), ('a-1', 'late')]
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum

LATE_SHARE = 0.3
"""Share of the places that groups which can't be in time keep: their trainers ask for no further
step until they are whole or given up."""
USUAL_PRIORITY = 5


class Standing(Enum):
    """What becomes of a group, as far as can be told now."""

    IN_TIME = "in_time"
    LATE = "late"
    """It can't be whole by its due time beside others."""
    SURPLUS = "surplus"
    """Its trainer does not wait for it."""


class GroupNeed:
    """What a group that is not whole still needs."""

    __slots__ = ("longest", "name", "running", "waiting", "work")

    def __init__(
        self, name: str, work: float, longest: float, waiting: int = 1, running: int = 0
    ) -> None:
        """`work`: events that its texts still need; `longest`: those of the longest one.

        `waiting` texts are at no worker, `running` ones hold a place each.
        """
        self.name = name
        self.work = work
        self.longest = longest
        self.waiting = waiting
        self.running = running


class StepNeed:
    """What an open step still needs."""

    __slots__ = ("due_s", "groups", "job", "priority", "tenant", "wanted")

    def __init__(
        self,
        job: str,
        due_s: float,
        groups: Iterable[GroupNeed],
        wanted: int,
        priority: int = USUAL_PRIORITY,
        tenant: str = "",
    ) -> None:
        """`groups` are not whole yet; the trainer waits for `wanted` more of them.

        `due_s` is on the clock that `order` is given; priority 0 goes first.
        """
        self.job = job
        self.due_s = due_s
        self.groups = tuple(groups)
        self.wanted = wanted
        self.priority = priority
        self.tenant = tenant


class EnginesRoom:
    """The engines that steps compete for."""

    __slots__ = ("pace_s", "places")

    def __init__(self, places: int, pace_s: float) -> None:
        """`places` texts are made at once, each at `pace_s` seconds an event."""
        self.places = max(1, places)
        self.pace_s = pace_s


class OrderedGroup:
    """A group in its place of the order, with what put it there."""

    __slots__ = ("group", "job", "slack_s", "standing")

    def __init__(self, job: str, group: str, standing: Standing, slack_s: float) -> None:
        """`slack_s`: time left at its due time if what comes before it goes as expected."""
        self.job = job
        self.group = group
        self.standing = standing
        self.slack_s = slack_s


class StepOrder(ABC):
    """Orders groups of open steps. The order is total, and the same for the same needs."""

    @abstractmethod
    def order(
        self, steps: Sequence[StepNeed], engines: EnginesRoom, now_s: float
    ) -> list[OrderedGroup]:
        """Return each group once, the first to get places first. `steps` come oldest first."""


class OldestFirst(StepOrder):
    """Steps as they were handed in, whoever's they are and whatever they need.

    Like the next two not used by the service; `bench.step_replay` compares with it.
    """

    def order(
        self, steps: Sequence[StepNeed], engines: EnginesRoom, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by their step's age."""
        return _as_taken([(step, group) for step in steps for group in step.groups], engines, now_s)


class EarliestDue(StepOrder):
    """Steps by due time, surplus groups of all steps last."""

    def order(
        self, steps: Sequence[StepNeed], engines: EnginesRoom, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by their step's due time."""
        needed, surplus = _divided(sorted(steps, key=_by_due))
        return _as_taken([*needed, *surplus], engines, now_s, len(needed))


class LeastSlack(StepOrder):
    """Steps by what they have to spare; those that can't be in time behind those that can."""

    def order(
        self, steps: Sequence[StepNeed], engines: EnginesRoom, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by their step's slack, as if it had all engines."""
        slacks = {step.job: _slack_s(step, engines, now_s) for step in steps}
        by_slack = sorted(
            steps, key=lambda step: (slacks[step.job] < 0, slacks[step.job], step.job)
        )
        needed, surplus = _divided(by_slack)
        return _as_taken([*needed, *surplus], engines, now_s, len(needed))


class MostInTime(StepOrder):
    """As many groups in time as can be together; see the module."""

    def order(
        self, steps: Sequence[StepNeed], engines: EnginesRoom, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups in time by due time, then those that are late, then surplus ones."""
        needed, surplus = _divided(sorted(steps, key=_by_due))
        in_time, late = _in_time(needed, engines, now_s)
        late_names = {(step.job, group.name) for step, group in late}
        late_places = sum(group.running for _, group in late)
        kept = [one for one in late if one[1].waiting]
        if in_time and kept and late_places < int(LATE_SHARE * engines.places):
            late.remove(kept[0])
            in_time = [kept[0], *in_time]
        ordered = _as_taken([*in_time, *late, *surplus], engines, now_s, len(needed))
        for one in ordered:
            if one.standing is not Standing.SURPLUS:
                is_late = (one.job, one.group) in late_names
                one.standing = Standing.LATE if is_late else Standing.IN_TIME
        return ordered


def blocks(ordered: Iterable[OrderedGroup]) -> dict[tuple[str, str], int]:
    """Number the parts of an order in which the longest texts go first, by job and group.

    All of a step's groups that can be in time are one part, as are its surplus ones: the step is
    done sooner when its longest texts begin first. Late groups end one after the other.

    >>> groups = [OrderedGroup("j", name, Standing.IN_TIME, 1.0) for name in ("a", "b")]
    >>> blocks([*groups, OrderedGroup("j", "c", Standing.LATE, -1.0)])
    {('j', 'a'): 0, ('j', 'b'): 0, ('j', 'c'): 1}
    """
    found: dict[tuple[str, str], int] = {}
    number = -1
    before: OrderedGroup | None = None
    for one in ordered:
        is_same = before is not None and (before.job, before.standing) == (one.job, one.standing)
        if not is_same or one.standing is Standing.LATE:
            number += 1
        found[one.job, one.group] = number
        before = one
    return found


Taken = tuple[StepNeed, GroupNeed]


def _by_due(step: StepNeed) -> tuple[float, int, str]:
    return step.due_s, step.priority, step.job


def _divided(steps: Iterable[StepNeed]) -> tuple[list[Taken], list[Taken]]:
    """Groups that trainers wait for, and surplus ones; in each step the nearest to whole first."""
    needed: list[Taken] = []
    surplus: list[Taken] = []
    for step in steps:
        nearest = sorted(step.groups, key=lambda group: (group.work, group.name))
        needed += [(step, group) for group in nearest[: step.wanted]]
        surplus += [(step, group) for group in nearest[step.wanted :]]
    return needed, surplus


def _in_time(
    needed: Sequence[Taken], engines: EnginesRoom, now_s: float
) -> tuple[list[Taken], list[Taken]]:
    """Divide groups, ordered by due time, into those that can be in time together and others."""
    taken: list[Taken] = []
    late: list[Taken] = []
    work = 0.0
    work_of: defaultdict[str, float] = defaultdict(float)
    for step, group in needed:
        left_s = step.due_s - now_s
        if group.longest * engines.pace_s > left_s:
            late.append((step, group))
            continue
        taken.append((step, group))
        work += group.work
        work_of[step.tenant] += group.work
        while taken and work * engines.pace_s / engines.places > left_s:
            worst = max(
                taken, key=lambda one: (one[0].priority, work_of[one[0].tenant], one[1].work)
            )
            taken.remove(worst)
            late.append(worst)
            work -= worst[1].work
            work_of[worst[0].tenant] -= worst[1].work
    late.sort(key=lambda one: (one[0].priority, one[0].due_s, one[1].work, one[0].job, one[1].name))
    return taken, late


def _slack_s(step: StepNeed, engines: EnginesRoom, now_s: float) -> float:
    nearest = sorted(step.groups, key=lambda group: group.work)[: step.wanted]
    work = sum(group.work for group in nearest)
    longest = max((group.longest for group in nearest), default=0.0)
    return step.due_s - now_s - engines.pace_s * max(longest, work / engines.places)


def _as_taken(
    taken: Sequence[Taken], engines: EnginesRoom, now_s: float, needed: int | None = None
) -> list[OrderedGroup]:
    """Groups in the order in which they are taken, each with its slack after those before it.

    Those behind the first `needed` ones are surplus.
    """
    ordered = []
    work = 0.0
    for number, (step, group) in enumerate(taken):
        work += group.work
        ends_s = now_s + engines.pace_s * max(group.longest, work / engines.places)
        slack_s = step.due_s - ends_s
        standing = Standing.IN_TIME if slack_s >= 0 else Standing.LATE
        if needed is not None and number >= needed:
            standing = Standing.SURPLUS
        ordered.append(OrderedGroup(step.job, group.name, standing, slack_s))
    return ordered
