"""Simulates steps of several trainers with the ordering and placement policies of the service.

    PYTHONPATH=src:. .venv/bin/python -m bench.step_replay

A text takes its events times the engine's time per event, which grows with the texts in flight. A
trainer requests a step at fixed intervals, but not before its last step but one has ended; it waits
for a part of the groups and gives up after a timeout. The table has for each load, order and
placement: the share of the wanted groups that were in time (all trainers, the worst trainer, the
worst 8 s), the share that were late, and the mean duration of a step in seconds.
"""

import argparse
import heapq
import random
from collections import defaultdict
from collections.abc import Iterator

from bellweir.hosted.batches.placement import (
    BATCHING_SLOWDOWN,
    EarliestEnd,
    EngineState,
    FastestFree,
    PlacementPolicy,
    TextDemand,
)
from bellweir.hosted.batches.step_ordering import (
    EarliestDue,
    EnginePool,
    GroupDemand,
    LeastSlack,
    MostInTime,
    OldestFirst,
    OrderingPolicy,
    StepDemand,
    number_blocks,
)

ROUND_INTERVAL_S = 0.025
DUE_S = 7.5
GRACE_S = 0.7
"""A group that is late by no more than this counts as in time."""
STEP_TIMEOUT_S = 12.0
STEP_INTERVAL_S = 4.0
VERSION_DELAY_S = 1.4
"""Time from the end of a step until its weight version is published and loaded."""
WINDOW_S = 8.0


