"""Chooses the owner of each worker among the members, with hysteresis and zone preference."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from bellweir.membership.hashing import highest
from bellweir.membership.interface import Member, MemberState

SETTLE_S = 5.0
"""A member that joins owns nothing before this time, so a flapping one moves no worker."""
CHANGES_KEPT = 256

_ELIGIBLE = (MemberState.ALIVE, MemberState.SUSPECT)
"""A suspect keeps what it owns: most suspicions are refuted within seconds."""


@dataclass(frozen=True)
class WorkerPlace:
    """Where a worker runs; empty when not known."""

    zone: str = ""
    region: str = ""


@dataclass
class _Candidate:
    member: Member
    eligible_s: float


@dataclass
class _Owned:
    place: WorkerPlace
    version: int
    owner: str


@dataclass(frozen=True)
class _Change:
    added: frozenset[str]
    removed: frozenset[str]


class OwnerChoice:
    """Rendezvous hash over the settled members of the worker's zone, region, or anywhere.

    A change of the members costs one hash for each worker asked for afterwards, not one for
    each worker and member: only workers whose owner went are placed anew. Not safe for threads.
    """

    def __init__(self, own_node: str, start_s: float) -> None:
        self._own_node = own_node
        self._start_s = start_s
        self._candidates: dict[str, _Candidate] = {}
        self._settled: frozenset[str] = frozenset()
        self._groups: dict[WorkerPlace, dict[str, None]] = {}
        self._version = 0
        self._changes: deque[_Change] = deque(maxlen=CHANGES_KEPT)
        self._owners: dict[str, _Owned] = {}
        self._next_settle_s = float("inf")

    def see(self, member: Member, now_s: float) -> None:
        """Take a member's new state."""
        known = self._candidates.get(member.node)
        if member.state not in _ELIGIBLE:
            self._candidates.pop(member.node, None)
        elif known is None:
            self._candidates[member.node] = _Candidate(member, self._eligible_s(member, now_s))
        else:
            known.member = member
            self._groups.clear()
        self._settle(now_s)

    def version(self, now_s: float) -> int:
        """Return a number that changes whenever any owner may have changed."""
        if now_s >= self._next_settle_s:
            self._settle(now_s)
        return self._version

    def owner_of(self, worker: str, place: WorkerPlace, now_s: float) -> str | None:
        """Return the name of the worker's owner; None without any member."""
        self.version(now_s)
        owned = self._owners.get(worker)
        if owned is not None and owned.version == self._version and owned.place == place:
            return owned.owner
        owner = self._choose(worker, place, owned)
        if owner is not None:
            self._owners[worker] = _Owned(place, self._version, owner)
        return owner

    def keep_only(self, workers: Iterable[str]) -> None:
        """Forget workers that are gone."""
        kept = set(workers)
        for worker in [name for name in self._owners if name not in kept]:
            del self._owners[worker]

    def _eligible_s(self, member: Member, now_s: float) -> float:
        # Whom a starting node hears of in its first seconds was there before it. And it counts
        # itself at once, so that the nodes of a cluster that starts leave no worker unowned.
        there_before = now_s < self._start_s + SETTLE_S
        return now_s if there_before or member.node == self._own_node else now_s + SETTLE_S

    def _settle(self, now_s: float) -> None:
        waiting = [c.eligible_s for c in self._candidates.values() if c.eligible_s > now_s]
        self._next_settle_s = min(waiting, default=float("inf"))
        settled = frozenset(
            node for node, c in self._candidates.items() if c.eligible_s <= now_s
        ) or frozenset(self._candidates)
        if settled == self._settled:
            return
        self._changes.append(_Change(settled - self._settled, self._settled - settled))
        self._settled = settled
        self._version += 1
        self._groups.clear()

    def _choose(self, worker: str, place: WorkerPlace, owned: _Owned | None) -> str | None:
        group = self._group(place)
        if owned is None or owned.place != place:
            return highest(worker, group)
        behind = self._version - owned.version
        if behind > len(self._changes):
            return highest(worker, group)
        recent = list(self._changes)[len(self._changes) - behind :]
        removed = frozenset[str]().union(*(change.removed for change in recent))
        added = frozenset[str]().union(*(change.added for change in recent))
        # A group that came into being or vanished changes the candidates altogether; both show
        # as the old owner not being among them.
        if owned.owner in removed or owned.owner not in group:
            return highest(worker, group)
        rivals = [node for node in added if node in group]
        return highest(worker, [owned.owner, *rivals])

    def _group(self, place: WorkerPlace) -> dict[str, None]:
        group = self._groups.get(place)
        if group is None:
            group = self._groups[place] = self._members_near(place)
        return group

    def _members_near(self, place: WorkerPlace) -> dict[str, None]:
        settled = [self._candidates[node].member for node in sorted(self._settled)]
        same_zone = [member for member in settled if member.zone == place.zone]
        same_region = [member for member in settled if member.region == place.region]
        return dict.fromkeys(member.node for member in same_zone or same_region or settled)
