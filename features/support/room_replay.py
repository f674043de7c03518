"""Replays load against the admission control: simulated gateways, workers and clients.

Time is simulated by events. Gateways know each other's requests in flight with an age of up to
`report_interval_s`.
"""

import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace

from bellweir.hosted.queueing.admission_queue import AdmissionQueue
from bellweir.hosted.queueing.interface import CapacityEstimate, QueuedRequest, ReleaseCause
from bellweir.hosted.queueing.shares import RecentShares
from bellweir.hosted.room.interface import AdmissionAction, WorkerCapacity
from bellweir.hosted.room.observed import FRESH_TARGET_SHARE

WORKER_QUEUE = 24
TICK_S = 0.005
WAIT_SHARE = 1 / 8
MAX_REMAINING_SHARE = 1 / 3


class Replay:
    """Replays arrivals `(time, tenant, priority)` and counts the outcomes of their clients."""

    def __init__(
        self,
        policy,
        make_order,
        retry_policies,
        service_times_s,
        *,
        gateways=4,
        target_s=0.19,
        deadline_s=1.5,
        retries=1,
        slots=6,
        report_interval_s=0.1,
        max_length=64,
        reserve=True,
        fresh_share=FRESH_TARGET_SHARE,
    ):
        self.policy, self.retry_policies, self.service_times_s = (
            policy,
            retry_policies,
            service_times_s,
        )
        self.slots, self.retries, self.report_interval_s = slots, retries, report_interval_s
        self.target_s, self.deadline_s = target_s, deadline_s
        self.admission_queues = [
            AdmissionQueue(policy, make_order(), max_length, RecentShares() if reserve else None)
            for _ in range(gateways)
        ]
        self.in_flight = [0] * len(service_times_s)
        self.own = [[0] * len(service_times_s) for _ in range(gateways)]
        self.others = [[0] * len(service_times_s) for _ in range(gateways)]
        self.worker_queues = [[] for _ in service_times_s]
        self.running = [0] * len(service_times_s)
        self.results, self.attempts, self.max_queue_length = [], 0, 0
        self.returns, self.started = [], []
        self.random = random.Random(5)
        self._events, self._number = [], itertools.count()
        self._clients, self.checking = {}, set()
        self.shared_s, self.fresh_s = 0.0, fresh_share * target_s

    def run(self, arrivals, until_s=60.0):
        for at_s, tenant, priority in arrivals:
            client = SimpleNamespace(
                began_s=at_s, tenant=tenant, priority=priority, tries=0, is_accepted=False
            )
            self._at(at_s, self._arrive, client)
        self._at(0.0, self._share)
        while self._events:
            at_s, _, action, args = heapq.heappop(self._events)
            if at_s > until_s:
                break
            action(at_s, *args)
        return Counter(self.results)

    def _at(self, at_s, action, *args):
        heapq.heappush(self._events, (at_s, next(self._number), action, args))

    def _share(self, now_s):
        self.others = [
            [total - own for total, own in zip(self.in_flight, mine, strict=True)]
            for mine in self.own
        ]
        self.shared_s = now_s
        self._at(now_s + self.report_interval_s, self._share)

    def _capacities(self, gateway, now_s, max_age_s=float("inf")):
        """Like `room.observed`: the others' requests count while the report is fresh."""
        age_s = now_s - self.shared_s
        is_fresh = age_s <= max_age_s
        return [
            WorkerCapacity(self.slots, own + is_fresh * others, time_s, age_s if is_fresh else 0.0)
            for others, own, time_s in zip(
                self.others[gateway], self.own[gateway], self.service_times_s, strict=True
            )
        ]

    def _arrive(self, now_s, client):
        gateway = self.random.randrange(len(self.admission_queues))
        request = QueuedRequest(
            str(next(self._number)),
            client.tenant,
            client.priority,
            now_s,
            now_s + WAIT_SHARE * self.target_s,
            client.began_s + self.deadline_s,
            cost_s=0.04,
            target_s=self.target_s,
        )
        queue = self.admission_queues[gateway]
        client.tries += 1
        self._clients[id(request)] = client, request
        decision, displaced = queue.submit(
            request, self._capacities(gateway, now_s, self.fresh_s), now_s
        )
        self.max_queue_length = max(self.max_queue_length, len(queue))
        if displaced is not None:
            self._refuse(now_s, gateway, self._clients[id(displaced)][0])
        if decision.action is AdmissionAction.START:
            self._dispatch(now_s, gateway, client)
        elif decision.action is AdmissionAction.REFUSE:
            self._refuse(now_s, gateway, client)
        elif gateway not in self.checking:
            self.checking.add(gateway)
            self._at(now_s + TICK_S, self._check_queue, gateway)

    def _check_queue(self, now_s, gateway):
        queue = self.admission_queues[gateway]
        capacities = self._capacities(gateway, now_s, self.fresh_s)
        for released in list(queue.release_ready(capacities, now_s)):
            client = self._clients[id(released.request)][0]
            if released.cause in (ReleaseCause.ROOM, ReleaseCause.OVERDUE):
                self._dispatch(now_s, gateway, client)
            else:
                self._refuse(now_s, gateway, client)
        if len(queue):
            self._at(now_s + TICK_S, self._check_queue, gateway)
        else:
            self.checking.discard(gateway)

    def _dispatch(self, now_s, gateway, client):
        """Send to the best worker; full workers refuse, and the others are tried in turn."""
        self.admission_queues[gateway].dispatch_done()
        capacities = self._capacities(gateway, now_s)
        self.started.append((now_s, client.tenant))
        for number in sorted(
            range(len(capacities)), key=lambda each: capacities[each].completion_s()
        ):
            self.attempts += 1
            if self.in_flight[number] < self.slots + WORKER_QUEUE:
                self.in_flight[number] += 1
                self.own[gateway][number] += 1
                client.is_accepted = True
                self.worker_queues[number].append((gateway, client))
                return self._work(now_s, number)
        return self._refuse(now_s, gateway, client)

    def _work(self, now_s, number):
        while self.worker_queues[number] and self.running[number] < self.slots:
            gateway, client = self.worker_queues[number].pop(0)
            if now_s >= client.began_s + self.deadline_s:
                self._leave(number, gateway)
                self._end(client, "lost")
                continue
            self.running[number] += 1
            time_s = self.service_times_s[number] * self.random.uniform(0.8, 1.2)
            self._at(now_s + time_s, self._done, number, gateway, client)

    def _leave(self, number, gateway):
        self.in_flight[number] -= 1
        self.own[gateway][number] -= 1

    def _done(self, now_s, number, gateway, client):
        self.running[number] -= 1
        self._leave(number, gateway)
        took_s = now_s - client.began_s
        if took_s <= self.target_s:
            state = "in_time"
        elif client.tries > 1 and now_s - client.retried_s <= self.target_s:
            state = "in_time_after_refusal"
        else:
            state = "late" if took_s <= self.deadline_s else "lost"
        self._end(client, state)
        self._work(now_s, number)

    def _refuse(self, now_s, gateway, client):
        assert not client.is_accepted, "refused after a worker accepted it"
        remaining_s = client.began_s + self.deadline_s - now_s
        if client.tries > self.retries or remaining_s <= 0:
            return self._end(client, "refused")
        capacities = self._capacities(gateway, now_s)
        queue = self.admission_queues[gateway]
        own = sum(self.own[gateway])
        estimate = CapacityEstimate.from_workers(capacities, self.target_s, len(queue), own)
        retry_after_s = self.retry_policies(gateway).retry_after_s(
            "cards", estimate, remaining_s, remaining_s / self.deadline_s, now_s
        )
        client.retried_s = now_s + min(retry_after_s, MAX_REMAINING_SHARE * remaining_s)
        self.returns.append(client.retried_s)
        return self._at(client.retried_s, self._arrive, client)

    def _end(self, client, state):
        self.results.append((client.tenant, state))


def burst(
    seed,
    rate_per_s,
    factor=14,
    from_s=2.0,
    length_s=10.0,
    end_s=16.0,
    tenants=None,
    urgent=(),
):
    """Arrivals at a rate, `factor` times higher for `length_s`; tenants by their shares.

    Requests of the tenants in `urgent` have priority 0.
    """
    rng = random.Random(seed)
    found, now_s = [], 0.0
    names, shares = zip(*(tenants or {"": 1.0}).items(), strict=True)
    while now_s < end_s:
        is_burst = from_s <= now_s < from_s + length_s
        now_s += rng.expovariate(rate_per_s * (factor if is_burst else 1))
        tenant = rng.choices(names, shares)[0]
        found.append((now_s, tenant, 0 if tenant in urgent else 5))
    return found
