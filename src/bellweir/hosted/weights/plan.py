"""Which workers hold which version of a model: few loads, and always enough workers that fit.

A trainer that takes samples of the version before the newest, too, needs each worker to load
only every second version. Workers that serve several models need not hold all of them: each
model gets a part of the workers, so that the loads for a version stay near the workers' share
for one trainer.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import Worker

FEWEST_WORKERS = 2
"""Workers for a model, where there are as many: one of them may be lost or load."""


@dataclass(frozen=True)
class ModelTarget:
    """What is wanted of one model."""

    model: str
    named: int
    """Newest version that the trainer has named."""
    lag: int
    """Versions that the trainer's newest job allowed behind the newest one of its time."""

    @property
    def oldest_useful(self) -> int:
        """Oldest version that a job for the newest version may use."""
        return self.named - self.lag


@dataclass(frozen=True)
class PlannedLoad:
    """A worker that should load a model's newest version."""

    worker: Worker
    model: str
    version: int
    is_urgent: bool
    """Whether the worker is of no use for the newest jobs until then."""
    covered: float
    """Share of the model's wanted workers that fit already when this load is begun."""


HeldVersions = Mapping[tuple[Incarnation, str], int]
"""Versions by incarnation and model."""


def plan_loads(
    targets: Sequence[ModelTarget], workers: Sequence[Worker], held: HeldVersions
) -> list[PlannedLoad]:
    """Return the loads that are to be made, the most urgent first.

    Among equally urgent ones the model comes first of whose wanted workers the smallest share
    fits, so that where loads are scarce every model gets its part of them, whatever its name.
    """
    assigned: dict[Incarnation, int] = {}
    loads: list[PlannedLoad] = []
    for target in sorted(targets, key=lambda each: each.model):
        chosen = _choose_workers(target, workers, held, assigned, len(targets))
        for worker in chosen:
            assigned[worker.incarnation] = assigned.get(worker.incarnation, 0) + 1
        loads += _loads_for(target, chosen, held)
    return sorted(loads, key=lambda load: (not load.is_urgent, load.covered))


def workers_wanted(worker_count: int, model_count: int, lag: int) -> int:
    """Workers that hold one of `model_count` models."""
    share = (1 + lag) * worker_count // max(1, model_count)
    return min(worker_count, max(FEWEST_WORKERS, share))


def _choose_workers(
    target: ModelTarget,
    workers: Sequence[Worker],
    held: HeldVersions,
    assigned: Mapping[Incarnation, int],
    model_count: int,
) -> list[Worker]:
    """The model's workers: those that hold a version it has lately used stay."""
    wanted = workers_wanted(len(workers), model_count, target.lag)

    def rank(worker: Worker) -> tuple[bool, int, int]:
        version = held.get((worker.incarnation, target.model), 0)
        is_recent = version > 1 and version >= target.oldest_useful - 1
        key = f"{target.model}/{worker.instance}".encode()
        return not is_recent, assigned.get(worker.incarnation, 0), xxhash.xxh3_64_intdigest(key)

    return sorted(workers, key=rank)[:wanted]


def _loads_for(
    target: ModelTarget, chosen: Sequence[Worker], held: HeldVersions
) -> list[PlannedLoad]:
    def version_at(worker: Worker) -> int:
        return held.get((worker.incarnation, target.model), 0)

    behind = sorted((one for one in chosen if version_at(one) < target.named), key=version_at)
    newest = len(chosen) - len(behind)
    fitting = sum(version_at(one) >= target.oldest_useful for one in chosen)
    enough = math.ceil(len(chosen) / (1 + target.lag))
    loads: list[PlannedLoad] = []
    for worker in behind:
        is_urgent = version_at(worker) < target.oldest_useful
        if is_urgent or newest < enough:
            covered = fitting / len(chosen) if is_urgent else newest / enough
            loads.append(PlannedLoad(worker, target.model, target.named, is_urgent, covered))
            newest += 1
            fitting += is_urgent
    return loads
