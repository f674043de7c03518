"""The lease against an oracle: simulated time, a store in memory that loses answers."""

import random
from itertools import pairwise

import hypothesis.strategies as st
from behave import then
from hypothesis import given, settings
from returns.result import Failure, Success

from bellweir.hosted.interface import RecordStore, StoredRecord, StoreError, StoreErrorKind
from bellweir.hosted.weights.lease import LOOK_PAUSE_S, Lease, LeasePhase
from bellweir_rehearsal.hosted.records import ObjectRecords, WriteRefusal

LEASE_S = 5.0
SEPARATION_S = 3.0
ACT_S = 0.5
"""Longest time that an act takes."""


class MemoryStore(RecordStore):
    """The stand-in's records without HTTP."""

    def __init__(self, records, chance):
        self.records, self.chance = records, chance
        self.lost_share = 0.0
        self.late_share = 0.0
        self.down = False
        self.late = []

    def read(self, kind, name):
        if self.down:
            return Failure(StoreError(StoreErrorKind.UNKNOWN, "down"))
        found = self.records.get(kind, name)
        if found is None:
            return Failure(StoreError(StoreErrorKind.NOT_FOUND, name))
        return Success(_record(kind, found))

    def create(self, kind, name, spec):
        return self._write(kind, lambda: self.records.create(kind, name, spec))

    def replace(self, kind, name, spec, revision):
        return self._write(kind, lambda: self.records.replace(kind, name, revision, spec=spec))

    def _write(self, kind, write):
        if self.down:
            # Its condition may still hold when it is done later.
            if self.chance.random() < 0.3:
                self.late.append(write)
            return Failure(StoreError(StoreErrorKind.UNKNOWN, "down"))
        if self.chance.random() < self.late_share:
            self.late.append(write)
            return Failure(StoreError(StoreErrorKind.UNKNOWN, "connection reset"))
        made = write()
        if self.chance.random() < self.lost_share:
            return Failure(StoreError(StoreErrorKind.UNKNOWN, "answer lost"))
        if isinstance(made, WriteRefusal):
            missing = made is WriteRefusal.MISSING
            kind_of = StoreErrorKind.NOT_FOUND if missing else StoreErrorKind.CONFLICT
            return Failure(StoreError(kind_of, ""))
        return Success(_record(kind, made))

    def end_outage(self):
        self.down = False
        self.do_late()

    def do_late(self):
        """Do the writes that are late; each one only if its condition still holds."""
        late, self.late = self.late, []
        for write in late:
            write()

    def list_kind(self, kind, *, stale=False):
        raise NotImplementedError

    def watch(self, kind, revision, wait_s):
        raise NotImplementedError

    def interrupt_watches(self, kind):
        raise NotImplementedError

    def replace_status(self, kind, name, status, revision):
        raise NotImplementedError

    def delete(self, kind, name, revision):
        raise NotImplementedError


def _record(kind, found):
    return StoredRecord(kind, found.name, found.revision, found.spec)


