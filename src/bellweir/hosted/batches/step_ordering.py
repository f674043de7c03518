"""Orders the groups of open steps of all trainers that compete for the same engines.

A trainer waits for a number of complete groups by its step's due time. The work of a group is the
number of events that its texts still need.

>>> def step(job, due_s, *works):
...     groups = [
...         GroupDemand(f"{job}-{n}", work, longest_remaining_events=work)
...         for n, work in enumerate(works)
...     ]
...     return StepDemand(job, due_s, groups, wanted=len(works))
>>> pool = EnginePool(slots=1, time_per_event_s=0.1)
>>> order = MostInTime().order([step("a", 5.0, 20, 40), step("b", 4.0, 30)], pool, now_s=0.0)
>>> [(one.group, one.status.value) for one in order]
[('b-0', 'in_time'), ('a-0', 'in_time'), ('a-1', 'late')]
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum

LATE_SLOT_SHARE = 0.3
"""Share of the slots kept for late groups: their trainers request no further step meanwhile."""
DEFAULT_PRIORITY = 5


class GroupStatus(Enum):
    """Predicted outcome of a group."""

    IN_TIME = "in_time"
    LATE = "late"
    """It can't be complete by its due time beside the other groups."""
    SURPLUS = "surplus"
    """Its trainer doesn't wait for it."""


class GroupDemand:
    """Remaining work of an incomplete group."""

    __slots__ = ("longest_remaining_events", "name", "remaining_events", "running", "waiting")

    def __init__(
        self,
        name: str,
        remaining_events: float,
        longest_remaining_events: float,
        waiting: int = 1,
        running: int = 0,
    ) -> None:
        """`remaining_events` is the sum over its texts, `longest_remaining_events` the maximum.

        `waiting` texts are on no worker; `running` ones take a slot each.
        """
        self.name = name
        self.remaining_events = remaining_events
        self.longest_remaining_events = longest_remaining_events
        self.waiting = waiting
        self.running = running


class StepDemand:
    """Remaining work of an open step."""

    __slots__ = ("due_s", "groups", "job", "priority", "tenant", "wanted")

    def __init__(
        self,
        job: str,
        due_s: float,
        groups: Iterable[GroupDemand],
        wanted: int,
        priority: int = DEFAULT_PRIORITY,
        tenant: str = "",
    ) -> None:
        """`groups` are incomplete; the trainer waits for `wanted` more of them.

        `due_s` is on the clock of `now_s` in `order`; priority 0 is the highest.
        """
        self.job = job
        self.due_s = due_s
        self.groups = tuple(groups)
        self.wanted = wanted
        self.priority = priority
        self.tenant = tenant


class EnginePool:
    """The engines that steps compete for."""

    __slots__ = ("slots", "time_per_event_s")

    def __init__(self, slots: int, time_per_event_s: float) -> None:
        """`time_per_event_s` is the mean over the slots."""
        self.slots = max(1, slots)
        self.time_per_event_s = time_per_event_s


class OrderedGroup:
    """A group, its status and its slack."""

    __slots__ = ("group", "job", "slack_s", "status")

    def __init__(self, job: str, group: str, status: GroupStatus, slack_s: float) -> None:
        """`slack_s`: due time minus predicted end."""
        self.job = job
        self.group = group
        self.status = status
        self.slack_s = slack_s


class OrderingPolicy(ABC):
    """Orders the groups of open steps. The order is total and deterministic."""

    @abstractmethod
    def order(
        self, steps: Sequence[StepDemand], pool: EnginePool, now_s: float
    ) -> list[OrderedGroup]:
        """Return each group once, in scheduling order. `steps` are ordered by age, oldest first."""


