"""Ranks the items of open steps when several trainers compete for the same engines.

Steps of one trainer run oldest first, the longest texts of each step first. The groups of competing
trainers are ordered by `step_ordering`.
"""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from bellweir.events.log import emit
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.state import JobState
from bellweir.hosted.batches.step_ordering import (
    EnginePool,
    GroupDemand,
    GroupStatus,
    MostInTime,
    OrderedGroup,
    StepDemand,
    number_blocks,
)
from bellweir.hosted.log_events import STEP_ORDERED
from bellweir.hosted.records import Route
from bellweir.hosted.views.configuration import RouteTable
from bellweir.kernel.clock import elapsed_s

ORDER_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0
DEFAULT_DUE_S = 3_600.0
"""Due time of steps whose route sets none."""
URGENCY_BY_STATUS = {GroupStatus.LATE: 6, GroupStatus.SURPLUS: 7}
"""Urgency header by status. All other requests have 5, the more urgent value, so that engines don't
preempt them for late or surplus groups."""

ItemKey = tuple[str, str]


class OpenStep:
    """An open job and its route."""

    __slots__ = ("route", "state")

    def __init__(self, state: JobState, route: Route) -> None:
        self.state = state
        self.route = route

    @property
    def services(self) -> tuple[str, ...]:
        """Services whose engines may run its items."""
        return tuple(sorted(part.service for part in self.route.effective_backends))

    @property
    def trainer(self) -> tuple[str, str, str]:
        """Identifies the trainer; steps of one trainer don't compete with each other."""
        return self.state.job.tenant, self.state.job.host, self.state.job.path_prefix


def competing_steps(steps: Iterable[OpenStep]) -> list[tuple[tuple[str, ...], list[OpenStep]]]:
    """Group steps that share services, directly or transitively; each group keeps their order."""
    found: list[tuple[set[str], list[OpenStep]]] = []
    for step in steps:
        services, group = set(step.services), [step]
        for other in [one for one in found if one[0] & services]:
            services |= other[0]
            group = [*other[1], *group]
            found.remove(other)
        found.append((services, group))
    return [(tuple(sorted(services)), group) for services, group in found]