class Machines:
    """Machines with a lease each; every one acts whenever it believes that it may."""

    def __init__(self, count, seed):
        self.chance = random.Random(seed)
        self.store = MemoryStore(ObjectRecords(), self.chance)
        self.now_s = 100.0
        self.offsets = [self.chance.uniform(0, 1e6) for _ in range(count)]
        self.paused_until_s = [0.0] * count
        self.news = []
        """What holders told: time of arrival, number of the hearer, its call and the words."""
        self.leases = [self.make(number) for number in range(count)]
        self.acts = []

    def make(self, number):
        def clock():
            return self.now_s + self.offsets[number]

        lease = Lease(self.store, "duty", f"node-{number}", LEASE_S, SEPARATION_S, clock)
        lease.tell = lambda revision, holder: self.told(number, "hear", revision, holder)
        lease.tell_hand_over = lambda revision, idle_s: self.told(
            number, "hear_hand_over", revision, idle_s
        )
        return lease

    def told(self, teller, call, *words):
        """A message to each other machine; some are lost, some late."""
        for number in range(len(self.offsets)):
            if number != teller and self.chance.random() < 0.8:
                late_s = self.chance.choice((0.0, 0.01, 0.01, 2.0))
                self.news.append((self.now_s + late_s, number, call, words))

    def hear(self):
        arrived = [one for one in self.news if one[0] <= self.now_s]
        self.news = [one for one in self.news if one[0] > self.now_s]
        for _, number, call, words in arrived:
            if self.now_s >= self.paused_until_s[number]:
                getattr(self.leases[number], call)(*words)

    def turn(self):
        self.now_s += 0.1
        self.hear()
        if self.store.late_share and self.chance.random() < 0.1:
            self.store.do_late()
        for number, lease in enumerate(self.leases):
            if self.now_s < self.paused_until_s[number]:
                continue
            if self.chance.random() < 0.5:
                lease.step()
            if lease.refused_since_s() is not None and self.chance.random() < 0.2:
                lease.hand_over()
            # Not at every chance, so that some leases are given back long after the last act.
            lasts_s = self.chance.uniform(0.0, ACT_S)
            fence = lease.begin_operation(ACT_S) if self.chance.random() < 0.3 else 0
            if fence:
                self.acts.append((self.now_s, self.now_s + lasts_s, number, fence))

    def check(self):
        for (_, before_s, before, before_fence), (now_s, _, now, fence) in pairwise(self.acts):
            assert fence >= before_fence, "a lower fence after a higher one"
            if before != now:
                # An act may take effect at any time until its end.
                assert now_s - before_s >= SEPARATION_S, "two holders acted within the time"
                assert fence > before_fence, "two holders with one fence"


EVENTS = ("quiet", "lossy", "late", "down", "pause", "restart", "release", "aside", "handover")


@then("no two holders act within the agreed time and fences only rise")
def then_separate(context):
    acted = {"handovers": 0}

    @settings(max_examples=250)
    @given(
        seed=st.integers(0, 10_000),
        count=st.integers(2, 4),
        events=st.lists(st.sampled_from(EVENTS), min_size=3, max_size=14),
    )
    def separate(seed, count, events):
        machines = Machines(count, seed)
        for event in events:
            target = machines.chance.randrange(count)
            machines.store.lost_share = 0.4 if event == "lossy" else 0.0
            machines.store.late_share = 0.6 if event == "late" else 0.0
            if event == "down":
                machines.store.down = True
            elif event == "pause":
                pause_s = machines.chance.uniform(0.5, 14.0)
                machines.paused_until_s[target] = machines.now_s + pause_s
            elif event == "restart":
                machines.leases[target] = machines.make(target)
            elif event == "release":
                machines.leases[target].release()
            elif event == "handover":
                machines.leases[target].hand_over()
            elif event == "aside":
                machines.leases[target].step_aside(machines.chance.uniform(0.1, 9.0))
            for _ in range(machines.chance.randrange(5, 90)):
                machines.turn()
            machines.store.end_outage()
        machines.check()
        holders = [number for _, _, number, _ in machines.acts]
        acted["handovers"] += sum(a != b for a, b in pairwise(holders))

    separate()
    assert acted["handovers"] > 20, "the runs hardly ever changed the holder"


@then("a restarted holder takes its lease again without a wait, with a higher fence")
def then_restarted(context):
    machines = Machines(1, 1)
    machines.leases[0].step()
    first = machines.leases[0].fence
    assert machines.leases[0].remaining_s() > 0.0
    machines.leases[0] = machines.make(0)
    machines.now_s += 0.1
    machines.leases[0].step()
    assert machines.leases[0].phase is LeasePhase.HOLDING
    assert machines.leases[0].fence > first


