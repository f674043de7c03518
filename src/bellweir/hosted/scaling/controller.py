"""Autoscaling controller: orders workers from the platform under the lease of the duties.

An order states the desired count of a zone and is therefore idempotent. After an order the
controller waits for the workers to start, and repeats the order if they have not.
"""

from collections.abc import Callable, Mapping

from bellweir.events.log import emit
from bellweir.hosted.interface import DutyOutcome, DutyPlatform, WorkerCountOrder
from bellweir.hosted.log_events import WORKERS_ORDERED
from bellweir.hosted.records import ServiceEntry
from bellweir.hosted.scaling.desired_counts import DesiredCounts
from bellweir.hosted.scaling.interface import (
    ScalingDecision,
    ScalingLimits,
    ScalingPolicy,
    ZoneState,
)
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir.hosted.weights.lease import Lease
from bellweir.kernel.clock import elapsed_s

CALL_TIMEOUT_S = 0.5
"""Kept short, since calls must end soon after the lease does."""
CAPACITY_BACKOFF_S = 6.0
"""Backoff for a zone in which the platform has no capacity."""
REORDER_MARGIN_S = 3.0
"""Time allowed, beyond the boot time, for a new worker's entry to be written and read here."""
FAILED_CALL_BACKOFF_S = 0.6
"""Backoff after a call that failed or whose outcome is unknown."""
MAX_WORKERS_AGE_S = 3.0
"""With an older list of workers nothing is ordered, as it may lack live workers."""


class ScalingController:
    """Runs on every node that may hold the lease; `step` is called periodically by one task."""

    def __init__(
        self,
        lease: Lease,
        platform: DutyPlatform,
        configuration: ConfigurationView,
        workers: WorkersView,
        policy: ScalingPolicy,
        node: str,
        workers_age_s: Callable[[], float] = lambda: 0.0,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`workers_age_s` returns how long the list of workers may have been out of date."""
        self._lease = lease
        self._platform = platform
        self._configuration = configuration
        self._workers = workers
        self._policy = policy
        self._node = node
        self._workers_age_s = workers_age_s
        self._now_s = now_s
        self._services: dict[str, DesiredCounts] = {}
        self._next_order_s: dict[tuple[str, str], float] = {}

    def step(self) -> None:
        """Update the state of all services; as lease holder, order what the policy decides."""
        table = self._configuration.table()
        if table is None or self._workers_age_s() > MAX_WORKERS_AGE_S:
            return
        for name, entry in table.services.items():
            limits = scaling_limits(entry)
            if limits is not None:
                self._reconcile(name, limits)

    def _reconcile(self, service: str, limits: ScalingLimits) -> None:
        now_s = self._now_s()
        desired = self._services.setdefault(service, DesiredCounts())
        ready = self._workers.ready(service)
        desired.observe((worker.entry.zone for worker in ready), limits.prices, now_s)
        if self._lease.remaining_s() <= 0:
            return
        for decision in self._policy.decide(desired.zones, limits, now_s):
            if now_s >= self._next_order_s.get((service, decision.zone), float("-inf")):
                self._order(service, decision, desired.zones, limits)

    def _order(
        self,
        service: str,
        decision: ScalingDecision,
        zones: Mapping[str, ZoneState],
        limits: ScalingLimits,
    ) -> None:
        zone = zones[decision.zone]
        fencing_token = self._lease.begin_operation(CALL_TIMEOUT_S)
        if fencing_token == 0:
            return
        order = WorkerCountOrder(service, decision.zone, decision.count, self._node, fencing_token)
        answer = self._platform.order_workers(order, CALL_TIMEOUT_S)
        emit(
            WORKERS_ORDERED,
            service=service,
            zone=decision.zone,
            ready=zone.ready,
            standing=zone.desired,
            wanted=decision.count,
            reason=decision.reason,
            fence=fencing_token,
            answer=answer.value,
        )
        now_s = self._now_s()
        backoff_s = FAILED_CALL_BACKOFF_S
        if answer is DutyOutcome.DONE:
            zone.desired = decision.count
            for exhausted in decision.replaced_zones:
                zones[exhausted].desired = zones[exhausted].ready
            backoff_s = limits.boot_s + REORDER_MARGIN_S
        elif answer in (DutyOutcome.REFUSED, DutyOutcome.INVALID):
            zone.exhausted_until_s = now_s + CAPACITY_BACKOFF_S
            backoff_s = CAPACITY_BACKOFF_S
        self._next_order_s[(service, decision.zone)] = now_s + backoff_s


def scaling_limits(entry: ServiceEntry) -> ScalingLimits | None:
    """Return the scaling limits of a service; None if it is not autoscaled."""
    allowed = entry.autoscale
    if allowed is None or allowed.max < 1:
        return None
    return ScalingLimits(allowed.min, allowed.max, allowed.boot_s, allowed.zone_prices)
