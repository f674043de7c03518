"""Tests the state machine of steps against an oracle, with late, repeated and reordered commands.

Pending commands are delivered any number of times in any order, as with lost replies and retries,
delayed messages, paused nodes and concurrent nodes.
"""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bellweir.routing.interface import Segment
from bellweir.samples.interface import StepState
from bellweir.samples.machine import StepMachine
from bellweir.samples.messages import (
    AcknowledgeSamples,
    AttachScore,
    BulkValue,
    CommitSample,
    DeclareStep,
    HandOver,
    Observation,
    ObserveStep,
    Outcome,
    Publication,
    ReadSamples,
    ReadStatus,
    StepTerms,
)
from support.memory_ledger import over_the_wire

STEP = "step-1"
SLOTS = 4


@dataclass
class OracleSample:
    attempt: str
    versions: tuple[int, ...]
    score: float | None


class StepsAgainstOracle(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.machine = StepMachine()
        self.now_s = 100.0
        self.published = {1: 0.0}
        self.observed_now_s = 0.0
        self.observed = {}
        self.pending = []
        self.scores = []
        self.attempts = 0
        self.held: dict[int, OracleSample] = {}
        self.order: list[int] = []
        self.delivered: list[tuple[int, str, tuple[int, ...], float | None]] = []
        self.batch_ends: list[int] = []
        self.trainer_cursor = 0
        self.received: list = []
        self.acknowledged = 0

    @initialize(
        minimum=st.sampled_from([None, 2]),
        versions=st.sampled_from([1, 0, 2, None]),
        seconds=st.sampled_from([None, 5.0, 12.0]),
        scorer=st.sampled_from([None, "scorer:1"]),
    )
    def declare(self, minimum, versions, seconds, scorer):
        self.minimum, self.versions, self.seconds, self.scorer = minimum, versions, seconds, scorer
        terms = StepTerms(
            STEP,
            "writer",
            SLOTS,
            1,
            10,
            "f",
            BulkValue(b"d"),
            minimum,
            versions,
            seconds,
            None,
            scorer,
        )
        reply = self.send(DeclareStep(terms, self.observation()))
        assert reply.outcome is Outcome.DONE

    # --- clock, weight versions and transport ---

    def observation(self):
        known = tuple(Publication(v, at) for v, at in sorted(self.published.items()))
        return Observation(self.now_s, known)

    def send(self, command):
        return over_the_wire(self.machine.apply(over_the_wire(command)))

    @rule(seconds=st.floats(0.5, 8))
    def time_passes(self, seconds):
        self.now_s += seconds

    @rule(seconds=st.sampled_from([0.5, 4.0]))
    def publish(self, seconds=1.0):
        self.now_s += seconds
        self.published[max(self.published) + 1] = self.now_s

    @rule()
    def restart_from_snapshot(self):
        saved = self.machine.save()
        self.machine = StepMachine()
        self.machine.load(saved)
        assert self.machine.save() == saved

    # --- freshness as the oracle computes it ---

    def observe(self, observation):
        self.observed_now_s = max(self.observed_now_s, observation.now_s)
        for publication in observation.publications:
            observed_s, seen_s = self.observed.get(publication.version, 0.0), publication.seen_at_s
            known = [at for at in (observed_s, seen_s) if at > 0.0]
            self.observed[publication.version] = min(known, default=0.0)
        for slot in [s for s in self.held if s not in self.delivered_slots()]:
            if not self.is_fresh(self.held[slot].versions):
                del self.held[slot]
                self.order.remove(slot)

    def is_fresh(self, versions):
        oldest = min(versions)
        newer = [at for version, at in self.observed.items() if version > oldest]
        if self.minimum is not None and oldest < self.minimum:
            return False
        if self.versions is not None and max(self.observed) - oldest > self.versions:
            return False
        too_long = newer and self.observed_now_s - min(newer) > (self.seconds or 0)
        return not (self.seconds is not None and too_long)

    def delivered_slots(self):
        return {slot for slot, *_ in self.delivered}

    def is_running(self):
        return self.acknowledged < SLOTS

    # --- nodes ---

    @rule(
        slot=st.integers(0, SLOTS - 1),
        ages=st.lists(st.integers(0, 2), min_size=1, max_size=3),
        is_late=st.booleans(),
        clock_error_s=st.sampled_from([0.0, 3.0]),
        has_restarted=st.sampled_from([False, False, True]),
    )
    def generate(self, slot, ages, is_late, clock_error_s, has_restarted):
        """A node finishes an attempt and commits it now or later, with its current observation.

        Its clock may be behind, it may have observed the newest version late, or it has just
        started and knows no publication times.
        """
        newest = max(self.published)
        versions = sorted(max(1, newest - age) for age in ages)
        self.attempts += 1
        known = self.observation()
        observation = Observation(
            known.now_s - clock_error_s,
            tuple(Publication(p.version, p.seen_at_s + clock_error_s) for p in known.publications),
        )
        segments = tuple(Segment(version, n * 2, 2) for n, version in enumerate(versions))
        self.pending.append(
            CommitSample(
                STEP, slot, f"a{self.attempts}", BulkValue(b"x"), segments, None, observation
            )
        )
        if not is_late:
            self.deliver(self.pending[-1])

    @precondition(lambda self: self.pending)
    @rule(data=st.data())
    def commit_arrives(self, data):
        self.deliver(data.draw(st.sampled_from(self.pending)))

    def deliver(self, command):
        reply = self.send(command)
        self.observe(command.observation)
        versions = tuple(segment.weight_version for segment in command.segments)
        held = self.held.get(command.slot)
        if held is not None and held.attempt == command.attempt_id:
            assert reply.outcome is Outcome.DONE
        elif not self.is_running():
            assert reply.outcome is Outcome.ENDED
        elif held is not None:
            assert reply.outcome is Outcome.DUPLICATE
        elif self.minimum is not None and min(versions) < self.minimum:
            assert reply.outcome is Outcome.TOO_OLD
        elif not self.is_fresh(versions):
            assert reply.outcome is Outcome.STALE
        else:
            assert reply.outcome is Outcome.DONE
            self.held[command.slot] = OracleSample(command.attempt_id, versions, None)
            self.order.append(command.slot)

    @precondition(lambda self: self.pending and self.scorer)
    @rule(data=st.data(), score=st.floats(0, 1))
    def score_arrives(self, data, score):
        command = data.draw(st.sampled_from(self.pending))
        self.send(AttachScore(STEP, command.slot, command.attempt_id, score))
        held = self.held.get(command.slot)
        is_first = held is not None and held.attempt == command.attempt_id and held.score is None
        if is_first and self.is_running():
            held.score = score

    @rule()
    def coordinator_observes(self):
        self.send(ObserveStep(STEP, self.observation()))
        self.observe(self.observation())

    # --- the trainer ---

    @rule(limit=st.integers(1, 3), behind=st.integers(0, 3), is_lost=st.booleans())
    def pull(self, limit, behind, is_lost):
        """Pull at the trainer's cursor or before it; the reply may be lost."""
        cursor = max(0, self.trainer_cursor - behind)
        command = HandOver(STEP, cursor, limit, self.observation())
        self.send(command)
        self.observe(command.observation)
        if cursor == len(self.delivered):
            ready = [
                slot
                for slot in self.order
                if slot not in self.delivered_slots()
                and (self.scorer is None or self.held[slot].score is not None)
            ]
            for slot in ready[:limit]:
                held = self.held[slot]
                assert self.is_fresh(held.versions), "a stale sample was delivered"
                self.delivered.append((slot, held.attempt, held.versions, held.score))
            if ready:
                self.batch_ends.append(len(self.delivered))
        ends = [end for end in self.batch_ends if end > cursor]
        reply = over_the_wire(self.machine.answer(ReadSamples(STEP, cursor, limit)))
        got = [
            (s.slot, tuple(g.weight_version for g in s.segments), s.score) for s in reply.samples
        ]
        expected = [(s, v, score) for s, _, v, score in self.delivered[cursor : reply.cursor]]
        assert got == expected
        expected_end = min(ends[0], cursor + limit) if ends else cursor
        assert reply.cursor == expected_end, "a repeated pull returned another batch"
        if not is_lost:
            self.received[cursor : reply.cursor] = got
            self.trainer_cursor = max(self.trainer_cursor, reply.cursor)

    @rule(behind=st.integers(0, 2))
    def acknowledge(self, behind):
        cursor = max(0, self.trainer_cursor - behind)
        reply = self.send(AcknowledgeSamples(STEP, cursor))
        assert reply.outcome is Outcome.DONE
        self.acknowledged = max(self.acknowledged, cursor)

    # --- invariants ---

    @invariant()
    def status_agrees(self):
        status = self.machine.answer(ReadStatus(STEP)).status
        if status is None:
            return
        assert status.filled == len(self.held)
        assert status.delivered == len(self.delivered)
        assert status.acknowledged == self.acknowledged
        assert (status.state is StepState.RUNNING) == self.is_running()

    @invariant()
    def no_duplicate_slots(self):
        slots = [slot for slot, *_ in self.received]
        assert len(slots) == len(set(slots))
        assert [(s, v, score) for s, _, v, score in self.delivered][: len(slots)] == self.received

    def teardown(self):
        """After any history the step can be filled, and the trainer gets each slot once."""
        if not hasattr(self, "minimum"):
            return
        while max(self.published) < (self.minimum or 1):
            self.publish()
        while len(self.delivered) < SLOTS:
            newest = max(self.published)
            for slot in range(SLOTS):
                self.attempts += 1
                attempt = f"a{self.attempts}"
                segments = (Segment(newest, 0, 1),)
                command = CommitSample(
                    STEP, slot, attempt, BulkValue(b"x"), segments, 1.0, self.observation()
                )
                self.pending = [command]
                self.send(command)
                self.observe(command.observation)
                if slot not in self.held:
                    self.held[slot] = OracleSample(attempt, (newest,), 1.0)
                    self.order.append(slot)
                elif self.held[slot].score is None and self.scorer:
                    held = self.held[slot]
                    self.send(AttachScore(STEP, slot, held.attempt, 1.0))
                    held.score = 1.0
            self.trainer_cursor = len(self.delivered)
            self.received = [(s, v, score) for s, _, v, score in self.delivered]
            self.pull(1 + self.attempts % 2, 0, False)
        while self.trainer_cursor < SLOTS:
            # The last reply may have been lost: the trainer pulls again.
            self.pull(SLOTS, 0, False)
        for behind in range(SLOTS + 1):
            self.pull(SLOTS, behind, True)
        for behind in (1, 0, 2):
            self.acknowledge(behind)
            self.status_agrees()
        self.no_duplicate_slots()
        assert {slot for slot, *_ in self.received} == set(range(SLOTS))