@then("a successor of a planned stop acts after the agreed time only")
def then_released(context):
    machines = Machines(2, 1)
    machines.leases[0].step()
    machines.leases[0].release()
    released_s = machines.now_s
    machines.leases[1].step()
    assert machines.leases[1].phase is LeasePhase.WAITING
    while machines.leases[1].remaining_s() <= 0.0:
        machines.now_s += 0.1
        machines.leases[1].step()
    waited_s = machines.now_s - released_s
    assert SEPARATION_S <= waited_s < LEASE_S


@then("another node holds the lease of a lost machine within a second of its end")
def then_followed(context):
    for seed in range(20):
        machines = Machines(2, seed)
        holder, other = machines.leases
        holder.step()
        due_s = [machines.now_s, machines.now_s + machines.chance.uniform(0.0, 2.5)]
        lost_s = machines.now_s + 10.0 + machines.chance.uniform(0.0, 2.5)
        taken_s = None
        while taken_s is None and machines.now_s < lost_s + 20.0:
            machines.now_s += 0.05
            for number, lease in enumerate((holder, other)):
                is_lost = number == 0 and machines.now_s >= lost_s
                if machines.now_s >= due_s[number] and not is_lost:
                    lease.step()
                    due_s[number] = machines.now_s + lease.pause_s()
            if other.fence:
                taken_s = machines.now_s
        assert taken_s is not None, "nobody took it"
        # Seen unchanged for the lease time, beginning at a look up to one pause after the renewal.
        assert taken_s - lost_s <= LEASE_S + LOOK_PAUSE_S + 1.0, (seed, taken_s - lost_s)
        assert other.fence > holder.fence


@then("another node acts within a second of the store's return")
def then_soon(context):
    for seed in range(20):
        machines = Machines(3, seed)
        machines.leases[0].step()
        due_s = [machines.now_s] * 3
        lost_s = machines.now_s + 8.0 + machines.chance.uniform(0.0, 2.5)
        back_s = lost_s + 6.5

        def until(end_s, machines=machines, due_s=due_s, lost_s=lost_s):
            while machines.now_s < end_s:
                machines.now_s += 0.05
                machines.hear()
                for number, lease in enumerate(machines.leases):
                    is_lost = number == 0 and machines.now_s >= lost_s
                    if machines.now_s >= due_s[number] and not is_lost:
                        lease.step()
                        due_s[number] = machines.now_s + lease.pause_s()

        # Every message arrives, at once.
        machines.chance.random = lambda: 0.0
        machines.chance.choice = lambda options: options[0]
        until(lost_s)
        machines.store.down = True
        until(back_s)
        machines.store.down = False
        machines.store.late = []
        until(back_s + 1.0)
        acting = [lease.remaining_s() > 0.0 for lease in machines.leases[1:]]
        assert acting.count(True) == 1, (seed, acting)


@then("a holder that is asked aside is followed at once if it has not acted lately")
def then_aside(context):
    machines = Machines(2, 1)
    first, second = machines.leases
    first.step()
    assert first.begin_operation(0.0)
    for idle_s, waits in ((1.0, True), (4.0, False)):
        machines.now_s += idle_s
        first.step_aside(60.0)
        first.step()
        assert not first.is_held
        second.step()
        assert (second.remaining_s() <= 0.0) == waits, idle_s
        machines.now_s += SEPARATION_S
        second.step()
        assert second.begin_operation(0.0)
        first.step()
        assert not first.is_held, "one that stands aside took the lease"
        first, second = second, machines.make(0)


@then("another node acts within {seconds:g} s of a hand-over, {sooner:g} s sooner than without")
def then_handed_over(context, seconds, sooner):
    taken = {}
    for hands_over in (True, False):
        machines = Machines(3, 1)
        machines.chance.random = lambda: 0.0
        machines.chance.choice = lambda options: options[0]
        holder, *others = machines.leases
        holder.step()
        assert holder.begin_operation(0.0)
        machines.now_s += 2.0
        machines.hear()
        given_up_s = machines.now_s
        if hands_over:
            holder.hand_over()
            assert not holder.begin_operation(0.0)
        while not any(one.begin_operation(0.0) for one in others):
            machines.now_s += 0.05
            machines.hear()
            for lease in others:
                lease.step()
            assert machines.now_s < given_up_s + 30.0, "nobody acts"
        taken[hands_over] = machines.now_s - given_up_s
    assert taken[True] <= seconds, taken
    assert taken[False] - taken[True] >= sooner, taken


