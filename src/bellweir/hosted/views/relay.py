"""Relays the views between nodes, so that only a few nodes call the store.

Every node but the deployment's readers (`readers`) subscribes to two sources. A node that is served
neither by its sources nor by the store subscribes to fallback sources.
"""

import random
import threading
from collections.abc import Callable, Mapping, Sequence

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.log_events import STORE_SERVES_AGAIN, STORE_TURNS_AWAY
from bellweir.hosted.views.fallback_sources import FallbackSources
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.kind_state import NEVER_S, KindUpdate
from bellweir.hosted.views.readers import sources_of
from bellweir.kernel.clock import elapsed_s
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Message, Sender, Transport

RENEWAL_INTERVAL_S = 1.0
SUBSCRIPTION_TTL_S = 3.5
HEARTBEAT_INTERVAL_S = 0.4
SEED_PHASE_S = 3.0
"""Time after the start in which seeds are queried while membership settles; 195 nodes know each
other after 2 s."""
SEED_OVERLAP_S = 2.0
"""Time for which seeds are still queried after subscribing, until the readers are current."""
SEED_WAIT_S = 0.5
"""Time for which a starting node waits for a seed before it reads the store itself."""
FIRST_START_SEED_WAIT_S = 2.0
"""Used at the first start of a deployment, when seeds answer many nodes at once."""
SEED_TIMEOUT_S = 0.25
SEED_QUERY_INTERVAL_S = 0.5
"""Interval of queries to a seed that answers; keeps the view up to date."""
NEXT_SEED_DELAY_S = 0.05
CUT_OFF_TIMEOUT_S = 0.3
"""Time without the store after which fallback sources are used."""
PROBE_INTERVAL_S = 2.0
"""Interval of probes of the store by a node that is cut off."""
SOURCE_TIMEOUT_S = 1.5
"""Time without a message after which a source counts as failed; heartbeats come each 0.4 s."""
MIN_FORWARD_INTERVAL_S = 0.3
"""Minimum interval of forwarding updates that only confirm the state."""


class ViewsSubscription(Message, frozen=True):
    """Subscribes the sender to updates."""

    known: dict[str, int]
    """Revision by kind up to which the sender knows all changes."""


class ViewsQuestion(Message, frozen=True):
    """Queries a peer once; answered by `ViewsNews`."""

    known: dict[str, int]
    """Revision by kind up to which the sender knows all changes."""


class ViewsNews(Message, frozen=True):
    """Updates for a subscriber, or the answer to a query.

    Each update carries its age, so that a node whose sources are cut off from the store notices.
    Updates that are relayed in a cycle only grow older.
    """

    kinds: tuple[KindUpdate, ...]


class _Subscriber:
    __slots__ = ("known", "until_s")

    def __init__(self, known: dict[str, int], until_s: float) -> None:
        self.known = known
        self.until_s = until_s


