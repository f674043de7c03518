"""Replays steps of several trainers through the code that orders and places their texts.

    PYTHONPATH=src:. .venv/bin/python -m bench.step_replay

Engines are numbers: a text takes its events times the engine's pace, slower the more it runs at
once. A trainer asks for a step at its time, but no sooner than its step before the last one is
done; it waits for some of the groups, and gives up after a while. The table gives for each load
and each way of ordering and placing the share of the wanted groups that were whole in time, for all
trainers, for the one with the least and for the worst 8 s, and the mean time of a step.
"""

import argparse
import heapq
import random
from collections import defaultdict
from collections.abc import Iterator

from bellweir.hosted.batches.placement import (
    CROWDING,
    EarliestEnd,
    EngineRoom,
    FastestFree,
    Placement,
    TextNeed,
)
from bellweir.hosted.batches.step_ordering import (
    EarliestDue,
    EnginesRoom,
    GroupNeed,
    LeastSlack,
    MostInTime,
    OldestFirst,
    StepNeed,
    StepOrder,
    blocks,
)

LOOK_S = 0.025
DUE_S = 7.5
GRACE_S = 0.7
"""Time after the due time in which a group counts as in time still."""
GIVES_UP_S = 12.0
BETWEEN_STEPS_S = 4.0
VERSION_S = 1.4
"""From a step's end until its version is named and loaded."""
WINDOW_S = 8.0


class Trainer:
    """What a trainer asks for in each step."""

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
    """Trainers, engines and when the engines change."""

    __slots__ = ("changes", "events_factor", "name", "paces", "trainers")

    def __init__(
        self,
        name: str,
        trainers: list[Trainer],
        paces: list[float],
        changes: tuple[tuple[float, int, float], ...] = (),
        events_factor: float = 1.0,
    ) -> None:
        """`changes` are times, engines from the first on, and factors of their paces then."""
        self.name = name
        self.trainers = trainers
        self.paces = paces
        self.changes = changes
        self.events_factor = events_factor


class Text:
    """One item."""

    __slots__ = ("ends_s", "engine", "events", "group", "guess", "is_done", "name", "waits_since_s")

    def __init__(self, name: str, group: str, events: int, guess: float) -> None:
        self.name = name
        self.group = group
        self.events = events
        self.guess = guess
        self.engine: int | None = None
        self.ends_s = 0.0
        self.is_done = False
        self.waits_since_s: float | None = None

    def left(self, now_s: float) -> float:
        """Events that are expected still."""
        if self.is_done or self.engine is None or self.ends_s <= now_s:
            return 0.0 if self.is_done else self.guess
        return min(self.guess, max(1.0, self.guess * 0.5))


class Step:
    """One job."""

    __slots__ = ("asked_s", "ended_s", "in_time", "job", "late", "number", "texts", "trainer")

    def __init__(self, trainer: Trainer, number: int, asked_s: float, texts: list[Text]) -> None:
        self.trainer = trainer
        self.number = number
        self.asked_s = asked_s
        self.job = f"{trainer.name}-{number}"
        self.texts = texts
        self.ended_s: float | None = None
        self.in_time = 0
        self.late = 0

    def groups(self) -> dict[str, list[Text]]:
        """Texts by group."""
        found: dict[str, list[Text]] = defaultdict(list)
        for text in self.texts:
            found[text.group].append(text)
        return found

    def whole(self) -> int:
        """Groups that are whole."""
        return sum(all(text.is_done for text in group) for group in self.groups().values())


