"""Tells the holder of the roll-outs' lease of each trainer's newest job.

How many versions behind the newest a trainer lets its samples be is learnt from its jobs. Few of
many store machines hold a replica of them, and any may hold the lease. One that knows no job takes
it that every sample must be of the newest version: each model is then held by its part of the
workers only, at the newest version, and loaded with each version.

The jobs' leader tells the holder, whom it knows from the news of the lease: a message a second and
one for each job that is accepted, with one entry for each model. The holder learns with it who
leads the jobs.

>>> jobs = [NewestJob("a", "m", 4, 1.0), NewestJob("b", "m", 5, 2.0), NewestJob("c", "n", 1, 0.0)]
>>> [job.id for job in newest_of(jobs)]
['b', 'c']
"""

import time
from collections.abc import Callable, Iterable
from typing import ClassVar

import msgspec

from bellweir.wire.interface import Message, Sender, Transport

TELL_PERIOD_S = 1.0
"""Time between two messages while no job comes."""
TOLD_LIFE_S = 5.0
"""Time after which the teller no longer counts as the jobs' leader. What it told of jobs stays: a
newer job replaces it."""


class NewestJob(msgspec.Struct, frozen=True):
    """What the roll-outs need to know of a model's newest job."""

    id: str
    model: str
    minimum_version: int
    accepted_at_s: float
    """Wall clock of the accepting node; orders jobs that allow the same version."""


class JobNews(Message, frozen=True):
    """The newest job of each model, from the jobs' leader."""

    since_level: ClassVar[int] = 2

    newest: tuple[NewestJob, ...]


def newest_of(jobs: Iterable[NewestJob]) -> tuple[NewestJob, ...]:
    """Return the newest job of each model: of those that want the newest version, the last one."""
    newest: dict[str, NewestJob] = {}
    for job in jobs:
        known = newest.get(job.model)
        if known is None or _order(job) > _order(known):
            newest[job.model] = job
    return tuple(newest.values())


def _order(job: NewestJob) -> tuple[int, float]:
    return job.minimum_version, job.accepted_at_s


class JobTeller:
    """The part of the jobs' leader; called a few times a second."""

    def __init__(
        self,
        transport: Transport,
        holder_address: Callable[[], str | None],
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`holder_address` is None while no other node is known to hold the lease."""
        self._transport = transport
        self._holder_address = holder_address
        self._now_s = now_s
        self._told: tuple[str, tuple[NewestJob, ...]] | None = None
        self._due_s = float("-inf")

    def tell(self, jobs: Iterable[NewestJob]) -> None:
        """Tell the holder of the newest jobs, if they changed or it was not told for a while."""
        address = self._holder_address()
        if address is None:
            return
        told = (address, newest_of(jobs))
        now_s = self._now_s()
        if told == self._told and now_s < self._due_s:
            return
        self._told = told
        self._due_s = now_s + TELL_PERIOD_S
        self._transport.send(address, JobNews(told[1]))


class JobsHeard:
    """The part of the lease's holder: what the jobs' leader told last."""

    def __init__(self, transport: Transport, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._newest: tuple[NewestJob, ...] = ()
        self._heard_s = float("-inf")
        self._leader_address: str | None = None
        transport.register(JobNews, self.handle)

    def handle(self, sender: Sender, news: JobNews) -> None:
        """Take a leader's word."""
        self._newest = newest_of((*self._newest, *news.newest))
        self._leader_address = sender.address
        self._heard_s = self._now_s()

    @property
    def newest(self) -> tuple[NewestJob, ...]:
        """The newest job of each model that was told of."""
        return self._newest

    @property
    def leader_address(self) -> str | None:
        """Where the jobs' leader accepts peers; None when none was heard lately."""
        return self._leader_address if self._now_s() - self._heard_s < TOLD_LIFE_S else None
