"""Ways of telling slow workers from their fellows, on the same replayed loads.

`PYTHONPATH=src:. python -m bench.sight_judgements [--seeds 5]` from the repository's root. Each
load runs 30 s with 6 requests a second. Prints for each way and load, over all seeds: how many of
the bad workers were set aside, how many sound ones ever were, the share of requests that bad ones
served, and the mean time of a request.
"""

import argparse
import random
import statistics
from collections.abc import Callable, Sequence

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight import outlier_detection
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.outlier_detection import OutlierDetector

SECONDS = 30.0
RATE = 6.0
USUAL_S = 0.03
SPREAD = 0.5
"""Standard deviation of the logarithm of a request's time."""
DEVIATIONS = 1.9
ROBUST_DEVIATIONS = 4.0
TO_DEVIATION = 1.4826
"""Standard deviations of a normal distribution in its median absolute deviation."""

Reference = Callable[[Sequence[float], float | None], float | None]


def others(figures: Sequence[float], own: float | None) -> list[float]:
    """The fellows' medians without a worker's own."""
    left = list(figures)
    if own is not None and own in left:
        left.remove(own)
    return left


def by_quartile(figures: Sequence[float], own: float | None) -> float | None:
    """The bound by the landed way: a factor on the lower quartile."""
    fellow = outlier_detection.lower_quartile(figures, own)
    return None if fellow is None else outlier_detection.SLOW_FACTOR * fellow


def by_median(figures: Sequence[float], own: float | None) -> float | None:
    """The same factor on the fellows' median."""
    left = others(figures, own)
    return outlier_detection.SLOW_FACTOR * statistics.median(left) if left else None


def by_deviation(figures: Sequence[float], _own: float | None) -> float | None:
    """Mean of all and some standard deviations, the worker itself included."""
    if len(figures) < 2:
        return None
    return statistics.fmean(figures) + DEVIATIONS * statistics.pstdev(figures)


def by_robust_deviation(figures: Sequence[float], own: float | None) -> float | None:
    """Median of the fellows and some median absolute deviations."""
    left = others(figures, own)
    if len(left) < 2:
        return None
    middle = statistics.median(left)
    spread = TO_DEVIATION * statistics.median(abs(each - middle) for each in left)
    return middle + ROBUST_DEVIATIONS * spread


WAYS: dict[str, tuple[Reference, bool]] = {
    "3 x lower quartile, surely": (by_quartile, True),
    "3 x lower quartile": (by_quartile, False),
    "3 x median, surely": (by_median, True),
    "mean + 1.9 deviations": (by_deviation, False),
    "median + 4 robust, surely": (by_robust_deviation, True),
}
"""Each with whether a worker's own median must surely lie above the bound."""
LOADS: dict[str, tuple[tuple[float, ...], int]] = {
    "one of 4 slow x10": ((10, 1, 1, 1), 1),
    "one of 4 slow x4": ((4, 1, 1, 1), 1),
    "half of 4 slow x10": ((10, 10, 1, 1), 2),
    "3 of 8 slow x6": ((6, 6, 6, 1, 1, 1, 1, 1), 3),
    "a quarter 2.2 times as fast": ((2.2, 2.2, 2.2, 2.2, 2.2, 2.2, 1, 1), 0),
    "all slow x10": ((10, 10, 10, 10), 0),
    "all alike": ((1, 1, 1, 1), 0),
}


class Tally:
    """Sums over the seeds of a load."""

    def __init__(self) -> None:
        self.bad_aside = self.sound_aside = self.requests = self.at_bad = 0
        self.seconds = 0.0


def play(factors: Sequence[float], bad: int, seed: int, tally: Tally) -> None:
    """Play one load with one seed; the first `bad` workers are the bad ones."""
    drawn = random.Random(seed)
    workers = [Incarnation(f"i-{number}") for number in range(len(factors))]
    seen = {one: DecayingCounts() for one in workers}
    detector = OutlierDetector()
    aside: set[Incarnation] = set()
    for number in range(round(SECONDS * RATE)):
        now_s = number / RATE
        well = [one for one in workers if not detector.is_ejected(one)]
        trial = next((one for one in workers if detector.may_probe(one, now_s)), None)
        one = trial or drawn.choice(well)
        place = workers.index(one)
        took_s = USUAL_S * factors[place] * drawn.lognormvariate(0.0, SPREAD)
        seen[one].add(ObservedOutcome.SERVED, took_s, now_s)
        detector.update("s", seen, now_s)
        aside |= {each for each in workers if detector.is_ejected(each)}
        tally.requests += 1
        tally.at_bad += place < bad
        tally.seconds += took_s
    tally.bad_aside += len(aside & set(workers[:bad]))
    tally.sound_aside += len(aside - set(workers[:bad]))


def slow_by(
    reference: Reference, is_sure: bool
) -> Callable[..., outlier_detection._Outlier | None]:
    """The judgement's test for slowness with another bound."""

    def slow(
        counts: DecayingCounts, medians: Sequence[float], min_count: float, *, is_included: bool
    ) -> outlier_detection._Outlier | None:
        own = counts.quantile_s(0.5)
        bound = reference(medians, own if is_included else None)
        least = outlier_detection.median_lower_bound_s(counts) if is_sure else own
        if counts.served < min_count or bound is None or least <= bound:
            return None
        if own - bound / outlier_detection.SLOW_FACTOR < outlier_detection.MIN_SLOW_EXCESS_S:
            return None
        return outlier_detection._Outlier(outlier_detection.EjectionCause.SLOW, bound, own / bound)

    return slow


def main() -> None:
    """Play every load in every way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    for way, (reference, is_sure) in WAYS.items():
        outlier_detection._slow = slow_by(reference, is_sure)
        for load, (factors, bad) in LOADS.items():
            tally = Tally()
            for seed in range(seeds):
                random.seed(seed)
                play(factors, bad, seed, tally)
            print(
                f"{way:28} | {load:28} | bad aside {tally.bad_aside} of {bad * seeds} | "
                f"sound aside {tally.sound_aside} of {(len(factors) - bad) * seeds} | "
                f"at bad {tally.at_bad / tally.requests:.2f} | "
                f"mean {1000 * tally.seconds / tally.requests:.0f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
