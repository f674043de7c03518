"""Relays views of the store from node to node, so that few nodes of many call the store.

Two nodes of a deployment follow the store; `readers` says who relies on whom. Every other node
subscribes to its two sources and is told what changed, and a few times a second that nothing did.
What is told carries its age, so that a node notices by itself when its sources are cut off from
the store and then follows it on its own; tellings that go in a circle only grow older.

A reader that the store turns away, or that can't reach it, subscribes to further nodes, two more
with each renewal until one tells fresh news. What it is told it tells its own subscribers at once,
so a zone both of whose readers are turned away is served by another zone's. It looks with a cheap
reading now and then whether it is served again. Other nodes do the same when their readers are
silent.

A node that starts asks one of its seeds to tell it what the store holds, and reads the store
itself only if none does so at once. It knows its zone's readers only when membership has settled,
and until then every node would list and watch what a few already know.

A node sends two messages a second and gets five, whatever the number of nodes. A zone's reader
sends `2.5 + changes a second` messages for each node of its zone, one of the deployment as many
for each zone's two readers.
"""

import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.log_events import STORE_SERVES_AGAIN, STORE_TURNS_AWAY
from bellweir.hosted.views.fallback_sources import SpareSources
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.kind_state import NEVER_S, KindUpdate
from bellweir.hosted.views.readers import sources_of
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Message, Sender, Transport

SUBSCRIBE_PERIOD_S = 1.0
SUBSCRIPTION_S = 3.5
"""Time without a renewal after which a subscriber is told nothing more."""
HEARTBEAT_S = 0.4
"""Time between two messages to a subscriber while nothing changes."""
SETTLING_S = 3.0
"""Time from the start in which a seed is relied on; 195 nodes know each other after 2 s."""
OVERLAP_S = 2.0
"""Time for which seeds are asked besides the readers, which turn to the store only then."""
SEED_WAIT_S = 0.5
"""Time for which a node that starts waits to be told before it reads the store itself."""
FIRST_START_SEED_WAIT_S = 2.0
"""The same at the first start of all, when seeds answer many at once and nobody is served yet."""
ASK_TIMEOUT_S = 0.25
"""Time for a seed's answer, which takes some milliseconds, before the next one is asked."""
ASK_PERIOD_S = 0.5
"""Time between two questions to a seed that answers; with it what is known stays fresh."""
ASK_AGAIN_S = 0.05
"""Pause before the next seed is asked."""
CUT_OFF_AFTER_S = 0.3
"""Time without the store after which others are asked what is new; a refusal comes at once."""
SERVED_LOOK_S = 2.0
"""Time between two cheap readings by which a node that is cut off finds out that it is served."""
SILENT_AFTER_S = 1.5
"""Time without a word, of which a heartbeat brings one each 0.4 s, after which a source is gone."""
FORWARD_PERIOD_S = 0.3
"""News that only confirm what is known are passed on no more often."""


class ViewsSubscription(Message, frozen=True):
    """Asks a reader to tell what is new."""

    known: dict[str, int]
    """Revision by kind up to which the sender knows all changes."""


class ViewsQuestion(Message, frozen=True):
    """Asks a peer once what is new; answered by `ViewsNews`."""

    known: dict[str, int]
    """Revision by kind up to which the sender knows all changes."""


class ViewsNews(Message, frozen=True):
    """What a reader tells its subscribers, and what any node answers to a question."""

    kinds: tuple[KindUpdate, ...]