class Replay:
    """One load under one way of ordering and placing."""

    def __init__(
        self, load: Load, order: StepOrder, placement: Placement, seed: int, length_s: float = 56.0
    ) -> None:
        self.load = load
        self.order = order
        self.placement = placement
        self.length_s = length_s
        self.random = random.Random(f"{seed}/{load.name}")
        self.paces = list(load.paces)
        self.hands: list[set[str]] = [set() for _ in load.paces]
        self.steps: list[Step] = []
        self.ends: list[tuple[float, str, Text]] = []
        self.overfull = 0
        self.places = 8
        # Texts are drawn beforehand, so that each way gets the same.
        self.drawn = {
            (trainer.name, number): self._draw(trainer, number)
            for trainer in load.trainers
            for number in range(int(length_s / BETWEEN_STEPS_S))
        }

    def _draw(self, trainer: Trainer, number: int) -> list[tuple[str, str, int, float]]:
        found = []
        for group in range(trainer.groups):
            for item in range(trainer.items):
                mean = trainer.events * self.load.events_factor
                events = max(1, round(mean * self.random.lognormvariate(-0.1, 0.45)))
                guess = events * self.random.lognormvariate(0.0, 0.3)
                name = f"{trainer.name}-{number}-{group}-{item}"
                found.append((name, f"{trainer.name}-{number}-{group}", events, guess))
        return found

    def run(self) -> None:
        """Play until nothing is open any more."""
        now_s = 0.0
        changes = sorted(self.load.changes)
        while now_s < self.length_s + GIVES_UP_S:
            while changes and changes[0][0] <= now_s:
                _, count, factor = changes.pop(0)
                for number in range(count):
                    self.paces[number] = self.load.paces[number] * factor
            self._end_texts(now_s)
            self._end_steps(now_s)
            self._ask(now_s)
            self._begin(now_s)
            now_s += LOOK_S

    def _ask(self, now_s: float) -> None:
        for trainer in self.load.trainers:
            own = [step for step in self.steps if step.trainer is trainer]
            number = len(own)
            if now_s >= self.length_s or now_s < BETWEEN_STEPS_S * number:
                continue
            if number >= 2:
                ended_s = own[number - 2].ended_s
                if ended_s is None or now_s < ended_s + VERSION_S:
                    continue
            texts = [Text(*drawn) for drawn in self.drawn.get((trainer.name, number), [])]
            if texts:
                self.steps.append(Step(trainer, number, now_s, texts))

    def _end_texts(self, now_s: float) -> None:
        while self.ends and self.ends[0][0] <= now_s:
            _, name, text = heapq.heappop(self.ends)
            if text.engine is not None and name in self.hands[text.engine]:
                self.hands[text.engine].discard(name)
                text.is_done = True

    def _end_steps(self, now_s: float) -> None:
        for step in self.steps:
            if step.ended_s is not None:
                continue
            whole = min(step.trainer.wanted, step.whole())
            if now_s <= step.asked_s + DUE_S + GRACE_S:
                step.in_time = whole
            step.late = whole - step.in_time
            if whole >= step.trainer.wanted or now_s >= step.asked_s + GIVES_UP_S:
                step.ended_s = now_s
                for text in step.texts:
                    if text.engine is not None:
                        self.hands[text.engine].discard(text.name)

    def _needs(self, now_s: float) -> Iterator[StepNeed]:
        for step in self.steps:
            if step.ended_s is not None:
                continue
            groups = []
            for name, texts in step.groups().items():
                left = [text for text in texts if not text.is_done]
                if left:
                    needs = [text.left(now_s) for text in left]
                    running = sum(text.engine is not None for text in left)
                    groups.append(
                        GroupNeed(name, sum(needs), max(needs), len(left) - running, running)
                    )
            wanted = max(0, step.trainer.wanted - step.whole())
            due_s = step.asked_s + DUE_S
            yield StepNeed(
                step.job, due_s, groups, wanted, step.trainer.priority, step.trainer.name
            )

    def _begin(self, now_s: float) -> None:
        free = sum(max(0, self.places - len(hand)) for hand in self.hands)
        waiting = {
            text.name: (step, text)
            for step in self.steps
            if step.ended_s is None
            for text in step.texts
            if text.engine is None
        }
        if not free or not waiting:
            return
        pace_s = len(self.paces) / sum(1 / pace for pace in self.paces) * (1 + CROWDING)
        room = EnginesRoom(self.places * len(self.paces), pace_s)
        block = blocks(self.order.order(list(self._needs(now_s)), room, now_s))
        ordered = sorted(
            waiting.values(),
            key=lambda one: (block[one[0].job, one[1].group], -one[1].guess, one[1].name),
        )
        engines = [
            EngineRoom(number, pace, self.places, self._ends(number))
            for number, pace in enumerate(self.paces)
        ]
        texts = []
        for _, text in ordered:
            text.waits_since_s = now_s if text.waits_since_s is None else text.waits_since_s
            texts.append(TextNeed(text.name, text.guess, waited_s=now_s - text.waits_since_s))
        for placed in self.placement.place(texts, engines, now_s):
            if placed.is_now:
                self._start(waiting[placed.key][1], placed.engine, now_s)

    def _ends(self, number: int) -> list[float]:
        return [text.ends_s for _, name, text in self.ends if name in self.hands[number]]

    def _start(self, text: Text, engine: int, now_s: float) -> None:
        self.hands[engine].add(text.name)
        self.overfull += len(self.hands[engine]) > self.places
        share = len(self.hands[engine]) / self.places
        text.engine = engine
        text.ends_s = now_s + 0.02 + text.events * self.paces[engine] * (1 + CROWDING * share)
        heapq.heappush(self.ends, (text.ends_s, text.name, text))

    def shares(self) -> tuple[float, float, float, float, float]:
        """Groups in time of those wanted: all, least trainer's, worst window's; late ones; time."""
        wanted: dict[str, float] = defaultdict(float)
        found: dict[str, float] = defaultdict(float)
        windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        late = 0
        for trainer in self.load.trainers:
            # Steps that were never asked count as failed.
            wanted[trainer.name] = trainer.wanted * int(self.length_s / BETWEEN_STEPS_S)
        for step in self.steps:
            found[step.trainer.name] += step.in_time
            late += step.late
            window = windows[int(step.asked_s / WINDOW_S)]
            window[0] += step.in_time
            window[1] += step.trainer.wanted
        total = sum(wanted.values())
        times = [step.ended_s - step.asked_s for step in self.steps if step.ended_s is not None]
        return (
            sum(found.values()) / total,
            min(found[name] / wanted[name] for name in wanted),
            min(window[0] / window[1] for window in windows.values()),
            late / total,
            sum(times) / len(times),
        )


