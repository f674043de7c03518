"""Plots of an experiment as PNG files."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # no display is needed, and none is asked for

import numpy as np
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import LogLocator, MaxNLocator, NullLocator, StrMethodFormatter

from bellweir_rehearsal.experiments.results import ExperimentResults, VariantResults
from bellweir_rehearsal.load.histograms import HIGHEST_US, LOWEST_US, SIGNIFICANT_DIGITS
from bellweir_rehearsal.result import FaultMark, RunResult

DOTS_PER_INCH = 110
PERCENTILE_GRID = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
COLORS = ("#1f5f8b", "#d1495b", "#3c8d5a", "#8a5fa8", "#c98b1b", "#4a4a4a")
PLANNED_COLOR = "#3c8d5a"
FAULT_COLOR = "#d1495b"
MAXIMUM_LABELLED_FAULTS = 25


def draw_plots(results: ExperimentResults, folder: Path) -> list[Path]:
    """Draw all plots that the results have data for; return their files."""
    folder.mkdir(parents=True, exist_ok=True)
    drawn = [_save(_latency_figure(results), folder / "latency.png")]
    if any(run.trainers.idle_s for variant in results.variants for run in variant.runs):
        drawn.append(_save(_training_figure(results), folder / "training.png"))
    for variant in results.variants:
        path = folder / f"versions-{variant.name}.png"
        drawn.append(_save(_versions_figure(variant.runs[0], variant.name), path))
    return drawn


def _save(figure: Figure, path: Path) -> Path:
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path


def _latency_figure(results: ExperimentResults) -> Figure:
    """One panel a class: latency at each percentile, a line a variant."""
    names = [entry.name for entry in results.variants[0].runs[0].classes]
    columns = min(3, max(1, len(names)))
    rows = max(1, -(-len(names) // columns))
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(4.2 * columns, 3.2 * rows), squeeze=False, layout="constrained"
    )
    for panel in axes.flat[len(names) :]:
        panel.set_visible(False)
    for panel, name in zip(axes.flat, names, strict=False):
        _latency_panel(panel, results.variants, name)
    figure.suptitle(f"{results.experiment}: latency from when a request was due")
    if names:
        axes.flat[0].legend(fontsize=8)
    return figure


def _latency_panel(panel: Axes, variants: Sequence[VariantResults], name: str) -> None:
    positions = np.arange(len(PERCENTILE_GRID))
    for variant, color in zip(variants, _colors(len(variants)), strict=True):
        merged = _merged_histogram(variant, name)
        if merged.get_total_count() == 0:
            continue
        values = [merged.get_value_at_percentile(point) / 1000 for point in PERCENTILE_GRID]
        panel.plot(positions, values, marker="o", markersize=3, color=color, label=variant.name)
    panel.set_yscale("log")
    panel.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
    panel.yaxis.set_major_formatter(StrMethodFormatter("{x:g}"))
    panel.yaxis.set_minor_locator(NullLocator())
    panel.tick_params(axis="y", labelsize=7)
    panel.set_xticks(positions, [f"{point:g}" for point in PERCENTILE_GRID], fontsize=7)
    panel.set_xlabel("percentile", fontsize=8)
    panel.set_ylabel("ms", fontsize=8)
    panel.set_title(name, fontsize=9)
    panel.grid(alpha=0.3)


def _merged_histogram(variant: VariantResults, name: str) -> HdrHistogram:
    merged = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for run in variant.runs:
        for entry in run.classes:
            if entry.name == name and entry.latency.count:
                merged.add(HdrHistogram.decode(entry.histogram))
    return merged


def _training_figure(results: ExperimentResults) -> Figure:
    """Idle time of each step, and staleness of the samples, by variant."""
    figure, (idle, stale) = pyplot.subplots(1, 2, figsize=(10, 3.6), layout="constrained")
    names = [variant.name for variant in results.variants]
    colors = _colors(len(names))
    idle_times = [
        [value for run in variant.runs for value in run.trainers.idle_s] or [0.0]
        for variant in results.variants
    ]
    boxes = idle.boxplot(idle_times, tick_labels=names, patch_artist=True)
    for box, color in zip(boxes["boxes"], colors, strict=True):
        box.set(facecolor=color, alpha=0.6)
    idle.set_ylabel("s")
    idle.set_title("Trainer idle time a step")
    idle.grid(alpha=0.3, axis="y")
    _staleness_panel(stale, results.variants, colors)
    return figure


def _staleness_panel(
    panel: Axes, variants: Sequence[VariantResults], colors: Sequence[str]
) -> None:
    width = 0.8 / len(variants)
    worst = 0
    for number, (variant, color) in enumerate(zip(variants, colors, strict=True)):
        values = [value for run in variant.runs for value in run.trainers.staleness_versions]
        if not values:
            continue
        worst = max(worst, *values)
        shares = np.bincount(values) / len(values)
        positions = np.arange(len(shares)) + (number - (len(variants) - 1) / 2) * width
        panel.bar(positions, shares, width, color=color, alpha=0.8, label=variant.name)
    panel.set_xticks(range(worst + 1))
    panel.set_xlabel("versions behind the newest at arrival")
    panel.set_ylabel("share of samples")
    panel.set_title("Staleness")
    panel.legend(fontsize=8)
    panel.grid(alpha=0.3, axis="y")


def _versions_figure(run: RunResult, title: str) -> Figure:
    """Versions of samples over time; below, the faults as bars."""
    marks = run.faults[:MAXIMUM_LABELLED_FAULTS]
    height = 3.2 + 0.22 * len(marks)
    figure, (versions, faults) = pyplot.subplots(
        2,
        1,
        figsize=(10, height),
        sharex=True,
        layout="constrained",
        height_ratios=(3.0, max(0.4, 0.22 * len(marks))),
    )
    times = [point.at_s for point in run.versions]
    versions.step(
        times,
        [point.newest for point in run.versions],
        where="post",
        color=COLORS[1],
        label="newest published",
    )
    versions.scatter(
        times,
        [point.oldest for point in run.versions],
        s=10,
        color=COLORS[0],
        alpha=0.5,
        label="oldest version of a sample",
    )
    versions.yaxis.set_major_locator(MaxNLocator(integer=True))
    versions.set_ylabel("weight version")
    versions.set_title(f"{title}, first run: weight versions over time, with faults")
    versions.grid(alpha=0.3)
    versions.legend(fontsize=8, loc="upper left")
    _faults_panel(versions, faults, marks)
    return figure


def _faults_panel(versions: Axes, panel: Axes, marks: Sequence[FaultMark]) -> None:
    for row, mark in enumerate(marks):
        color = PLANNED_COLOR if mark.planned else FAULT_COLOR
        length_s = (mark.ended_s or mark.began_s) - mark.began_s
        panel.barh(row, max(length_s, 0.2), left=mark.began_s, color=color, alpha=0.8)
        versions.axvspan(mark.began_s, mark.began_s + length_s, color=color, alpha=0.06)
    labels = [f"{mark.kind} {', '.join(mark.targets)}" for mark in marks]
    panel.set_yticks(range(len(marks)), labels, fontsize=7)
    panel.invert_yaxis()
    panel.set_xlabel("s from the first record (green: planned act, red: failure)")
    panel.grid(alpha=0.3, axis="x")


def _colors(count: int) -> list[str]:
    return [COLORS[number % len(COLORS)] for number in range(count)]
