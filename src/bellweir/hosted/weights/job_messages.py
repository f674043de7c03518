"""Messages that tell the holder of the rollout lease each model's newest batch job.

The allowed version lag of a model is derived from its jobs. The holder may have no replica of them
and would have to load every version without any job.

>>> jobs = [NewestJob("a", "m", 4, 1.0), NewestJob("b", "m", 5, 2.0), NewestJob("c", "n", 1, 0.0)]
>>> [job.id for job in newest_of(jobs)]
['b', 'c']
"""

from collections.abc import Callable, Iterable
from typing import ClassVar

import msgspec

from bellweir.kernel.clock import elapsed_s
from bellweir.wire.interface import Message, Sender, Transport

ANNOUNCE_INTERVAL_S = 1.0
LEADER_TTL_S = 5.0
"""Time after a message for which its sender counts as the leader; received jobs are kept."""


class NewestJob(msgspec.Struct, frozen=True):
    """The fields of a model's newest job that rollouts need."""

    id: str
    model: str
    minimum_version: int
    accepted_at_s: float
    """Wall-clock time of the accepting node; orders jobs of the same minimum version."""


class JobNews(Message, frozen=True):
    """The newest job of each model, sent by the leader of the jobs."""

    since_level: ClassVar[int] = 2

    newest: tuple[NewestJob, ...]


def newest_of(jobs: Iterable[NewestJob]) -> tuple[NewestJob, ...]:
    """Return each model's newest job: by minimum version, then by time of acceptance."""
    newest: dict[str, NewestJob] = {}
    for job in jobs:
        known = newest.get(job.model)
        if known is None or _rank(job) > _rank(known):
            newest[job.model] = job
    return tuple(newest.values())


def _rank(job: NewestJob) -> tuple[int, float]:
    return job.minimum_version, job.accepted_at_s


class JobAnnouncer:
    """Announces the newest jobs to the lease holder; used by the leader of the jobs."""

    def __init__(
        self,
        transport: Transport,
        holder_address: Callable[[], str | None],
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`holder_address` returns None while no other node is known to hold the lease."""
        self._transport = transport
        self._holder_address = holder_address
        self._now_s = now_s
        self._announced: tuple[str, tuple[NewestJob, ...]] | None = None
        self._due_s = float("-inf")

    def announce(self, jobs: Iterable[NewestJob]) -> None:
        """Send the newest jobs if they or the holder changed, or the interval has passed."""
        address = self._holder_address()
        if address is None:
            return
        announced = (address, newest_of(jobs))
        now_s = self._now_s()
        if announced == self._announced and now_s < self._due_s:
            return
        self._announced = announced
        self._due_s = now_s + ANNOUNCE_INTERVAL_S
        self._transport.send(address, JobNews(announced[1]))


class JobReceiver:
    """Receives the newest jobs; used by the lease holder."""

    def __init__(self, transport: Transport, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._newest: tuple[NewestJob, ...] = ()
        self._received_s = float("-inf")
        self._leader_address: str | None = None
        transport.register(JobNews, self.handle)

    def handle(self, sender: Sender, news: JobNews) -> None:
        """Merge the jobs of a message and note its sender as the leader."""
        self._newest = newest_of((*self._newest, *news.newest))
        self._leader_address = sender.address
        self._received_s = self._now_s()

    @property
    def newest(self) -> tuple[NewestJob, ...]:
        """The newest job received for each model."""
        return self._newest

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader of the jobs; None if it sent nothing recently."""
        return self._leader_address if self._now_s() - self._received_s < LEADER_TTL_S else None
