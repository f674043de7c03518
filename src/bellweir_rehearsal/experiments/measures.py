"""The figures of a run that experiments compare."""

from dataclasses import dataclass

from bellweir_rehearsal.result import RunResult


@dataclass(frozen=True)
class Measure:
    """One figure with its unit; for all of them, less is better unless it says otherwise."""

    name: str
    unit: str
    value: float


def measures_of(run: RunResult) -> list[Measure]:
    """All figures of a run, in a fixed order."""
    found: list[Measure] = []
    for entry in run.classes:
        percentiles = entry.latency.percentiles_ms
        found.append(Measure(f"{entry.name}: latency p50", "ms", percentiles["p50"]))
        found.append(Measure(f"{entry.name}: latency p99", "ms", percentiles["p99"]))
        answered = entry.outcomes.get("answered", 0)
        share = 1 - answered / entry.requested if entry.requested else 0.0
        found.append(Measure(f"{entry.name}: not answered", "share", share))
    trainers = run.trainers
    found.append(Measure("trainer idle time", "share", trainers.idle_share))
    steps = len(trainers.idle_s)
    found.append(
        Measure("trainer idle time a step", "s", sum(trainers.idle_s) / steps if steps else 0.0)
    )
    staleness = trainers.staleness_versions
    mean = sum(staleness) / len(staleness) if staleness else 0.0
    found.append(Measure("staleness, mean", "versions", mean))
    found.append(Measure("staleness, worst", "versions", float(max(staleness, default=0))))
    spread = sorted(run.configuration.spread_s) or [0.0]
    found.append(Measure("configuration in force everywhere, p50", "s", spread[len(spread) // 2]))
    found.append(Measure("configuration in force everywhere, worst", "s", spread[-1]))
    found.append(
        Measure("breaches of promises", "count", sum(len(entry.breaches) for entry in run.promises))
    )
    return found
