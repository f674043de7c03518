"""Simulated courses of a service whose workers crash by themselves while items run on them."""

import random
from types import SimpleNamespace
from typing import NamedTuple

from bellweir.hosted.crashes.fingerprint import fingerprint
from bellweir.hosted.crashes.guard import SharedCrashGuard
from bellweir.hosted.crashes.interface import RunEnd
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.crashes.worker_ends import ProbeResult
from bellweir.hosted.incarnation import Incarnation

SERVICE = "llm"
STEP_S = 0.05
CONTACT_S = 3.0
"""Time after a crash from which on the service counts as undisturbed."""
MOST_LYING_S = 5.0
"""Undisturbed time for which an item may lack a worker while places are free."""
CRASH_DELAY_S = 0.1
"""Time for which a worker runs a crashing request before it ends."""


class Sent(NamedTuple):
    """A request as the guard sees it."""

    fingerprint: bytes
    request_id: str = "r-1"
    is_owed: bool = False
    """Whether it was handed in for later."""


class Item:
    """A text to generate; it keeps what was generated when a worker ends."""

    def __init__(self, number, text_s, *, crashes=False, is_owed=False):
        self.number = number
        digest = fingerprint("POST", "h", f"/item-{number}", "", b"")
        self.request = Sent(digest, f"item-{number}", is_owed)
        self.left_s = text_s
        self.crashes = crashes
        self.worker = None
        self.since_s = 0.0
        self.starts_s = []
        self.ends_s = []
        self.done_s = float("inf")
        self.lying_s = 0.0
        self.most_lying_s = 0.0

    @property
    def is_done(self):
        return self.left_s <= 0


class Round(NamedTuple):
    """Workers that crash at the same moment."""

    at_s: float
    share: float
    down_s: float


def drawn_rounds(rng, count=9, first_s=1.0):
    """Rounds in series with short pauses, after each of which workers are soon back."""
    rounds, at_s = [], first_s
    for _ in range(count):
        rounds.append(Round(at_s, rng.choice((0.3, 0.6, 0.9)), rng.uniform(0.5, 1.2)))
        at_s += rng.uniform(0.3, 1.5)
    return rounds


def drawn_bursts(rng, bursts=3, crashes=5):
    """Bursts of crashes 0.4 s apart, some seconds between them, each of three workers in ten."""
    rounds, at_s = [], 1.0
    for _ in range(bursts):
        for _ in range(crashes):
            rounds.append(Round(at_s, 0.3, 0.4))
            at_s += 0.4
        at_s += rng.uniform(2.0, 6.0)
    return rounds


