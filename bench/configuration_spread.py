"""Time and cost of a configuration change.

Run: `PYTHONPATH=src python bench/configuration_spread.py [nodes] [zones] [changes] [gap_s]`.

First, real nodes of the control plane in one process, before the object API stand-in: seconds
from the store's acceptance of a change until it is in force, over all nodes and changes. Then
cores over a network in memory at growing sizes: messages, bytes and processor time of a change.
"""

import logging
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import structlog

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from support.configuration_machine import policy
from support.configuration_spread import SpreadCluster
from support.control_cluster import ControlCluster
from support.waiting import wait_until

DOCUMENT_BYTES = 600
SETTLE_S = 2.0
"""Time for the readers' first watches before the first change."""
SIZES = ((8, 3, 1), (32, 8, 3), (96, 8, 3), (340, 8, 3))
"""Nodes, zones and regions."""


class Observer:
    """When each revision came into force on each node."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[str, list[tuple[int, float]]] = {}

    def watch(self, node) -> None:
        """Note every snapshot of a node."""

        def note(snapshot) -> None:
            with self._lock:
                seen = self._seen.setdefault(node.name, [])
                seen.append((snapshot.revision, time.monotonic()))

        node.configuration.subscribe(note)

    def delays_s(self, accepted: list[tuple[int, float]]) -> list[float]:
        """Seconds for each node and change, sorted."""
        with self._lock:
            return sorted(
                next(at_s for newest, at_s in seen if newest >= revision) - accepted_s
                for seen in self._seen.values()
                for revision, accepted_s in accepted
            )


def measure_real_nodes(count: int, zones: int, changes: int, gap_s: float) -> None:
    """Print the delays over real connections."""
    with ExitStack() as cleanup:
        cluster = ControlCluster(cleanup, wait_until)
        for index in range(count):
            cluster.start(f"node-{index}", f"zone-{index % zones}")
        cluster.wait_for_members()
        observer = Observer()
        for node in cluster.alive():
            wait_until(node.configuration.is_ready, f"{node.name} is ready")
            observer.watch(node)
        time.sleep(SETTLE_S)
        accepted = []
        for index in range(changes):
            document = policy(f"policy-{index % 20}", "m" * DOCUMENT_BYTES)
            stored = cluster.store.state.put("Policy", f"policy-{index % 20}", document, None)
            accepted.append((stored.version, time.monotonic()))
            time.sleep(gap_s)
        cluster.wait_in_force(accepted[-1][0])
        time.sleep(gap_s)
        delays_s = observer.delays_s(accepted)
        watches = max(each.watches for each in cluster.watches_opened())
    p50, p99 = (delays_s[int(len(delays_s) * share)] for share in (0.5, 0.99))
    print(
        f"{count} nodes, {zones} zones, {changes} changes: in force after p50 {p50 * 1e3:.1f} ms, "
        f"p99 {p99 * 1e3:.1f} ms, worst {delays_s[-1] * 1e3:.1f} ms; most watches {watches}"
    )


def measure_cost(count: int, zones: int, regions: int) -> None:
    """Print the cost of a change over a network in memory."""
    cluster = SpreadCluster(count, zones, regions)
    changes = 20
    before_s = time.process_time()
    most, mean_bytes = cluster.spread(changes, DOCUMENT_BYTES)
    used_s = (time.process_time() - before_s) / changes / count
    print(
        f"{count} nodes, {zones} zones: a change of {DOCUMENT_BYTES} bytes costs a node at most "
        f"{most:.1f} messages, {mean_bytes:.0f} bytes sent (mean), {used_s * 1e3:.2f} ms"
    )


def main() -> None:
    """Run both parts."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    given = [float(argument) for argument in sys.argv[1:]]
    count, zones, changes, gap_s = (given + [9, 3, 200, 0.05][len(given) :])[:4]
    measure_real_nodes(int(count), int(zones), int(changes), gap_s)
    for size in SIZES:
        measure_cost(*size)


if __name__ == "__main__":
    main()
