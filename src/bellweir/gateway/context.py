"""What the interfaces of the gateway share: clock, thread shares, caller watch, metrics."""

from dataclasses import dataclass

from bellweir.gateway.admission import ThreadShare, ThreadShares
from bellweir.gateway.problems import Problem
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.http import Request
from bellweir.kernel.clock import Clock
from bellweir.telemetry.interface import Telemetry


@dataclass(frozen=True)
class Context:
    """Handed to each interface at its construction."""

    clock: Clock
    shares: ThreadShares
    caller_watch: CallerWatch
    telemetry: Telemetry
    logs_requests: bool
    """Whether each ended request is logged; asked here since a dropped log line costs time too."""

    def move_to(self, request: Request, share: ThreadShare) -> bool:
        """Move the request's thread to another share; False when that one is full."""
        permit = request.permit
        return permit is None or self.shares.move(permit, share)

    def share_full(self, share: ThreadShare) -> Problem:
        """The refusal of a request whose share of the threads is full."""
        return Problem(
            429,
            "overloaded",
            f"all request threads for {share.label} are in use on this node",
            retry_after_s=self.shares.retry_after_s(share),
        )
