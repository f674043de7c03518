"""Listeners of the configuration, called with ever newer snapshots."""

import threading

from bellweir.configuration.interface import ConfigurationListener, ConfigurationSnapshot
from bellweir.configuration.log_events import LISTENER_FAILED
from bellweir.events.log import emit


class Subscription:
    """Calls one listener, never with an older snapshot than before.

    The first call comes from the subscriber's thread and may cross one of the core's task; the
    lock orders the two, and the older one is then dropped.
    """

    def __init__(self, node: str, listener: ConfigurationListener) -> None:
        self._node = node
        self._listener = listener
        self._lock = threading.Lock()
        self._delivered: ConfigurationSnapshot | None = None

    def deliver(self, snapshot: ConfigurationSnapshot) -> None:
        """Call the listener; its failure is logged and goes no further."""
        with self._lock:
            if self._delivered is not None and _is_older(snapshot, self._delivered):
                return
            self._delivered = snapshot
            try:
                self._listener(snapshot)
            except Exception as failure:
                emit(LISTENER_FAILED, node=self._node, error=repr(failure))


def _is_older(snapshot: ConfigurationSnapshot, than: ConfigurationSnapshot) -> bool:
    return snapshot.revision < than.revision or snapshot.machines_revision < than.machines_revision


class Subscriptions:
    """All listeners of one node."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._lock = threading.Lock()
        self._subscriptions: list[Subscription] = []
        self._latest: ConfigurationSnapshot | None = None

    def add(self, listener: ConfigurationListener) -> None:
        """Call `listener` with each newest snapshot, and at once when there is one."""
        subscription = Subscription(self._node, listener)
        with self._lock:
            self._subscriptions.append(subscription)
            snapshot = self._latest
        if snapshot is not None:
            subscription.deliver(snapshot)

    def deliver(self, snapshot: ConfigurationSnapshot) -> None:
        """Call all listeners, unless they have had this snapshot."""
        with self._lock:
            if snapshot is self._latest:
                return
            self._latest = snapshot
            subscriptions = tuple(self._subscriptions)
        for subscription in subscriptions:
            subscription.deliver(snapshot)
