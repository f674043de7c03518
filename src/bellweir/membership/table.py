"""The members that one node knows, and the rules by which records replace each other."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

from bellweir.membership.interface import Member
from bellweir.membership.records import MemberRecord, MemberStatus
from bellweir.settings.models import MembershipSettings

DEAD_KEPT_S = 6 * 3600.0
"""A dead member is remembered and probed now and then, so that regions split for hours merge."""
MINIMUM_SUSPICION_S = 2.0
DIGEST_BUCKETS = 16


@dataclass
class Entry:
    """One member and since when its status holds here."""

    record: MemberRecord
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
    settings: MembershipSettings
    entries: dict[str, Entry] = field(default_factory=dict)
    suspicions: dict[str, float] = field(default_factory=dict)
    """Until when each suspect may refute."""

    def __post_init__(self) -> None:
        self.entries[self.own.node] = Entry(self.own, 0.0)
        self._changed()

    def _changed(self) -> None:
        self._members: tuple[Member, ...] | None = None
        self._others: list[MemberRecord] | None = None
        self._digests: tuple[int, ...] | None = None

    def record(self, node: str) -> MemberRecord | None:
        """Return the record of a member, also of a dead one."""
        entry = self.entries.get(node)
        return entry.record if entry is not None else None

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not dead, this node included, sorted by name."""
        if self._members is None:
            live = [*self.live_others(), self.own]
            self._members = tuple(
                record.to_member() for record in sorted(live, key=lambda record: record.node)
            )
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
        return [
            entry.record
            for entry in self.entries.values()
            if entry.record.status is MemberStatus.DEAD
        ]

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
        old = [
            node
            for node, entry in self.entries.items()
            if entry.record.status is MemberStatus.DEAD and now_s - entry.changed_s > DEAD_KEPT_S
        ]
        for node in old:
            del self.entries[node]
        if old:
            self._changed()

    def suspicion_s(self) -> float:
        """Return how long a suspect has to refute: grows with the logarithm of the members."""
        scale = math.log10(len(self.live_others()) + 2)
        period_s = self.settings.probe_period_s
        floor_s = MINIMUM_SUSPICION_S * min(1.0, period_s)
        return max(floor_s, self.settings.suspicion_multiplier * scale * period_s)

    def digests(self) -> tuple[int, ...]:
        """Return one 64-bit hash of the live members of each bucket."""
        if self._digests is None:
            hashes = [0] * DIGEST_BUCKETS
            for record in [*self.live_others(), self.own]:
                facts = f"{record.node} {record.incarnation} {record.status:d}"
                hashes[bucket_of(record.node)] ^= xxhash.xxh64_intdigest(facts.encode())
            self._digests = tuple(hashes)
        return self._digests

    def records_in(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return all records, dead ones too, of the given buckets."""
        wanted = set(buckets)
        return [entry.record for node, entry in self.entries.items() if bucket_of(node) in wanted]

    def _put(self, record: MemberRecord, now_s: float) -> MergeOutcome:
        self.suspicions.pop(record.node, None)
        if record.status is MemberStatus.SUSPECT:
            self.suspicions[record.node] = now_s + self.suspicion_s()
        self.entries[record.node] = Entry(record, now_s)
        self._changed()
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
        self.entries[self.own.node] = Entry(self.own, now_s)
        self._changed()
        return self.own


def bucket_of(node: str) -> int:
    """Return the digest bucket of a member's name."""
    return xxhash.xxh32_intdigest(node.encode()) % DIGEST_BUCKETS
