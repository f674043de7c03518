"""Results of a run, as typed values that are written as JSON."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bellweir_rehearsal.load.statistics import ClassSummary
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Breach, Ruling, Verdict
from bellweir_rehearsal.spread import spread_times


@dataclass(frozen=True)
class PromiseResult:
    """What the checker found about one promise."""

    promise: str
    text: str
    ruling: Ruling
    checked: dict[str, int]
    breaches: tuple[Breach, ...]


@dataclass(frozen=True)
class TrainerSummary:
    """What trainers measured."""

    steps_complete: int
    steps_abandoned: int
    samples: int
    samples_by_version: dict[str, int]
    """Samples by their oldest weight version."""
    idle_s: tuple[float, ...]
    """Time a trainer waited for each step's samples."""
    idle_share: float
    """Idle time over all time in which trainers had steps."""
    staleness_versions: tuple[int, ...]
    """For each sample at its arrival: newest published version less its oldest one."""


@dataclass(frozen=True)
class ConfigurationSummary:
    """How fast configurations spread."""

    writes: int
    spread_s: tuple[float, ...]
    """For each accepted write: time until every observed node that works had it in force, as
    seen by polling four times a second; writes whose spread a node's fault hides are left out."""


@dataclass(frozen=True)
class FaultMark:
    """A fault on the time axis, in seconds from the start of the records."""

    kind: str
    targets: tuple[str, ...]
    began_s: float
    ended_s: float | None
    planned: bool
    problem: str


@dataclass(frozen=True)
class VersionPoint:
    """The oldest version of a sample that arrived, and the newest published then."""

    at_s: float
    oldest: int
    newest: int


@dataclass(frozen=True)
class RunResult:
    """All that a run has shown."""

    deployment: str
    seed: int
    duration_s: float
    promises: tuple[PromiseResult, ...]
    classes: tuple[ClassSummary, ...]
    trainers: TrainerSummary
    configuration: ConfigurationSummary
    faults: tuple[FaultMark, ...]
    versions: tuple[VersionPoint, ...]

    @property
    def held(self) -> bool:
        """Whether every promise was checked and held."""
        return all(entry.ruling is Ruling.HELD for entry in self.promises)

    @property
    def broken(self) -> tuple[PromiseResult, ...]:
        """Promises that were broken."""
        return tuple(entry for entry in self.promises if entry.ruling is Ruling.BROKEN)


def write_result(result: RunResult, path: Path) -> None:
    """Write a result as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))


def summarize(
    plan: RunPlan,
    evidence: Evidence,
    verdicts: Sequence[Verdict],
    classes: tuple[ClassSummary, ...],
) -> RunResult:
    """Work out the result of a run."""
    began_s = evidence.records[0].time_s if evidence.records else 0.0
    points = _version_points(evidence, began_s)
    return RunResult(
        deployment=plan.deployment.name,
        seed=plan.seed,
        duration_s=plan.duration_s,
        promises=tuple(_promise_result(verdict) for verdict in verdicts),
        classes=classes,
        trainers=_trainer_summary(evidence, points),
        configuration=ConfigurationSummary(len(evidence.writes), spread_times(evidence)),
        faults=tuple(_fault_marks(evidence, began_s)),
        versions=tuple(points),
    )


def _promise_result(verdict: Verdict) -> PromiseResult:
    return PromiseResult(
        verdict.promise.name,
        verdict.promise.value,
        verdict.ruling,
        verdict.checked,
        tuple(verdict.breaches),
    )


def _trainer_summary(evidence: Evidence, points: Sequence[VersionPoint]) -> TrainerSummary:
    states = Counter(ended.state for ended in evidence.steps_ended.values())
    first = {sample.sample_id: sample for sample in reversed(evidence.samples)}
    by_version = Counter(
        str(min(entry.weight_version for entry in sample.versions))
        for sample in first.values()
        if sample.versions
    )
    idle = tuple(entry.idle_s for entry in evidence.idle_times)
    return TrainerSummary(
        steps_complete=states["complete"],
        steps_abandoned=states["abandoned"],
        samples=len(first),
        samples_by_version=dict(sorted(by_version.items())),
        idle_s=idle,
        idle_share=_idle_share(evidence),
        staleness_versions=tuple(point.newest - point.oldest for point in points),
    )


def _idle_share(evidence: Evidence) -> float:
    """Idle time over the time from each trainer's first declaration to its last step's end."""
    busy_s = 0.0
    trainers = {step.trainer for step in evidence.steps_declared.values()}
    for trainer in trainers:
        steps = [step for step in evidence.steps_declared.values() if step.trainer == trainer]
        ends = [
            evidence.steps_ended[step.step_id].time_s
            for step in steps
            if step.step_id in evidence.steps_ended
        ]
        if ends:
            busy_s += max(ends) - min(step.sent_s for step in steps)
    idle_s = sum(entry.idle_s for entry in evidence.idle_times)
    return min(1.0, idle_s / busy_s) if busy_s > 0 else 0.0


def _version_points(evidence: Evidence, began_s: float) -> list[VersionPoint]:
    published = [write for write in evidence.writes if write.published_version is not None]
    seen: set[str] = set()
    points: list[VersionPoint] = []
    for sample in evidence.samples:
        step = evidence.steps_declared.get(sample.step_id)
        if sample.sample_id in seen or not sample.versions or step is None:
            continue
        seen.add(sample.sample_id)
        oldest = min(entry.weight_version for entry in sample.versions)
        newest = max(
            (
                write.published_version or 0
                for write in published
                if write.published_policy == step.policy and write.time_s <= sample.time_s
            ),
            default=oldest,
        )
        points.append(VersionPoint(sample.time_s - began_s, oldest, max(newest, oldest)))
    return points


def _fault_marks(evidence: Evidence, began_s: float) -> list[FaultMark]:
    marks: list[FaultMark] = []
    for fault in evidence.faults_began:
        end = evidence.faults_ended.get(fault.fault_id)
        marks.append(
            FaultMark(
                fault.kind,
                fault.targets,
                fault.time_s - began_s,
                end.time_s - began_s if end is not None else None,
                fault.planned,
                end.detail if end is not None else "not ended",
            )
        )
    return marks
