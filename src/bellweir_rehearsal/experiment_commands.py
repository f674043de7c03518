"""The commands `bellweir rehearse run` and `bellweir rehearse compare`."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from rich.console import Console
from rich.table import Table

from bellweir.cli.exit_codes import INVALID, NOT_FOUND, PROMISE_BROKEN
from bellweir_rehearsal.console import progress_on
from bellweir_rehearsal.experiments.comparison import Difference, compare_runs
from bellweir_rehearsal.experiments.file import Experiment, load_experiment
from bellweir_rehearsal.experiments.results import ExperimentResults, read_results
from bellweir_rehearsal.experiments.runner import run_experiment
from bellweir_rehearsal.result import RunResult
from bellweir_rehearsal.topology.deployment import DeploymentError


@cappa.command(
    name="run",
    help="Run an experiment file and write a folder with results and a report.",
    description="Example: bellweir rehearse run experiments/strategies.toml",
)
@dataclass
class RunCommand:
    """Run an experiment."""

    file: Annotated[Path, cappa.Arg(help="Experiment file (TOML).")]
    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="Where to write; results/NAME by default.")
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print the results as JSON.")] = False

    def __call__(self) -> None:
        """Run it; the exit code is 5 when a promise broke."""
        console = Console(stderr=self.json)
        experiment = _load_or_exit(self.file)
        folder = self.folder or Path("results") / experiment.name
        with progress_on(console, experiment.name) as bar:
            results = run_experiment(experiment, folder, bar.entitle)
        # Imported late: drawing is needed by no other command.
        from bellweir_rehearsal.experiments.report import write_report

        report = write_report(results, folder)
        if self.json:
            print(msgspec.json.encode(results).decode())
        console.print(f"report: {report}")
        if results.broken:
            raise cappa.Exit(code=PROMISE_BROKEN)


@cappa.command(
    name="compare",
    help="Put two results side by side with 95% confidence intervals.",
    description="A result is an experiment's folder, or FOLDER:VARIANT for one of its variants.",
)
@dataclass
class CompareCommand:
    """Compare two results."""

    first: Annotated[str, cappa.Arg(help="FOLDER or FOLDER:VARIANT.")]
    second: Annotated[str, cappa.Arg(help="FOLDER or FOLDER:VARIANT.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print the differences as JSON.")] = False

    def __call__(self) -> None:
        """Compare them."""
        differences = compare_runs(_runs_or_exit(self.first), _runs_or_exit(self.second))
        if self.json:
            print(msgspec.json.encode(differences).decode())
        else:
            Console().print(_table(self.first, self.second, differences))


def _load_or_exit(file: Path) -> Experiment:
    try:
        return load_experiment(file)
    except DeploymentError as failure:
        raise cappa.Exit(str(failure), code=INVALID) from failure


def _runs_or_exit(name: str) -> Sequence[RunResult]:
    folder, _, variant = name.partition(":")
    try:
        results = read_results(Path(folder))
    except (OSError, msgspec.MsgspecError) as failure:
        raise cappa.Exit(f"{folder}: no results: {failure}", code=NOT_FOUND) from failure
    return _runs_of(results, variant)


def _runs_of(results: ExperimentResults, variant: str) -> Sequence[RunResult]:
    if not variant:
        return [run for entry in results.variants for run in entry.runs]
    for entry in results.variants:
        if entry.name == variant:
            return entry.runs
    known = ", ".join(entry.name for entry in results.variants)
    raise cappa.Exit(f"no variant {variant!r}; there are {known}", code=NOT_FOUND)


def _table(first: str, second: str, differences: Sequence[Difference]) -> Table:
    table = Table(
        title=f"A: {first}\nB: {second}",
        caption="Bold: the interval of the difference leaves zero out.",
    )
    table.add_column("measure")
    for name in ("A", "B", "B less A", "95% interval", "unit"):
        table.add_column(name, justify="right", overflow="fold")
    for entry in differences:
        interval = "needs two runs a side"
        if entry.low is not None and entry.high is not None:
            interval = f"{entry.low:+.3g} to {entry.high:+.3g}"
        table.add_row(
            entry.measure,
            f"{entry.mean_a:.4g}",
            f"{entry.mean_b:.4g}",
            f"{entry.difference:+.3g}",
            interval,
            entry.unit,
            style="bold" if entry.distinct else "",
        )
    return table
