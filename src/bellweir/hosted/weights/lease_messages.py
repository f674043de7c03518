"""Tells the nodes that may take a lease of each renewal.

A node that watches a lease must have known its newest revision for the whole lease time before
it takes it. One that learns of renewals only by looking begins to count at its look, which waits
for the store when the store is away. Told of each renewal at once, it has counted all the while.

A holder sends a message to each node with a data folder with each renewal, two in three seconds.
"""

from bellweir.hosted.weights.lease import Lease
from bellweir.membership.interface import Membership, MemberState
from bellweir.wire.interface import Message, Sender, Transport


class LeaseNews(Message, frozen=True):
    """A change of a lease's object that its holder has seen acknowledged."""

    lease: str
    revision: int
    holder: str
    """Node name; empty when the lease was given back."""


class LeaseHandOver(Message, frozen=True):
    """A holder that the store turns away gives up its lease; whoever is served may take it."""

    lease: str
    revision: int
    """Revision of the object that it gives up: only this one may be replaced at once."""
    idle_s: float
    """Seconds since the end of its last act; below 0 while one is under way."""


class StepAside(Message, frozen=True):
    """Asks a node that is to be taken away to give its leases back and to take none."""


STEP_ASIDE_S = 10.0
"""Time for which a node that was asked stands aside; it is asked again and again meanwhile."""


class LeaseTeller:
    """One node's part for one lease: tells of its own renewals and hears of others'."""

    def __init__(self, lease: Lease, name: str, transport: Transport, members: Membership) -> None:
        self._lease = lease
        self._name = name
        self._transport = transport
        self._members = members
        self._holder_address: str | None = None
        lease.tell = self.tell
        lease.tell_hand_over = self.tell_hand_over
        transport.register(LeaseNews, self.handle_news)
        transport.register(LeaseHandOver, self.handle_hand_over)
        transport.register(StepAside, self.handle_step_aside)

    @property
    def holder_address(self) -> str | None:
        """Where the other node that holds the lease accepts peers, as it told last."""
        return self._holder_address

    def tell(self, revision: int, holder: str) -> None:
        """Tell the other nodes that may hold the lease of its object's newest revision."""
        self._holder_address = None
        self._send(LeaseNews(self._name, revision, holder))

    def tell_hand_over(self, revision: int, idle_s: float) -> None:
        """Tell the other nodes that may hold the lease that this one has given it up."""
        self._send(LeaseHandOver(self._name, revision, idle_s))

    def _send(self, news: Message) -> None:
        own = self._members.self_member().node
        for member in self._members.members():
            may_hold = member.has_data_folder and member.state is not MemberState.DEAD
            if may_hold and member.node != own:
                self._transport.send(member.peer_address, news)

    def handle_news(self, sender: Sender, news: LeaseNews) -> None:
        """Take a holder's word for a revision; it counts from its arrival on."""
        if news.lease == self._name:
            self._holder_address = sender.address if news.holder else None
            self._lease.hear(news.revision, news.holder)

    def handle_hand_over(self, sender: Sender, news: LeaseHandOver) -> None:
        """Take a holder's word that it acts no more."""
        if news.lease == self._name:
            self._lease.hear_hand_over(news.revision, news.idle_s)

    def handle_step_aside(self, sender: Sender, message: StepAside) -> None:
        """Leave the lease to others for a while."""
        self._lease.step_aside(STEP_ASIDE_S)
