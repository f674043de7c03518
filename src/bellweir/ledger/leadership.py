"""What a leader knows of its followers, from its election until it resigns."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field

from returns.result import Result

from bellweir.ledger.entries import ReplicaId, ReplicaSet
from bellweir.ledger.interface import LedgerError, Query, Reply

Outcome = Result[Reply, LedgerError]
OutcomeFuture = Future[Outcome]


@dataclass
class Progress:
    """How far one follower has come."""

    next_index: int
    """Index of the next entry to send."""
    answered_s: float
    """When it last answered, on the leader's monotonic clock."""
    match_index: int = 0
    """Last index known to be equal and durable there."""
    is_silent: bool = False
    """Whether it did not answer the last append: it gets heartbeats without entries until then."""
    confirmed_round: int = 0
    """Newest round in which it acknowledged this leader's term."""


@dataclass(frozen=True)
class PendingRead:
    """A query that waits for proof that this replica still led when it was asked."""

    query: Query
    future: OutcomeFuture
    after_round: int
    """A majority must acknowledge a round newer than this one."""
    index: int
    """The state must include this entry."""


@dataclass
class Leadership:
    """State of one leadership; `own` is the leader itself."""

    own: ReplicaId
    barrier_index: int
    """Index of the first entry of the leader's term."""
    started_s: float
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)
    durable_index: int = 0
    """Last index durable on the leader's own disk."""
    handing_over_to: ReplicaId | None = None

    def of(self, replica: ReplicaId, next_index: int) -> Progress:
        """Progress of a follower; a new one is first tried at `next_index`."""
        if replica not in self.progress:
            self.progress[replica] = Progress(next_index, self.started_s)
        return self.progress[replica]

    def majority_index(self, replicas: ReplicaSet) -> int:
        """Greatest index that is durable on a majority of the voters."""
        return self._majority_of(replicas, self.durable_index, lambda found: found.match_index)

    def confirmed_round(self, replicas: ReplicaSet, newest_round: int) -> int:
        """Newest round in which a majority acknowledged this leader."""
        return self._majority_of(replicas, newest_round, lambda found: found.confirmed_round)

    def heard_majority_s(self, replicas: ReplicaSet, now_s: float) -> float:
        """Latest time at which a majority had answered."""
        answered = [
            now_s if voter == self.own else self.answered_s(voter) for voter in replicas.voters
        ]
        return sorted(answered, reverse=True)[replicas.majority - 1]

    def answered_s(self, voter: ReplicaId) -> float:
        """When a follower last answered, or when the leadership began."""
        found = self.progress.get(voter)
        return found.answered_s if found else self.started_s

    def _majority_of(
        self, replicas: ReplicaSet, own_value: int, value_of: Callable[[Progress], int]
    ) -> int:
        values = []
        for voter in replicas.voters:
            found = self.progress.get(voter)
            if voter == self.own:
                values.append(own_value)
            else:
                values.append(value_of(found) if found else 0)
        return sorted(values, reverse=True)[replicas.majority - 1]