class Trainer:
    """A trainer and the size of its steps."""

    __slots__ = ("events", "groups", "items", "name", "priority", "wanted")

    def __init__(
        self, name: str, groups: int, items: int, events: float, priority: int = 5
    ) -> None:
        self.name = name
        self.groups = groups
        self.items = items
        self.events = events
        self.priority = priority
        self.wanted = -(-groups * 9 // 10)


class Load:
    """Trainers, engines and changes of the engines' speed."""

    __slots__ = ("event_times_s", "events_factor", "name", "speed_changes", "trainers")

    def __init__(
        self,
        name: str,
        trainers: list[Trainer],
        event_times_s: list[float],
        speed_changes: tuple[tuple[float, int, float], ...] = (),
        events_factor: float = 1.0,
    ) -> None:
        """`speed_changes`: time, number of engines affected, factor of their event times."""
        self.name = name
        self.trainers = trainers
        self.event_times_s = event_times_s
        self.speed_changes = speed_changes
        self.events_factor = events_factor


class Text:
    """The text of one item."""

    __slots__ = (
        "end_s",
        "engine",
        "estimated_events",
        "events",
        "group",
        "is_complete",
        "name",
        "waiting_since_s",
    )

    def __init__(self, name: str, group: str, events: int, estimated_events: float) -> None:
        self.name = name
        self.group = group
        self.events = events
        self.estimated_events = estimated_events
        self.engine: int | None = None
        self.end_s = 0.0
        self.is_complete = False
        self.waiting_since_s: float | None = None

    def remaining_events(self, now_s: float) -> float:
        """Expected remaining events."""
        if self.is_complete or self.engine is None or self.end_s <= now_s:
            return 0.0 if self.is_complete else self.estimated_events
        return min(self.estimated_events, max(1.0, self.estimated_events * 0.5))


class Step:
    """One step of a trainer, which is one job."""

    __slots__ = ("ended_s", "in_time", "job", "late", "number", "requested_s", "texts", "trainer")

    def __init__(
        self, trainer: Trainer, number: int, requested_s: float, texts: list[Text]
    ) -> None:
        self.trainer = trainer
        self.number = number
        self.requested_s = requested_s
        self.job = f"{trainer.name}-{number}"
        self.texts = texts
        self.ended_s: float | None = None
        self.in_time = 0
        self.late = 0

    def groups(self) -> dict[str, list[Text]]:
        """Texts by group."""
        result: dict[str, list[Text]] = defaultdict(list)
        for text in self.texts:
            result[text.group].append(text)
        return result

    def complete_groups(self) -> int:
        """Number of complete groups."""
        return sum(all(text.is_complete for text in group) for group in self.groups().values())


class Replay:
    """Simulates one load with one ordering and one placement policy."""

    def __init__(
        self,
        load: Load,
        order: OrderingPolicy,
        placement: PlacementPolicy,
        seed: int,
        length_s: float = 56.0,
    ) -> None:
        self.load = load
        self.order = order
        self.placement = placement
        self.length_s = length_s
        self.random = random.Random(f"{seed}/{load.name}")
        self.event_times_s = list(load.event_times_s)
        self.running_on: list[set[str]] = [set() for _ in load.event_times_s]
        self.steps: list[Step] = []
        self.end_queue: list[tuple[float, str, Text]] = []
        self.over_capacity = 0
        self.slots = 8
        # Texts are drawn in advance, so that all policies get the same ones.
        self.workload = {
            (trainer.name, number): self._draw(trainer, number)
            for trainer in load.trainers
            for number in range(int(length_s / STEP_INTERVAL_S))
        }

    def _draw(self, trainer: Trainer, number: int) -> list[tuple[str, str, int, float]]:
        result = []
        for group in range(trainer.groups):
            for item in range(trainer.items):
                mean = trainer.events * self.load.events_factor
                events = max(1, round(mean * self.random.lognormvariate(-0.1, 0.45)))
                estimated_events = events * self.random.lognormvariate(0.0, 0.3)
                name = f"{trainer.name}-{number}-{group}-{item}"
                result.append((name, f"{trainer.name}-{number}-{group}", events, estimated_events))
        return result

    def run(self) -> None:
        """Run until no step is open."""
        now_s = 0.0
        speed_changes = sorted(self.load.speed_changes)
        while now_s < self.length_s + STEP_TIMEOUT_S:
            while speed_changes and speed_changes[0][0] <= now_s:
                _, count, factor = speed_changes.pop(0)
                for number in range(count):
                    self.event_times_s[number] = self.load.event_times_s[number] * factor
            self._end_texts(now_s)
            self._end_steps(now_s)
            self._request_steps(now_s)
            self._start_waiting(now_s)
            now_s += ROUND_INTERVAL_S

    def _request_steps(self, now_s: float) -> None:
        for trainer in self.load.trainers:
            own = [step for step in self.steps if step.trainer is trainer]
            number = len(own)
            if now_s >= self.length_s or now_s < STEP_INTERVAL_S * number:
                continue
            if number >= 2:
                ended_s = own[number - 2].ended_s
                if ended_s is None or now_s < ended_s + VERSION_DELAY_S:
                    continue
            texts = [Text(*drawn) for drawn in self.workload.get((trainer.name, number), [])]
            if texts:
                self.steps.append(Step(trainer, number, now_s, texts))

    def _end_texts(self, now_s: float) -> None:
        while self.end_queue and self.end_queue[0][0] <= now_s:
            _, name, text = heapq.heappop(self.end_queue)
            if text.engine is not None and name in self.running_on[text.engine]:
                self.running_on[text.engine].discard(name)
                text.is_complete = True

    def _end_steps(self, now_s: float) -> None:
        for step in self.steps:
            if step.ended_s is not None:
                continue
            complete_groups = min(step.trainer.wanted, step.complete_groups())
            if now_s <= step.requested_s + DUE_S + GRACE_S:
                step.in_time = complete_groups
            step.late = complete_groups - step.in_time
            if complete_groups >= step.trainer.wanted or now_s >= step.requested_s + STEP_TIMEOUT_S:
                step.ended_s = now_s
                for text in step.texts:
                    if text.engine is not None:
                        self.running_on[text.engine].discard(text.name)

    def _demands(self, now_s: float) -> Iterator[StepDemand]:
        for step in self.steps:
            if step.ended_s is not None:
                continue
            groups = []
            for name, texts in step.groups().items():
                incomplete = [text for text in texts if not text.is_complete]
                if incomplete:
                    remaining = [text.remaining_events(now_s) for text in incomplete]
                    running = sum(text.engine is not None for text in incomplete)
                    groups.append(
                        GroupDemand(
                            name, sum(remaining), max(remaining), len(incomplete) - running, running
                        )
                    )
            wanted = max(0, step.trainer.wanted - step.complete_groups())
            due_s = step.requested_s + DUE_S
            yield StepDemand(
                step.job, due_s, groups, wanted, step.trainer.priority, step.trainer.name
            )

    def _start_waiting(self, now_s: float) -> None:
        free = sum(max(0, self.slots - len(running)) for running in self.running_on)
        waiting = {
            text.name: (step, text)
            for step in self.steps
            if step.ended_s is None
            for text in step.texts
            if text.engine is None
        }
        if not free or not waiting:
            return
        time_per_event_s = (
            len(self.event_times_s)
            / sum(1 / event_time_s for event_time_s in self.event_times_s)
            * (1 + BATCHING_SLOWDOWN)
        )
        pool = EnginePool(self.slots * len(self.event_times_s), time_per_event_s)
        block_numbers = number_blocks(self.order.order(list(self._demands(now_s)), pool, now_s))
        ordered = sorted(
            waiting.values(),
            key=lambda one: (
                block_numbers[one[0].job, one[1].group],
                -one[1].estimated_events,
                one[1].name,
            ),
        )
        engines = [
            EngineState(number, event_time_s, self.slots, self._end_times_s(number))
            for number, event_time_s in enumerate(self.event_times_s)
        ]
        texts = []
        for _, text in ordered:
            text.waiting_since_s = now_s if text.waiting_since_s is None else text.waiting_since_s
            texts.append(
                TextDemand(text.name, text.estimated_events, waited_s=now_s - text.waiting_since_s)
            )
        for placed in self.placement.place(texts, engines, now_s):
            if placed.starts_now:
                self._start(waiting[placed.key][1], placed.engine, now_s)

    def _end_times_s(self, number: int) -> list[float]:
        return [text.end_s for _, name, text in self.end_queue if name in self.running_on[number]]

    def _start(self, text: Text, engine: int, now_s: float) -> None:
        self.running_on[engine].add(text.name)
        self.over_capacity += len(self.running_on[engine]) > self.slots
        share = len(self.running_on[engine]) / self.slots
        text.engine = engine
        text.end_s = (
            now_s
            + 0.02
            + text.events * self.event_times_s[engine] * (1 + BATCHING_SLOWDOWN * share)
        )
        heapq.heappush(self.end_queue, (text.end_s, text.name, text))

    def shares(self) -> tuple[float, float, float, float, float]:
        """Shares in time (all, worst trainer, worst window), share late, mean step time."""
        wanted: dict[str, float] = defaultdict(float)
        result: dict[str, float] = defaultdict(float)
        windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        late = 0
        for trainer in self.load.trainers:
            # Steps that were never requested count as failed.
            wanted[trainer.name] = trainer.wanted * int(self.length_s / STEP_INTERVAL_S)
        for step in self.steps:
            result[step.trainer.name] += step.in_time
            late += step.late
            window = windows[int(step.requested_s / WINDOW_S)]
            window[0] += step.in_time
            window[1] += step.trainer.wanted
        total = sum(wanted.values())
        times = [step.ended_s - step.requested_s for step in self.steps if step.ended_s is not None]
        return (
            sum(result.values()) / total,
            min(result[name] / wanted[name] for name in wanted),
            min(window[0] / window[1] for window in windows.values()),
            late / total,
            sum(times) / len(times),
        )


def engines(count: int, time_per_event_s: float) -> list[float]:
    """Event times of engines, of which a quarter are 2.2 times as fast."""
    return [
        time_per_event_s / 2.2 if number % 4 == 3 else time_per_event_s for number in range(count)
    ]


def loads() -> list[Load]:
    """Loads from a typical one to more than the engines can process."""
    three = [Trainer("a", 7, 16, 18), Trainer("b", 14, 8, 18), Trainer("c", 5, 16, 14)]
    four = [
        Trainer("a", 5, 16, 9),
        Trainer("b", 11, 8, 16),
        Trainer("c", 12, 8, 16),
        Trainer("d", 4, 16, 15),
    ]
    slowdown = ((16.0, 8, 3.0), (40.0, 8, 1.0))
    return [
        Load("usual", three, engines(23, 0.12)),
        Load("full", three, engines(23, 0.12), events_factor=1.25),
        Load("a third slow", three, engines(23, 0.12), slowdown, 1.15),
        Load("a third gone", three, engines(16, 0.12), events_factor=1.15),
        Load("four trainers, full", four, engines(23, 0.12), events_factor=1.4),
        Load("four trainers, even engines", four, [0.1] * 23, events_factor=1.4),
    ]


ORDERS: dict[str, OrderingPolicy] = {
    "oldest first": OldestFirst(),
    "earliest due": EarliestDue(),
    "least slack": LeastSlack(),
    "most in time": MostInTime(),
}
PLACEMENTS: dict[str, PlacementPolicy] = {
    "fastest free": FastestFree(),
    "earliest end": EarliestEnd(),
}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    arguments = parser.parse_args()
    print("| load | order | placing | in time | least trainer | worst 8 s | late | step s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for load in loads():
        for order_name, order in ORDERS.items():
            for placing, placement in PLACEMENTS.items():
                rows = []
                for seed in arguments.seeds:
                    replay = Replay(load, order, placement, seed)
                    replay.run()
                    rows.append(replay.shares())
                means = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
                shown = " | ".join(f"{mean:.2f}" for mean in means)
                print(f"| {load.name} | {order_name} | {placing} | {shown} |", flush=True)


if __name__ == "__main__":
    main()
