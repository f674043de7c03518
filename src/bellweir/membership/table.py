"""The members that one node knows, and the rules by which records replace each other."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from bellweir.membership.interface import Member
from bellweir.membership.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    from bellweir.settings.models import MembershipSettings


DEAD_KEPT_S = 6 * 3600.0
"""A dead member is remembered and probed now and then, so that regions split for hours merge."""
MINIMUM_SUSPICION_S = 2.0
DIGEST_BUCKETS = 16


@dataclass
class Entry:
    """One member and since when its status holds here."""

    record: MemberRecord
    member: Member
    changed_s: float


@dataclass
class MergeOutcome:
    """What merging a record changed."""

    changed: MemberRecord | None = None
    """The record now held, to be spread and told to listeners."""
    refuted: MemberStatus | None = None
    """The status that others claimed of this node and that it now refutes."""
    name_conflict: bool = False
    """Another live process uses this node's name."""


@dataclass
class MemberTable:
    """All members by name. Not safe for threads: its owner holds a lock."""

    own: MemberRecord
    settings: "MembershipSettings"
    entries: dict[str, Entry] = field(default_factory=dict)
    suspicions: dict[str, float] = field(default_factory=dict)
    """Until when each suspect may refute."""
    patience_s: float = 0.0
    """Extra time for suspects, while this node itself runs late."""

    def __post_init__(self) -> None:
        self._members: tuple[Member, ...] | None = None
        self._others: list[MemberRecord] | None = None
        self._digests = [0] * DIGEST_BUCKETS
        self._dead: set[str] = set()
        self._hold(self.own, 0.0)

    @property
    def live_count(self) -> int:
        """How many members are not dead, this node included."""
        return len(self.entries) - len(self._dead)

    def record(self, node: str) -> MemberRecord | None:
        """Return the record of a member, also of a dead one."""
        entry = self.entries.get(node)
        return entry.record if entry is not None else None

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not dead, this node included, sorted by name."""
        if self._members is None:
            live = sorted(node for node in self.entries if node not in self._dead)
            self._members = tuple(self.entries[node].member for node in live)
        return self._members

    def live_others(self) -> list[MemberRecord]:
        """Return the records of the other members that are not dead."""
        if self._others is None:
            self._others = [
                entry.record
                for entry in self.entries.values()
                if entry.record.status is not MemberStatus.DEAD
                and entry.record.node != self.own.node
            ]
        return self._others

    def dead(self) -> list[MemberRecord]:
        """Return the records of dead members that are still remembered."""
        return [self.entries[node].record for node in self._dead]

    def merge(self, record: MemberRecord, now_s: float) -> MergeOutcome:
        """Take a record heard from elsewhere when it is newer than the one held."""
        if record.node == self.own.node:
            return self._hear_of_self(record, now_s)
        entry = self.entries.get(record.node)
        if entry is None:
            # A death of somebody never heard of teaches nothing, and spreading it on would keep
            # the records of machines gone for good going round for ever.
            if record.status is MemberStatus.DEAD:
                return MergeOutcome()
            return self._put(record, now_s)
        return self._put(record, now_s) if record.beats(entry.record) else MergeOutcome()

    def set_status(self, node: str, status: MemberStatus, now_s: float) -> MergeOutcome:
        """Raise the status of a member in its current incarnation, from what this node saw."""
        entry = self.entries.get(node)
        if entry is None or entry.record.status >= status:
            return MergeOutcome()
        return self._put(entry.record.with_status(status), now_s)

    def renew_own(self, leaving: bool, status: MemberStatus, now_s: float) -> MemberRecord:
        """Start a new incarnation of this node."""
        return self._set_own(self.own.incarnation + 1, leaving, status, now_s)

    def expired_suspicions(self, now_s: float) -> list[str]:
        """Return the names of suspects whose time to refute is over."""
        return [node for node, ends_s in self.suspicions.items() if ends_s <= now_s]

    def postpone_suspicions(self, seconds: float) -> None:
        """Give suspects more time, after this process itself stood still."""
        for node in self.suspicions:
            self.suspicions[node] += seconds

    def forget_old_dead(self, now_s: float) -> None:
        """Drop members that have been dead for long."""
        old = [node for node in self._dead if now_s - self.entries[node].changed_s > DEAD_KEPT_S]
        for node in old:
            del self.entries[node]
            self._dead.discard(node)

    def suspicion_s(self) -> float:
        """Return how long a suspect has to refute: grows with the logarithm of the members."""
        scale = math.log10(self.live_count + 1)
        period_s = self.settings.probe_period_s
        floor_s = MINIMUM_SUSPICION_S * min(1.0, period_s)
        return self.patience_s + max(floor_s, self.settings.suspicion_multiplier * scale * period_s)

    def digests(self) -> tuple[int, ...]:
        """Return one 64-bit hash of the live members of each bucket."""
        return tuple(self._digests)

    def records_in(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return all records, dead ones too, of the given buckets."""
        wanted = set(buckets)
        return [entry.record for node, entry in self.entries.items() if bucket_of(node) in wanted]

    def _put(self, record: MemberRecord, now_s: float) -> MergeOutcome:
        self.suspicions.pop(record.node, None)
        if record.status is MemberStatus.SUSPECT:
            self.suspicions[record.node] = now_s + self.suspicion_s()
        self._hold(record, now_s)
        return MergeOutcome(changed=record)

    def _hear_of_self(self, record: MemberRecord, now_s: float) -> MergeOutcome:
        if not record.beats(self.own) or self.own.status is MemberStatus.DEAD:
            return MergeOutcome()
        conflict = (
            record.status is MemberStatus.ALIVE and record.peer_address != self.own.peer_address
        )
        renewed = self._set_own(record.incarnation + 1, self.own.leaving, MemberStatus.ALIVE, now_s)
        return MergeOutcome(changed=renewed, refuted=record.status, name_conflict=conflict)

    def _set_own(
        self, incarnation: int, leaving: bool, status: MemberStatus, now_s: float
    ) -> MemberRecord:
        self.own = msgspec.structs.replace(
            self.own, incarnation=incarnation, leaving=leaving, status=status
        )
        self._hold(self.own, now_s)
        return self.own

    def _hold(self, record: MemberRecord, now_s: float) -> None:
        before = self.entries.get(record.node)
        if before is not None:
            self._flip_digest(before.record)
        self.entries[record.node] = Entry(record, record.to_member(), now_s)
        self._flip_digest(record)
        if record.status is MemberStatus.DEAD:
            self._dead.add(record.node)
        else:
            self._dead.discard(record.node)
        self._members = self._others = None

    def _flip_digest(self, record: MemberRecord) -> None:
        """Add a live record to its bucket's hash, or take it out: exclusive or does both."""
        if record.status is not MemberStatus.DEAD:
            facts = f"{record.node} {record.incarnation} {record.status:d}"
            self._digests[bucket_of(record.node)] ^= xxhash.xxh64_intdigest(facts.encode())


def bucket_of(node: str) -> int:
    """Return the digest bucket of a member's name."""
    return xxhash.xxh32_intdigest(node.encode()) % DIGEST_BUCKETS
