"""Trainer idle time and staleness: bellweir, the baseline and the clairvoyant bound in one run.

Virtual time, on the batch model of the kit's engine stand-in; see `tail_model`. Run with
`python -m bench.samples_tail --help`.
"""

import argparse
import json
import statistics
import time
from collections.abc import Sequence
from dataclasses import asdict, replace
from pathlib import Path

from bellweir.samples.staleness import StalenessBound
from bench.tail_model.bellweir_scheduler import Bellweir
from bench.tail_model.engines import VirtualEngine
from bench.tail_model.run import Measurement, Run, Scheduler
from bench.tail_model.simple import Baseline, Clairvoyant
from bench.tail_model.workload import Workload

NO_BOUND = StalenessBound()


def make_engines(workload: Workload) -> list[VirtualEngine]:
    """Engines that hold version 1."""
    return [
        VirtualEngine(f"engine-{number}", workload.maximum_batch, 1)
        for number in range(workload.engines)
    ]


def measure(workload: Workload, name: str, bound: StalenessBound) -> Measurement:
    """Measure one scheduler."""
    engines = make_engines(workload)
    schedulers: dict[str, Scheduler] = {
        "baseline": Baseline(workload, engines),
        "bound": Clairvoyant(workload, engines),
        "bellweir": Bellweir(workload, engines, bound),
    }
    return Run(workload, engines).measure(name, schedulers[name], bound)


def percentile(values: Sequence[float], share: float) -> float:
    """Value below which a share of the values lies; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def row(label: str, result: Measurement) -> dict[str, object]:
    """Figures of one run."""
    return {
        "scheduler": label,
        "idle_share": round(result.idle_share, 4),
        "steps": result.steps,
        "versions_p50": percentile(result.staleness_versions, 0.5),
        "versions_p99": percentile(result.staleness_versions, 0.99),
        "versions_worst": max(result.staleness_versions, default=0),
        "seconds_p50": round(percentile(result.staleness_s, 0.5), 1),
        "seconds_p99": round(percentile(result.staleness_s, 0.99), 1),
        "seconds_worst": round(max(result.staleness_s, default=0.0), 1),
        "mean_versions": round(statistics.fmean(result.staleness_versions or [0]), 3),
        "over_bound": result.over_bound,
        "lost_slots": result.lost_slots,
        "doubled_slots": result.doubled_slots,
    }


def run_all(
    workload: Workload, bounds: Sequence[tuple[str, StalenessBound]]
) -> list[dict[str, object]]:
    """The baseline, the bound, and bellweir with each staleness bound."""
    reference = measure(workload, "baseline", NO_BOUND)
    best = measure(workload, "bound", NO_BOUND)
    rows = [row("baseline", reference), row("clairvoyant bound", best)]
    above_reference = max(reference.idle_share - best.idle_share, 1e-9)
    for label, bound in bounds:
        began_s = time.monotonic()
        result = measure(workload, "bellweir", bound)
        found = row(f"bellweir, {label}", result)
        share = (result.idle_share - best.idle_share) / above_reference
        found["share_of_baseline_above_bound"] = round(share, 3)
        found["wall_s"] = round(time.monotonic() - began_s, 1)
        rows.append(found)
    return rows


def print_table(rows: Sequence[dict[str, object]]) -> None:
    """Write the rows for reading."""
    for found in rows:
        print("  ".join(f"{key}={value}" for key, value in found.items()))


def main() -> None:
    """Run and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bounds", type=int, nargs="*", default=[0, 1, 2])
    parser.add_argument("--bounds-s", type=float, nargs="*", default=[15, 30, 60, 90])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--duration-s", type=float, default=1_200.0)
    parser.add_argument("--prompt-share", type=float, default=0.5)
    parser.add_argument("--train-s", type=float, default=75.0)
    parser.add_argument("--json", type=Path)
    chosen = parser.parse_args()
    bounds = [(f"{found} versions", StalenessBound(versions=found)) for found in chosen.bounds]
    bounds += [(f"{found:g} s", StalenessBound(seconds=found)) for found in chosen.bounds_s]
    results = []
    for seed in chosen.seeds:
        workload = replace(
            Workload(),
            seed=seed,
            duration_s=chosen.duration_s,
            prompt_share=chosen.prompt_share,
            train_s=chosen.train_s,
        )
        rows = run_all(workload, bounds)
        print(f"seed {seed}")
        print_table(rows)
        results.append({"workload": asdict(workload), "rows": rows})
    if chosen.json is not None:
        chosen.json.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
