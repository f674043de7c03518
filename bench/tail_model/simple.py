"""The schedulers that bellweir is compared with: the baseline and the clairvoyant bound."""

from dataclasses import dataclass, field

from bench.tail_model.engines import VirtualAttempt, VirtualEngine, least_loaded
from bench.tail_model.run import HandedOver, Scheduler
from bench.tail_model.workload import Workload


@dataclass
class _Step:
    step_id: str
    attempts: list[VirtualAttempt]
    waiting: list[VirtualAttempt] = field(default_factory=list)
    finished: list[VirtualAttempt] = field(default_factory=list)


def _attempts(workload: Workload, step_id: str, now_s: float) -> list[VirtualAttempt]:
    return [
        VirtualAttempt(f"{step_id}/{slot}", step_id, slot, length, workload.prompt_tokens, now_s)
        for slot, length in enumerate(workload.lengths(step_id))
    ]


def _handed_over(attempt: VirtualAttempt) -> HandedOver:
    oldest = min(version for version, _ in attempt.segments)
    return HandedOver(attempt.step_id, attempt.slot, oldest)


class Baseline(Scheduler):
    """Round robin over the engines, wait for all samples of a step, start again on a swap."""

    def __init__(self, workload: Workload, engines: list[VirtualEngine]) -> None:
        self._workload = workload
        self._engines = engines
        self._steps: dict[str, _Step] = {}
        self._next = 0
        self._homeless: list[VirtualAttempt] = []

    def declare(self, step_id: str, now_s: float) -> None:
        """Spread all samples over the engines at once."""
        step = _Step(step_id, _attempts(self._workload, step_id, now_s))
        self._steps[step_id] = step
        self._homeless.extend(step.attempts)
        self.go_round(now_s)

    def publish(self, version: int, now_s: float) -> None:
        """Nothing: engines are swapped by the run."""

    def ended(self, attempts: list[VirtualAttempt], now_s: float) -> None:
        """Keep what is finished."""
        for attempt in attempts:
            self._steps[attempt.step_id].finished.append(attempt)

    def go_round(self, now_s: float) -> None:
        """Give each attempt to the next engine that is up."""
        for attempt in self._homeless:
            for _ in self._engines:
                self._next = (self._next + 1) % len(self._engines)
                if not self._engines[self._next].is_down:
                    break
            self._engines[self._next].add(attempt)
        self._homeless.clear()

    def pull(self, step_id: str, taken: int, now_s: float) -> list[HandedOver]:
        """All samples, once all are there."""
        step = self._steps[step_id]
        if len(step.finished) < len(step.attempts):
            return []
        return [_handed_over(attempt) for attempt in step.finished]

    def swap(self, engine: VirtualEngine, version: int, until_s: float) -> None:
        """Start all of the engine's attempts again."""
        restarted = list(engine.attempts.values())
        for attempt in restarted:
            engine.remove(attempt)
            attempt.start_again()
        engine.swap(version, until_s)
        for attempt in restarted:
            engine.add(attempt)

    def crashed(self, lost: list[VirtualAttempt], now_s: float) -> None:
        """Start the lost attempts again on other engines."""
        for attempt in lost:
            attempt.start_again()
        self._homeless.extend(lost)


class Clairvoyant(Scheduler):
    """List scheduling with known lengths, longest first; no swap and no crash ever hits it."""

    has_faults = False

    def __init__(self, workload: Workload, engines: list[VirtualEngine]) -> None:
        self._workload = workload
        self._engines = engines
        self._steps: dict[str, _Step] = {}

    def declare(self, step_id: str, now_s: float) -> None:
        """Order the step's samples by their lengths."""
        step = _Step(step_id, _attempts(self._workload, step_id, now_s))
        step.waiting = sorted(step.attempts, key=lambda attempt: attempt.length)
        self._steps[step_id] = step

    def publish(self, version: int, now_s: float) -> None:
        """Nothing."""

    def ended(self, attempts: list[VirtualAttempt], now_s: float) -> None:
        """Keep what is finished."""
        for attempt in attempts:
            self._steps[attempt.step_id].finished.append(attempt)

    def go_round(self, now_s: float) -> None:
        """Fill every free place, the earlier step first."""
        for step in self._steps.values():
            while step.waiting:
                engine = least_loaded(self._engines, None)
                if engine is None or engine.load >= engine.maximum_batch:
                    return
                engine.add(step.waiting.pop())

    def pull(self, step_id: str, taken: int, now_s: float) -> list[HandedOver]:
        """What is finished."""
        return [_handed_over(attempt) for attempt in self._steps[step_id].finished[taken:]]

    def swap(self, engine: VirtualEngine, version: int, until_s: float) -> None:
        """Never called."""

    def crashed(self, lost: list[VirtualAttempt], now_s: float) -> None:
        """Never called."""
