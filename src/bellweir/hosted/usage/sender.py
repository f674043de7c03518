"""Service `usage_counts`: a gateway tells the log what it has counted."""

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

SEND_PERIOD_S = 0.7
"""Time between two tellings: what a gateway that is killed takes with it. At 14 requests a second
over 60 gateways that is one request in six kills, below a hundredth of a window's 70."""
SEND_TIMEOUT_S = 1.0
FINAL_SEND_TIMEOUT_S = 0.4
"""The same at a planned stop, whose time is short."""


class UsageSender:
    """Brings the counts of one process to the log, again and again until they are there."""

    def __init__(self, counter: UsageCounter, ledger: Ledger, source: str) -> None:
        """`source` names the node and this life of its process."""
        self._counter = counter
        self._ledger = ledger
        self._source = source

    def send(self, timeout_s: float) -> bool:
        """Tell what has changed; False when it could not be told and stays to be told."""
        windows = self._counter.take_unsent()
        if not windows:
            return True
        reply_result = self._ledger.submit(USAGE_KEY, AddUsage(self._source, windows), timeout_s)
        if not isinstance(reply_result, Success):
            self._counter.requeue(windows)
            return False
        reply = reply_result.unwrap()
        if isinstance(reply, UsageAdded) and reply.too_late:
            emit(USAGE_TOO_LATE, windows=list(reply.too_late))
        return True


class UsageCountsService(Service):
    """Holds a gateway's counter and tells of it."""

    name = names.USAGE_COUNTS
    dependencies = (names.LEDGER,)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._is_reported = settings.usage.address is not None
        self.counter = UsageCounter(settings.usage.window_s, StableWallClock())
        self._source = f"{settings.node.name}/{os.urandom(6).hex()}"
        self._sender: UsageSender | None = None

    def start(self) -> None:
        """Tell of the counts from now on, where somebody reports them."""
        ledger = self._kernel.registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        ledger.register(UsageWindows)
        if self._is_reported:
            self._sender = UsageSender(self.counter, ledger, self._source)
            self._kernel.executors.run_task("tell-usage", self._run)

    def stop(self) -> None:
        """Tell the rest; the service whose requests are counted has stopped before."""
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.send(FINAL_SEND_TIMEOUT_S)

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.wait(SEND_PERIOD_S):
            sender = self._sender
            if sender is not None:
                sender.send(SEND_TIMEOUT_S)