@then("a renewal whose answer comes after the hand-over does not bring the lease back")
def then_late_renewal(context):
    machines = Machines(2, 1)
    holder, store = machines.leases[0], machines.store
    holder.step()
    machines.now_s += 2.0
    write = store.replace

    def slow_write(*words):
        machines.now_s += 1.0
        assert holder.refused_since_s() is not None
        holder.hand_over()
        return write(*words)

    store.replace = slow_write
    holder.step()
    store.replace = write
    assert not holder.is_held
    assert not holder.begin_operation(0.0)


@then("a hand-over that arrives after the lease was taken again changes nothing")
def then_late_hand_over(context):
    machines = Machines(2, 1)
    holder, other = machines.leases
    holder.step()
    revision = holder.fence
    holder.hand_over()
    machines.leases[0] = machines.make(0)
    machines.leases[0].step()
    assert machines.leases[0].begin_operation(0.0)
    other.hear_hand_over(revision, 60.0)
    machines.now_s += 1.0
    other.step()
    assert not other.is_held


class LateStore(MemoryStore):
    """The next replacement loses its connection at once and is done when the test says."""

    def __init__(self, records, chance):
        super().__init__(records, chance)
        self.is_next_late = False

    def replace(self, kind, name, spec, revision):
        if not self.is_next_late:
            return super().replace(kind, name, spec, revision)
        self.is_next_late = False
        self.late.append(lambda: self.records.replace(kind, name, revision, spec=spec))
        return Failure(StoreError(StoreErrorKind.UNKNOWN, "connection reset"))


# Symptom: a lease was handed over 2.1 s after it was taken, and nobody took it in 3 s of calm.
# Sequence: the first renewal, 1.5 s after the lease was taken, lost its connection; the object read
# back was unchanged. The store did the renewal later. Then the holder handed over the revision that
# it knew, and the others found a newer one under its name: to them a lease that was just renewed,
# to be watched for its whole time of 5.3 s.
# Cause: a hand-over named one revision of the object only, though the renewal under way makes
# another one of the same lease.
# Settled by `Lease.hand_over`, which told `record.revision`, by `Lease._consider`, which replaced
# what it had heard as soon as `seen.revision != record.revision`, and by `CALL_TIMEOUT_S` of
# `platform/object_store.py`: a write may be done 1.5 s after it was sent, and a holder hands over
# 0.75 s after its first one that failed.
LATE_MOMENTS = ("before the hand-over", "before it is heard", "after it is heard", "never")


@then(
    "another node has the lease within {seconds:g} s of a hand-over, "
    "whenever the late renewal is done"
)
def then_late_renewal_followed(context, seconds):
    context.gaps_s = {}
    for moment in LATE_MOMENTS:
        for seed in range(5):
            taken_s, context.gaps_s[moment, seed] = _hand_over_beside(moment, seed)
            assert taken_s <= seconds, (moment, seed, taken_s)


@then("it acts the agreed time after the last act of the one that handed over")
def then_late_renewal_apart(context):
    for case, gap_s in context.gaps_s.items():
        assert SEPARATION_S <= gap_s <= SEPARATION_S + 1.0, (case, gap_s)