class ViewsRelay:
    """Relay of one node, as a subscriber or as a source.

    A subscriber may be wrong about who reads the store, so every node answers with what it knows
    and its age.
    """

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        followers: Sequence[KindFollower],
        seeds: Sequence[str] = (),
        seed_wait_s: float = SEED_WAIT_S,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`seeds` are the addresses (`host:port`) of peers to query first; empty on a seed.

        With seeds, the store is not read for the first `seed_wait_s`.
        """
        self._transport = transport
        self._seeds = tuple(seeds)
        self._seed_wait_s = seed_wait_s
        self._membership = membership
        self._followers = {one.state.kind: one for one in followers}
        self._now_s = now_s
        self._lock = threading.Lock()
        self._subscribers: dict[str, _Subscriber] = {}
        self._changed = threading.Event()
        self._published_s = NEVER_S
        self._received_s: dict[str, float] = {}
        """Time of the last update by peer address."""
        self._queried_until_s = NEVER_S
        self._fallback_sources = FallbackSources()
        self._next_probe_s = NEVER_S
        self.is_cut_off = False
        """Whether the store does not serve this node, so that fallback sources are used."""
        for follower in followers:
            follower.state.on_advance = self._changed.set
            if self._seeds:
                follower.has_readers = True
                follower.wait_for_peers_until_s = now_s() + seed_wait_s
        transport.register(ViewsSubscription, self._on_subscription)
        transport.register(ViewsQuestion, self._on_query)
        transport.register(ViewsNews, self._on_news)

    def subscriber_count(self) -> int:
        """Return the number of subscribed nodes."""
        return len(self._subscribers)

    def has_dependents(self) -> bool:
        """Whether other nodes receive updates from this one, so that it must be up to date."""
        return bool(self._subscribers) or self._now_s() < self._queried_until_s

    def is_fresh(self) -> bool:
        """Whether the relayed updates of every kind are recent enough."""
        return all(one.is_relay_fresh() for one in self._relayed())

    def _relayed(self) -> list[KindFollower]:
        """Followers of the kinds that peers relay.

        A kind that older builds don't know counts once a peer has relayed it.
        """
        return [
            one
            for one in self._followers.values()
            if one.is_known_to_all or one.state.relayed_as_of_s > NEVER_S
        ]

    def publish(self, stopping: threading.Event) -> None:
        """Send updates and heartbeats to subscribers until `stopping`. Runs as one task."""
        while not stopping.is_set():
            self._changed.wait(HEARTBEAT_INTERVAL_S)
            self._changed.clear()
            self._published_s = self._now_s()
            for address, subscriber in self._live_subscribers():
                self._send_update(address, subscriber)

    def subscribe(self, stopping: threading.Event) -> None:
        """Query seeds at first, then renew the subscriptions until `stopping`. Runs as one task.

        The readers of the zone are known only after membership has settled.
        """
        self._query_seeds(SEED_PHASE_S, stopping)
        self.renew()
        if any(one.has_readers for one in self._followers.values()):
            # The readers are not up to date before they have read the store themselves.
            self._query_seeds(SEED_OVERLAP_S, stopping)
        while not stopping.is_set():
            self.renew()
            stopping.wait(RENEWAL_INTERVAL_S)

    def _query_seeds(self, seconds: float, stopping: threading.Event) -> None:
        """Query one seed periodically for `seconds`, or the next one if it does not answer.

        Without seeds, waits for the same time while this node follows the store.
        """
        end_s = self._now_s() + seconds
        seeds = random.sample(self._seeds, len(self._seeds))
        while self._now_s() < end_s and not stopping.is_set():
            pause_s = SEED_QUERY_INTERVAL_S
            if seeds and not self._query(seeds[0]):
                seeds.append(seeds.pop(0))
                pause_s = NEXT_SEED_DELAY_S
            stopping.wait(min(pause_s, max(0.0, end_s - self._now_s())))

    def _query(self, address: str) -> bool:
        """Query a peer once; returns whether the views are up to date afterwards."""
        answer = self._transport.request(address, ViewsQuestion(self._known()), SEED_TIMEOUT_S)
        match answer:
            case Success(ViewsNews() as news):
                self._apply(news)
        return self.is_fresh()

    def renew(self) -> None:
        """Renew the subscriptions to the regular sources, and to fallback sources if cut off.

        Renewals choose further fallback sources until one is up to date.
        """
        own = self._membership.self_member()
        members = self._membership.members()
        sources = [one.peer_address for one in sources_of(own, members)]
        for follower in self._followers.values():
            follower.has_regular_readers = bool(sources)
        self._update_cut_off()
        if self.is_cut_off and not self._has_live_source(sources):
            sources += self._fallback_sources.choose(
                members, own, sources, is_fresh=self.is_fresh()
            )
        has_readers = bool(sources)
        for follower in self._followers.values():
            follower.has_readers = has_readers
        for address in sources:
            self._transport.send(address, ViewsSubscription(self._known()))

    def _has_live_source(self, sources: Sequence[str]) -> bool:
        """Whether a regular source is alive; it is then left to that one to find others.

        So during an outage of the store only few nodes connect to many others.
        """
        since_s = self._now_s() - SOURCE_TIMEOUT_S
        with self._lock:
            return any(self._received_s.get(address, NEVER_S) > since_s for address in sources)

    def _update_cut_off(self) -> None:
        """Update `is_cut_off` from the state of the followers."""
        followers = self._followers.values()
        unreachable_s = max(one.unreachable_for_s() for one in followers)
        if not self.is_cut_off:
            if unreachable_s >= CUT_OFF_TIMEOUT_S:
                self.is_cut_off = True
                self._next_probe_s = self._now_s() + PROBE_INTERVAL_S
                emit(STORE_TURNS_AWAY, lost_s=round(unreachable_s, 3))
        elif self._is_store_back(unreachable_s):
            self.is_cut_off = False
            self._fallback_sources.clear()
            emit(STORE_SERVES_AGAIN)

    def _is_store_back(self, unreachable_s: float) -> bool:
        """Whether the followers reach the store again, or a probe of it succeeds."""
        followers = self._followers.values()
        if not any(one.is_relayed for one in followers):
            return unreachable_s == 0.0
        if self._now_s() < self._next_probe_s:
            return False
        self._next_probe_s = self._now_s() + PROBE_INTERVAL_S
        return all(one.is_store_reachable() for one in followers)

    def _known(self) -> dict[str, int]:
        states = [one.state for one in self._followers.values()]
        known = {one.kind: one.complete_revision for one in states}
        return {kind: revision for kind, revision in known.items() if revision is not None}

    def _on_subscription(self, sender: Sender, message: ViewsSubscription) -> None:
        subscriber = _Subscriber(dict(message.known), self._now_s() + SUBSCRIPTION_TTL_S)
        with self._lock:
            self._subscribers[sender.address] = subscriber
        if self._is_behind(message.known):
            self._send_update(sender.address, subscriber)

    def _is_behind(self, known: Mapping[str, int]) -> bool:
        """Whether this node knows changes after those revisions."""
        states = [one.state for one in self._followers.values()]
        return any(
            one.revision is not None and known.get(one.kind, -1) < one.revision for one in states
        )

    def _on_query(self, sender: Sender, message: ViewsQuestion) -> ViewsNews:
        self._queried_until_s = self._now_s() + SUBSCRIPTION_TTL_S
        return ViewsNews(self._updates_since(message.known))

    def _on_news(self, sender: Sender, message: ViewsNews) -> None:
        with self._lock:
            self._received_s[sender.address] = self._now_s()
        if not self._apply(message):
            self._transport.send(sender.address, ViewsSubscription(self._known()))

    def _apply(self, message: ViewsNews) -> bool:
        """Apply updates of a peer; returns False if changes before them are missing."""
        now_s = self._now_s()
        is_whole = True
        known_as_of_s = self.relayed_as_of_s()
        for news in message.kinds:
            follower = self._followers.get(news.kind)
            if follower is not None and not follower.state.apply_update(news, now_s):
                is_whole = False
        is_newer = self.relayed_as_of_s() > known_as_of_s
        if is_newer and self._subscribers and now_s - self._published_s >= MIN_FORWARD_INTERVAL_S:
            # Forward the newer age to the subscribers at once.
            self._changed.set()
        return is_whole

    def relayed_as_of_s(self) -> float:
        """Return the time up to which peers have relayed all changes."""
        return min(one.state.relayed_as_of_s for one in self._relayed())

    def _live_subscribers(self) -> list[tuple[str, _Subscriber]]:
        now_s = self._now_s()
        with self._lock:
            gone = [key for key, one in self._subscribers.items() if one.until_s < now_s]
            for address in gone:
                del self._subscribers[address]
            return list(self._subscribers.items())

    def _send_update(self, address: str, subscriber: _Subscriber) -> None:
        updates = self._updates_since(subscriber.known)
        if updates and self._transport.send(address, ViewsNews(updates)):
            subscriber.known.update({news.kind: news.revision for news in updates})

    def _updates_since(self, known: Mapping[str, int]) -> tuple[KindUpdate, ...]:
        """Return an update for each kind from those revisions on."""
        now_s = self._now_s()
        found = (
            follower.state.update_since(known.get(kind), now_s)
            for kind, follower in self._followers.items()
        )
        return tuple(news for news in found if news is not None)
