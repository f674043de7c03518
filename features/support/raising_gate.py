"""A request gate whose collaborators raise now and then, and threads that wait at it."""

import random
import time
from concurrent.futures import ThreadPoolExecutor, wait

from bellweir.hosted.queueing.gate import RequestGate
from bellweir.hosted.queueing.interface import QueuedRequest
from bellweir.hosted.room.interface import AdmissionPolicy, WorkerCapacity
from bellweir.hosted.settings import RoomSettings

SERVICE = "app"
THREADS = 8
LONGEST_QUEUE = 3
SHARE_RAISED = 0.12
END_TIMEOUT_S = 10.0


class MadeError(RuntimeError):
    """Raised on purpose."""


class RaisingPolicy(AdmissionPolicy):
    """Another policy's decisions, or an exception."""

    def __init__(self, policy, maybe_raise):
        self._policy = policy
        self._maybe_raise = maybe_raise

    def decide(self, workers, limits, ahead=0):
        self._maybe_raise()
        return self._policy.decide(workers, limits, ahead)


class RaisingGate:
    """One round: as many requests as threads, of all priorities, at a service of varying load."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.gate = RequestGate(
            self, RoomSettings(longest_queue=LONGEST_QUEUE), self._maybe_raise, self._maybe_raise
        )
        self.gate._policy = RaisingPolicy(self.gate._policy, self._maybe_raise)

    def for_workers(self, _workers, _max_age_s):
        self._maybe_raise()
        return [WorkerCapacity(6, self.chance.choice((0, 18, 24, 24, 40)), 0.04)]

    def _maybe_raise(self, *_arguments):
        if self.chance.random() < SHARE_RAISED:
            raise MadeError

    def play(self):
        """Return what is wrong after all requests should have ended; None if nothing is."""
        pool = ThreadPoolExecutor(THREADS)
        requests = [pool.submit(self._one, number) for number in range(THREADS)]
        left = wait(requests, END_TIMEOUT_S).not_done
        queue = self.gate._queue(SERVICE)
        found = (len(left), len(queue.admissions), queue.admissions._dispatching)
        tickets = list(queue.tickets.values())
        for ticket in tickets:
            ticket.event.set()
        pool.shutdown()
        if found == (0, 0, 0) and not tickets:
            return None
        return "{} threads wait, {} queued, {} dispatching".format(*found)

    def _one(self, number):
        now_s = time.monotonic()
        wait_s = self.chance.uniform(0.01, 0.05)
        request = QueuedRequest(
            f"r-{number}", "t", number % 3, now_s, now_s + wait_s, now_s + 0.5, target_s=0.2
        )
        try:
            if self.gate.admit(SERVICE, request, [], self._is_cancelled):
                self.gate.dispatch_done(SERVICE)
        except MadeError:
            return

    def _is_cancelled(self):
        self._maybe_raise()
        return self.chance.random() < 0.02