def engines(count: int, pace_s: float) -> list[float]:
    """Paces of engines of which a quarter are 2.2 times as fast."""
    return [pace_s / 2.2 if number % 4 == 3 else pace_s for number in range(count)]


def loads() -> list[Load]:
    """Loads from what is usual to more than the engines can do."""
    three = [Trainer("a", 7, 16, 18), Trainer("b", 14, 8, 18), Trainer("c", 5, 16, 14)]
    four = [
        Trainer("a", 5, 16, 9),
        Trainer("b", 11, 8, 16),
        Trainer("c", 12, 8, 16),
        Trainer("d", 4, 16, 15),
    ]
    slow = ((16.0, 8, 3.0), (40.0, 8, 1.0))
    return [
        Load("usual", three, engines(23, 0.12)),
        Load("full", three, engines(23, 0.12), events_factor=1.25),
        Load("a third slow", three, engines(23, 0.12), slow, 1.15),
        Load("a third gone", three, engines(16, 0.12), events_factor=1.15),
        Load("four trainers, full", four, engines(23, 0.12), events_factor=1.4),
        Load("four trainers, even engines", four, [0.1] * 23, events_factor=1.4),
    ]


ORDERS: dict[str, StepOrder] = {
    "oldest first": OldestFirst(),
    "earliest due": EarliestDue(),
    "least slack": LeastSlack(),
    "most in time": MostInTime(),
}
PLACEMENTS: dict[str, Placement] = {"fastest free": FastestFree(), "earliest end": EarliestEnd()}


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
