"""Admission of requests on this node, and draining of those in flight."""

import threading
from dataclasses import dataclass

from returns.result import Failure, Result

from bellweir.kernel.clock import Clock
from bellweir.resources.models import RequestClass
from bellweir.routing.attempts import RETRY_AFTER_S
from bellweir.routing.class_gate import Permit
from bellweir.routing.interface import Refusal, RefusalReason, RunState
from bellweir.routing.pool_runtime import PoolRuntime


@dataclass(frozen=True)
class Admission:
    """An admitted request's permit and deadline."""

    permit: Permit
    deadline_s: float


class AdmittedRequests:
    """Admits requests and counts those in flight; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight = 0
        self._changed = threading.Condition()
        self.draining = False

    def drain(self, deadline_s: float) -> None:
        """Stop admitting and wait at most `deadline_s` seconds for requests in flight."""
        self.draining = True
        with self._changed:
            self._changed.wait_for(lambda: self._in_flight == 0, deadline_s)

    def admit(
        self, runtime: PoolRuntime, kind: RequestClass, caller: str, deadline_s: float | None
    ) -> Result[Admission, Refusal]:
        """Wait for a slot of the request class; every admission must be ended with `end`."""
        if self.draining:
            detail = "this node is leaving"
            return Failure(not_run(RefusalReason.DRAINING, detail, RETRY_AFTER_S))
        gate = runtime.gates[kind]
        until_s = self._clock.monotonic_s() + gate.timeout_s if deadline_s is None else deadline_s
        return gate.enter(caller, until_s).map(lambda permit: self._begin(permit, until_s))

    def end(self, admission: Admission) -> None:
        """Release the request's slot; call once per admission."""
        admission.permit.release()
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def _begin(self, permit: Permit, deadline_s: float) -> Admission:
        with self._changed:
            self._in_flight += 1
        return Admission(permit, deadline_s)


def not_run(reason: RefusalReason, detail: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal of a request that was not sent to any back end."""
    return Refusal(reason, RunState.NOT_RUN, detail, retry_after_s)


def not_configured() -> Refusal:
    """Return the refusal for a node that has not received a configuration."""
    detail = "no configuration has reached this node yet"
    return not_run(RefusalReason.NO_BACKEND, detail, RETRY_AFTER_S)
