"""How evenly subsets of a pool cover its workers, and what load that gives them.

Run: `PYTHONPATH=src python bench/routing_subsets.py [nodes] [workers] [subset] [requests each]`.
Load: each node in turn puts one request after the other on the least loaded worker of its subset,
as seen with fresh reports; figures are requests in hand of a worker against the mean.
"""

import random
import sys
from collections import Counter

from routing_support import quantile

from bellweir.resources.models import BackendKind
from bellweir.routing.pool_workers import Location, PoolWorker, select_subset
from bellweir.routing.rendezvous import score
from bellweir.routing.strategies import SAMPLE_SIZE

ZONES = 8


def main() -> None:
    """Print coverage and load with plain subsets and with owned workers added."""
    given = [int(argument) for argument in sys.argv[1:]]
    nodes, count, size, requests = given + [340, 3800, 24, 44][len(given) :]
    workers = [
        PoolWorker(f"w-{n}", "", "pool", BackendKind.ENGINE, f"zone-{n % ZONES}", "r", False)
        for n in range(count)
    ]
    locations = [Location(f"n-{n}", f"zone-{n % ZONES}", "r") for n in range(nodes)]
    subsets = {
        location.node: {worker.name for worker in select_subset(workers, location, size)}
        for location in locations
    }
    report("subsets", subsets, workers, requests)
    by_zone: dict[str, list[str]] = {}
    for location in locations:
        by_zone.setdefault(location.zone, []).append(location.node)
    for worker in workers:
        owner = max(by_zone[worker.zone], key=lambda node: score(worker.name, node))
        subsets[owner].add(worker.name)
    report("with owned workers", subsets, workers, requests)


def report(
    title: str, subsets: dict[str, set[str]], workers: list[PoolWorker], requests: int
) -> None:
    """Print one line."""
    covered = Counter(name for subset in subsets.values() for name in subset)
    unused = sum(worker.name not in covered for worker in workers)
    loads = Counter({worker.name: 0 for worker in workers})
    chooser = random.Random(1)
    for _ in range(requests):
        for subset in subsets.values():
            few = chooser.sample(sorted(subset), min(SAMPLE_SIZE, len(subset)))
            loads[min(few, key=lambda name: loads[name])] += 1
    ordered = sorted(map(float, loads.values()))
    mean = sum(ordered) / len(ordered)
    shares = " ".join(f"p{s} {quantile(ordered, s / 100) / mean:.2f}" for s in (1, 50, 99))
    print(
        f"{title}: {unused} of {len(workers)} workers unused, load {shares} most "
        f"{ordered[-1] / mean:.2f} times the mean"
    )


if __name__ == "__main__":
    main()
