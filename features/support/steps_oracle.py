"""The steps' state machine against a simple oracle, with late, repeated and reordered commands.

Commands wait in a bag. A rule takes any of them, any number of times, in any order: that is a
lost answer tried again, a late answer, a paused node going on, or two nodes at once.
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
        self.told_now_s = 0.0
        self.told = {}
        self.bag = []
        self.scores = []
        self.attempts = 0
        self.held: dict[int, OracleSample] = {}
        self.order: list[int] = []
        self.delivered: list[tuple[int, str, tuple[int, ...], float | None]] = []
        self.batch_ends: list[int] = []
        self.trainer_cursor = 0
        self.trainer_has: list = []
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

    # --- the world ---

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

    # --- the oracle's own idea of freshness ---

    def hear(self, observation):
        self.told_now_s = max(self.told_now_s, observation.now_s)
        for publication in observation.publications:
            told_s, seen_s = self.told.get(publication.version, 0.0), publication.seen_at_s
            known = [at for at in (told_s, seen_s) if at > 0.0]
            self.told[publication.version] = min(known, default=0.0)
        for slot in [s for s in self.held if s not in self.delivered_slots()]:
            if not self.fresh(self.held[slot].versions):
                del self.held[slot]
                self.order.remove(slot)

    def fresh(self, versions):
        oldest = min(versions)
        newer = [at for version, at in self.told.items() if version > oldest]
        if self.minimum is not None and oldest < self.minimum:
            return False
        if self.versions is not None and max(self.told) - oldest > self.versions:
            return False
        too_long = newer and self.told_now_s - min(newer) > (self.seconds or 0)
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
        """A node finishes an attempt and commits it, now or later, with what it now knows.

        The node's clock may be behind, it may have seen the newest version late, or it has just
        started and knows of no version when it was published.
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
        self.bag.append(
            CommitSample(
                STEP, slot, f"a{self.attempts}", BulkValue(b"x"), segments, None, observation
            )
        )
        if not is_late:
            self.deliver(self.bag[-1])

    @precondition(lambda self: self.bag)
    @rule(data=st.data())
    def commit_arrives(self, data):
        self.deliver(data.draw(st.sampled_from(self.bag)))

    def deliver(self, command):
        reply = self.send(command)
        self.hear(command.observation)
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
        elif not self.fresh(versions):
            assert reply.outcome is Outcome.STALE
        else:
            assert reply.outcome is Outcome.DONE
            self.held[command.slot] = OracleSample(command.attempt_id, versions, None)
            self.order.append(command.slot)

    @precondition(lambda self: self.bag and self.scorer)
    @rule(data=st.data(), score=st.floats(0, 1))
    def score_arrives(self, data, score):
        command = data.draw(st.sampled_from(self.bag))
        self.send(AttachScore(STEP, command.slot, command.attempt_id, score))
        held = self.held.get(command.slot)
        is_first = held is not None and held.attempt == command.attempt_id and held.score is None
        if is_first and self.is_running():
            held.score = score

    @rule()
    def coordinator_observes(self):
        self.send(ObserveStep(STEP, self.observation()))
        self.hear(self.observation())

    # --- the trainer ---

    @rule(limit=st.integers(1, 3), behind=st.integers(0, 3), is_lost=st.booleans())
    def pull(self, limit, behind, is_lost):
        """Pull at the trainer's cursor, or again behind it; the answer may be lost."""
        cursor = max(0, self.trainer_cursor - behind)
        command = HandOver(STEP, cursor, limit, self.observation())
        self.send(command)
        self.hear(command.observation)
        if cursor == len(self.delivered):
            ready = [
                slot
                for slot in self.order
                if slot not in self.delivered_slots()
                and (self.scorer is None or self.held[slot].score is not None)
            ]
            for slot in ready[:limit]:
                held = self.held[slot]
                assert self.fresh(held.versions), "handed over outside the bound"
                self.delivered.append((slot, held.attempt, held.versions, held.score))
            if ready:
                self.batch_ends.append(len(self.delivered))
        whole = [end for end in self.batch_ends if end > cursor]
        reply = over_the_wire(self.machine.answer(ReadSamples(STEP, cursor, limit)))
        got = [
            (s.slot, tuple(g.weight_version for g in s.segments), s.score) for s in reply.samples
        ]
        expected = [(s, v, score) for s, _, v, score in self.delivered[cursor : reply.cursor]]
        assert got == expected
        expected_end = min(whole[0], cursor + limit) if whole else cursor
        assert reply.cursor == expected_end, "a repeated pull gave another batch"
        if not is_lost:
            self.trainer_has[cursor : reply.cursor] = got
            self.trainer_cursor = max(self.trainer_cursor, reply.cursor)

    @rule(behind=st.integers(0, 2))
    def acknowledge(self, behind):
        cursor = max(0, self.trainer_cursor - behind)
        reply = self.send(AcknowledgeSamples(STEP, cursor))
        assert reply.outcome is Outcome.DONE
        self.acknowledged = max(self.acknowledged, cursor)

    # --- what must always hold ---

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
    def each_slot_once(self):
        slots = [slot for slot, *_ in self.trainer_has]
        assert len(slots) == len(set(slots))
        assert [(s, v, score) for s, _, v, score in self.delivered][
            : len(slots)
        ] == self.trainer_has

    def teardown(self):
        """Whatever happened, the step can be filled, and the trainer gets each slot once."""
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
                self.bag = [command]
                self.send(command)
                self.hear(command.observation)
                if slot not in self.held:
                    self.held[slot] = OracleSample(attempt, (newest,), 1.0)
                    self.order.append(slot)
                elif self.held[slot].score is None and self.scorer:
                    held = self.held[slot]
                    self.send(AttachScore(STEP, slot, held.attempt, 1.0))
                    held.score = 1.0
            self.trainer_cursor = len(self.delivered)
            self.trainer_has = [(s, v, score) for s, _, v, score in self.delivered]
            self.pull(1 + self.attempts % 2, 0, False)
        while self.trainer_cursor < SLOTS:
            # The last answer may have been lost: the trainer pulls again.
            self.pull(SLOTS, 0, False)
        for behind in range(SLOTS + 1):
            self.pull(SLOTS, behind, True)
        for behind in (1, 0, 2):
            self.acknowledge(behind)
            self.status_agrees()
        self.each_slot_once()
        assert {slot for slot, *_ in self.trainer_has} == set(range(SLOTS))
