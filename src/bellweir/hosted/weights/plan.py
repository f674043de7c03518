"""Plans which worker loads which weight version, with as few weight loads as possible.

If jobs accept the version before the newest, each worker needs to load only every second version.
Workers of several models are divided among the models, so each version is loaded by a part of the
workers. Enough workers always hold a version that the newest jobs accept.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import Worker

MIN_WORKERS_PER_MODEL = 2
"""One of them may fail or be loading."""


@dataclass(frozen=True)
class ModelTarget:
    """Desired state of one model."""

    model: str
    newest_version: int
    """Newest version that the trainer has published."""
    lag: int
    """Number of versions behind the newest one that the newest job accepts."""

    @property
    def oldest_usable(self) -> int:
        """Oldest version that the newest job accepts."""
        return self.newest_version - self.lag


@dataclass(frozen=True)
class PlannedWeightLoad:
    """A load of a model's newest version by one worker."""

    worker: Worker
    model: str
    version: int
    is_urgent: bool
    """Whether the worker's version is too old for the newest jobs."""
    coverage: float
    """Fraction of the model's target workers that already fit when this load starts."""


HeldVersions = Mapping[tuple[Incarnation, str], int]
"""Version by incarnation and model."""


def plan_weight_loads(
    targets: Sequence[ModelTarget], workers: Sequence[Worker], held: HeldVersions
) -> list[PlannedWeightLoad]:
    """Return the required loads, the most urgent ones first.

    Loads of equal urgency are ordered by their model's coverage, lowest first, so that concurrent
    loads are shared fairly among models.
    """
    assigned: dict[Incarnation, int] = {}
    loads: list[PlannedWeightLoad] = []
    for target in sorted(targets, key=lambda each: each.model):
        chosen = _choose_workers(target, workers, held, assigned, len(targets))
        for worker in chosen:
            assigned[worker.incarnation] = assigned.get(worker.incarnation, 0) + 1
        loads += _loads_for(target, chosen, held)
    return sorted(loads, key=lambda load: (not load.is_urgent, load.coverage))


def target_worker_count(worker_count: int, model_count: int, lag: int) -> int:
    """Return how many of `worker_count` workers hold one of `model_count` models."""
    share = (1 + lag) * worker_count // max(1, model_count)
    return min(worker_count, max(MIN_WORKERS_PER_MODEL, share))


def _choose_workers(
    target: ModelTarget,
    workers: Sequence[Worker],
    held: HeldVersions,
    assigned: Mapping[Incarnation, int],
    model_count: int,
) -> list[Worker]:
    """Choose the model's workers, those that already hold a recent version first."""
    wanted = target_worker_count(len(workers), model_count, target.lag)

    def rank(worker: Worker) -> tuple[bool, int, int]:
        version = held.get((worker.incarnation, target.model), 0)
        is_recent = version > 1 and version >= target.oldest_usable - 1
        key = f"{target.model}/{worker.instance}".encode()
        return not is_recent, assigned.get(worker.incarnation, 0), xxhash.xxh3_64_intdigest(key)

    return sorted(workers, key=rank)[:wanted]


def _loads_for(
    target: ModelTarget, chosen: Sequence[Worker], held: HeldVersions
) -> list[PlannedWeightLoad]:
    def version_at(worker: Worker) -> int:
        return held.get((worker.incarnation, target.model), 0)

    behind = sorted(
        (one for one in chosen if version_at(one) < target.newest_version), key=version_at
    )
    newest = len(chosen) - len(behind)
    fitting = sum(version_at(one) >= target.oldest_usable for one in chosen)
    enough = math.ceil(len(chosen) / (1 + target.lag))
    loads: list[PlannedWeightLoad] = []
    for worker in behind:
        is_urgent = version_at(worker) < target.oldest_usable
        if is_urgent or newest < enough:
            coverage = fitting / len(chosen) if is_urgent else newest / enough
            loads.append(
                PlannedWeightLoad(worker, target.model, target.newest_version, is_urgent, coverage)
            )
            newest += 1
            fitting += is_urgent
    return loads
