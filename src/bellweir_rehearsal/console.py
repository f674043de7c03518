"""What a person sees on the terminal: progress, and a short report."""

from collections.abc import Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table
from rich.text import Text

from bellweir_rehearsal.promises.verdict import Ruling
from bellweir_rehearsal.result import RunResult

RULING_STYLES = {
    Ruling.HELD: "bold green",
    Ruling.BROKEN: "bold red",
    Ruling.NOTHING_CHECKED: "bold yellow",
}
SHOWN_BREACHES = 3


class RunProgress:
    """A bar that a run reports to."""

    def __init__(self, bar: Progress, title: str) -> None:
        self._bar = bar
        self._task = bar.add_task(title, total=1.0, now="")

    def __call__(self, text: str, share: float) -> None:
        """Show what the run does now."""
        self._bar.update(self._task, completed=share, now=text)

    def entitle(self, title: str) -> "RunProgress":
        """Show another title from now on; returns itself."""
        self._bar.update(self._task, description=title, completed=0.0)
        return self

    def stop(self) -> None:
        """Take the bar away for good."""
        self._bar.stop()


@contextmanager
def progress_on(console: Console, title: str) -> Iterator[RunProgress]:
    """Show a bar while the block runs."""
    columns = (
        TextColumn("[bold]{task.description}"),
        BarColumn(),
        TextColumn("{task.fields[now]}"),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console, transient=True) as bar:
        yield RunProgress(bar, title)


def print_result(console: Console, result: RunResult) -> None:
    """Print the short report of a run."""
    console.print(_requests_table(result))
    console.print(_trainers_table(result))
    if result.faults:
        console.print(_faults_table(result))
    console.print(_promises_table(result))


def _requests_table(result: RunResult) -> Table:
    table = Table(title="Requests by outcome")
    columns = ("class", "due", "answered", "refused", "cut", "not sent", "p50 ms", "p99 ms")
    for number, name in enumerate(columns):
        table.add_column(name, justify="left" if number == 0 else "right", overflow="fold")
    for entry in result.classes:
        counts = entry.outcomes
        latency = entry.latency
        table.add_row(
            entry.name,
            str(entry.requested),
            str(counts.get("answered", 0)),
            _refusals(entry.refusals),
            str(counts.get("cut", 0)),
            str(counts.get("not_connected", 0)),
            f"{latency.percentiles_ms['p50']:.1f}",
            f"{latency.percentiles_ms['p99']:.1f}",
        )
    return table


def _refusals(by_reason: dict[str, int]) -> str:
    if not by_reason:
        return "0"
    reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(by_reason.items()))
    return f"{sum(by_reason.values())} ({reasons})"


def _trainers_table(result: RunResult) -> Table:
    trainers = result.trainers
    table = Table(title="Training and configuration", show_header=False)
    table.add_column("measure")
    table.add_column("value", justify="right")
    versions = ", ".join(f"v{key}: {count}" for key, count in trainers.samples_by_version.items())
    table.add_row("steps complete", str(trainers.steps_complete))
    table.add_row("steps abandoned", str(trainers.steps_abandoned))
    table.add_row("samples by oldest version", versions or "none")
    table.add_row("trainer idle time", f"{sum(trainers.idle_s):.2f} s ({trainers.idle_share:.0%})")
    spread = sorted(result.configuration.spread_s)
    if spread:
        middle = spread[len(spread) // 2]
        table.add_row(
            "configuration in force everywhere", f"p50 {middle:.2f} s, worst {spread[-1]:.2f} s"
        )
    if trainers.staleness_versions:
        stale = trainers.staleness_versions
        mean = sum(stale) / len(stale)
        table.add_row("staleness, versions", f"mean {mean:.2f}, worst {max(stale)}")
    return table


def _faults_table(result: RunResult) -> Table:
    table = Table(title="Faults and planned acts")
    for name in ("at s", "kind", "target", "lasted s", "note"):
        table.add_column(name, justify="right" if name.endswith(" s") else "left")
    for mark in result.faults:
        lasted = f"{mark.ended_s - mark.began_s:.1f}" if mark.ended_s is not None else ""
        table.add_row(
            f"{mark.began_s:.1f}", mark.kind, ", ".join(mark.targets), lasted, mark.problem
        )
    return table


def _promises_table(result: RunResult) -> Table:
    table = Table(title="Promises")
    table.add_column("promise", ratio=3)
    table.add_column("verdict")
    table.add_column("checked", ratio=3)
    for entry in result.promises:
        counts = ", ".join(f"{count} {what}" for what, count in entry.checked.items())
        table.add_row(entry.text, Text(entry.ruling.value, RULING_STYLES[entry.ruling]), counts)
        for breach in entry.breaches[:SHOWN_BREACHES]:
            table.add_row("", Text(breach.subject[:40], "red"), Text(breach.detail[:300], "red"))
        if len(entry.breaches) > SHOWN_BREACHES:
            table.add_row("", "", f"and {len(entry.breaches) - SHOWN_BREACHES} more")
    return table
