"""Subscriber's side of reports: renews subscriptions and decodes pushed entries."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from bellweir.routing.backend import Backend, BackendReport
from bellweir.routing.messages import BackendStatus, PushReports, SubscribeReports, report_of

RENEWAL_INTERVAL_S = 4.0
"""A third of the subscription TTL, so that one lost renewal does not end it."""

SendSubscription = Callable[[str, SubscribeReports], bool]


@dataclass
class _SentSubscription:
    message: SubscribeReports
    sent_s: float


@dataclass
class _VersionedStatus:
    version: int
    status: BackendStatus


@dataclass
class _State:
    sent: dict[str, _SentSubscription] = field(default_factory=dict)
    """By owner address."""
    status: dict[str, _VersionedStatus] = field(default_factory=dict)
    missing_status: set[str] = field(default_factory=set)
    """Back ends whose current status version was not received."""


class ReportSubscriber:
    """Subscribes to owners' reports; thread-safe, sends outside its lock."""

    def __init__(self, send: SendSubscription) -> None:
        self._send = send
        self._lock = threading.Lock()
        self._state = _State()

    def renew(self, by_owner: dict[str, list[Backend]], now_s: float) -> None:
        """Send subscriptions that changed or are due for renewal."""
        with self._lock:
            wanted = {
                address: self._message(backends, now_s) for address, backends in by_owner.items()
            }
            due = {
                address: message
                for address, message in wanted.items()
                if self._needs_renewal(address, message, now_s)
            }
            retained = {address: self._state.sent.get(address) for address in wanted}
            self._state.sent = {
                address: sent for address, sent in retained.items() if sent is not None
            }
            for address, message in due.items():
                self._state.sent[address] = _SentSubscription(message, now_s)
        for address, message in due.items():
            self._send(address, message)

    def apply(self, message: PushReports, now_s: float) -> list[tuple[str, BackendReport]]:
        """Convert pushed entries to reports; request the status again where it is unknown."""
        reports = []
        with self._lock:
            for entry in message.entries:
                if entry.status is not None:
                    self._state.status[entry.worker] = _VersionedStatus(
                        entry.status_version, entry.status
                    )
                    self._state.missing_status.discard(entry.worker)
                known = self._state.status.get(entry.worker)
                if known is None or known.version != entry.status_version:
                    self._state.missing_status.add(entry.worker)
                    continue
                reports.append((entry.worker, report_of(entry, known.status, now_s)))
        return reports

    def retain(self, workers: set[str]) -> None:
        """Discard the state of all other back ends."""
        with self._lock:
            self._state.status = {
                worker: status for worker, status in self._state.status.items() if worker in workers
            }
            self._state.missing_status &= workers

    def _message(self, backends: list[Backend], now_s: float) -> SubscribeReports:
        keys = [backend.key for backend in backends]
        interactive = [
            backend.key for backend in backends if backend.has_recent_interactive_request(now_s)
        ]
        fresh = [key for key in keys if key in self._state.missing_status]
        return SubscribeReports(tuple(keys), tuple(interactive), tuple(fresh))

    def _needs_renewal(self, address: str, message: SubscribeReports, now_s: float) -> bool:
        sent = self._state.sent.get(address)
        if sent is None or sent.message != message or message.fresh:
            return True
        return now_s - sent.sent_s >= RENEWAL_INTERVAL_S
