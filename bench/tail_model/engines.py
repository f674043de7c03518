"""Engines in virtual time, on the batch model of the kit's engine stand-in."""

from dataclasses import dataclass, field

from bellweir.samples.rate import RateMeter
from bellweir_rehearsal.standins.engine_batch import Batch, BatchLimits, Sequence
from bellweir_rehearsal.standins.engine_options import TokenTimes

PREFILL_CHUNK_TOKENS = 2048
STEPS_AT_ONCE = 64
DRAFT_PRIORITY = 10


@dataclass(eq=False)
class VirtualAttempt:
    """One attempt at a sample; it may go on from engine to engine."""

    name: str
    step_id: str
    slot: int
    length: int
    """Tokens at which it ends."""
    prompt_tokens: int
    started_s: float
    segments: list[tuple[int, int]] = field(default_factory=list)
    """Weight version and token count of each run."""
    engine: "VirtualEngine | None" = None
    sequence: Sequence | None = None
    rate: RateMeter = field(default_factory=RateMeter)
    last_token_s: float = 0.0
    finished_s: float | None = None

    @property
    def tokens(self) -> int:
        """Tokens so far."""
        return sum(count for _, count in self.segments)

    def produce(self, count: int, version: int, now_s: float) -> None:
        """Add tokens of one version."""
        if self.segments and self.segments[-1][0] == version:
            self.segments[-1] = (version, self.segments[-1][1] + count)
        else:
            self.segments.append((version, count))
        self.rate.note(self.tokens, now_s)
        self.last_token_s = now_s

    def start_again(self) -> None:
        """Lose all tokens."""
        self.segments.clear()
        self.rate.reset()


class VirtualEngine:
    """One engine; `advance` lets its time pass."""

    def __init__(self, name: str, maximum_batch: int, version: int) -> None:
        self.name = name
        self.maximum_batch = maximum_batch
        self.version = version
        self.now_s = 0.0
        self.blocked_until_s = 0.0
        self.is_down = False
        self._batch = self._new_batch()
        self.attempts: dict[Sequence, VirtualAttempt] = {}

    def _new_batch(self) -> Batch:
        limits = BatchLimits(self.maximum_batch, PREFILL_CHUNK_TOKENS, STEPS_AT_ONCE)
        return Batch(TokenTimes(), limits)

    @property
    def load(self) -> int:
        """Attempts that run or wait here."""
        return len(self.attempts)

    def add(self, attempt: VirtualAttempt) -> None:
        """Run an attempt, going on from the tokens it has."""
        sequence = Sequence(
            attempt.name, DRAFT_PRIORITY, attempt.prompt_tokens, attempt.tokens, attempt.length
        )
        attempt.engine, attempt.sequence = self, sequence
        self.attempts[sequence] = attempt
        self._batch.add(sequence)

    def remove(self, attempt: VirtualAttempt) -> None:
        """Take an attempt out."""
        if attempt.sequence is not None and self.attempts.pop(attempt.sequence, None):
            self._batch.remove(attempt.sequence)
        attempt.engine = attempt.sequence = None

    def swap(self, version: int, until_s: float) -> None:
        """Load another version; running attempts go on with it after the pause."""
        self.version = version
        self.blocked_until_s = max(self.blocked_until_s, until_s)
        self._batch.recompute_all()

    def crash(self, until_s: float) -> list[VirtualAttempt]:
        """Lose every attempt and be down for a while; return the attempts."""
        lost = list(self.attempts.values())
        for attempt in lost:
            attempt.engine = attempt.sequence = None
        self.attempts.clear()
        self._batch = self._new_batch()
        self.blocked_until_s = max(self.blocked_until_s, until_s)
        self.is_down = True
        return lost

    def advance(self, until_s: float) -> list[VirtualAttempt]:
        """Let time pass; return the attempts that ended."""
        ended: list[VirtualAttempt] = []
        while self.now_s < until_s:
            if self.now_s < self.blocked_until_s:
                self.now_s = min(until_s, self.blocked_until_s)
                continue
            self.is_down = False
            ended += self._step(until_s)
        return ended

    def _step(self, until_s: float) -> list[VirtualAttempt]:
        for sequence in self._batch.fill():
            sequence.prefill_left = sequence.context
        plan = self._batch.plan()
        if plan is None:
            self.now_s = until_s
            return []
        steps, end_s = 0, self.now_s
        while steps < plan.steps and (steps == 0 or end_s < until_s):
            end_s += plan.durations_s[steps]
            steps += 1
        self.now_s = end_s
        return self._take(self._batch.commit(plan, steps))

    def _take(self, produced: list[tuple[Sequence, int]]) -> list[VirtualAttempt]:
        ended: list[VirtualAttempt] = []
        for sequence, count in produced:
            attempt = self.attempts[sequence]
            attempt.produce(count, self.version, self.now_s)
            if sequence.produced >= sequence.final:
                del self.attempts[sequence]
                attempt.engine = attempt.sequence = None
                attempt.finished_s = self.now_s
                ended.append(attempt)
        return ended


def least_loaded(
    engines: list[VirtualEngine], minimum_version: int | None, avoided: tuple[str, ...] = ()
) -> VirtualEngine | None:
    """The engine with the fewest attempts among those that may serve."""
    usable = [
        engine
        for engine in engines
        if not engine.is_down and engine.version >= (minimum_version or 0)
    ]
    preferred = [engine for engine in usable if engine.name not in avoided] or usable
    return min(preferred, key=lambda engine: (engine.load, engine.name), default=None)
