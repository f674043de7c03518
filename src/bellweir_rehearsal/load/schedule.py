"""The plan of a load: when which request is due."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from bellweir_rehearsal.load.arrivals import bursts, diurnal, poisson, trace
from bellweir_rehearsal.load.mix import TrafficClass


@dataclass(frozen=True, order=True)
class Arrival:
    """One request that is due."""

    at_s: float
    """Seconds from the start of the load."""
    class_index: int
    number: int
    """Counts the arrivals of its class from 0."""


def merged_arrivals(
    traffic: tuple[TrafficClass, ...], duration_s: float, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of all classes in order of time; the same for the same seed."""
    return heapq.merge(
        *(
            _numbered(index, _arrivals(entry, duration_s, seed * 1_000 + index))
            for index, entry in enumerate(traffic)
        )
    )


def _numbered(index: int, times: Iterator[float]) -> Iterator[Arrival]:
    for number, at_s in enumerate(times):
        yield Arrival(at_s, index, number)


def _arrivals(entry: TrafficClass, duration_s: float, seed: int) -> Iterator[float]:
    shape = entry.arrivals
    if shape.shape == "bursts":
        return bursts(
            entry.rate_for_each_s,
            duration_s,
            seed,
            period_s=shape.period_s,
            burst_s=shape.burst_s,
            factor=shape.factor,
        )
    if shape.shape == "diurnal":
        return diurnal(
            entry.rate_for_each_s, duration_s, seed, day_s=shape.day_s, swing=shape.swing
        )
    if shape.shape == "trace" and shape.trace_file is not None:
        return trace(Path(shape.trace_file), duration_s, shape.speed)
    return poisson(entry.rate_for_each_s, duration_s, seed)