class _Subscriber:
    __slots__ = ("known", "until_s")

    def __init__(self, known: dict[str, int], until_s: float) -> None:
        self.known = known
        self.until_s = until_s


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
        seeds: Sequence[str] = (),
        seed_wait_s: float = SEED_WAIT_S,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`seeds` are `host:port` of peers to be asked first; a seed itself has none to ask.

        Nothing is read of the store for `seed_wait_s` while one may tell.
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
        self._told_s = NEVER_S
        self._heard_s: dict[str, float] = {}
        """When each peer told something last; as many as ever told this node something."""
        self._asked_until_s = NEVER_S
        self._spare = SpareSources()
        self._served_look_s = NEVER_S
        self.is_cut_off = False
        """Whether the store does not serve this node, so that others are asked for its news."""
        for follower in followers:
            follower.state.advanced = self._changed.set
            if self._seeds:
                follower.has_readers = True
                follower.patient_until_s = now_s() + seed_wait_s
        transport.register(ViewsSubscription, self._on_subscription)
        transport.register(ViewsQuestion, self._on_question)
        transport.register(ViewsNews, self._on_news)

    def subscriber_count(self) -> int:
        """Nodes that rely on what this node reads."""
        return len(self._subscribers)

    def is_relied_on(self) -> bool:
        """Whether other nodes know from this one what is new, so that it must be fresh here."""
        return bool(self._subscribers) or self._now_s() < self._asked_until_s

    def is_fresh(self) -> bool:
        """Whether peers tell this node lately enough what is new, for every kind."""
        return all(one.is_told_lately() for one in self._followers.values())

    def tell(self, stopping: threading.Event) -> None:
        """Tell subscribers what is new, until `stopping`. One task."""
        while not stopping.is_set():
            self._changed.wait(HEARTBEAT_S)
            self._changed.clear()
            self._told_s = self._now_s()
            for address, subscriber in self._live_subscribers():
                self._tell_one(address, subscriber)

    def subscribe(self, stopping: threading.Event) -> None:
        """Learn from seeds at first, then stay subscribed, until `stopping`. One task."""
        self._learn_from_seeds(SETTLING_S, stopping)
        self.renew()
        if any(one.has_readers for one in self._followers.values()):
            # What the readers know is not fresh before they read the store themselves.
            self._learn_from_seeds(OVERLAP_S, stopping)
        while not stopping.is_set():
            self.renew()
            stopping.wait(SUBSCRIBE_PERIOD_S)

    def _learn_from_seeds(self, seconds: float, stopping: threading.Event) -> None:
        """Ask one seed again and again for so long; the next one if it is silent.

        Without seeds the same time is waited for, with the store followed here.
        """
        end_s = self._now_s() + seconds
        seeds = random.sample(self._seeds, len(self._seeds))
        while self._now_s() < end_s and not stopping.is_set():
            pause_s = ASK_PERIOD_S
            if seeds and not self._ask(seeds[0]):
                seeds.append(seeds.pop(0))
                pause_s = ASK_AGAIN_S
            stopping.wait(min(pause_s, max(0.0, end_s - self._now_s())))

    def _ask(self, address: str) -> bool:
        """Ask a peer once what is new; False when that leaves this node without fresh views."""
        answer = self._transport.request(address, ViewsQuestion(self._known()), ASK_TIMEOUT_S)
        match answer:
            case Success(ViewsNews() as news):
                self._take(news)
        return self.is_fresh()

    def renew(self) -> None:
        """Subscribe to the nodes that read for this one; to further ones when it is cut off."""
        own = self._membership.self_member()
        members = self._membership.members()
        sources = [one.peer_address for one in sources_of(own, members)]
        for follower in self._followers.values():
            follower.has_regular_readers = bool(sources)
        self._note_cut_off()
        if self.is_cut_off and not self._is_spoken_to(sources):
            sources += self._spare.choose(members, own, sources, is_told=self.is_fresh())
        has_readers = bool(sources)
        for follower in self._followers.values():
            follower.has_readers = has_readers
        for address in sources:
            self._transport.send(address, ViewsSubscription(self._known()))

    def _is_spoken_to(self, sources: Sequence[str]) -> bool:
        """Whether one of the regular sources speaks: then it is for that one to find others.

        So a store that is away for all makes few nodes open connections to many.
        """
        since_s = self._now_s() - SILENT_AFTER_S
        with self._lock:
            return any(self._heard_s.get(address, NEVER_S) > since_s for address in sources)

    def _note_cut_off(self) -> None:
        """Take note of the store's refusals, and of its service when it is there again."""
        followers = self._followers.values()
        lost_s = max(one.lost_for_s() for one in followers)
        if not self.is_cut_off:
            if lost_s >= CUT_OFF_AFTER_S:
                self.is_cut_off = True
                self._served_look_s = self._now_s() + SERVED_LOOK_S
                emit(STORE_TURNS_AWAY, lost_s=round(lost_s, 3))
        elif self._is_served_again(lost_s):
            self.is_cut_off = False
            self._spare.forget()
            emit(STORE_SERVES_AGAIN)

    def _is_served_again(self, lost_s: float) -> bool:
        """Whether the followers have the store again, or a look shows that they could."""
        followers = self._followers.values()
        if not any(one.is_relayed for one in followers):
            return lost_s == 0.0
        if self._now_s() < self._served_look_s:
            return False
        self._served_look_s = self._now_s() + SERVED_LOOK_S
        return all(one.is_served() for one in followers)

    def _known(self) -> dict[str, int]:
        states = [one.state for one in self._followers.values()]
        return {one.kind: one.revision for one in states if one.revision is not None}

    def _on_subscription(self, sender: Sender, message: ViewsSubscription) -> None:
        subscriber = _Subscriber(dict(message.known), self._now_s() + SUBSCRIPTION_S)
        with self._lock:
            self._subscribers[sender.address] = subscriber
        if self._is_behind(message.known):
            self._tell_one(sender.address, subscriber)

    def _is_behind(self, known: Mapping[str, int]) -> bool:
        """Whether this node knows of changes after those revisions."""
        states = [one.state for one in self._followers.values()]
        return any(
            one.revision is not None and known.get(one.kind, -1) < one.revision for one in states
        )

    def _on_question(self, sender: Sender, message: ViewsQuestion) -> ViewsNews:
        self._asked_until_s = self._now_s() + SUBSCRIPTION_S
        return ViewsNews(self._news_since(message.known))

    def _on_news(self, sender: Sender, message: ViewsNews) -> None:
        with self._lock:
            self._heard_s[sender.address] = self._now_s()
        if not self._take(message):
            self._transport.send(sender.address, ViewsSubscription(self._known()))

    def _take(self, message: ViewsNews) -> bool:
        """Take what a peer tells; False when something before it is missing here."""
        now_s = self._now_s()
        is_whole = True
        known_as_of_s = self.told_as_of_s()
        for news in message.kinds:
            follower = self._followers.get(news.kind)
            if follower is not None and not follower.state.apply_update(news, now_s):
                is_whole = False
        is_younger = self.told_as_of_s() > known_as_of_s
        if is_younger and self._subscribers and now_s - self._told_s >= FORWARD_PERIOD_S:
            # Those that rely on this node learn at once how young its news are.
            self._changed.set()
        return is_whole

    def told_as_of_s(self) -> float:
        """Time as of which peers have told all that is new."""
        return min(one.state.relayed_as_of_s for one in self._followers.values())

    def _live_subscribers(self) -> list[tuple[str, _Subscriber]]:
        now_s = self._now_s()
        with self._lock:
            gone = [key for key, one in self._subscribers.items() if one.until_s < now_s]
            for address in gone:
                del self._subscribers[address]
            return list(self._subscribers.items())

    def _tell_one(self, address: str, subscriber: _Subscriber) -> None:
        told = self._news_since(subscriber.known)
        if told and self._transport.send(address, ViewsNews(told)):
            subscriber.known.update({news.kind: news.revision for news in told})

    def _news_since(self, known: Mapping[str, int]) -> tuple[KindUpdate, ...]:
        """What is known here beyond those revisions, one piece for each kind with its age."""
        now_s = self._now_s()
        found = (
            follower.state.update_since(known.get(kind), now_s)
            for kind, follower in self._followers.items()
        )
        return tuple(news for news in found if news is not None)
