"""Worker monitor with preset statistics that records its calls."""

from collections import Counter

from bellweir.hosted.sight.interface import WorkerMonitor, WorkerStats


class FakeWorkerMonitor(WorkerMonitor):
    def __init__(self):
        self.stats_by_worker = {}
        """`WorkerStats` by incarnation."""
        self.loads = {}
        self.probes = set()
        """Workers that may get one probe."""
        self.allows_retries = True
        self.p95_s = 0.0
        self.ends = []
        """Worker and outcome of each attempt."""
        self.retries = Counter()

    def record_start(self, service, incarnation): ...

    def record_end(self, incarnation, outcome, seconds):
        self.ends.append((incarnation.instance, outcome))

    def record_load(self, incarnation, load):
        self.loads[incarnation.instance] = load

    def stats(self, incarnation):
        return self.stats_by_worker.get(incarnation, WorkerStats(incarnation))

    def may_probe(self, incarnation):
        may = incarnation in self.probes
        self.probes.discard(incarnation)
        return may

    def record_retry(self, service, incarnation):
        self.retries["made"] += 1

    def record_retry_refused(self, service):
        self.retries["refused"] += 1

    def may_retry(self, service):
        return self.allows_retries

    def service_p95_s(self, service):
        return self.p95_s

    def service_median_s(self, service):
        return self.p95_s / 2

    @property
    def is_isolated(self):
        return False
