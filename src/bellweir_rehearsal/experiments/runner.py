"""Runs the variants of an experiment interleaved: all of them once, then all of them again."""

from collections.abc import Callable
from pathlib import Path

from bellweir_rehearsal.breach_report import write_breaches
from bellweir_rehearsal.experiments.file import Experiment
from bellweir_rehearsal.experiments.results import (
    ExperimentResults,
    VariantResults,
    write_results,
)
from bellweir_rehearsal.rehearsal import Progress, Rehearsal
from bellweir_rehearsal.result import RunResult, write_result
from bellweir_rehearsal.topology.layout import RunFolder

ProgressOf = Callable[[str], Progress]
"""Makes a listener for the run of that title."""


def run_experiment(
    experiment: Experiment, folder: Path, progress_of: ProgressOf
) -> ExperimentResults:
    """Run everything and write results into `folder`.

    Raises the failures of `Rehearsal.start` when a deployment does not come into service.
    """
    runs: dict[str, list[RunResult]] = {variant.name: [] for variant in experiment.variants}
    for repetition in range(1, experiment.repetitions + 1):
        for variant in experiment.variants:
            title = f"{variant.name}, run {repetition} of {experiment.repetitions}"
            run_folder = RunFolder(folder / variant.name / str(repetition))
            plan = experiment.plan(variant, repetition)
            with Rehearsal(plan, run_folder, progress_of(title)) as rehearsal:
                rehearsal.start()
                rehearsal.run()
                result = rehearsal.finish()
            write_result(result, run_folder.root / "result.json")
            write_breaches(result, run_folder)
            runs[variant.name].append(result)
    results = ExperimentResults(
        experiment.name,
        experiment.deployment,
        experiment.duration_s,
        experiment.seed,
        tuple(VariantResults(name, tuple(entries)) for name, entries in runs.items()),
    )
    write_results(results, folder)
    return results
