"""Keeps the order in which items of open steps get places, where several trainers want them.

Where only one route's steps want a service's engines, they go oldest first, the longest texts of
each step first. Where several do, `step_order` orders their groups; the order is made anew some
times a second, and at once when a step comes or ends.
"""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from bellweir.events.log import emit
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.state import JobState
from bellweir.hosted.batches.step_ordering import (
    EnginesRoom,
    GroupNeed,
    MostInTime,
    OrderedGroup,
    Standing,
    StepNeed,
    blocks,
)
from bellweir.hosted.log_events import STEP_ORDERED
from bellweir.hosted.records import Route
from bellweir.hosted.views.configuration import RouteTable

ORDER_PERIOD_S = 0.1
LOG_PERIOD_S = 1.0
UNDUE_S = 3_600.0
"""Time after which a step counts as due whose route names none."""
URGENCY = {Standing.LATE: 6, Standing.SURPLUS: 7}
"""Urgency told to engines, behind the usual 5 of all others: a text whose group can't be in time
takes no memory from one that can, and nobody's stream is put back for the sake of a step."""

ItemKey = tuple[str, str]


class OpenStep:
    """An open job and its route."""

    __slots__ = ("route", "state")

    def __init__(self, state: JobState, route: Route) -> None:
        self.state = state
        self.route = route

    @property
    def engines(self) -> tuple[str, ...]:
        """Services that it wants engines of."""
        return tuple(sorted(part.service for part in self.route.parts))

    @property
    def trainer(self) -> tuple[str, str, str]:
        """Whose steps compete as one."""
        return self.state.job.tenant, self.state.job.host, self.state.job.path_prefix


def competing_steps(steps: Iterable[OpenStep]) -> list[tuple[tuple[str, ...], list[OpenStep]]]:
    """Divide steps into those that share services, directly or through others; in their order."""
    found: list[tuple[set[str], list[OpenStep]]] = []
    for step in steps:
        services, group = set(step.engines), [step]
        for other in [one for one in found if one[0] & services]:
            services |= other[0]
            group = [*other[1], *group]
            found.remove(other)
        found.append((services, group))
    return [(tuple(sorted(services)), group) for services, group in found]