def _hand_over_beside(moment, seed):
    """Hand over with a renewal whose outcome is unknown; return how long after it another node
    has the lease, and the time between the last act before and the first one after it.
    """
    machines = Machines(3, seed)
    machines.store = LateStore(machines.store.records, machines.chance)
    machines.leases = [machines.make(number) for number in range(3)]
    machines.chance.random = lambda: 0.0
    machines.chance.choice = lambda options: options[1]
    holder, *others = machines.leases
    # One that gives it back long after its last act, so that the next one acts at once.
    others[0].step()
    machines.now_s += 4.0
    others[0].release()
    machines.now_s += 0.05
    machines.hear()
    holder.step()

    def go_on(seconds, steps):
        end_s = machines.now_s + seconds
        while machines.now_s < end_s:
            machines.now_s += 0.05
            machines.hear()
            for lease in steps:
                lease.step()

    go_on(1.5, others)
    machines.store.is_next_late = True
    go_on(0.1, [holder, *others])
    assert holder.begin_operation(ACT_S), "the holder lost its lease"
    acted_until_s = machines.now_s + ACT_S
    go_on(0.6, others)
    if moment == "before the hand-over":
        machines.store.end_outage()
        go_on(0.05, others)
    go_on(0.2, others)
    assert holder.refused_since_s() is not None
    holder.hand_over()
    handed_s = machines.now_s
    if moment == "before it is heard":
        machines.store.end_outage()
        for lease in others:
            lease.step()
    elif moment == "after it is heard":
        machines.now_s += 0.05
        machines.hear()
        machines.store.end_outage()
    while not any(lease.is_held for lease in others):
        go_on(0.05, others)
        assert machines.now_s < handed_s + 30.0, "nobody takes it"
    taken_s = machines.now_s - handed_s
    while not any(lease.begin_operation(ACT_S) for lease in others):
        go_on(0.05, others)
    return taken_s, machines.now_s - acted_until_s


# Symptom: two holders acted 1.8 s apart where 3 s are agreed.
# Sequence: a renewal got no answer in the 1.5 s that a call may take; the object read back then was
# as the renewal had made it, and the holder counted on its lease from this look on. The others had
# seen the object 1.5 s before and counted from there. Or: the first renewal of a lease that was
# made, not taken, had the number of the making, so that it passed for done when it was not.
# Cause: a renewal was known by its number, and dated by the look at it.
# Settled by `Lease._read_back`, which extended the lease from `began_s` of its own look on, and by
# `Lease._create`, which wrote number 1 and left the holder's own at 0.
def _gap_after_last_act_s(machines):
    """Have the holder renew no more; return the time between its last act and the next one's."""
    holder, *others = machines.leases
    end_s = machines.now_s + 30.0
    acted_until_s = None
    while not any(lease.begin_operation(ACT_S) for lease in others):
        if holder.begin_operation(ACT_S):
            acted_until_s = machines.now_s + ACT_S
        machines.now_s += 0.05
        for lease in others:
            lease.step()
        assert machines.now_s < end_s, "nobody acts"
    assert acted_until_s is not None, "the holder did not act"
    return machines.now_s - acted_until_s


def _untold(seed):
    """Two machines that learn of each other by the store only, the first one with the lease."""
    machines = Machines(2, seed)
    machines.chance.random = lambda: 1.0
    machines.leases[0].step()
    machines.leases[1].step()
    return machines


@then("a holder whose renewal was done, but answered too late, acts no longer than it may")
def then_slow_renewal(context):
    for seed in range(5):
        machines = _untold(seed)
        holder, other = machines.leases
        store, write = machines.store, machines.store.replace

        def slow_write(*words, machines=machines, other=other, write=write):
            write(*words)
            other.step()
            machines.now_s += 1.5
            return Failure(StoreError(StoreErrorKind.UNKNOWN, "no answer"))

        machines.now_s += 1.6
        store.replace = slow_write
        holder.step()
        store.replace = write
        gap_s = _gap_after_last_act_s(machines)
        assert gap_s >= SEPARATION_S, (seed, gap_s)


@then("a holder whose first renewal was never done acts no longer than it may")
def then_undone_renewal(context):
    for seed in range(5):
        machines = _untold(seed)
        store, write = machines.store, machines.store.replace
        machines.now_s += 1.6
        store.replace = lambda *_words: Failure(StoreError(StoreErrorKind.UNKNOWN, "not done"))
        machines.leases[0].step()
        store.replace = write
        gap_s = _gap_after_last_act_s(machines)
        assert gap_s >= SEPARATION_S, (seed, gap_s)


