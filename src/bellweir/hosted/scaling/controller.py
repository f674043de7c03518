"""Orders workers for the zones of each service that may be scaled, under the duties' lease.

An order says how many workers a zone holds, so that the same order again does no harm. Each one is
followed by a pause in which its workers start; then it is given again if they have not come.
"""

import time
from collections.abc import Callable, Mapping

from bellweir.events.log import emit
from bellweir.hosted.interface import DutyAnswer, DutyPlatform, WorkersOrder
from bellweir.hosted.log_events import WORKERS_ORDERED
from bellweir.hosted.records import ServiceEntry
from bellweir.hosted.scaling.interface import ScalingLimits, ScalingPolicy, Wish, ZoneState
from bellweir.hosted.scaling.standing import StandingWorkers
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir.hosted.weights.lease import Lease

CALL_TIMEOUT_S = 0.5
"""Time for a call; a holder's act must be over soon after its lease is."""
DRY_S = 6.0
"""Time for which a zone that can have no worker is not asked again."""
AGAIN_MARGIN_S = 3.0
"""Time beyond a worker's start after which an order is given again: its entry must be written, and
read here."""
UNANSWERED_PAUSE_S = 0.6
"""Pause after a call that was not done, or whose answer was lost."""
OLDEST_VIEW_S = 3.0
"""Age of the list of workers from which on nobody is missed: it may lack those who live."""


class ScalingController:
    """`step` is called by one task, about twice a second, on every node that may hold the lease."""

    def __init__(
        self,
        lease: Lease,
        platform: DutyPlatform,
        configuration: ConfigurationView,
        workers: WorkersView,
        policy: ScalingPolicy,
        node: str,
        workers_age_s: Callable[[], float] = lambda: 0.0,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`workers_age_s` tells since when the list of workers may have changed."""
        self._lease = lease
        self._platform = platform
        self._configuration = configuration
        self._workers = workers
        self._policy = policy
        self._node = node
        self._workers_age_s = workers_age_s
        self._now_s = now_s
        self._services: dict[str, StandingWorkers] = {}
        self._not_before_s: dict[tuple[str, str], float] = {}

    def step(self) -> None:
        """Look at each service; the holder of the lease orders what its policy wants."""
        table = self._configuration.table()
        if table is None or self._workers_age_s() > OLDEST_VIEW_S:
            return
        for name, entry in table.services.items():
            limits = limits_of(entry)
            if limits is not None:
                self._look_at(name, limits)

    def _look_at(self, service: str, limits: ScalingLimits) -> None:
        now_s = self._now_s()
        standing = self._services.setdefault(service, StandingWorkers())
        ready = self._workers.ready(service)
        standing.note((worker.entry.zone for worker in ready), limits.prices, now_s)
        if self._lease.remaining_s() <= 0:
            return
        for wish in self._policy.wishes(standing.zones, limits, now_s):
            if now_s >= self._not_before_s.get((service, wish.zone), float("-inf")):
                self._order(service, wish, standing.zones, limits)

    def _order(
        self, service: str, wish: Wish, zones: Mapping[str, ZoneState], limits: ScalingLimits
    ) -> None:
        zone = zones[wish.zone]
        fence = self._lease.begin_operation(CALL_TIMEOUT_S)
        if fence == 0:
            return
        order = WorkersOrder(service, wish.zone, wish.count, self._node, fence)
        answer = self._platform.order_workers(order, CALL_TIMEOUT_S)
        emit(
            WORKERS_ORDERED,
            service=service,
            zone=wish.zone,
            ready=zone.ready,
            standing=zone.standing,
            wanted=wish.count,
            reason=wish.reason,
            fence=fence,
            answer=answer.value,
        )
        now_s = self._now_s()
        pause_s = UNANSWERED_PAUSE_S
        if answer is DutyAnswer.DONE:
            zone.standing = wish.count
            for dry in wish.instead_of:
                zones[dry].standing = zones[dry].ready
            pause_s = limits.boot_s + AGAIN_MARGIN_S
        elif answer in (DutyAnswer.REFUSED, DutyAnswer.INVALID):
            zone.is_dry_until_s = now_s + DRY_S
            pause_s = DRY_S
        self._not_before_s[(service, wish.zone)] = now_s + pause_s


def limits_of(entry: ServiceEntry) -> ScalingLimits | None:
    """Return what a service's entry allows; None for one that is not scaled from here."""
    allowed = entry.autoscale
    if allowed is None or allowed.max < 1:
        return None
    return ScalingLimits(allowed.min, allowed.max, allowed.boot_s, allowed.zone_prices)
