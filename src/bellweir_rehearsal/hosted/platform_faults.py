"""Faults of a soak that strike what the platform gives: its store, workers, duties, operator."""

import random

from bellweir_rehearsal.hosted.clients import configuration
from bellweir_rehearsal.hosted.deployment import EVACUATE_S, ZONES
from bellweir_rehearsal.hosted.fault import SoakFault
from bellweir_rehearsal.hosted.object_store import Outage
from bellweir_rehearsal.hosted.worker import EarlyEnd

MOST_REFUSED = 6
LONGEST_BODY_BYTES = 2_000_000
"""More than any body of a soak has."""
LEAST_BROKEN_SHARE = 0.1
GREATEST_BROKEN_SHARE = 0.6


class StoreOutage(SoakFault):
    """The platform's store refuses or says nothing."""

    strikes_core = True

    def strike(self) -> None:
        """Begin the outage."""
        self.deployment.store.begin_outage(self.chance.choice((Outage.REFUSES, Outage.SILENT)))

    def mend(self) -> None:
        """End it."""
        self.deployment.store.end_outage()


class ForgottenHistory(SoakFault):
    """The platform's store forgets its history: watches must list anew."""

    strikes_core = True

    def strike(self) -> None:
        """Forget."""
        self.deployment.store.records.compact()


class LostWrites(SoakFault):
    """Writes to the platform's store are done, some of them late, and get no answer."""

    strikes_core = True

    def strike(self) -> None:
        """Lose some of the next ones."""
        self.deployment.store.faults.lose_writes = 2
        self.deployment.store.faults.late_writes = 2


class BrokenWorkers(SoakFault):
    """Workers break streams off, lose answers, refuse and take orders late."""

    def strike(self) -> None:
        """Have one model worker and one other worker fail some requests."""
        model = self.chance.choice(self.deployment.models)
        model.faults.cut_after_event = self.chance.randint(1, 4)
        model.faults.lose_answer = model.faults.refuse = 2
        model.faults.late_orders = 1
        scorer = self.chance.choice(self.deployment.scorers)
        scorer.faults.lose_answer = scorer.faults.wrong_id = scorer.faults.unsigned = 1


class WorkersStartAgain(SoakFault):
    """Workers end and start again under their ids, before their entries lapse or later.

    A crash breaks their connections. Behind a cut the connections stay open in silence, and what
    was sent on them reaches nobody.
    """

    longest_s = 2.0
    repeats = True

    def strike(self) -> None:
        """End one model worker and one other worker, each by a crash or behind a cut."""
        model = self.chance.choice(self.deployment.models)
        scorer = self.chance.choice(self.deployment.scorers)
        self._ended = (model, scorer)
        for worker in self._ended:
            self.chance.choice((worker.crash, worker.go_dark))()

    def mend(self) -> None:
        """Start them again."""
        for worker in self._ended:
            worker.start_again()


class EvacuatedZone(SoakFault):
    """The operator evacuates a zone; its workers are cold when it is given back."""

    longest_s = 9.0
    is_planned = True

    def strike(self) -> None:
        """Write the evacuation, unless one is in force: some zone must serve."""
        zone = self.chance.choice(ZONES[: self.deployment.zones])
        self._evacuation = self.deployment.evacuate(zone)

    def least_s(self) -> float:
        """Let the first one outlast the time that an evacuation may take."""
        is_first = self.deployment.evacuations[:1] == [self._evacuation]
        return EVACUATE_S + 1.0 if is_first else 0.0

    def mend(self) -> None:
        """Take it away; the zone's workers have turned cold just before."""
        if self._evacuation is not None:
            self.deployment.give_back(self._evacuation)


class LostReports(SoakFault):
    """The platform's interface for duties refuses calls, and takes some without an answer."""

    def strike(self) -> None:
        """Refuse some of the next calls, and lose some answers."""
        self.deployment.duties.refuse = self.chance.randint(0, 3)
        self.deployment.duties.lose_answers = self.chance.randint(0, 3)


class NewConfiguration(SoakFault):
    """The operator writes another configuration, which takes a key away and has a new one."""

    longest_s = 1.0
    is_planned = True
    repeats = True

    def strike(self) -> None:
        """Write one, a version above the newest."""
        kept = self.deployment.store.records.get("config", "main")
        version = (kept.spec["version"] if kept is not None else 0) + self.chance.randint(1, 3)
        written = configuration(version, (f"/new-{version}/",))
        self.deployment.store.records.put("config", "main", written)


class NewVersion(SoakFault):
    """The trainer names another version of the weights out of turn."""

    longest_s = 1.0
    is_planned = True
    repeats = True

    def strike(self) -> None:
        """Name it."""
        self.deployment.name_next_version()


class RefusingWorkers(SoakFault):
    """Workers refuse some requests before, in or behind their bodies, as while they load."""

    longest_s = 1.0
    is_planned = True
    repeats = True

    def strike(self) -> None:
        """Refuse the next requests that come to some workers."""
        models = self.deployment.models
        for worker in self.chance.sample(models, self.chance.randint(1, len(models))):
            faults = worker.faults
            faults.early_end = self.chance.choice((EarlyEnd.REFUSE, EarlyEnd.REFUSE_AND_CLOSE))
            faults.early_bytes = self.chance.choice((0, 100_000, 280_000, LONGEST_BODY_BYTES))
            faults.early = self.chance.randint(1, MOST_REFUSED)

    def mend(self) -> None:
        """Take the next request again."""
        for worker in self.deployment.models:
            worker.faults.early = 0


class BrokenAnswers(SoakFault):
    """Some workers break a share of their answers, each in a drawn way."""

    repeats = True

    def strike(self) -> None:
        """Begin at one to all workers of each service."""
        share = self.chance.uniform(LEAST_BROKEN_SHARE, GREATEST_BROKEN_SHARE)
        self._breaking = [
            worker
            for workers in (self.deployment.models, self.deployment.scorers)
            for worker in self.chance.sample(workers, self.chance.randint(1, len(workers)))
        ]
        for worker in self._breaking:
            worker.breaker.begin(share, random.Random(self.chance.getrandbits(32)))

    def mend(self) -> None:
        """End it."""
        for worker in self._breaking:
            worker.breaker.end()
