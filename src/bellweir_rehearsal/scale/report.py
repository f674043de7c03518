"""Prints the figures of scale runs."""

from collections.abc import Callable, Sequence

from rich.console import Console
from rich.table import Table

from bellweir_rehearsal.scale.measures import FalseAlarms, PauseResult, ScaleResult, Spread

MIB = 1024 * 1024

Row = tuple[str, Callable[[ScaleResult], str]]


def _spread(value: Spread | None) -> str:
    if value is None:
        return "-"
    return f"{value.p50_s:.2f} / {value.p99_s:.2f} / {value.worst_s:.2f}"


def _alarms(value: FalseAlarms | None) -> str:
    if value is None:
        return "-"
    return f"{value.members_suspected} / {value.members_declared_dead} in {value.window_s:.0f} s"


def _pause(value: PauseResult | None) -> str:
    if value is None:
        return "-"
    dead = f"{value.paused_declared_dead} / {value.others_declared_dead}"
    return f"{dead}, whole after {value.whole_after_s:.1f} s"


def _real(result: ScaleResult) -> str:
    costs = [f"{c.cpu_percent_of_core:.2f} %, {c.resident_bytes / MIB:.0f}" for c in result.real]
    return "; ".join(costs) or "-"


def _number(value: float | None, unit: str) -> str:
    return "-" if value is None else f"{value:.1f} {unit}"


ROWS: tuple[Row, ...] = (
    ("CPU, % of a core", lambda r: f"{r.cost.cpu_percent_of_core:.2f}" if r.cost else "-"),
    ("resident, MiB", lambda r: f"{r.cost.resident_bytes / MIB:.0f}" if r.cost else "-"),
    ("whole nodes: CPU, resident MiB", _real),
    ("bytes/s", lambda r: f"{r.cost.bytes_per_s:.0f}" if r.cost else "-"),
    (
        "bytes/s with headers",
        lambda r: f"{r.cost.bytes_with_headers_per_s:.0f}" if r.cost else "-",
    ),
    ("datagrams/s", lambda r: f"{r.cost.datagrams_per_s:.1f}" if r.cost else "-"),
    ("frames/s", lambda r: f"{r.cost.frames_per_s:.1f}" if r.cost else "-"),
    ("all joined after", lambda r: _number(r.joined_after_s, "s")),
    ("configuration loaded after", lambda r: _number(r.loaded_after_s, "s")),
    ("change in force, s: p50 / p99 / worst", lambda r: _spread(r.change_in_force)),
    ("death noticed, s: p50 / p99 / worst", lambda r: _spread(r.death_noticed)),
    ("leave noticed, s: p50 / p99 / worst", lambda r: _spread(r.leave_noticed)),
    ("steady: falsely suspected / dead", lambda r: _alarms(r.steady)),
    ("under loss: falsely suspected / dead", lambda r: _alarms(r.under_loss)),
    ("short pause: paused / others dead", lambda r: _pause(r.short_pause)),
    ("long pause: paused / others dead", lambda r: _pause(r.long_pause)),
    ("split seen after", lambda r: _number(r.split.parted_after_s if r.split else None, "s")),
    ("merged after", lambda r: _number(r.split.merged_after_s if r.split else None, "s")),
    ("a zone's loss noticed, s: p50 / p99 / worst", lambda r: _spread(r.zone_lost)),
    ("steps that failed", lambda r: ", ".join(r.failures) or "none"),
)


def print_table(results: Sequence[ScaleResult]) -> None:
    """Print one column for each run."""
    table = Table(title="Scale run: per node")
    table.add_column("")
    for result in results:
        table.add_column(f"{result.nodes} nodes, {result.workers} workers", justify="right")
    for title, cell in ROWS:
        table.add_row(title, *(cell(result) for result in results))
    Console(width=max(80, 50 + 30 * len(results))).print(table)