class StepScheduler:
    """Ranks items of open steps. Not thread-safe: called by the coordinator's task only.

    The order is recomputed every `ORDER_INTERVAL_S`, and at once when a step is added or ends.
    """

    def __init__(
        self,
        predicted_events: Callable[[ItemProgress], float | None],
        event_times_of: Callable[[str], Sequence[tuple[float, int]]],
        now_s: Callable[[], float] = elapsed_s,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        """`event_times_of` returns the time per event and the slots of each engine of a service.

        While `predicted_events` returns None, a text counts as one remaining event, so that no
        group is late because of unknown lengths.
        """
        self._expected_events = predicted_events
        self._event_times_of = event_times_of
        self._now_s = now_s
        self._wall_s = wall_s
        self._order = MostInTime()
        self._due_s: dict[str, float] = {}
        self._blocks: dict[tuple[str, str], int] = {}
        self._statuses: dict[tuple[str, str], GroupStatus] = {}
        self._jobs: frozenset[str] = frozenset()
        self._next_update_s = float("-inf")
        self._logged_s: dict[str, float] = {}

    def update(
        self,
        steps: Sequence[OpenStep],
        progress_of: Mapping[ItemKey, ItemProgress],
        running: Iterable[ItemKey],
        table: RouteTable,
    ) -> None:
        """Recompute the order if steps were added or ended or the interval has passed."""
        now_s = self._now_s()
        jobs = frozenset(step.state.job.id for step in steps)
        self._update_due_times(steps, jobs, now_s)
        if now_s < self._next_update_s and jobs == self._jobs:
            return
        self._next_update_s, self._jobs = now_s + ORDER_INTERVAL_S, jobs
        self._blocks, self._statuses = {}, {}
        priorities = {tenant.name: tenant.priority for tenant in table.configuration.tenants}
        in_flight = frozenset(running)
        for services, competing in competing_steps(steps):
            if len({step.trainer for step in competing}) > 1:
                demands = [
                    self._demand(step, progress_of, in_flight, priorities) for step in competing
                ]
                pool = self._pool(services)
                self._apply_order(demands, self._order.order(demands, pool, now_s), pool, now_s)

    def rank(self, progress: ItemProgress) -> int:
        """Position of an item's group in the order; -1, which is first, without an order."""
        return self._blocks.get(_group_key(progress), -1)

    def urgency(self, progress: ItemProgress) -> int | None:
        """Urgency to send to an item's engine; None for the default."""
        status = self._statuses.get(_group_key(progress))
        return URGENCY_BY_STATUS.get(status) if status is not None else None

    def _update_due_times(
        self, steps: Sequence[OpenStep], jobs: frozenset[str], now_s: float
    ) -> None:
        for job_id in self._due_s.keys() - jobs:
            del self._due_s[job_id]
            self._logged_s.pop(job_id, None)
        for step in steps:
            job = step.state.job
            if job.id not in self._due_s:
                due_ms = step.route.due_ms
                due_in_s = DEFAULT_DUE_S if due_ms is None else due_ms / 1000
                # Clamped: clock skew between nodes must not shift the due time without bound.
                age_s = min(max(0.0, self._wall_s() - job.accepted_at_s), due_in_s)
                self._due_s[job.id] = now_s + due_in_s - age_s

    def _pool(self, services: Iterable[str]) -> EnginePool:
        found = [engine for service in services for engine in self._event_times_of(service)]
        slots = sum(count for _, count in found)
        events_per_s = sum(
            count / time_per_event_s for time_per_event_s, count in found if time_per_event_s > 0
        )
        return EnginePool(slots, slots / events_per_s if events_per_s else 0.0)

    def _demand(
        self,
        step: OpenStep,
        progress_of: Mapping[ItemKey, ItemProgress],
        running: frozenset[ItemKey],
        priorities: Mapping[str, int | None],
    ) -> StepDemand:
        """Remaining work of a step; groups whose texts are complete are left out."""
        job = step.state.job
        texts: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        names: set[str] = set()
        for item in job.items:
            name = item.group or item.id
            names.add(name)
            key = (job.id, item.id)
            progress = progress_of.get(key)
            is_generated = progress is not None and progress.stage is not Stage.GENERATION
            if item.id in step.state.recorded_ids or is_generated:
                continue
            expected = self._expected_events(progress) if progress is not None else None
            remaining = 1.0
            if progress is not None and expected is not None:
                remaining = max(1.0, expected - progress.events)
            texts[name].append((remaining, key in running))
        groups = [_group_demand(name, remaining) for name, remaining in texts.items()]
        wanted = job.wanted_groups or len(names)
        priority = priorities.get(job.tenant)
        return StepDemand(
            job.id,
            self._due_s[job.id],
            groups,
            max(0, wanted - (len(names) - len(groups))),
            step.route.priority if priority is None else priority,
            job.tenant or step.route.path_prefix,
        )

    def _apply_order(
        self,
        demands: Sequence[StepDemand],
        ordered: Sequence[OrderedGroup],
        pool: EnginePool,
        now_s: float,
    ) -> None:
        first = len(self._blocks)
        for key, number in number_blocks(ordered).items():
            self._blocks[key] = first + number
        self._statuses.update({(one.job, one.group): one.status for one in ordered})
        for demand in demands:
            if now_s >= self._logged_s.get(demand.job, float("-inf")) + LOG_INTERVAL_S:
                self._logged_s[demand.job] = now_s
                self._log(demand, ordered, pool, now_s)

    def _log(
        self,
        demand: StepDemand,
        ordered: Sequence[OrderedGroup],
        pool: EnginePool,
        now_s: float,
    ) -> None:
        own_groups = [one for one in ordered if one.job == demand.job]
        late = sum(one.status is GroupStatus.LATE for one in own_groups)
        waited_for = [one for one in own_groups if one.status is not GroupStatus.SURPLUS]
        emit(
            STEP_ORDERED,
            request_id=demand.job,
            due_ms=round(1000 * (demand.due_s - now_s)),
            wanted_groups=demand.wanted,
            late_groups=late,
            surplus_groups=len(own_groups) - len(waited_for),
            waiting=sum(group.waiting for group in demand.groups),
            running=sum(group.running for group in demand.groups),
            left_events=round(sum(group.remaining_events for group in demand.groups)),
            slack_ms=round(1000 * min((one.slack_s for one in waited_for), default=0.0)),
            priority=demand.priority,
            places=pool.slots,
            pace_ms=round(1000 * pool.time_per_event_s),
            steps=len({one.job for one in ordered}),
        )


def _group_key(progress: ItemProgress) -> tuple[str, str]:
    return progress.job.id, progress.item.group or progress.item.id


def _group_demand(name: str, texts: Sequence[tuple[float, bool]]) -> GroupDemand:
    running = sum(is_running for _, is_running in texts)
    return GroupDemand(
        name,
        sum(remaining for remaining, _ in texts),
        max(remaining for remaining, _ in texts),
        len(texts) - running,
        running,
    )
