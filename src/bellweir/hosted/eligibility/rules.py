"""Applies the constraints that a deployment's settings ask for to single workers."""

from collections.abc import Callable, Collection, Iterable, Mapping

from bellweir.hosted.eligibility.cold_rates import ColdLimit, ColdRateLimiter, SenderShare
from bellweir.hosted.eligibility.cold_workers import ColdWorkers
from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.eligibility.homes import AllowedRegions, Regions, allows
from bellweir.hosted.eligibility.interface import Exclusion, WorkerEligibility
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import ServiceEntry
from bellweir.hosted.settings import PlacesSettings
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

Services = Callable[[], Mapping[str, ServiceEntry]]
"""Returns the services of the configuration in force, by name."""


class PlacementRules(WorkerEligibility):
    """Evacuated zones get nothing; cold workers get a limited rate."""

    def __init__(
        self,
        settings: PlacesSettings,
        evacuated: EvacuatedZones,
        cold: ColdWorkers,
        share: SenderShare,
        services: Services,
        regions: Regions | None = None,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        self._settings = settings
        self._regions = regions if regions is not None else Regions()
        self._evacuated = evacuated
        self._cold = cold
        self._share = share
        self._services = services
        self._now_s = now_s
        self._limiter = ColdRateLimiter(now_s)

    def exclusion(self, worker: Worker, allowed: AllowedRegions = None) -> Exclusion | None:
        """Return why this process may not send a worker a request; None if it may."""
        if not allows(allowed, self._regions.region_of(worker.entry.zone)):
            return Exclusion.HOME
        if self._evacuated.is_evacuated(worker.entry.zone):
            return Exclusion.EVACUATED
        if self._allowed(worker) == 0:
            return Exclusion.COLD
        return None

    def usable(self, workers: Iterable[Worker], allowed: AllowedRegions = None) -> list[Worker]:
        """Return the workers that this process may send a request to."""
        if allowed is None and not self._settings.limit_cold and not self._evacuated.zones():
            return list(workers)
        return super().usable(workers, allowed)

    def is_cold(self, worker: Worker) -> bool:
        """Whether a worker has a limited request rate now."""
        return self._cold_left_s(worker) > 0

    def may_start(self, worker: Worker) -> bool:
        """Whether one more request may be sent to a worker now."""
        if self._evacuated.is_evacuated(worker.entry.zone):
            return False
        allowed = self._allowed(worker)
        return allowed is None or self._limiter.may_start(worker.incarnation, allowed)

    def try_start(self, worker: Worker) -> bool:
        """Count one more request to a worker; False, without counting it, if it may not be sent."""
        zone = worker.entry.zone
        if self._evacuated.is_evacuated(zone):
            return False
        if not self._settings.limit_cold:
            return True
        allowed = self._allowed(worker)
        if allowed is None:
            self._limiter.record(worker.incarnation)
        elif not self._limiter.try_start(worker.incarnation, allowed):
            return False
        self._evacuated.record_sent(zone)
        return True

    def note_unanswered(self, worker: Worker) -> None:
        """Note that a worker was not reached or fell silent: it may have started again, cold."""
        self._cold.note_unanswered(worker.incarnation)

    def note_closed(self, worker: Worker) -> None:
        """Note that a request found an idle connection closed by a worker."""
        self._cold.note_closed(worker.incarnation)

    def note_answer(self, worker: Worker, sent_s: float) -> None:
        """Note that a worker answers a request sent at a monotonic time."""
        self._cold.note_answer(worker.incarnation, sent_s)

    def warm_in_s(self, workers: Iterable[Worker]) -> float | None:
        """Return the seconds until the first of the cold workers is warm; None if none is cold.

        Workers of evacuated zones don't count: nothing tells when they are given back.
        """
        usable = [one for one in workers if not self._evacuated.is_evacuated(one.entry.zone)]
        left_s = [left_s for one in usable if (left_s := self._cold_left_s(one)) > 0]
        return min(left_s, default=None)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the state of workers not listed."""
        self._limiter.retain(incarnations)
        self._cold.retain(set(incarnations))

    def _allowed(self, worker: Worker) -> int | None:
        """Requests that this process may send to a worker in any second; None if unlimited."""
        service = self._cold_service(worker)
        if service is None:
            return None
        is_cold = self._cold.cold_until_s(worker, service.cold_start_s) > self._now_s()
        if not is_cold and self._cold.doubted_until_s(worker) <= self._now_s():
            return None
        bound = self._settings.cold_over * service.cold_per_s + self._settings.cold_slack
        limit = ColdLimit(service.cold_per_s, bound)
        share = self._share.allowed(
            worker.incarnation, limit, has_engines=service.engine is not None
        )
        # Others may know better: what this process alone doubts is tried by it now and then.
        return share if is_cold else max(1, share)

    def _cold_left_s(self, worker: Worker) -> float:
        """Seconds for which a worker is cold or in doubt; 0 or less if it isn't."""
        service = self._cold_service(worker)
        if service is None:
            return 0.0
        until_s = max(
            self._cold.cold_until_s(worker, service.cold_start_s),
            self._cold.doubted_until_s(worker),
        )
        return until_s - self._now_s()

    def _cold_service(self, worker: Worker) -> ServiceEntry | None:
        """The service of a worker if the rate of its cold workers is limited."""
        if not self._settings.limit_cold:
            return None
        service = self._services().get(worker.entry.service)
        return service if service is not None and service.cold_per_s > 0 else None
