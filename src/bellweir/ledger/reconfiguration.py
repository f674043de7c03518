"""Decides the next change of a shard's replicas: one replica at a time, learners before voters."""

from dataclasses import dataclass, field

from bellweir.ledger.entries import ReplicaId, ReplicaSet
from bellweir.ledger.placement import PlacementCandidate, choose_voters


@dataclass(frozen=True)
class ShardView:
    """What the leader of a shard knows when it decides."""

    shard: int
    replicas: ReplicaSet
    own: ReplicaId
    caught_up: frozenset[ReplicaId]
    """Followers that hold nearly all of the log."""
    lost: frozenset[ReplicaId]
    """Replicas that are gone: their disk is another one now, or they won't come back."""
    candidates: tuple[PlacementCandidate, ...]
    """Nodes that are alive and have a data folder, with the identity of their disk."""
    silent: frozenset[ReplicaId] = field(default_factory=frozenset)
    """Replicas that don't answer now, lost or not."""
    retiring: frozenset[ReplicaId] = field(default_factory=frozenset)
    """Replicas and candidates on machines that are to be emptied: good until others are there."""
    leaving: frozenset[ReplicaId] = field(default_factory=frozenset)
    """Replicas whose processes stop as planned while their successor is there."""
    doubtful: frozenset[ReplicaId] = field(default_factory=frozenset)
    """Replicas on nodes that membership does not show as alive, whether they answer or not."""
    young: frozenset[ReplicaId] = field(default_factory=frozenset)
    """Replicas on machines that have just come: each may be the successor of one about to go."""

    def present_voters(self) -> list[ReplicaId]:
        """Voters that are not gone; some may be about to leave."""
        return [one for one in self.replicas.voters if one not in self.lost]

    def healthy_voters(self) -> list[ReplicaId]:
        """Voters that are to stay, whether they answer now or not."""
        return [one for one in self.present_voters() if one not in self.retiring | self.leaving]

    def sound_voters(self) -> list[ReplicaId]:
        """Voters that are to stay and are surely there: they have answered this leader."""
        unsure = self.silent | self.doubtful
        return [
            one
            for one in self.healthy_voters()
            if one not in unsure and (one == self.own or one in self.caught_up)
        ]


def next_replica_set(view: ShardView, wanted: int) -> ReplicaSet | None:
    """The replica set one step nearer to `wanted` healthy voters; None when nothing is to do.

    The order never lowers the number of losses that can be borne: a learner is added and catches
    up, it becomes a voter, and only then a voter goes, a lost one before any that is alive.
    """
    voters, learners = view.replicas.voters, view.replicas.learners
    lost_learner = next((one for one in learners if one in view.lost), None)
    if lost_learner is not None:
        return ReplicaSet(voters, _without(learners, lost_learner))
    lost_voter = next((one for one in voters if one in view.lost), None)
    silent_voter = lost_voter or next((one for one in voters if one in view.silent), None)
    # A majority of four is three, as of five: a fourth voter that is dead only raises the number
    # of live ones that must agree, so that no further loss could be borne.
    if silent_voter is not None and len(voters) > wanted and len(voters) % 2 == 0:
        return ReplicaSet(_without(voters, silent_voter), learners)
    if len(view.healthy_voters()) >= wanted:
        return _shrink(view, lost_voter, wanted)
    return _grow(view, wanted)


def _grow(view: ShardView, wanted: int) -> ReplicaSet | None:
    """Bring another replica in; one that is to leave only where a voter is missing."""
    voters, learners = view.replicas.voters, view.replicas.learners
    free = _free(view)
    lasting = [one for one in free if one.replica not in view.retiring]
    is_short = len(view.present_voters()) < wanted
    for learner in learners:
        if learner in view.retiring and (lasting or not is_short):
            return ReplicaSet(voters, _without(learners, learner))
    ready = next((one for one in learners if _is_ready(view, one)), None)
    if ready is not None:
        return ReplicaSet((*voters, ready), _without(learners, ready))
    if learners:
        return None
    return _with_new_learner(view, lasting or (free if is_short else []))


def _is_ready(view: ShardView, learner: ReplicaId) -> bool:
    return learner in view.caught_up and learner not in view.silent


def _shrink(view: ShardView, lost_voter: ReplicaId | None, wanted: int) -> ReplicaSet | None:
    voters, learners = view.replicas.voters, view.replicas.learners
    if lost_voter is not None:
        return ReplicaSet(_without(voters, lost_voter), learners)
    if len(voters) > wanted:
        return _without_surplus(view, wanted)
    # One that a new leader has not heard yet may be the dead one whose place the learner takes.
    if learners and len(view.sound_voters()) >= wanted:
        return ReplicaSet(voters, learners[:-1])
    return None


def _without_surplus(view: ShardView, wanted: int) -> ReplicaSet | None:
    """Take out one voter more than wanted, if enough others answer; one that is silent first."""
    voters = view.replicas.voters
    sound = view.sound_voters()
    if len(sound) < wanted:
        return None
    going = [one for one in voters if one in view.silent]
    going += [one for one in voters if one in view.leaving]
    going += [one for one in view.healthy_voters() if one not in sound]
    # A machine that has just come may stand in for one that is about to go. Were another one
    # emptied on its account, two machines would be left of three.
    if len([one for one in sound if one not in view.young]) >= wanted:
        going += [one for one in voters if one in view.retiring]
    if len(sound) > wanted:
        going += [one for one in reversed(sound) if one != view.own]
    return ReplicaSet(_without(voters, going[0]), view.replicas.learners) if going else None


def _free(view: ShardView) -> list[PlacementCandidate]:
    """Candidates that may be brought in.

    Not those of a node that holds a replica already; nor a lost replica itself, which may answer
    again just now: as a voter twice it would be a majority of its own.
    """
    taken = {one.node for one in view.replicas.everyone if one not in view.lost}
    known = view.replicas.everyone
    return [
        one for one in view.candidates if one.replica.node not in taken and one.replica not in known
    ]


def _with_new_learner(view: ShardView, free: list[PlacementCandidate]) -> ReplicaSet | None:
    healthy = view.healthy_voters()
    kept = [one for one in view.candidates if one.replica in healthy]
    chosen = choose_voters(view.shard, free, 1, kept)
    if not chosen:
        return None
    return ReplicaSet(view.replicas.voters, (*view.replicas.learners, chosen[0]))


def _without(replicas: tuple[ReplicaId, ...], gone: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(one for one in replicas if one != gone)
