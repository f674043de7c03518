"""The transport between nodes. Service `transport`."""

import socket
import threading
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, ClassVar

from returns.result import Failure, Result

from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.wire.accepted_connection import AcceptedConnection
from bellweir.wire.connection_parts import ConnectionParts
from bellweir.wire.faults import NetworkFaults, Place
from bellweir.wire.frames import FrameError, OneWay, Request, encode_struct, with_length
from bellweir.wire.handler_pools import HandlerPools, HopLimitError, next_hop
from bellweir.wire.handshake import LocalNode
from bellweir.wire.interface import (
    AnyMessage,
    Handler,
    Message,
    Transport,
    WireError,
    WireErrorKind,
)
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.link_silence import SilenceBounds
from bellweir.wire.link_watch import LinkWatch
from bellweir.wire.peer_link import PeerLink
from bellweir.wire.send_queue import PendingRequest, QueuedFrame
from bellweir.wire.sockets import shut
from bellweir.wire.traffic import TrafficTotals

if TYPE_CHECKING:
    from bellweir.settings.models import Settings


ACCEPT_POLL_S = 0.5
OFFER_ATTEMPTS = 2
"""A link may end between finding it and queueing a frame; a new one is tried once."""
MAXIMUM_ACCEPTED_CONNECTIONS = 2048
"""Connections accepted at once; beyond, new ones are closed at once."""


class TransportService(Service, Transport):
    """One connection for each peer this node sends to, and one for each peer that sends to it.

    Each end's requests run on the connection that it opened, so two nodes that open
    connections to each other at once need not agree on one of them.
    """

    name: ClassVar[str] = names.TRANSPORT

    def __init__(self, kernel: Kernel, settings: "Settings") -> None:
        node = settings.node
        self._listener = kernel.listeners.peer_stream
        self._executors = kernel.executors
        address = kernel.listeners.peer_address
        self._parts = ConnectionParts(
            local=LocalNode(node.name, address),
            keys=ClusterKeys(settings.trust.cluster_key_files),
            executors=kernel.executors,
            faults=NetworkFaults(
                settings.network_faults.file, Place(node.name, address, node.zone, node.region)
            ),
            silence=SilenceBounds(settings.transport.contact_s),
        )
        self._watch = LinkWatch(self._parts.silence, self._open_links, self._parts.closing)
        self._pools = HandlerPools(kernel.executors)
        self._handlers: dict[type[Message], Handler] = {}
        self._lock = threading.Lock()
        self._links: dict[str, PeerLink] = {}
        self._accepted: set[AcceptedConnection] = set()

    @property
    def faults(self) -> NetworkFaults:
        """Rehearsal faults on this node's traffic."""
        return self._parts.faults

    @property
    def keys(self) -> ClusterKeys:
        """The cluster keys."""
        return self._parts.keys

    def traffic(self) -> TrafficTotals:
        """Messages and bytes over connections since the start, both directions."""
        return self._parts.traffic.totals()

    def start(self) -> None:
        """Accept peers; messages of services that have not registered yet are refused."""
        self._executors.run_task("peer-accept", self._accept)
        self._executors.run_loop("peer-watch", self._watch.run)

    def stop(self) -> None:
        """Close every connection; requests that wait fail."""
        self._parts.closing.set()
        self._watch.wake()
        shut(self._listener)  # Also wakes the accepting task.
        with self._lock:
            links = list(self._links.values())
            accepted = list(self._accepted)
        for link in links:
            link.close()
        for connection in accepted:
            connection.close()
        self._pools.stop()

    def close_links(self) -> None:
        """Close the connections this node opened; the next request opens a new one."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()

    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        """Handle messages of one type; see the interface."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self._handlers[message_type] = handler

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        """Send a request and wait for its answer; see the interface."""
        deadline_s = elapsed_s() + timeout_s
        try:
            hop = next_hop()
        except HopLimitError as failure:
            return _not_sent(str(failure))
        body = self._parts.codec.to_plain(message)
        outcome: Result[Message, WireError] = _not_sent("the transport stops")
        for _ in range(OFFER_ATTEMPTS):
            link = self._link_to(address)
            if link is None:
                return outcome
            left_s = max(0.0, deadline_s - elapsed_s())
            pending = link.new_request()
            frame = Request(pending.number, hop, left_s, body)
            try:
                data = with_length(encode_struct(frame))
            except FrameError as failure:
                link.forget(pending)
                return _not_sent(str(failure))
            if link.offer(QueuedFrame(data, pending, message.level)):
                return _wait_for_answer(link, pending, left_s)
            link.forget(pending)
            outcome = _not_sent("the peer's queue is full")
        return outcome

    def send(self, address: str, message: Message) -> bool:
        """Queue a one-way message; see the interface."""
        link = self._link_to(address)
        if link is None:
            return False
        body = self._parts.codec.to_plain(message)
        try:
            data = with_length(encode_struct(OneWay(0, body)))
        except FrameError:
            return False
        return link.offer(QueuedFrame(data, level=message.level))

    def peer_level(self, address: str) -> int | None:
        """Level that a peer's build has told; see the interface."""
        with self._lock:
            link = self._links.get(address)
        return link.level if link is not None else None

    def _link_to(self, address: str) -> PeerLink | None:
        with self._lock:
            if self._parts.closing.is_set():
                return None
            link = self._links.get(address)
            if link is not None and not link.ended:
                return link
            link = PeerLink(address, self._parts, self._watch.wake, self._link_ended)
            self._links[address] = link
        try:
            self._executors.run_task(f"peer {address}", link.run)
        except RuntimeError:
            # No thread can be started now. A link that nobody runs would take frames for ever.
            link.close()
            return None
        return link

    def _open_links(self) -> list[PeerLink]:
        with self._lock:
            return list(self._links.values())

    def _link_ended(self, link: PeerLink) -> None:
        with self._lock:
            if self._links.get(link.address) is link:
                del self._links[link.address]

    def _accept(self, stopping: threading.Event) -> None:
        self._listener.settimeout(ACCEPT_POLL_S)
        while not stopping.is_set() and not self._parts.closing.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                # The listener was closed, or the process ran out of descriptors for a while.
                self._parts.closing.wait(ACCEPT_POLL_S)
                continue
            self._take(connection)

    def _take(self, connection: socket.socket) -> None:
        accepted = AcceptedConnection(
            connection, self._parts, self._handlers, self._pools, self._accepted_ended
        )
        with self._lock:
            full = len(self._accepted) >= MAXIMUM_ACCEPTED_CONNECTIONS
            if not full and not self._parts.closing.is_set():
                self._accepted.add(accepted)
        if accepted not in self._accepted:
            shut(connection)
            return
        try:
            self._executors.run_task("peer-connection", accepted.run)
        except RuntimeError:
            # The node stops, or no thread can be started now: the peer learns it at once.
            accepted.close()
            self._accepted_ended(accepted)

    def _accepted_ended(self, accepted: AcceptedConnection) -> None:
        with self._lock:
            self._accepted.discard(accepted)


def _wait_for_answer(
    link: PeerLink, pending: PendingRequest, timeout_s: float
) -> Result[Message, WireError]:
    try:
        return pending.outcome.result(timeout_s)
    except FutureTimeoutError:
        return Failure(WireError(pending.give_up(), f"no answer within {timeout_s:.3g} s"))
    finally:
        link.forget(pending)


def _not_sent(detail: str) -> Failure[WireError]:
    return Failure(WireError(WireErrorKind.NOT_SENT, detail))
