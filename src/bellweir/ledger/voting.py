"""Elections: pre-vote, votes and taking the lead."""

from bellweir.events.log import emit
from bellweir.ledger.entries import EntryKind, ReplicaId
from bellweir.ledger.leadership import Leadership
from bellweir.ledger.log_events import LEADER_ELECTED, SHARD_LEADERLESS
from bellweir.ledger.messages import ElectNow, VoteAnswer, VoteRequest
from bellweir.ledger.replica_state import ReplicaState, Role, shown

LEADERLESS_S = 3.0
"""Time without a leader that is told, and the least time between two such lines; an election
after a loss of all power takes under two seconds."""


class Voting(ReplicaState):
    """A replica's part in elections."""

    def tick(self, now_s: float) -> list[VoteRequest]:
        """Start an election when the leader is silent; resign when the followers are."""
        with self.locked():
            leadership = self._leadership
            if leadership is not None and self._applier.is_held:
                self._resign("a command that this build does not know")
                return []
            if leadership is not None:
                heard_s = leadership.heard_majority_s(self.log.replicas, now_s)
                if now_s - heard_s > self._timing.election_timeout_s:
                    self._resign("no majority answers")
                return []
            self._tell_leaderless(now_s)
            if now_s < self._election_due_s or not self._may_stand():
                return []
            return self._start_election(now_s, preliminary=True)

    def _tell_leaderless(self, now_s: float) -> None:
        """Say whom this replica hears while nobody leads: it shows who is missing."""
        if self.leader is not None:
            self._leaderless_since_s = now_s
            return
        last_s = max(self._leaderless_since_s, self._leaderless_told_s)
        if now_s - last_s < LEADERLESS_S:
            return
        self._leaderless_told_s = now_s
        replicas = self.log.replicas
        emit(
            SHARD_LEADERLESS,
            shard=self.shard,
            term=self.term,
            seconds=round(now_s - self._leaderless_since_s, 1),
            voters=shown(replicas.voters),
            learners=shown(replicas.learners),
            granted_by=shown(sorted(self._votes)),
        )

    def _may_stand(self) -> bool:
        replicas = self.log.replicas
        # The only voter stands also when it leaves: there is nobody else.
        is_able = not self._applier.is_held and (self.stands or replicas.majority == 1)
        return self.own in replicas.voters and is_able

    def _start_election(self, now_s: float, *, preliminary: bool) -> list[VoteRequest]:
        self._election_due_s = now_s + self._random_timeout_s()
        self._votes = {self.own}
        self.leader = None
        if preliminary:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._save_term(self.term + 1, self.own)
        if self.log.replicas.majority == 1:
            return self._count_votes(now_s)
        return [self._vote_request(voter) for voter in self._other_voters()]

    def _vote_request(self, voter: ReplicaId) -> VoteRequest:
        preliminary = self.role is Role.PRE_CANDIDATE
        return VoteRequest(
            shard=self.shard,
            generation=self.generation,
            term=self.term + 1 if preliminary else self.term,
            candidate=self.own,
            voter=voter,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            preliminary=preliminary,
            handed_over=self._handed_over,
        )

    def _count_votes(self, now_s: float) -> list[VoteRequest]:
        replicas = self.log.replicas
        if len(self._votes.intersection(replicas.voters)) < replicas.majority:
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._start_election(now_s, preliminary=False)
        self._lead(now_s)
        return []

    def _lead(self, now_s: float) -> None:
        self.role = Role.LEADER
        self.leader = self.own
        self._handed_over = False
        self._leadership = Leadership(self.own, self.log.last_index + 1, now_s)
        emit(
            LEADER_ELECTED,
            shard=self.shard,
            term=self.term,
            last_index=self.log.last_index,
            voters=shown(self.log.replicas.voters),
            granted_by=shown(sorted(self._votes)),
        )
        # The term's first entry repeats the replica set: a replica that was made by an append,
        # before it had read the first placement, learns the set from it and can stand, too.
        self._append_own(EntryKind.REPLICAS, self.log.replicas.encode())

    def handle_vote_request(self, request: VoteRequest, now_s: float) -> VoteAnswer | None:
        """Vote; the caller syncs the journal before it sends the answer."""
        with self.locked():
            if request.voter != self.own or request.generation != self.generation:
                return None
            granted = self._grants(request, now_s)
            return VoteAnswer(
                shard=self.shard,
                generation=self.generation,
                term=request.term if granted else self.term,
                candidate=request.candidate,
                voter=self.own,
                preliminary=request.preliminary,
                granted=granted,
            )

    def _grants(self, request: VoteRequest, now_s: float) -> bool:
        if not request.handed_over and self._hears_leader(now_s):
            return False
        own_log = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= own_log
        if request.preliminary:
            return up_to_date and request.term > self.term
        if request.term < self.term:
            return False
        if request.term > self.term:
            self._follow(request.term, None)
        if not up_to_date or self._voted_for not in (None, request.candidate):
            return False
        if self._voted_for is None:
            self._save_term(self.term, request.candidate)
        self._election_due_s = now_s + self._random_timeout_s()
        return True

    def _hears_leader(self, now_s: float) -> bool:
        if self._leadership is not None:
            return True
        heard_lately = now_s - self._leader_heard_s < self._timing.election_timeout_s
        return self.leader is not None and heard_lately

    def handle_vote_answer(self, answer: VoteAnswer, now_s: float) -> list[VoteRequest]:
        """Count a vote; may return the requests of the real election after a pre-vote."""
        with self.locked():
            if answer.candidate != self.own or answer.generation != self.generation:
                return []
            if not answer.granted:
                if answer.term > self.term:
                    self._follow(answer.term, None)
                return []
            wanted = Role.PRE_CANDIDATE if answer.preliminary else Role.CANDIDATE
            term = self.term + 1 if answer.preliminary else self.term
            if self.role is not wanted or answer.term != term:
                return []
            self._votes.add(answer.voter)
            return self._count_votes(now_s)

    def handle_elect_now(self, message: ElectNow, now_s: float) -> list[VoteRequest]:
        """Start an election because the leader hands over."""
        with self.locked():
            mine = message.target == self.own and message.generation == self.generation
            if not mine or message.term != self.term or self.role is Role.LEADER:
                return []
            if not self._may_stand():
                return []
            self._handed_over = True
            return self._start_election(now_s, preliminary=False)