class StepScheduler:
    """Called by the coordinator's task only."""

    def __init__(
        self,
        expected_events: Callable[[ItemProgress], float | None],
        paces_of: Callable[[str], Sequence[tuple[float, int]]],
        now_s: Callable[[], float] = time.monotonic,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        """`paces_of` returns seconds an event and places of each engine of a service.

        While `expected_events` tells None, nothing is taken to be late for what it still needs.
        """
        self._expected_events = expected_events
        self._paces_of = paces_of
        self._now_s = now_s
        self._wall_s = wall_s
        self._order = MostInTime()
        self._due_s: dict[str, float] = {}
        self._blocks: dict[tuple[str, str], int] = {}
        self._standings: dict[tuple[str, str], Standing] = {}
        self._jobs: frozenset[str] = frozenset()
        self._next_s = float("-inf")
        self._logged_s: dict[str, float] = {}

    def update(
        self,
        steps: Sequence[OpenStep],
        progress_of: Mapping[ItemKey, ItemProgress],
        running: Iterable[ItemKey],
        table: RouteTable,
    ) -> None:
        """Order the groups of the open steps anew, if that is due."""
        now_s = self._now_s()
        jobs = frozenset(step.state.job.id for step in steps)
        self._note_due(steps, jobs, now_s)
        if now_s < self._next_s and jobs == self._jobs:
            return
        self._next_s, self._jobs = now_s + ORDER_PERIOD_S, jobs
        self._blocks, self._standings = {}, {}
        priorities = {each.name: each.priority for each in table.configuration.tenants}
        at_workers = frozenset(running)
        for services, competing in competing_steps(steps):
            if len({step.trainer for step in competing}) > 1:
                needs = [
                    self._need(step, progress_of, at_workers, priorities) for step in competing
                ]
                room = self._room(services)
                self._note_order(needs, self._order.order(needs, room, now_s), room, now_s)

    def rank(self, progress: ItemProgress) -> int:
        """Place of an item's group in the order; those that are not ordered come first."""
        return self._blocks.get(_group_key(progress), -1)

    def urgency(self, progress: ItemProgress) -> int | None:
        """Urgency to tell an item's engine; None: the usual one."""
        standing = self._standings.get(_group_key(progress))
        return URGENCY.get(standing) if standing is not None else None

    def _note_due(self, steps: Sequence[OpenStep], jobs: frozenset[str], now_s: float) -> None:
        for job_id in self._due_s.keys() - jobs:
            del self._due_s[job_id]
            self._logged_s.pop(job_id, None)
        for step in steps:
            job = step.state.job
            if job.id not in self._due_s:
                due_ms = step.route.due_ms
                due_in_s = UNDUE_S if due_ms is None else due_ms / 1000
                # The clocks of the two nodes may differ: that must not make it due at any time.
                age_s = min(max(0.0, self._wall_s() - job.accepted_at_s), due_in_s)
                self._due_s[job.id] = now_s + due_in_s - age_s

    def _room(self, services: Iterable[str]) -> EnginesRoom:
        found = [each for service in services for each in self._paces_of(service)]
        places = sum(count for _, count in found)
        speed = sum(count / pace_s for pace_s, count in found if pace_s > 0)
        return EnginesRoom(places, places / speed if speed else 0.0)

    def _need(
        self,
        step: OpenStep,
        progress_of: Mapping[ItemKey, ItemProgress],
        running: frozenset[ItemKey],
        priorities: Mapping[str, int | None],
    ) -> StepNeed:
        """What a step still needs of engines; a group whose texts are whole needs nothing."""
        job = step.state.job
        texts: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        names: set[str] = set()
        for item in job.items:
            name = item.group or item.id
            names.add(name)
            key = (job.id, item.id)
            progress = progress_of.get(key)
            is_made = progress is not None and progress.stage is not Stage.TEXT
            if item.id in step.state.listed or is_made:
                continue
            expected = self._expected_events(progress) if progress is not None else None
            left = 1.0
            if progress is not None and expected is not None:
                left = max(1.0, expected - progress.events)
            texts[name].append((left, key in running))
        groups = [_group_need(name, left) for name, left in texts.items()]
        wanted = job.wanted_groups or len(names)
        priority = priorities.get(job.tenant)
        return StepNeed(
            job.id,
            self._due_s[job.id],
            groups,
            max(0, wanted - (len(names) - len(groups))),
            step.route.priority if priority is None else priority,
            job.tenant or step.route.path_prefix,
        )

    def _note_order(
        self,
        needs: Sequence[StepNeed],
        ordered: Sequence[OrderedGroup],
        room: EnginesRoom,
        now_s: float,
    ) -> None:
        first = len(self._blocks)
        for key, number in blocks(ordered).items():
            self._blocks[key] = first + number
        self._standings.update({(one.job, one.group): one.standing for one in ordered})
        for need in needs:
            if now_s >= self._logged_s.get(need.job, float("-inf")) + LOG_PERIOD_S:
                self._logged_s[need.job] = now_s
                self._log(need, ordered, room, now_s)

    def _log(
        self,
        need: StepNeed,
        ordered: Sequence[OrderedGroup],
        room: EnginesRoom,
        now_s: float,
    ) -> None:
        own = [one for one in ordered if one.job == need.job]
        late = sum(one.standing is Standing.LATE for one in own)
        waited_for = [one for one in own if one.standing is not Standing.SURPLUS]
        emit(
            STEP_ORDERED,
            request_id=need.job,
            due_ms=round(1000 * (need.due_s - now_s)),
            wanted_groups=need.wanted,
            late_groups=late,
            surplus_groups=len(own) - len(waited_for),
            waiting=sum(group.waiting for group in need.groups),
            running=sum(group.running for group in need.groups),
            left_events=round(sum(group.work for group in need.groups)),
            slack_ms=round(1000 * min((one.slack_s for one in waited_for), default=0.0)),
            priority=need.priority,
            places=room.places,
            pace_ms=round(1000 * room.pace_s),
            steps=len({one.job for one in ordered}),
        )


def _group_key(progress: ItemProgress) -> tuple[str, str]:
    return progress.job.id, progress.item.group or progress.item.id


def _group_need(name: str, texts: Sequence[tuple[float, bool]]) -> GroupNeed:
    running = sum(is_running for _, is_running in texts)
    return GroupNeed(
        name,
        sum(left for left, _ in texts),
        max(left for left, _ in texts),
        len(texts) - running,
        running,
    )
