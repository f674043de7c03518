"""A sight of workers that knows what a test says, and notes what it is told."""

from collections import Counter

from bellweir.hosted.sight.interface import Sight, WorkerSeen


class KnownSight(Sight):
    def __init__(self):
        self.known = {}
        """`WorkerSeen` by incarnation."""
        self.loads = {}
        self.trials = set()
        """Workers that may get one trial."""
        self.may_retry = True
        self.slow_s = 0.0
        self.ends = []
        """Worker and outcome of each request."""
        self.further = Counter()

    def begun(self, service, incarnation): ...

    def ended(self, incarnation, outcome, seconds):
        self.ends.append((incarnation.instance, outcome))

    def load_told(self, incarnation, load):
        self.loads[incarnation.instance] = load

    def seen(self, incarnation):
        return self.known.get(incarnation, WorkerSeen(incarnation))

    def may_try(self, incarnation):
        may = incarnation in self.trials
        self.trials.discard(incarnation)
        return may

    def begun_again(self, service, incarnation):
        self.further["made"] += 1

    def refused_again(self, service):
        self.further["refused"] += 1

    def may_try_again(self, service):
        return self.may_retry

    def fellows_slow_s(self, service):
        return self.slow_s

    def fellows_usual_s(self, service):
        return self.slow_s / 2

    @property
    def is_alone(self):
        return False
