"""What nodes tell each other of a member."""

from enum import IntEnum

import msgspec

from bellweir.membership.interface import Member, MemberState


class MemberStatus(IntEnum):
    """Liveness; of two records of one incarnation the higher status counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member as of one incarnation; about 70 bytes on the wire."""

    node: str
    peer_address: str
    gateway_address: str
    zone: str
    region: str
    has_data_folder: bool
    leaving: bool
    """Set by the member itself with a new incarnation."""
    status: MemberStatus
    incarnation: int
    """Raised only by the member itself: at its start and to refute a suspicion."""

    def beats(self, other: "MemberRecord") -> bool:
        """Whether this record is newer than another one of the same member."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)

    def with_status(self, status: MemberStatus) -> "MemberRecord":
        """Return this record with another status in the same incarnation."""
        return msgspec.structs.replace(self, status=status)

    def to_member(self) -> Member:
        """Return the member as other services see it."""
        return Member(
            node=self.node,
            peer_address=self.peer_address,
            gateway_address=self.gateway_address,
            zone=self.zone,
            region=self.region,
            has_data_folder=self.has_data_folder,
            state=self._state(),
            incarnation=self.incarnation,
        )

    def _state(self) -> MemberState:
        if self.status is MemberStatus.DEAD:
            return MemberState.DEAD
        if self.leaving:
            # A leaving member that is suspected stays leaving: it gets no new work either way.
            return MemberState.LEAVING
        return MemberState.SUSPECT if self.status is MemberStatus.SUSPECT else MemberState.ALIVE
