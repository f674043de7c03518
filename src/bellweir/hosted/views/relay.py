"""Relays views of the store inside a zone, so that few nodes of many call the store.

In a zone of many nodes two of them, the zone's readers, follow the store. Every other node
subscribes to both and is told what changed, and a few times a second that nothing did. What is
told carries its age, so that a node notices by itself when its readers are cut off from the store
and then follows it on its own; tellings that go in a circle only grow older.

A node sends two messages a second and gets five, whatever the number of nodes. A reader sends
`2.5 + changes a second` messages for each node of its zone.
"""

import threading
import time
from collections.abc import Callable, Sequence

import xxhash

from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.kind_state import KindNews
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.wire.interface import Message, Sender, Transport

READERS_IN_ZONE = 2
"""With two, the loss of one is not noticed."""
SMALLEST_RELAYED_ZONE = 7
"""Nodes of a zone from which on it has readers."""
SUBSCRIBE_PERIOD_S = 1.0
SUBSCRIPTION_S = 3.5
"""Time without a renewal after which a subscriber is told nothing more."""
HEARTBEAT_S = 0.4
"""Time between two messages to a subscriber while nothing changes."""


class ViewsSubscription(Message, frozen=True):
    """Asks a reader to tell what is new."""

    known: dict[str, int]
    """Revision by kind up to which the sender knows all changes."""


class ViewsNews(Message, frozen=True):
    """What a reader tells its subscribers."""

    kinds: tuple[KindNews, ...]


class _Subscriber:
    __slots__ = ("known", "until_s")

    def __init__(self, known: dict[str, int], until_s: float) -> None:
        self.known = known
        self.until_s = until_s


def zone_readers(members: Sequence[Member], zone: str) -> list[Member]:
    """Return the nodes that read the store for a zone; none in a small zone.

    All nodes that see the same members choose the same ones, by rendezvous hash.
    """
    alive = [one for one in members if one.zone == zone and one.state is MemberState.ALIVE]
    if len(alive) < SMALLEST_RELAYED_ZONE:
        return []
    ranked = sorted(alive, key=lambda one: xxhash.xxh3_64_intdigest(one.node.encode()))
    return ranked[:READERS_IN_ZONE]


class ViewsRelay:
    """One node's part: a subscriber, or a reader with subscribers.

    A subscriber may be wrong about who reads. Whoever is asked tells what it knows and how old
    that is.
    """

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        followers: Sequence[KindFollower],
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = transport
        self._membership = membership
        self._followers = {one.state.kind: one for one in followers}
        self._now_s = now_s
        self._lock = threading.Lock()
        self._subscribers: dict[str, _Subscriber] = {}
        self._changed = threading.Event()
        for follower in followers:
            follower.state.advanced = self._changed.set
        transport.register(ViewsSubscription, self._on_subscription)
        transport.register(ViewsNews, self._on_news)

    def subscriber_count(self) -> int:
        """Nodes that rely on what this node reads."""
        return len(self._subscribers)

    def tell(self, stopping: threading.Event) -> None:
        """Tell subscribers what is new, until `stopping`. One task."""
        while not stopping.is_set():
            self._changed.wait(HEARTBEAT_S)
            self._changed.clear()
            for address, subscriber in self._live_subscribers():
                self._tell_one(address, subscriber)

    def subscribe(self, stopping: threading.Event) -> None:
        """Keep this node subscribed to its zone's readers, until `stopping`. One task."""
        while not stopping.wait(SUBSCRIBE_PERIOD_S):
            self.renew()

    def renew(self) -> None:
        """Subscribe to the readers, unless this node is one of them."""
        own = self._membership.self_member()
        readers = zone_readers(self._membership.members(), own.zone)
        others = [one for one in readers if one.node != own.node]
        has_readers = bool(readers) and len(others) == len(readers)
        for follower in self._followers.values():
            follower.has_readers = has_readers
        if has_readers:
            for reader in others:
                self._transport.send(reader.peer_address, ViewsSubscription(self._known()))

    def _known(self) -> dict[str, int]:
        states = [one.state for one in self._followers.values()]
        return {one.kind: one.revision for one in states if one.revision is not None}

    def _on_subscription(self, sender: Sender, message: ViewsSubscription) -> None:
        until_s = self._now_s() + SUBSCRIPTION_S
        with self._lock:
            is_new = sender.address not in self._subscribers
            self._subscribers[sender.address] = _Subscriber(dict(message.known), until_s)
        if is_new:
            self._changed.set()

    def _on_news(self, sender: Sender, message: ViewsNews) -> None:
        now_s = self._now_s()
        has_gap = False
        for news in message.kinds:
            follower = self._followers.get(news.kind)
            if follower is not None and not follower.state.take_news(news, now_s):
                has_gap = True
        if has_gap:
            self._transport.send(sender.address, ViewsSubscription(self._known()))

    def _live_subscribers(self) -> list[tuple[str, _Subscriber]]:
        now_s = self._now_s()
        with self._lock:
            gone = [key for key, one in self._subscribers.items() if one.until_s < now_s]
            for address in gone:
                del self._subscribers[address]
            return list(self._subscribers.items())

    def _tell_one(self, address: str, subscriber: _Subscriber) -> None:
        now_s = self._now_s()
        told: list[KindNews] = []
        for kind, follower in self._followers.items():
            news = follower.state.news_since(subscriber.known.get(kind), now_s)
            if news is not None:
                told.append(news)
        if told and self._transport.send(address, ViewsNews(tuple(told))):
            subscriber.known.update({news.kind: news.revision for news in told})
