"""One item of a batch job whose leader is lost at any moment, over real committers and real state.

Commands that a leader submits are applied, lost, or held back and applied later, as the ledger's
contract allows for one without an outcome. Each event says which run made it, and each run after
which event it was asked to go on.
"""

import random
import threading

from features.support.hosted_jobs import HOST, make_job
from returns.result import Failure, Success

from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.state import AcceptJob, BatchJobs
from bellweir.hosted.event_stream import StreamEvent
from bellweir.hosted.records import Route, RouteKind
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec

ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)
EVENTS = 9
"""Events of the whole text."""
STEPS = 30
MOST_LEADERS = 5
NO_OUTCOME = LedgerError(LedgerErrorKind.UNKNOWN, "made by the test")
FATES = ("applied", "applied", "lost", "held back")


class LossyLedger:
    """The ledger as one leader sees it; `held` are its commands that are still under way."""

    def __init__(self, machine, chance):
        self.machine = machine
        self.chance = chance
        self.is_reliable = False
        self.held = []
        self._codec = Codec([BatchJobs])

    def submit(self, _key, command, _timeout_s):
        command = self._codec.decode(self._codec.encode(command), type(command))
        fate = "applied" if self.is_reliable else self.chance.choice(FATES)
        if fate == "applied":
            self.apply_held()
            return Success(self.machine.apply(command))
        if fate == "held back":
            self.held.append(command)
        return Failure(LedgerError(NO_OUTCOME.kind, NO_OUTCOME.detail))

    def apply_held(self):
        held, self.held = self.held, []
        for command in held:
            self.machine.apply(command)


class Leader:
    """A leader of the jobs with its progress of the item and the run that makes its text."""

    def __init__(self, history):
        self.history = history
        self.ledger = LossyLedger(history.machine, history.chance)
        self.committer = Committer(self.ledger, lambda: True)
        self.progress = ItemProgress(history.job, ROUTE, history.job.items[0])
        state = history.machine.jobs["job"]
        self.progress.resume_from(state.checkpoints.get(self.progress.item.id, ()))
        self.run = history.new_run(self.progress.last_event_id)

    def receive_event(self):
        number = (self.progress.last_event_id or 0) + 1
        if number <= EVENTS:
            event = StreamEvent(b"", number, b"%d:%d" % (self.run, number), None)
            self.progress.add_event(event, 1)

    def break_run(self):
        self.run = self.history.new_run(self.progress.last_event_id)

    def begin_anew(self):
        self.progress.restart()
        self.break_run()

    def keep(self):
        checkpoint = self.progress.take_checkpoint()
        if checkpoint is not None:
            self.committer.put_checkpoint(self.progress, checkpoint)
            self._commit_queued()

    def finish(self):
        while self.progress.events < EVENTS:
            self.receive_event()
        self.progress.finish("score")
        self.ledger.is_reliable = True
        self.committer.put(self.progress)
        self._commit_queued()

    def _commit_queued(self):
        batch = []
        while not self.committer._queue.empty():
            batch.append(self.committer._queue.get())
        self.committer._commit_batch(batch, threading.Event())


class History:
    """One random course of the item, drawn by a seed; `play` returns the recorded text's events."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.machine = BatchJobs()
        self.job = make_job("job", 1, 1)
        self.machine.apply(AcceptJob(self.job))
        self.asked_after = []
        """For each run the event after which it was asked to go on; 0: the first one."""

    def new_run(self, last_event_id):
        self.asked_after.append(last_event_id or 0)
        return len(self.asked_after) - 1

    def play(self):
        leaders = [Leader(self)]
        for _ in range(STEPS):
            what = self.chance.choice(
                ("event", "event", "event", "keep", "keep", "break", "anew", "lose", "arrive")
            )
            if what == "event":
                leaders[-1].receive_event()
            elif what == "keep":
                leaders[-1].keep()
            elif what == "break":
                leaders[-1].break_run()
            elif what == "anew" and self.chance.random() < 0.3:
                leaders[-1].begin_anew()
            elif what == "lose" and len(leaders) < MOST_LEADERS:
                leaders.append(Leader(self))
            elif what == "arrive":
                self.chance.choice(leaders).ledger.apply_held()
        leaders[-1].finish()
        (result,) = self.machine.jobs["job"].results
        return [tuple(map(int, line.split(":"))) for line in result.full_text.split("\n")]

    def fault_of(self, events):
        """What is wrong with a text; None where each run went on where it was asked to."""
        numbers = [number for _, number in events]
        if numbers != list(range(1, EVENTS + 1)):
            return f"events {numbers}"
        known = None
        for run, number in events:
            if run != known and self.asked_after[run] != number - 1:
                return f"run {run} was asked after {self.asked_after[run]}, is taken at {number}"
            known = run
        return None