class Course:
    """Workers of one service, its items, and a scheduler that asks the guard as a leader does."""

    def __init__(self, seed, rounds, *, workers=4, slots=8, items=24, crashing=0, owed=False):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.began_s = self.now_s
        self.rounds = [(self.began_s + one.at_s, one) for one in rounds]
        self.last_crash_s = self.now_s - CONTACT_S
        self.slots = slots
        self.back_s = dict.fromkeys(range(workers), 0.0)
        self.born = dict.fromkeys(range(workers), 1)
        self.down = set()
        self.table = CrashTable(now_s=lambda: self.now_s)
        self.guard = self.make_guard()
        texts = [self.rng.uniform(0.4, 5.0) for _ in range(items)]
        self.items = [Item(number, text_s, is_owed=owed) for number, text_s in enumerate(texts)]
        for number in range(crashing):
            self.items.insert(0, Item(f"crash-{number}", 1.0, crashes=True))

    def make_guard(self):
        view = SimpleNamespace(ready=self.ready, worker=lambda _instance: None)
        return SharedCrashGuard(
            self.table, view, lambda: False, probe_address=self.probe, now_s=lambda: self.now_s
        )

    def ready(self, _service):
        return [self.worker(number) for number in self.back_s]

    def worker(self, number):
        incarnation = Incarnation(f"i-{number}", self.born[number])
        entry = SimpleNamespace(service=SERVICE, slots=self.slots, zone="a")
        return SimpleNamespace(
            number=number,
            instance=incarnation.instance,
            incarnation=incarnation,
            address=str(number),
            entry=entry,
        )

    def probe(self, address):
        return ProbeResult.ACCEPTED if self.is_up(int(address)) else ProbeResult.REFUSED

    def is_up(self, number):
        return number not in self.down

    def start_again(self):
        for number in [one for one in self.down if self.back_s[one] <= self.now_s]:
            self.down.remove(number)
            self.born[number] += 1

    def running(self, number):
        return [item for item in self.items if item.worker and item.worker.number == number]

    def crash(self, numbers, down_s):
        """End workers at one moment; their runs see it once all of them are down."""
        ended = {number: self.running(number) for number in numbers}
        before = {number: self.worker(number) for number in numbers}
        for number in numbers:
            self.back_s[number] = self.now_s + down_s
            self.down.add(number)
        for number, items in ended.items():
            for item in items:
                item.worker = None
                item.ends_s.append(self.now_s)
                self.guard.record_end(item.request, before[number], RunEnd.BROKEN)
        self.guard.look_beside()

    def crash_by_themselves(self):
        while self.rounds and self.rounds[0][0] <= self.now_s:
            _, one = self.rounds.pop(0)
            up = [number for number in self.back_s if self.is_up(number)]
            struck = [number for number in up if self.rng.random() < one.share]
            self.crash(struck, one.down_s)
            self.last_crash_s = self.now_s

    def crash_by_requests(self):
        for number in list(self.back_s):
            if any(
                item.crashes and self.now_s - item.since_s >= CRASH_DELAY_S
                for item in self.running(number)
            ):
                self.crash([number], self.rng.uniform(0.5, 1.2))
                self.last_crash_s = self.now_s

    def advance(self):
        """Generate for one step of time, and report the texts that are complete."""
        for item in self.items:
            if item.worker is None or item.crashes:
                continue
            item.left_s -= STEP_S
            if item.is_done:
                item.done_s = self.now_s
                worker, item.worker = item.worker, None
                self.guard.record_end(item.request, worker, RunEnd.SURVIVED)

    def schedule(self):
        for item in self.items:
            if item.worker is None and not item.is_done:
                self.start(item)

    def start(self, item):
        if self.guard.quarantine_left_s(item.request) > 0:
            return
        permitted = self.guard.permitted(item.request, self.ready(SERVICE))
        free = [
            one
            for one in permitted
            if self.is_up(one.number) and len(self.running(one.number)) < self.slots
        ]
        chosen = min(free, key=lambda one: len(self.running(one.number)), default=None)
        if chosen is not None and self.guard.begin_run(item.request, chosen):
            item.worker = chosen
            item.since_s = self.now_s
            item.starts_s.append(self.now_s)

    def note_lying(self):
        has_room = any(
            self.is_up(number) and len(self.running(number)) < self.slots / 2
            for number in self.back_s
        )
        is_calm = self.now_s - self.last_crash_s >= CONTACT_S
        for item in self.items:
            is_lying = item.worker is None and not item.is_done and has_room and is_calm
            item.lying_s = item.lying_s + STEP_S if is_lying else 0.0
            item.most_lying_s = max(item.most_lying_s, item.lying_s)

    def play(self, seconds):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            self.start_again()
            self.crash_by_themselves()
            self.crash_by_requests()
            self.advance()
            self.schedule()
            self.note_lying()

    @property
    def innocent(self):
        return [item for item in self.items if not item.crashes]

    def left_lying(self):
        """Innocent items that lacked a worker for too long."""
        return [item for item in self.innocent if item.most_lying_s > MOST_LYING_S]

    def late_runs(self, item):
        """Runs of a request that began later than the contact time after its third end."""
        if len(item.ends_s) < 3:
            return []
        return [at_s for at_s in item.starts_s if at_s > item.ends_s[2] + CONTACT_S]