class OldestFirst(OrderingPolicy):
    """First in, first out.

    This and the next two policies are baselines for `bench.step_replay`; the service doesn't
    use them.
    """

    def order(
        self, steps: Sequence[StepDemand], pool: EnginePool, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by the age of their step."""
        return _with_slack([(step, group) for step in steps for group in step.groups], pool, now_s)


class EarliestDue(OrderingPolicy):
    """Earliest due date first, surplus groups of all steps last."""

    def order(
        self, steps: Sequence[StepDemand], pool: EnginePool, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by the due time of their step."""
        needed, surplus = _split_surplus(sorted(steps, key=_due_order))
        return _with_slack([*needed, *surplus], pool, now_s, len(needed))


class LeastSlack(OrderingPolicy):
    """Least slack first; late steps after those that can be in time."""

    def order(
        self, steps: Sequence[StepDemand], pool: EnginePool, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups by the slack of their step, computed as if it had all engines."""
        slacks = {step.job: _slack_s(step, pool, now_s) for step in steps}
        by_slack = sorted(
            steps, key=lambda step: (slacks[step.job] < 0, slacks[step.job], step.job)
        )
        needed, surplus = _split_surplus(by_slack)
        return _with_slack([*needed, *surplus], pool, now_s, len(needed))


class MostInTime(OrderingPolicy):
    """Maximizes the number of needed groups that are in time.

    Uses the algorithm of Moore and Hodgson for minimizing the number of late jobs. Late groups
    follow and keep a small share of the slots, so that they end under any load; surplus groups,
    which no trainer waits for, come last.
    """

    def order(
        self, steps: Sequence[StepDemand], pool: EnginePool, now_s: float
    ) -> list[OrderedGroup]:
        """Return groups in time by due time, then late ones, then surplus ones."""
        needed, surplus = _split_surplus(sorted(steps, key=_due_order))
        in_time, late = _split_late(needed, pool, now_s)
        late_keys = {(step.job, group.name) for step, group in late}
        late_slots = sum(group.running for _, group in late)
        waiting_late = [one for one in late if one[1].waiting]
        if in_time and waiting_late and late_slots < int(LATE_SLOT_SHARE * pool.slots):
            late.remove(waiting_late[0])
            in_time = [waiting_late[0], *in_time]
        ordered = _with_slack([*in_time, *late, *surplus], pool, now_s, len(needed))
        for one in ordered:
            if one.status is not GroupStatus.SURPLUS:
                is_late = (one.job, one.group) in late_keys
                one.status = GroupStatus.LATE if is_late else GroupStatus.IN_TIME
        return ordered


def number_blocks(ordered: Iterable[OrderedGroup]) -> dict[tuple[str, str], int]:
    """Number the blocks of an order, within which the longest texts go first, by job and group.

    Groups of a step that can be in time form one block, as do its surplus ones: the step ends
    sooner when its longest texts start first. Each late group is a block of its own.

    >>> groups = [OrderedGroup("j", name, GroupStatus.IN_TIME, 1.0) for name in ("a", "b")]
    >>> number_blocks([*groups, OrderedGroup("j", "c", GroupStatus.LATE, -1.0)])
    {('j', 'a'): 0, ('j', 'b'): 0, ('j', 'c'): 1}
    """
    numbers: dict[tuple[str, str], int] = {}
    number = -1
    previous: OrderedGroup | None = None
    for one in ordered:
        is_same = previous is not None and (previous.job, previous.status) == (one.job, one.status)
        if not is_same or one.status is GroupStatus.LATE:
            number += 1
        numbers[one.job, one.group] = number
        previous = one
    return numbers


StepGroup = tuple[StepDemand, GroupDemand]


def _due_order(step: StepDemand) -> tuple[float, int, str]:
    return step.due_s, step.priority, step.job


def _split_surplus(steps: Iterable[StepDemand]) -> tuple[list[StepGroup], list[StepGroup]]:
    """Split into needed and surplus groups; in each step those with the least work first."""
    needed: list[StepGroup] = []
    surplus: list[StepGroup] = []
    for step in steps:
        by_work = sorted(step.groups, key=lambda group: (group.remaining_events, group.name))
        needed += [(step, group) for group in by_work[: step.wanted]]
        surplus += [(step, group) for group in by_work[step.wanted :]]
    return needed, surplus


def _split_late(
    needed: Sequence[StepGroup], pool: EnginePool, now_s: float
) -> tuple[list[StepGroup], list[StepGroup]]:
    """Split groups, ordered by due time, into those that can be in time together and late ones.

    When the work scheduled so far can't be done by the due time of a group, one is deferred: the
    one with the lowest priority, then of the tenant with the most work, then with the most work.
    """
    scheduled: list[StepGroup] = []
    late: list[StepGroup] = []
    work = 0.0
    work_by_tenant: defaultdict[str, float] = defaultdict(float)
    for step, group in needed:
        remaining_s = step.due_s - now_s
        if group.longest_remaining_events * pool.time_per_event_s > remaining_s:
            late.append((step, group))
            continue
        scheduled.append((step, group))
        work += group.remaining_events
        work_by_tenant[step.tenant] += group.remaining_events
        while scheduled and work * pool.time_per_event_s / pool.slots > remaining_s:
            deferred = max(
                scheduled,
                key=lambda one: (
                    one[0].priority,
                    work_by_tenant[one[0].tenant],
                    one[1].remaining_events,
                ),
            )
            scheduled.remove(deferred)
            late.append(deferred)
            work -= deferred[1].remaining_events
            work_by_tenant[deferred[0].tenant] -= deferred[1].remaining_events
    late.sort(
        key=lambda one: (
            one[0].priority,
            one[0].due_s,
            one[1].remaining_events,
            one[0].job,
            one[1].name,
        )
    )
    return scheduled, late


def _slack_s(step: StepDemand, pool: EnginePool, now_s: float) -> float:
    by_work = sorted(step.groups, key=lambda group: group.remaining_events)[: step.wanted]
    work = sum(group.remaining_events for group in by_work)
    longest = max((group.longest_remaining_events for group in by_work), default=0.0)
    return step.due_s - now_s - pool.time_per_event_s * max(longest, work / pool.slots)


def _with_slack(
    scheduled: Sequence[StepGroup], pool: EnginePool, now_s: float, needed: int | None = None
) -> list[OrderedGroup]:
    """Compute each group's slack when groups run in the given order.

    Groups after the first `needed` ones are surplus.
    """
    ordered = []
    work = 0.0
    for number, (step, group) in enumerate(scheduled):
        work += group.remaining_events
        end_s = now_s + pool.time_per_event_s * max(
            group.longest_remaining_events, work / pool.slots
        )
        slack_s = step.due_s - end_s
        status = GroupStatus.IN_TIME if slack_s >= 0 else GroupStatus.LATE
        if needed is not None and number >= needed:
            status = GroupStatus.SURPLUS
        ordered.append(OrderedGroup(step.job, group.name, status, slack_s))
    return ordered
