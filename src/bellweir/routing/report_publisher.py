"""Owner's side of reports: tracks subscriptions and the last entry sent to each subscriber."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from bellweir.routing.backend import BackendReport
from bellweir.routing.messages import (
    BackendStatus,
    PushReports,
    ReportEntry,
    SubscribeReports,
    status_of,
)

SUBSCRIPTION_TTL_S = 12.0
HEARTBEAT_INTERVAL_S = 2.0
"""Unchanged reports are sent again this often, so that subscribers do not treat them as stale."""
ENTRY_BYTES = 80
"""Approximate size of a message with one report; see bench/routing_reports.py."""
PUSH_BYTES_PER_S = 2048
"""Bandwidth limit for periodic pushes; status changes are sent at once."""
MAX_PUSH_INTERVAL_S = 2.0
"""Takes precedence over the bandwidth limit, to keep reports from becoming stale: beyond about 50
pairs the bytes grow with the pairs."""
MAX_SUBSCRIPTIONS = 4096
"""Limit on (subscriber, back end) pairs."""

SendReports = Callable[[str, PushReports], bool]


@dataclass
class _Subscription:
    expires_s: float
    interactive: bool = False
    last_sent: ReportEntry | None = None
    last_sent_s: float = 0.0
    needs_status: bool = True


@dataclass
class _PublishedBackend:
    report: BackendReport | None = None
    status: BackendStatus | None = None
    status_version: int = field(default_factory=lambda: random.getrandbits(30))
    subscribers: dict[str, _Subscription] = field(default_factory=dict)

    def interactive(self) -> int:
        """Number of subscribers with interactive requests on the back end."""
        return sum(found.interactive for found in self.subscribers.values())


class ReportPublisher:
    """Publishes reports to subscribers; thread-safe, sends outside its lock."""

    def __init__(
        self,
        send: SendReports,
        report_period_s: float,
        is_used_locally: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._send = send
        self._is_used_locally = is_used_locally
        """Whether this node has interactive requests on a back end."""
        self._report_period_s = report_period_s
        self._lock = threading.Lock()
        self._published: dict[str, _PublishedBackend] = {}
        self._pairs = 0
        self._next_push_s = 0.0

    def workers(self, now_s: float) -> list[str]:
        """Back ends with at least one subscriber, as `pool/worker`."""
        with self._lock:
            self._drop_expired(now_s)
            return list(self._published)

    def subscribe(self, address: str, message: SubscribeReports, now_s: float) -> None:
        """Create or renew the subscriptions of the node at `address`.

        At `MAX_SUBSCRIPTIONS` no new ones are created; existing ones are renewed all the same.
        """
        interactive, fresh = set(message.interactive), set(message.fresh)
        with self._lock:
            for worker in message.workers:
                subscription = self._subscription(worker, address, now_s)
                if subscription is None:
                    continue
                subscription.expires_s = now_s + SUBSCRIPTION_TTL_S
                subscription.interactive = worker in interactive
                subscription.needs_status = subscription.needs_status or worker in fresh

    def interactive_subscribers(self, worker: str) -> int:
        """Number of subscribers with interactive requests on a back end."""
        with self._lock:
            published = self._published.get(worker)
            if published is None:
                return 0
            return published.interactive()

    def subscribers_to(self, worker: str) -> list[str]:
        """Addresses of a back end's subscribers."""
        with self._lock:
            published = self._published.get(worker)
            return list(published.subscribers) if published is not None else []

    def publish(self, worker: str, report: BackendReport, now_s: float) -> None:
        """Store a probe's report; status changes are sent at once, load with the next push."""
        status = status_of(report)
        with self._lock:
            published = self._published.get(worker)
            if published is None:
                return
            published.report = report
            urgent = published.status != status
            if urgent:
                published.status = status
                published.status_version += 1
                for subscription in published.subscribers.values():
                    subscription.needs_status = True
            batches = self._collect([worker], now_s) if urgent else {}
        self._send_all(batches)

    def push(self, now_s: float) -> None:
        """Send changed reports if the push interval has elapsed."""
        with self._lock:
            if now_s < self._next_push_s:
                return
            self._next_push_s = now_s + self.push_interval_s()
            batches = self._collect(list(self._published), now_s)
        self._send_all(batches)

    def push_interval_s(self) -> float:
        """Push interval; grows with the number of subscriptions to limit bandwidth."""
        bounded_s = min(MAX_PUSH_INTERVAL_S, self._pairs * ENTRY_BYTES / PUSH_BYTES_PER_S)
        return max(self._report_period_s, bounded_s)

    def _subscription(self, worker: str, address: str, now_s: float) -> _Subscription | None:
        published = self._published.get(worker)
        known = published.subscribers.get(address) if published is not None else None
        if known is not None:
            return known
        if self._pairs >= MAX_SUBSCRIPTIONS:
            return None
        subscription = _Subscription(now_s)
        published = self._published.setdefault(worker, _PublishedBackend())
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
        """Entries to send, by subscriber address; marks them as sent."""
        batches: dict[str, list[ReportEntry]] = {}
        for worker in workers:
            published = self._published[worker]
            if published.report is None:
                continue
            interactive = published.interactive() + self._is_used_locally(worker)
            for address, subscription in published.subscribers.items():
                entry = _make_entry(
                    worker, published, interactive, subscription.needs_status, now_s
                )
                if entry is None or not _should_send(subscription, entry, now_s):
                    continue
                subscription.last_sent = entry
                subscription.last_sent_s = now_s
                subscription.needs_status = False
                batches.setdefault(address, []).append(entry)
        return batches

    def _send_all(self, batches: dict[str, list[ReportEntry]]) -> None:
        for address, entries in batches.items():
            self._send(address, PushReports(tuple(entries)))


def _make_entry(
    worker: str, published: _PublishedBackend, interactive: int, with_status: bool, now_s: float
) -> ReportEntry | None:
    report = published.report
    if report is None:
        return None
    age_ms = max(0, round((now_s - report.made_s) * 1000))
    status = published.status if with_status else None
    return ReportEntry(worker, age_ms, report.load, interactive, published.status_version, status)


def _should_send(subscription: _Subscription, entry: ReportEntry, now_s: float) -> bool:
    last_sent = subscription.last_sent
    if (
        last_sent is None
        or entry.status is not None
        or now_s - subscription.last_sent_s >= HEARTBEAT_INTERVAL_S
    ):
        return True
    return entry.load != last_sent.load or bool(entry.interactive) != bool(last_sent.interactive)
