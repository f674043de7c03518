"""Chooses the owner of each worker among the members, with hysteresis and zone preference."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bellweir.membership.hashing import highest
from bellweir.membership.interface import Member, MemberState

SETTLE_S = 5.0
"""A member that joins owns nothing before this time, so a flapping one moves no worker."""

_ELIGIBLE = (MemberState.ALIVE, MemberState.SUSPECT)
"""A suspect keeps what it owns: most suspicions are refuted within seconds."""

Group = Mapping[str, None]
"""Names of the members among which workers of one place are shared out, as an ordered set."""


@dataclass(frozen=True)
class WorkerPlace:
    """Where a worker runs; empty when not known."""

    zone: str = ""
    region: str = ""


@dataclass
class _Candidate:
    member: Member
    eligible_s: float


@dataclass(frozen=True)
class _Owned:
    group: Group
    owner: str


class OwnerChoice:
    """Rendezvous hash over the settled members of the worker's zone, region, or anywhere.

    A change of the members costs nothing for workers of other zones, and for those of its own
    zone one hash for each member that came; only workers whose owner went are placed anew. Not
    safe for threads.
    """

    def __init__(self, own_node: str, start_s: float) -> None:
        self._own_node = own_node
        self._start_s = start_s
        self._candidates: dict[str, _Candidate] = {}
        self._groups: dict[WorkerPlace, Group] = {}
        self._groups_hold = False
        """Whether the groups are those of the present candidates."""
        self._owners: dict[str, _Owned] = {}
        self._next_settle_s = float("inf")

    def see(self, member: Member, now_s: float) -> None:
        """Take a member's new state."""
        known = self._candidates.get(member.node)
        if member.state not in _ELIGIBLE:
            if known is not None:
                del self._candidates[member.node]
                self._groups_hold = False
        elif known is None:
            eligible_s = self._eligible_s(member, now_s)
            self._candidates[member.node] = _Candidate(member, eligible_s)
            self._groups_hold = False
        else:
            moved = (known.member.zone, known.member.region) != (member.zone, member.region)
            known.member = member
            self._groups_hold = self._groups_hold and not moved

    def group_of(self, place: WorkerPlace, now_s: float) -> Group:
        """Return the members among which workers of a place are shared out.

        The same object is returned until its members change.
        """
        if now_s >= self._next_settle_s or not self._groups_hold:
            self._renew_groups(now_s)
        group = self._groups.get(place)
        if group is None:
            group = self._groups[place] = self._members_near(place, self._settled(now_s))
        return group

    def owner_of(self, worker: str, place: WorkerPlace, now_s: float) -> str | None:
        """Return the name of the worker's owner; None without any member."""
        group = self.group_of(place, now_s)
        owned = self._owners.get(worker)
        if owned is not None and owned.group is group:
            return owned.owner
        if owned is not None and owned.owner in group:
            # The old owner outweighs every member of the old group that is still there.
            came = [node for node in group if node not in owned.group]
            owner = highest(worker, [owned.owner, *came])
        else:
            owner = highest(worker, group)
        if owner is not None:
            self._owners[worker] = _Owned(group, owner)
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

    def _settled(self, now_s: float) -> list[Member]:
        members = [self._candidates[node] for node in sorted(self._candidates)]
        settled = [candidate.member for candidate in members if candidate.eligible_s <= now_s]
        return settled or [candidate.member for candidate in members]

    def _renew_groups(self, now_s: float) -> None:
        waiting = [c.eligible_s for c in self._candidates.values() if c.eligible_s > now_s]
        self._next_settle_s = min(waiting, default=float("inf"))
        settled = self._settled(now_s)
        for place, before in self._groups.items():
            group = self._members_near(place, settled)
            self._groups[place] = before if group == before else group
        self._groups_hold = True

    @staticmethod
    def _members_near(place: WorkerPlace, settled: list[Member]) -> Group:
        same_zone = [member for member in settled if member.zone == place.zone]
        same_region = [member for member in settled if member.region == place.region]
        return dict.fromkeys(member.node for member in same_zone or same_region or settled)
