"""Decides whether a request may be sent to a further worker, and to which, on any kind of route."""

from dataclasses import dataclass, field

from bellweir.hosted.crashes.interface import CrashGuard
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.serving.candidates import Candidates
from bellweir.hosted.serving.client_request import ClientRequest
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker

MAX_SENDS = 8
"""Maximum attempts of one request, including those that did not run."""
NO_WORKER = "no_worker"
QUARANTINED = "quarantined"
TIMEOUT = "timeout"


@dataclass(kw_only=True)
class Attempts:
    """The attempts of one request so far."""

    ran_at: set[Incarnation] = field(default_factory=set)
    """Incarnations that may have run the request; they count towards the route's `max_attempts`."""
    tried: set[Incarnation] = field(default_factory=set)
    sends: int = 0
    cause: str = NO_WORKER
    """Why the request has no usable response; that of the latest failed attempt."""

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run the request."""
        return bool(self.ran_at)


class NextAttempt:
    """Chooses the worker of each attempt. Thread-safe."""

    __slots__ = ("_crashes", "_loads")

    def __init__(self, loads: WorkerLoads, crashes: CrashGuard) -> None:
        self._loads = loads
        self._crashes = crashes

    def acquire_worker(
        self,
        client: ClientRequest,
        candidates: Candidates,
        attempts: Attempts,
        *,
        may_run_again: bool,
        is_budgeted: bool = True,
    ) -> Worker | None:
        """Acquire the next worker; None if there is none or no further attempt is allowed.

        `candidates` are looked up anew for each attempt.
        `may_run_again`: whether a request that may have run may be sent once more.
        `is_budgeted`: whether a further attempt counts towards the service's retry budget.
        """
        if client.left_s() <= 0:
            attempts.cause = TIMEOUT
            return None
        if attempts.sends and not self._may_follow(client, attempts, may_run_again):
            return None
        for workers in candidates.groups():
            permitted = self._crashes.permitted(client, workers)
            worker = self._loads.choose(permitted, attempts.tried, is_budgeted=is_budgeted)
            if worker is not None and self._crashes.begin_run(client, worker):
                attempts.tried.add(worker.incarnation)
                attempts.sends += 1
                return worker
            if worker is not None:
                self._loads.release(worker.incarnation)
        if not attempts.sends and self._crashes.is_restricted(client):
            self._crashes.record_refusal(client)
            attempts.cause = QUARANTINED
        return None

    def _may_follow(self, client: ClientRequest, attempts: Attempts, may_run_again: bool) -> bool:
        """Whether another attempt may follow those that were made."""
        if attempts.sends >= MAX_SENDS or not client.is_replayable:
            return False
        if attempts.may_have_run and not may_run_again:
            return False
        if len(attempts.ran_at) >= max(1, client.route.max_attempts):
            return False
        return self._crashes.may_send_again(client)
