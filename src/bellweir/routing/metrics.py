"""Prometheus collector for routing metrics."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from bellweir.routing.interface import ArmStatistics, DispatchStatistics
from bellweir.routing.pool_runtime import PoolRuntime, PoolRuntimes
from bellweir.routing.pool_table import PoolBackends


class RoutingCollector(Collector):
    """Builds metrics from the dispatcher's state on each scrape."""

    def __init__(
        self,
        statistics: Callable[[], DispatchStatistics],
        runtimes: PoolRuntimes,
        pools: Callable[[], Mapping[str, PoolBackends]],
    ) -> None:
        self._statistics = statistics
        self._runtimes = runtimes
        self._pools = pools

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families."""
        statistics = self._statistics()
        yield CounterMetricFamily(
            "bellweir_dispatch_requests", "Requests asked for.", value=statistics.requests
        )
        yield CounterMetricFamily(
            "bellweir_dispatch_attempts", "Attempts on back ends.", value=statistics.attempts
        )
        yield _outcomes(statistics.by_outcome)
        yield from _gates(self._runtimes.all())
        yield from _backends(self._pools())
        yield from _arms(statistics.by_arm)


def _outcomes(by_outcome: Mapping[str, int]) -> Metric:
    family = CounterMetricFamily(
        "bellweir_dispatch_outcomes", "Ended requests by outcome or refusal.", labels=["outcome"]
    )
    for outcome, count in by_outcome.items():
        family.add_metric([outcome], count)
    return family


def _gates(runtimes: Iterable[PoolRuntime]) -> Iterable[Metric]:
    labels = ["pool", "class"]
    running = GaugeMetricFamily("bellweir_gate_running", "Requests admitted.", labels=labels)
    queued = GaugeMetricFamily("bellweir_gate_queued", "Requests waiting.", labels=labels)
    limit = GaugeMetricFamily("bellweir_gate_limit", "Adapted limit.", labels=labels)
    for runtime in runtimes:
        for kind, gate in runtime.gates.items():
            names = [runtime.pool.metadata.name, kind.value]
            running.add_metric(names, gate.running)
            queued.add_metric(names, gate.queued)
            limit.add_metric(names, gate.concurrency())
    return (running, queued, limit)


def _backends(pools: Mapping[str, PoolBackends]) -> Iterable[Metric]:
    labels = ["pool", "worker"]
    ready = GaugeMetricFamily(
        "bellweir_backend_ready", "Whether new work may go to a back end.", labels=labels
    )
    outstanding = GaugeMetricFamily(
        "bellweir_backend_outstanding", "This node's requests on a back end.", labels=labels
    )
    for name, found in pools.items():
        for backend in found.backends:
            ready.add_metric([name, backend.name], float(backend.ready))
            outstanding.add_metric([name, backend.name], backend.in_flight)
    return (ready, outstanding)


def _arms(by_arm: Iterable[ArmStatistics]) -> Iterable[Metric]:
    labels = ["comparison", "arm"]
    ended = CounterMetricFamily(
        "bellweir_arm_generations", "Ended generations of an arm.", labels=[*labels, "outcome"]
    )
    tokens = CounterMetricFamily("bellweir_arm_tokens", "Tokens of an arm.", labels=labels)
    first = CounterMetricFamily(
        "bellweir_arm_first_token_seconds", "Sum of times to the first token.", labels=labels
    )
    firsts = CounterMetricFamily(
        "bellweir_arm_first_tokens", "Generations that had a first token.", labels=labels
    )
    whole = CounterMetricFamily(
        "bellweir_arm_whole_seconds", "Sum of times of completed generations.", labels=labels
    )
    for counts in by_arm:
        names = [counts.comparison, counts.arm]
        ended.add_metric([*names, "completed"], counts.completed)
        ended.add_metric([*names, "failed"], counts.failed)
        tokens.add_metric(names, counts.tokens)
        first.add_metric(names, counts.first_token_s)
        firsts.add_metric(names, counts.first_tokens)
        whole.add_metric(names, counts.whole_s)
    return (ended, tokens, first, firsts, whole)
