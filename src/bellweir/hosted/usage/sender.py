"""Service `usage_counts`: sends a gateway's usage counts to the replicated log."""

import os
import threading

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.log_events import USAGE_TOO_LATE
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.usage.counter import UsageCounter
from bellweir.hosted.usage.state import USAGE_KEY, AddUsage, UsageAdded, UsageWindows
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger

SEND_INTERVAL_S = 0.7
"""Counts of up to this time are lost if a gateway is killed. At 14 requests a second over 60
gateways that is one request in six kills, below a hundredth of the 70 of a window."""
SEND_TIMEOUT_S = 1.0
FINAL_SEND_TIMEOUT_S = 0.4
"""Timeout at a graceful shutdown."""


class UsageSender:
    """Sends the counts of one process to the log and retries until they are stored."""

    def __init__(self, counter: UsageCounter, ledger: Ledger, source: str) -> None:
        """`source` identifies the node and this run of its process."""
        self._counter = counter
        self._ledger = ledger
        self._source = source

    def send(self, timeout_s: float) -> bool:
        """Send the changed counts; on failure they are requeued and the result is False."""
        windows = self._counter.take_unsent()
        if not windows:
            return True
        result = self._ledger.submit(USAGE_KEY, AddUsage(self._source, windows), timeout_s)
        if not isinstance(result, Success):
            self._counter.requeue(windows)
            return False
        reply = result.unwrap()
        if isinstance(reply, UsageAdded) and reply.too_late:
            emit(USAGE_TOO_LATE, windows=list(reply.too_late))
        return True


class UsageCountsService(Service):
    """Owns the gateway's usage counter and sends its counts periodically."""

    name = names.USAGE_COUNTS
    dependencies = (names.LEDGER,)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._is_reported = settings.usage.address is not None
        self.counter = UsageCounter(settings.usage.window_s, StableWallClock())
        self._source = f"{settings.node.name}/{os.urandom(6).hex()}"
        self._sender: UsageSender | None = None

    def start(self) -> None:
        """Start sending counts, if the platform takes usage reports."""
        ledger = self._kernel.registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        ledger.register(UsageWindows)
        if self._is_reported:
            self._sender = UsageSender(self.counter, ledger, self._source)
            self._kernel.executors.run_loop("tell-usage", self._run)

    def stop(self) -> None:
        """Send the remaining counts; the service that counts requests has already stopped."""
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.send(FINAL_SEND_TIMEOUT_S)

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.wait(SEND_INTERVAL_S):
            sender = self._sender
            if sender is not None:
                sender.send(SEND_TIMEOUT_S)
