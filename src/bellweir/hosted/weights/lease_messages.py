"""Messages that announce renewals and hand-overs of a lease to the other candidates.

A candidate must have known the newest revision for the whole lease time before it takes the lease.
Announced renewals start this period without a read of the store, also while the store is
unavailable.
"""

from bellweir.hosted.weights.lease import Lease
from bellweir.membership.interface import Membership, MemberState
from bellweir.wire.interface import Message, Sender, Transport


class LeaseNews(Message, frozen=True):
    """A write of a lease object that the store has acknowledged to the holder."""

    lease: str
    revision: int
    holder: str
    """Node name; empty if the lease was released."""


class LeaseHandOver(Message, frozen=True):
    """A holder that the store rejects gives up its lease to a node that the store serves."""

    lease: str
    revision: int
    """Revision that is given up: only this one may be replaced without waiting."""
    idle_s: float
    """Seconds since the end of the holder's last operation; negative while one is in progress."""


class StepAside(Message, frozen=True):
    """Asks a node that is about to be removed to release its leases and to acquire none."""


ABSTENTION_S = 3.0
"""Time for which a node abstains after each `StepAside`.

Long enough for several lost messages, which come each 0.3 s, and for a change of the leader that
sends them; short, since a removal may be given up."""


class LeaseAnnouncer:
    """Announces one lease's changes on this node and passes on those of other nodes."""

    def __init__(self, lease: Lease, name: str, transport: Transport, members: Membership) -> None:
        self._lease = lease
        self._name = name
        self._transport = transport
        self._members = members
        self._holder_address: str | None = None
        lease.announce = self.announce
        lease.announce_hand_over = self.announce_hand_over
        transport.register(LeaseNews, self.handle_renewal)
        transport.register(LeaseHandOver, self.handle_hand_over)
        transport.register(StepAside, self.handle_step_aside)

    @property
    def holder_address(self) -> str | None:
        """Peer address of the node that holds the lease; None if unknown or this node."""
        return self._holder_address

    def announce(self, revision: int, holder: str) -> None:
        """Announce the newest revision of the lease object to the other candidates."""
        self._holder_address = None
        self._broadcast(LeaseNews(self._name, revision, holder))

    def announce_hand_over(self, revision: int, idle_s: float) -> None:
        """Announce to the other candidates that this node has given up the lease."""
        self._broadcast(LeaseHandOver(self._name, revision, idle_s))

    def _broadcast(self, message: Message) -> None:
        own = self._members.self_member().node
        for member in self._members.members():
            may_hold = member.has_data_folder and member.state is not MemberState.DEAD
            if may_hold and member.node != own:
                self._transport.send(member.peer_address, message)

    def handle_renewal(self, sender: Sender, message: LeaseNews) -> None:
        """Note a renewal; the lease time counts from the arrival of the message."""
        if message.lease == self._name:
            self._holder_address = sender.address if message.holder else None
            self._lease.note_renewal(message.revision, message.holder)

    def handle_hand_over(self, sender: Sender, message: LeaseHandOver) -> None:
        """Note that the holder has given up the lease."""
        if message.lease == self._name:
            self._lease.note_hand_over(message.revision, message.idle_s)

    def handle_step_aside(self, sender: Sender, message: StepAside) -> None:
        """Release the lease and abstain from it for a while."""
        self._lease.step_aside(ABSTENTION_S)
