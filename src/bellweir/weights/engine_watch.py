"""What an owner knows of one engine, and which order it would send."""

from dataclasses import dataclass

from bellweir.clients.interface import EngineOrder, EngineState
from bellweir.weights.messages import WorkerReport
from bellweir.weights.plan import WorkerTarget

SHORTEST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 10.0
PATIENCE_S = 60.0
"""Time after which an order that an engine still works on is sent again."""


@dataclass
class EngineWatch:
    """One engine of this node; used by one thread at a time."""

    target: WorkerTarget
    wanted_since: int
    """Configuration revision since which this target stands; orders are fenced at least so."""
    state: EngineState | None = None
    failures: int = 0
    """Failed orders and swaps in a row for this target."""
    not_before_s: float = 0.0
    """On the monotonic clock: no further order before this."""
    ordered_contents: tuple[object, ...] | None = None
    """Contents of the last order that this node sent."""
    ordered_s: float | None = None
    """On the monotonic clock: when this node last sent an order."""
    counted_error: str | None = None
    """The swap error that was last counted, so that each failure counts once."""

    def retarget(self, target: WorkerTarget, revision: int) -> None:
        """Take up a newer configuration; failures of another target don't count any more."""
        if _contents(target) != _contents(self.target):
            self.wanted_since = revision
            self.failures = 0
            self.not_before_s = 0.0
            self.counted_error = None
        self.target = target

    @property
    def holds_target(self) -> bool:
        """Whether the engine reports exactly what is wanted."""
        state = self.state
        return (
            state is not None
            and state.model == self.target.model
            and state.weight_version == self.target.version
            and tuple(sorted(state.adapters)) == tuple(sorted(self.target.adapters))
            and state.role is self.target.role
        )

    @property
    def is_fenced_enough(self) -> bool:
        """Whether the engine would refuse every order from before this target was declared."""
        if self.state is None:
            return False
        return self.state.order_fence[0] >= max(self.wanted_since, self.target.declared_at)

    @property
    def is_working_on_it(self) -> bool:
        """Whether the engine has accepted an order for the target and has not failed.

        It goes on serving the former version while it fetches, so that what it serves tells
        nothing; its fence does.
        """
        state = self.state
        if state is None or state.swap_error is not None:
            return False
        # A policy's revision also moves when its status is written: an order that this node sent
        # for the same target is not sent again for that before it has been carried out.
        is_ours = self.ordered_contents == _contents(self.target)
        return state.order_fence[1] == self.target.version and (is_ours or self.is_fenced_enough)

    def wants_order(self, now_s: float) -> bool:
        """Whether to send an order now. An engine at work on it is left to finish."""
        if self.state is None or self.state.leaving or now_s < self.not_before_s:
            return False
        if self.is_working_on_it and not self.holds_target:
            return self._has_taken_too_long(now_s)
        return not (self.holds_target and self.is_fenced_enough)

    def _has_taken_too_long(self, now_s: float) -> bool:
        return self.ordered_s is not None and now_s - self.ordered_s > PATIENCE_S

    def note_order(self, now_s: float) -> None:
        """An order is being sent."""
        self.ordered_s = now_s
        self.ordered_contents = _contents(self.target)
        self.counted_error = None

    def costs_capacity(self) -> bool:
        """Whether the order takes the engine out of service for a while."""
        state = self.state
        if state is None:
            return True
        return (state.model, state.weight_version) != (self.target.model, self.target.version)

    def note_failure(self, now_s: float) -> None:
        """Wait longer after each failure."""
        self.failures += 1
        pause_s = min(LONGEST_PAUSE_S, SHORTEST_PAUSE_S * 2 ** min(self.failures - 1, 10))
        self.not_before_s = now_s + pause_s

    def order(self, revision: int, sources: tuple[str, ...]) -> EngineOrder:
        """The order for the target, fenced by the configuration it follows from."""
        target = self.target
        return EngineOrder(
            fence=(revision, target.version),
            model=target.model,
            weight_version=target.version,
            adapters=target.adapters,
            role=target.role,
            sources=sources,
        )

    def report(self, now_s: float, *, is_available: bool) -> WorkerReport:
        """The engine as the rollout's pacing sees it; `is_available`: the store has the version."""
        state = self.state
        is_ready = (
            state is not None
            and state.ready
            and not state.leaving
            and state.weight_version is not None
        )
        wants_swap = self.wants_order(now_s) and self.costs_capacity() and is_available
        return WorkerReport(
            worker=self.target.worker,
            address=self.target.address,
            zone=self.target.zone,
            is_ready=is_ready,
            held_model=state.model if state is not None else None,
            held_version=state.weight_version if state is not None else None,
            wanted_model=self.target.model,
            wanted_version=self.target.version,
            wants_swap=wants_swap,
            has_failed=state is not None and state.swap_error is not None,
        )


def _contents(target: WorkerTarget) -> tuple[object, ...]:
    return (target.model, target.version, target.adapters, target.role)
