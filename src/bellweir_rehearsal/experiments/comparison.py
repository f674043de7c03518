"""Compares two sets of runs, figure by figure, with confidence intervals."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from bellweir_rehearsal.experiments.measures import measures_of
from bellweir_rehearsal.result import RunResult

# Two-sided 95% quantiles of Student's t distribution by degrees of freedom (any table of it);
# from 30 on the normal distribution's.
T_QUANTILES_95 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045,
)  # fmt: skip
NORMAL_QUANTILE_95 = 1.960


@dataclass(frozen=True)
class Difference:
    """One figure of two variants, B less A, with its 95% confidence interval."""

    measure: str
    unit: str
    mean_a: float
    mean_b: float
    runs_a: int
    runs_b: int
    low: float | None
    """Ends of the interval; None with less than two runs on a side, which gives none."""
    high: float | None

    @property
    def difference(self) -> float:
        """Mean of B less mean of A."""
        return self.mean_b - self.mean_a

    @property
    def distinct(self) -> bool:
        """Whether the interval leaves zero out."""
        return self.low is not None and self.high is not None and not self.low <= 0 <= self.high


def compare_runs(runs_a: Sequence[RunResult], runs_b: Sequence[RunResult]) -> list[Difference]:
    """Compare the figures that both sides have, in the order of A."""
    values_a, values_b = _values(runs_a), _values(runs_b)
    return [
        _difference(name, unit, values_a[name, unit], values_b[name, unit])
        for name, unit in values_a
        if (name, unit) in values_b
    ]


def _values(runs: Sequence[RunResult]) -> dict[tuple[str, str], list[float]]:
    found: dict[tuple[str, str], list[float]] = {}
    for run in runs:
        for measure in measures_of(run):
            found.setdefault((measure.name, measure.unit), []).append(measure.value)
    return found


def _difference(
    name: str, unit: str, values_a: Sequence[float], values_b: Sequence[float]
) -> Difference:
    mean_a, mean_b = statistics.fmean(values_a), statistics.fmean(values_b)
    half = _half_width(values_a, values_b)
    low = mean_b - mean_a - half if half is not None else None
    high = mean_b - mean_a + half if half is not None else None
    return Difference(name, unit, mean_a, mean_b, len(values_a), len(values_b), low, high)


def _half_width(values_a: Sequence[float], values_b: Sequence[float]) -> float | None:
    """Half of Welch's interval for the difference of two means with unequal variances."""
    if len(values_a) < 2 or len(values_b) < 2:
        return None
    part_a = statistics.variance(values_a) / len(values_a)
    part_b = statistics.variance(values_b) / len(values_b)
    if part_a + part_b == 0:
        return 0.0
    # Welch-Satterthwaite degrees of freedom.
    freedom = (part_a + part_b) ** 2 / (
        part_a**2 / (len(values_a) - 1) + part_b**2 / (len(values_b) - 1)
    )
    return t_quantile_95(freedom) * math.sqrt(part_a + part_b)


def t_quantile_95(degrees_of_freedom: float) -> float:
    """Two-sided 95% quantile; fractions are rounded down, which widens the interval."""
    index = max(1, math.floor(degrees_of_freedom)) - 1
    return T_QUANTILES_95[index] if index < len(T_QUANTILES_95) else NORMAL_QUANTILE_95
