"""Arrival times of open-loop load: they don't wait for answers.

Each generator yields seconds from the start of the load, ascending, below its duration.
"""

import json
import math
import random
from collections.abc import Callable, Iterator
from pathlib import Path

MAXIMUM_TRACE_LINES = 1_000_000

RateFunction = Callable[[float], float]
"""Arrivals a second at a time."""


def poisson(rate_for_each_s: float, duration_s: float, seed: int) -> Iterator[float]:
    """Yield arrivals with exponentially distributed gaps."""
    if rate_for_each_s <= 0:
        return
    source = random.Random(seed)
    at_s = source.expovariate(rate_for_each_s)
    while at_s < duration_s:
        yield at_s
        at_s += source.expovariate(rate_for_each_s)


def bursts(
    rate_for_each_s: float,
    duration_s: float,
    seed: int,
    *,
    period_s: float,
    burst_s: float,
    factor: float,
) -> Iterator[float]:
    """Yield Poisson arrivals whose rate is `factor` times as high at the start of each period."""

    def rate_at(at_s: float) -> float:
        return rate_for_each_s * (factor if at_s % period_s < burst_s else 1.0)

    return _thinned(rate_at, rate_for_each_s * max(1.0, factor), duration_s, seed)


def diurnal(
    rate_for_each_s: float,
    duration_s: float,
    seed: int,
    *,
    day_s: float,
    swing: float,
) -> Iterator[float]:
    """Yield arrivals whose rate follows a sine over a day of `day_s`, `swing` (0 to 1) around."""

    def rate_at(at_s: float) -> float:
        return rate_for_each_s * (1.0 - swing * math.cos(2 * math.pi * at_s / day_s))

    return _thinned(rate_at, rate_for_each_s * (1.0 + swing), duration_s, seed)


def trace(path: Path, duration_s: float, speed: float = 1.0) -> Iterator[float]:
    """Yield the arrivals of a trace: one JSON object a line with `at_s`, replayed `speed` times.

    Raises `ValueError` when the times go back.
    """
    last_s = 0.0
    with path.open() as lines:
        for number, line in enumerate(lines, start=1):
            if number > MAXIMUM_TRACE_LINES:
                return
            at_s = float(json.loads(line)["at_s"]) / speed
            if at_s < last_s:
                raise ValueError(f"{path}:{number}: time goes back")
            last_s = at_s
            if at_s >= duration_s:
                return
            yield at_s


def _thinned(
    rate_at: RateFunction, highest_rate: float, duration_s: float, seed: int
) -> Iterator[float]:
    """Thinning of a Poisson process (Lewis and Shedler, 1979)."""
    source = random.Random(seed)
    for at_s in poisson(highest_rate, duration_s, source.getrandbits(64)):
        if source.random() * highest_rate < rate_at(at_s):
            yield at_s
