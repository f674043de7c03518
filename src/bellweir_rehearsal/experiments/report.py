"""The report of an experiment: one HTML file with its plots inside."""

import base64
import html
import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

from bellweir_rehearsal.experiments.comparison import Difference, compare_runs
from bellweir_rehearsal.experiments.measures import measures_of
from bellweir_rehearsal.experiments.plots import draw_plots
from bellweir_rehearsal.experiments.results import ExperimentResults, VariantResults
from bellweir_rehearsal.promises.verdict import Promise, Ruling

REPORT_FILE = "report.html"
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; color: #222; }
table { border-collapse: collapse; margin: 0.8rem 0 1.6rem; }
th, td { border-bottom: 1px solid #ddd; padding: 0.25rem 0.7rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
img { max-width: 100%; }
.held { color: #2b7a4b; } .broken { color: #c0273c; font-weight: bold; }
.nothing { color: #a9730f; } .distinct { background: #fff3d6; }
"""
RULING_CLASSES = {
    Ruling.HELD: "held",
    Ruling.BROKEN: "broken",
    Ruling.NOTHING_CHECKED: "nothing",
}


def write_report(results: ExperimentResults, folder: Path) -> Path:
    """Draw the plots and write the report into an experiment's folder; return its path."""
    plots = draw_plots(results, folder / "plots")
    runs = sum(len(variant.runs) for variant in results.variants)
    parts = [
        f"<h1>{_text(results.experiment)}</h1>",
        f"<p>Deployment {_text(results.deployment)}, {runs} runs of {results.duration_s:g} s, "
        f"seed {results.seed}; the variants were run in turn.</p>",
        "<h2>Promises</h2>",
        _promises_table(results.variants),
        "<h2>Plots</h2>",
        *(_image(path) for path in plots),
        "<h2>Figures</h2>",
        "<p>Mean over the runs of a variant, with the lowest and the highest run.</p>",
        _measures_table(results.variants),
    ]
    for variant in results.variants[1:]:
        parts.append(f"<h2>{_text(variant.name)} against {_text(results.variants[0].name)}</h2>")
        parts.append(comparison_table(compare_runs(results.variants[0].runs, variant.runs)))
    path = folder / REPORT_FILE
    path.write_text(
        f"<!doctype html><meta charset='utf-8'><title>{_text(results.experiment)}</title>"
        f"<style>{STYLE}</style>{''.join(parts)}"
    )
    return path


def comparison_table(differences: Sequence[Difference]) -> str:
    """Differences as an HTML table; those whose interval leaves zero out are marked."""
    rows = []
    for entry in differences:
        interval = "needs two runs on each side"
        if entry.low is not None and entry.high is not None:
            interval = f"{entry.low:+.3g} to {entry.high:+.3g}"
        cells = (
            _text(entry.measure),
            f"{entry.mean_a:.4g}",
            f"{entry.mean_b:.4g}",
            f"{entry.difference:+.3g}",
            interval,
            _text(entry.unit),
        )
        rows.append(_row(cells, "distinct" if entry.distinct else ""))
    header = ("measure", "first", "second", "difference", "95% interval", "unit")
    return _table(header, rows)


def _promises_table(variants: Sequence[VariantResults]) -> str:
    rows = []
    for promise in Promise:
        rulings = [_ruling_cell(variant, promise) for variant in variants]
        rows.append(_row([_text(promise.value), *rulings]))
    return _table(("promise", *(variant.name for variant in variants)), rows)


def _ruling_cell(variant: VariantResults, promise: Promise) -> str:
    entries = [
        entry for run in variant.runs for entry in run.promises if entry.promise == promise.name
    ]
    breaches = sum(len(entry.breaches) for entry in entries)
    rulings = {entry.ruling for entry in entries}
    worst = next(
        ruling
        for ruling in (Ruling.BROKEN, Ruling.NOTHING_CHECKED, Ruling.HELD)
        if ruling in rulings
    )
    note = f" ({breaches})" if breaches else ""
    return f"<span class='{RULING_CLASSES[worst]}'>{_text(worst.value)}{note}</span>"


def _measures_table(variants: Sequence[VariantResults]) -> str:
    values = [
        {
            (measure.name, measure.unit): [
                found.value
                for run in variant.runs
                for found in measures_of(run)
                if (found.name, found.unit) == (measure.name, measure.unit)
            ]
            for measure in measures_of(variant.runs[0])
        }
        for variant in variants
    ]
    rows = [
        _row(
            [_text(name), *(_spread(entry.get((name, unit), [])) for entry in values), _text(unit)]
        )
        for name, unit in values[0]
    ]
    return _table(("measure", *(variant.name for variant in variants), "unit"), rows)


def _spread(values: Sequence[float]) -> str:
    if not values:
        return ""
    return f"{statistics.fmean(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def _image(path: Path) -> str:
    encoded = base64.b64encode(path.read_bytes()).decode()
    return f"<p><img alt='{_text(path.stem)}' src='data:image/png;base64,{encoded}'></p>"


def _table(header: Iterable[str], rows: Iterable[str]) -> str:
    head = "".join(f"<th>{_text(name)}</th>" for name in header)
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>"


def _row(cells: Iterable[str], css_class: str = "") -> str:
    attribute = f" class='{css_class}'" if css_class else ""
    return f"<tr{attribute}>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"


def _text(text: str) -> str:
    return html.escape(text)
