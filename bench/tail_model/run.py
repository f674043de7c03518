"""Runs one scheduler over a workload and measures trainers' idle time and samples' staleness."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from bellweir.samples.staleness import StalenessBound
from bench.tail_model.engines import VirtualAttempt, VirtualEngine
from bench.tail_model.workload import Workload

ROUND_S = 0.2


@dataclass(frozen=True)
class HandedOver:
    """A sample as a trainer got it."""

    step_id: str
    slot: int
    oldest_version: int


class Scheduler(ABC):
    """What is compared."""

    has_faults = True
    """Whether swaps and crashes happen to it; not to the bound."""

    @abstractmethod
    def declare(self, step_id: str, now_s: float) -> None:
        """A trainer declares a step."""

    @abstractmethod
    def publish(self, version: int, now_s: float) -> None:
        """A new version is published."""

    @abstractmethod
    def ended(self, attempts: list[VirtualAttempt], now_s: float) -> None:
        """Attempts that ended since the last round."""

    @abstractmethod
    def go_round(self, now_s: float) -> None:
        """Start and steer attempts."""

    @abstractmethod
    def pull(self, step_id: str, taken: int, now_s: float) -> list[HandedOver]:
        """Samples behind those taken so far."""

    @abstractmethod
    def swap(self, engine: VirtualEngine, version: int, until_s: float) -> None:
        """An engine loads another version."""

    @abstractmethod
    def crashed(self, lost: list[VirtualAttempt], now_s: float) -> None:
        """An engine crashed and lost its attempts."""


@dataclass
class VirtualTrainer:
    """Takes a step whole, trains on it, and declares the next one before it trains."""

    name: str
    train_s: float
    slots: int
    number: int = 0
    taken: int = 0
    ready_at_s: float = 0.0
    training_until_s: float = 0.0
    idle_s: float = 0.0
    completed: int = 0

    @property
    def step_id(self) -> str:
        """The step it now takes."""
        return f"{self.name}-step-{self.number}"


@dataclass
class Measurement:
    """Result of one run."""

    name: str
    idle_share: float
    steps: int
    staleness_versions: list[int] = field(default_factory=list)
    staleness_s: list[float] = field(default_factory=list)
    lost_slots: int = 0
    doubled_slots: int = 0
    over_bound: int = 0
    generated_tokens: int = 0
    delivered_tokens: int = 0


class Run:
    """One scheduler, its engines and its trainers."""

    def __init__(self, workload: Workload, engines: list[VirtualEngine]) -> None:
        self.workload = workload
        self.engines = engines
        self.trainers = [
            VirtualTrainer(f"trainer-{number}", workload.train_s, workload.slots)
            for number in range(workload.trainers)
        ]
        self._published = {1: 0.0}
        self._received: dict[str, list[int]] = {}
        self._versions: list[int] = []
        self._seconds: list[float] = []
        self._swaps = workload.swaps()
        self._crashes = workload.crashes()

    def measure(self, name: str, scheduler: Scheduler, bound: StalenessBound) -> Measurement:
        """Run to the end."""
        now_s = 0.0
        for trainer in self.trainers:
            scheduler.declare(trainer.step_id, now_s)
        while now_s < self.workload.duration_s:
            now_s += ROUND_S
            self._happen(scheduler, now_s)
            ended = [found for engine in self.engines for found in engine.advance(now_s)]
            scheduler.ended(ended, now_s)
            scheduler.go_round(now_s)
            for trainer in self.trainers:
                self._train(trainer, scheduler, now_s)
        return self._result(name, bound, now_s)

    def _happen(self, scheduler: Scheduler, now_s: float) -> None:
        due = int(now_s / self.workload.publish_every_s) + 1
        if due > max(self._published):
            self._published[due] = now_s
            scheduler.publish(due, now_s)
        while scheduler.has_faults and self._swaps and self._swaps[0][0] <= now_s:
            at_s, number, version = self._swaps.pop(0)
            scheduler.swap(self.engines[number], version, at_s + self.workload.swap_s)
        while scheduler.has_faults and self._crashes and self._crashes[0][0] <= now_s:
            at_s, number = self._crashes.pop(0)
            lost = self.engines[number].crash(at_s + self.workload.down_s)
            scheduler.crashed(lost, now_s)
        if not scheduler.has_faults:
            for engine in self.engines:
                engine.version = max(self._published)

    def _train(self, trainer: VirtualTrainer, scheduler: Scheduler, now_s: float) -> None:
        if now_s < trainer.training_until_s:
            return
        if trainer.training_until_s > trainer.ready_at_s:
            trainer.ready_at_s = trainer.training_until_s
        for sample in scheduler.pull(trainer.step_id, trainer.taken, now_s):
            trainer.taken += 1
            self._received.setdefault(sample.step_id, []).append(sample.slot)
            newer = [
                at for version, at in self._published.items() if version > sample.oldest_version
            ]
            self._versions.append(max(self._published) - sample.oldest_version)
            self._seconds.append(now_s - min(newer) if newer else 0.0)
        if trainer.taken == trainer.slots:
            trainer.idle_s += now_s - trainer.ready_at_s
            trainer.completed += 1
            trainer.number += 1
            trainer.taken = 0
            trainer.training_until_s = now_s + trainer.train_s
            scheduler.declare(trainer.step_id, now_s)

    def _result(self, name: str, bound: StalenessBound, now_s: float) -> Measurement:
        for trainer in self.trainers:
            if now_s >= trainer.training_until_s:
                waiting_since_s = max(trainer.ready_at_s, trainer.training_until_s)
                trainer.idle_s += now_s - waiting_since_s
        idle_s = sum(trainer.idle_s for trainer in self.trainers)
        slots = set(range(self.workload.slots))
        current = {trainer.step_id for trainer in self.trainers}
        doubled = sum(len(got) - len(set(got)) for got in self._received.values())
        lost = sum(
            len(slots - set(got)) for step, got in self._received.items() if step not in current
        )
        over = sum(
            (bound.versions is not None and versions > bound.versions)
            or (bound.seconds is not None and seconds > bound.seconds)
            for versions, seconds in zip(self._versions, self._seconds, strict=True)
        )
        return Measurement(
            name=name,
            idle_share=idle_s / (now_s * len(self.trainers)),
            steps=sum(trainer.completed for trainer in self.trainers),
            staleness_versions=self._versions,
            staleness_s=self._seconds,
            lost_slots=lost,
            doubled_slots=doubled,
            over_bound=over,
        )
