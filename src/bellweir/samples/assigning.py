"""Gives attempts to nodes: leases in the ledger first, then the assignment itself."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Ledger
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.samples.attempt_table import AttemptTable
from bellweir.samples.attempts import Assignment
from bellweir.samples.messages import GrantLeases, LeaseGrant, Observation, Outcome, StepReply
from bellweir.samples.wire_messages import AssignAttempts, InstructAttempts
from bellweir.wire.interface import Message, Transport

LEDGER_TIMEOUT_S = 1.0
UNHEARD_PLACES = 4
"""Attempts given to a node that has said nothing of its free places lately."""
LARGEST_BATCH = 16
"""Assignments in one message."""
AVOID_S = 2.0
"""Time for which a node gets no work after a message to it could not be sent."""

LocalAssign = Callable[[AssignAttempts], None]
LocalInstruct = Callable[[InstructAttempts], None]


@dataclass(frozen=True)
class LocalHolder:
    """The coordinator's own node as a holder, called directly."""

    assign: LocalAssign
    instruct: LocalInstruct
    free_places: Callable[[], int]


class AttemptAssigner:
    """Chooses holders and sends them their attempts."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        membership: Membership,
        transport: Transport,
        table: AttemptTable,
        lease_s: float,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._membership = membership
        self._transport = transport
        self._table = table
        self._lease_s = lease_s
        self._local: LocalHolder | None = None

    def use(self, local: LocalHolder) -> None:
        """Set this node's own holder."""
        self._local = local

    def free_places(self) -> dict[str, int]:
        """Free places by node: alive nodes of this region first, then the others, by name."""
        now_s = self._clock.monotonic_s()
        own = self._membership.self_member()
        places: dict[str, int] = {}
        for member in sorted(
            self._membership.members(), key=lambda entry: (entry.region != own.region, entry.node)
        ):
            if member.state is not MemberState.ALIVE:
                continue
            free = self._free_places_of(member, own, now_s)
            if free > 0:
                places[member.node] = free
        return places

    def is_dead(self, node: str) -> bool:
        """Whether membership knows that a node is gone."""
        member = self._membership.member(node)
        return member is None or member.state is MemberState.DEAD

    def _free_places_of(self, member: Member, own: Member, now_s: float) -> int:
        if member.node == own.node:
            return self._local.free_places() if self._local is not None else 0
        return self._table.places_of(member.node, UNHEARD_PLACES, now_s)

    def assign(
        self, step_id: str, holder: str, assignments: list[Assignment], observation: Observation
    ) -> bool:
        """Record the leases and send the assignments; False when the ledger did not take them."""
        for first in range(0, len(assignments), LARGEST_BATCH):
            batch = assignments[first : first + LARGEST_BATCH]
            if not self._grant(step_id, holder, batch, observation):
                return False
            now_s = self._clock.monotonic_s()
            for assignment in batch:
                self._table.note_assigned(assignment, holder, now_s)
            self._send_assignments(holder, AssignAttempts(tuple(batch)))
        return True

    def _grant(
        self, step_id: str, holder: str, batch: list[Assignment], observation: Observation
    ) -> bool:
        grants = tuple(LeaseGrant(entry.slot, entry.attempt_id) for entry in batch)
        expires_at_s = observation.now_s + self._lease_s
        command = GrantLeases(step_id, holder, grants, expires_at_s, observation)
        answer = self._ledger.submit(step_id, command, LEDGER_TIMEOUT_S)
        if not isinstance(answer, Success):
            return False
        reply = answer.unwrap()
        return isinstance(reply, StepReply) and reply.outcome is Outcome.DONE

    def _send_assignments(self, holder: str, message: AssignAttempts) -> None:
        if holder == self._membership.self_member().node:
            if self._local is not None:
                self._local.assign(message)
            return
        if not self._send(holder, message):
            self._table.avoid(holder, self._clock.monotonic_s() + AVOID_S)
            for assignment in message.assignments:
                self._table.drop(assignment.attempt_id)

    def instruct(self, holder: str, message: InstructAttempts) -> None:
        """Tell a node to cancel or move attempts; said again each round while they are reported."""
        if holder != self._membership.self_member().node:
            self._send(holder, message)
        elif self._local is not None:
            self._local.instruct(message)

    def _send(self, holder: str, message: Message) -> bool:
        member = self._membership.member(holder)
        return member is not None and self._transport.send(member.peer_address, message)