# Symptom: a holder lost its lease to "another holder", though the object named nobody but itself.
# Sequence: a renewal lost its connection and was done after it had been read back; the next one met
# the changed object, whose number was the one before its own.
# Settled by `Lease._read_back`, which knew only the newest renewal by its number.
@then("a holder whose renewal was done late keeps its lease")
def then_late_renewal_kept(context):
    machines = _untold(1)
    # One that took the lease, not made it.
    holder = machines.leases[0] = machines.make(0)
    holder.step()
    fence = holder.fence
    machines.now_s += 1.6
    machines.store.late_share = 2.0
    holder.step()
    machines.store.late_share = 0.0
    machines.now_s += 0.5
    machines.store.do_late()
    machines.now_s += 0.3
    holder.step()
    assert holder.fence == fence, "the lease was lost"
    machines.now_s += 0.1
    assert holder.begin_operation(ACT_S), "the holder may not act"
    machines.now_s += 1.6
    holder.step()
    assert holder.begin_operation(ACT_S), "the next renewal was not done"


# Symptom: a lease that a node had taken had no acting holder for 2 s and more.
# Sequence: the answer to its taking was lost; the node looked again as at a lease that another one
# renews, 2.25 s later.
# Settled by `Lease.pause_s`, which knew nothing of a taking without an answer.
@then(
    "the one that took it knows so within {seconds:g} s, whether it was done at once, late or never"
)
def then_open_take(context, seconds):
    for is_made in (False, True):
        for moment in ("at once", "late", "never"):
            machines = Machines(2, 1)
            machines.chance.random = lambda: 1.0
            first, taker = machines.leases
            if not is_made:
                first.step()
                first.release()
            store = machines.store
            store.lost_share, store.late_share = (2.0, 0.0) if moment == "at once" else (0.0, 2.0)
            taker.step()
            store.lost_share = store.late_share = 0.0
            assert not taker.is_held
            began_s = machines.now_s
            late_s = began_s + (0.3 if moment == "late" else 60.0)
            due_s = began_s + taker.pause_s()
            while not taker.is_held:
                machines.now_s += 0.05
                if machines.now_s >= late_s:
                    store.do_late()
                if machines.now_s >= due_s:
                    taker.step()
                    due_s = machines.now_s + taker.pause_s()
            taken_s = machines.now_s - began_s
            assert taken_s <= seconds, (is_made, moment, taken_s)


# Symptom: after a hand-over by a holder that had not acted yet, nobody acted for twice the agreed
# time and more.
# Sequence: a holder waited for the agreed time after its predecessor's last act, and gave the lease
# up meanwhile; its successor waited for the whole time again.
# Settled by `Lease._own_idle_s`, which counted from the end of the wait, also while it went on.
@then("its successor waits for the rest of the agreed time only")
def then_rest_of_wait(context):
    for waited_s in (0.0, 1.0, 3.0, 3.5):
        for hands_over in (False, True):
            machines = Machines(3, 1)
            machines.chance.random = lambda: 0.0
            machines.chance.choice = lambda options: options[1]
            first, second, third = machines.leases
            first.step()
            assert first.begin_operation(ACT_S)
            acted_until_s = machines.now_s + ACT_S
            first.release()
            machines.now_s += 0.05
            second.step()
            assert second.is_held
            machines.now_s += waited_s
            if hands_over:
                second.hand_over()
            else:
                second.release()
            while not third.begin_operation(ACT_S):
                machines.now_s += 0.05
                machines.hear()
                third.step()
            gap_s = machines.now_s - acted_until_s
            longest_s = max(SEPARATION_S, waited_s) + 1.0
            assert SEPARATION_S <= gap_s <= longest_s, (waited_s, hands_over, gap_s)
