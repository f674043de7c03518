"""Decides the next change of a shard's replicas: one replica at a time, learners before voters."""

from dataclasses import dataclass

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
    """Replicas to be replaced."""
    candidates: tuple[PlacementCandidate, ...]
    """Nodes that are alive and have a data folder, with the identity of their disk."""


def next_replica_set(view: ShardView, wanted: int) -> ReplicaSet | None:
    """The replica set one step nearer to `wanted` healthy voters; None when nothing is to do.

    The order never lowers the number of healthy copies: a learner is added and catches up, it
    becomes a voter, and only then the lost voter goes.
    """
    voters, learners = view.replicas.voters, view.replicas.learners
    lost_learner = next((one for one in learners if one in view.lost), None)
    if lost_learner is not None:
        return ReplicaSet(voters, _without(learners, lost_learner))
    lost_voter = next((one for one in voters if one in view.lost), None)
    healthy = len(voters) - sum(1 for one in voters if one in view.lost)
    if healthy >= wanted:
        return _shrink(view, lost_voter, wanted)
    ready = next((one for one in learners if one in view.caught_up), None)
    if ready is not None:
        return ReplicaSet((*voters, ready), _without(learners, ready))
    if learners:
        return None
    return _with_new_learner(view)


def _shrink(view: ShardView, lost_voter: ReplicaId | None, wanted: int) -> ReplicaSet | None:
    voters, learners = view.replicas.voters, view.replicas.learners
    if lost_voter is not None:
        return ReplicaSet(_without(voters, lost_voter), learners)
    if len(voters) > wanted:
        surplus = [one for one in voters if one != view.own]
        return ReplicaSet(_without(voters, surplus[-1]), learners)
    if learners:
        return ReplicaSet(voters, learners[:-1])
    return None


def _with_new_learner(view: ShardView) -> ReplicaSet | None:
    voters = view.replicas.voters
    healthy_nodes = {one.node for one in voters if one not in view.lost}
    kept = [
        one for one in view.candidates if one.replica in voters and one.replica not in view.lost
    ]
    free = [one for one in view.candidates if one.replica.node not in healthy_nodes]
    chosen = choose_voters(view.shard, free, 1, [one.zone for one in kept])
    if not chosen:
        return None
    return ReplicaSet(voters, (*view.replicas.learners, chosen[0]))


def _without(replicas: tuple[ReplicaId, ...], gone: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(one for one in replicas if one != gone)
