"""Datagrams on their way out, under the rehearsal's network faults."""

import contextlib
import heapq
import itertools
from typing import Protocol

from bellweir.wire.faults import NetworkFaults
from bellweir.wire.sockets import split_address
from bellweir.wire.traffic import TrafficCounter

MAXIMUM_DELAYED = 4096


class DatagramChannel(Protocol):
    """What is needed of a UDP socket."""

    def sendto(self, data: bytes, address: tuple[str, int], /) -> int:
        """Send one datagram without waiting."""


class Outbox:
    """Sends datagrams at once, or later when a fault delays them. Not safe for threads."""

    def __init__(
        self, channel: DatagramChannel, faults: NetworkFaults, traffic: TrafficCounter
    ) -> None:
        self._channel = channel
        self._faults = faults
        self._traffic = traffic
        self._order = itertools.count()
        self._delayed: list[tuple[float, int, str, bytes]] = []

    def send(self, address: str, data: bytes, now_s: float) -> None:
        """Send one datagram; best effort, as UDP is."""
        rule = self._faults.towards(address)
        if rule is None:
            self._send_now(address, data)
            return
        if self._faults.drops(rule) or len(self._delayed) >= MAXIMUM_DELAYED:
            return
        due_s = now_s + self._faults.datagram_delay_s(rule)
        heapq.heappush(self._delayed, (due_s, next(self._order), address, data))
        self.send_due(now_s)

    def send_due(self, now_s: float) -> None:
        """Send what has been delayed long enough."""
        while self._delayed and self._delayed[0][0] <= now_s:
            _, _, address, data = heapq.heappop(self._delayed)
            self._send_now(address, data)

    def next_due_s(self) -> float:
        """Return when the next delayed datagram is due; infinity without one."""
        return self._delayed[0][0] if self._delayed else float("inf")

    def _send_now(self, address: str, data: bytes) -> None:
        # A full socket buffer or an address that is gone loses the datagram, as the net may.
        with contextlib.suppress(OSError, ValueError):
            self._channel.sendto(data, split_address(address))
            self._traffic.count_sent(len(data))
