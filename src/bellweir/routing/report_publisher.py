"""Owner's side of reports: who has asked for which back end, and what each was told last."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from bellweir.routing.backend import BackendReport
from bellweir.routing.messages import (
    PushReports,
    ReportEntry,
    ReportFacts,
    SubscribeReports,
    facts_of,
)

SUBSCRIPTION_LIFE_S = 12.0
"""A subscription that is not renewed ends after this time."""
HEARTBEAT_S = 2.0
"""A report that has not changed is sent again after this time, so that it does not grow stale."""
ENTRY_BYTES = 80
"""About the bytes of one report in a message of its own; measured by bench/routing_reports.py."""
PUSH_BYTES_PER_S = 2048
"""Bound of what an owner sends, by sending less often; urgent changes are not held back."""
LONGEST_PUSH_PERIOD_S = 2.0
"""Reports must not grow stale, so that beyond about 50 pairs the bytes grow with the pairs."""
MAXIMUM_SUBSCRIPTIONS = 4096
"""Pairs of subscriber and back end that one owner serves."""

SendReports = Callable[[str, PushReports], bool]


@dataclass
class _Subscription:
    expires_s: float
    interactive: bool = False
    told: ReportEntry | None = None
    told_s: float = 0.0
    wants_facts: bool = True


@dataclass
class _Published:
    report: BackendReport | None = None
    facts: ReportFacts | None = None
    facts_number: int = field(default_factory=lambda: random.getrandbits(30))
    subscribers: dict[str, _Subscription] = field(default_factory=dict)

    def interactive(self) -> int:
        """Subscribers with requests that callers wait for."""
        return sum(found.interactive for found in self.subscribers.values())


class ReportPublisher:
    """Thread-safe; sends outside its lock."""

    def __init__(
        self,
        send: SendReports,
        report_period_s: float,
        used_here: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._send = send
        self._used_here = used_here
        """Whether this node itself uses a back end for callers."""
        self._report_period_s = report_period_s
        self._lock = threading.Lock()
        self._published: dict[str, _Published] = {}
        self._pairs = 0
        self._next_push_s = 0.0

    def workers(self, now_s: float) -> list[str]:
        """Back ends that somebody wants reports of, as `pool/worker`."""
        with self._lock:
            self._drop_expired(now_s)
            return list(self._published)

    def subscribe(self, address: str, message: SubscribeReports, now_s: float) -> None:
        """Begin or renew the subscriptions of the node at `address`."""
        interactive, fresh = set(message.interactive), set(message.fresh)
        with self._lock:
            for worker in message.workers:
                subscription = self._subscription(worker, address, now_s)
                if subscription is None:
                    return
                subscription.expires_s = now_s + SUBSCRIPTION_LIFE_S
                subscription.interactive = worker in interactive
                subscription.wants_facts = subscription.wants_facts or worker in fresh

    def interactive_of(self, worker: str) -> int:
        """Subscribers with requests on a back end that callers wait for."""
        with self._lock:
            published = self._published.get(worker)
            if published is None:
                return 0
            return published.interactive()

    def subscribers_of(self, worker: str) -> list[str]:
        """Addresses of the nodes that want reports of a back end."""
        with self._lock:
            published = self._published.get(worker)
            return list(published.subscribers) if published is not None else []

    def publish(self, worker: str, report: BackendReport, now_s: float) -> None:
        """Take a probe's report; changed facts are sent at once, load at the next push."""
        facts = facts_of(report)
        with self._lock:
            published = self._published.get(worker)
            if published is None:
                return
            published.report = report
            urgent = published.facts != facts
            if urgent:
                published.facts = facts
                published.facts_number += 1
                for subscription in published.subscribers.values():
                    subscription.wants_facts = True
            batches = self._collect([worker], now_s) if urgent else {}
        self._send_all(batches)

    def push(self, now_s: float) -> None:
        """Send what has changed, if it is time to within the bound of bytes."""
        with self._lock:
            if now_s < self._next_push_s:
                return
            self._next_push_s = now_s + self.push_period_s()
            batches = self._collect(list(self._published), now_s)
        self._send_all(batches)

    def push_period_s(self) -> float:
        """Time between two pushes: longer the more pairs there are, so that bytes are bounded."""
        bounded_s = min(LONGEST_PUSH_PERIOD_S, self._pairs * ENTRY_BYTES / PUSH_BYTES_PER_S)
        return max(self._report_period_s, bounded_s)

    def _subscription(self, worker: str, address: str, now_s: float) -> _Subscription | None:
        published = self._published.setdefault(worker, _Published())
        subscription = published.subscribers.get(address)
        if subscription is None:
            if self._pairs >= MAXIMUM_SUBSCRIPTIONS:
                return None
            subscription = _Subscription(now_s)
            published.subscribers[address] = subscription
            self._pairs += 1
        return subscription

    def _drop_expired(self, now_s: float) -> None:
        for worker, published in list(self._published.items()):
            for address, subscription in list(published.subscribers.items()):
                if subscription.expires_s < now_s:
                    del published.subscribers[address]
                    self._pairs -= 1
            if not published.subscribers:
                del self._published[worker]

    def _collect(self, workers: list[str], now_s: float) -> dict[str, list[ReportEntry]]:
        """What each subscriber has to be told; noted as told."""
        batches: dict[str, list[ReportEntry]] = {}
        for worker in workers:
            published = self._published[worker]
            if published.report is None:
                continue
            interactive = published.interactive() + self._used_here(worker)
            for address, subscription in published.subscribers.items():
                entry = _entry(worker, published, interactive, subscription.wants_facts, now_s)
                if entry is None or not _worth_telling(subscription, entry, now_s):
                    continue
                subscription.told = entry
                subscription.told_s = now_s
                subscription.wants_facts = False
                batches.setdefault(address, []).append(entry)
        return batches

    def _send_all(self, batches: dict[str, list[ReportEntry]]) -> None:
        for address, entries in batches.items():
            self._send(address, PushReports(tuple(entries)))


def _entry(
    worker: str, published: _Published, interactive: int, with_facts: bool, now_s: float
) -> ReportEntry | None:
    report = published.report
    if report is None:
        return None
    age_ms = max(0, round((now_s - report.made_s) * 1000))
    facts = published.facts if with_facts else None
    return ReportEntry(worker, age_ms, report.load, interactive, published.facts_number, facts)


def _worth_telling(subscription: _Subscription, entry: ReportEntry, now_s: float) -> bool:
    told = subscription.told
    if told is None or entry.facts is not None or now_s - subscription.told_s >= HEARTBEAT_S:
        return True
    return entry.load != told.load or bool(entry.interactive) != bool(told.interactive)
