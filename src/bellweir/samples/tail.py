"""Decisions that shorten a step's tail; pure functions of what the coordinator knows.

- Waiting slots start longest first, by a cautious estimate. Among prompts of which
  nothing is known, one sample of each comes first: its length tells of its siblings.
- An attempt that is stale, or will hardly end before it is, starts again at once, so that its
  slot loses no more time.
- An attempt on a slow engine is moved with its tokens; one that has fallen silent is run a second
  time within the step's budget, and the first commit wins.
"""

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bellweir.samples.attempts import AttemptReport
from bellweir.samples.cadence import NEVER_S, VersionCadence
from bellweir.samples.estimates import LengthBelief
from bellweir.samples.staleness import StalenessBound, is_fresh, newest_version

RESTART_BELOW = 0.1
"""An attempt less likely than this to end before it is stale starts again."""
RESTART_GAIN = 0.2
"""How much likelier the new attempt must be to end in time."""
SLOW_RATE_SHARE = 0.5
"""An engine that gives less than this share of the median rate is slow."""
MOVE_GAIN = 1.5
"""A move must shorten the remaining time by this factor; the prefix is computed again."""
SHORTEST_REMAINING_S = 1.0
"""An attempt that will end so soon is left alone."""
SILENT_PERIODS = 20.0
"""Token times without a token after which an engine counts as silent."""
SHORTEST_SILENCE_S = 1.0


@dataclass(frozen=True)
class WaitingSlot:
    """A slot without a sample and without an attempt."""

    slot: int
    prompt_index: int
    sample_index: int
    """Number of the sample among those of its prompt."""
    belief: LengthBelief
    at_least: int
    """Tokens that an earlier attempt had."""


def in_starting_order(waiting: Iterable[WaitingSlot]) -> list[WaitingSlot]:
    """Longest first, by a cautious estimate; equals by their number within their prompt."""

    def key(entry: WaitingSlot) -> tuple[float, int, int]:
        length = entry.belief.cautious_tokens(entry.at_least)
        return -round(length, 3), entry.sample_index, entry.slot

    return sorted(waiting, key=key)


def median_rate(rates: Iterable[float]) -> float:
    """Median of the rates that are known, in tokens a second; 0 when none is."""
    known = [rate for rate in rates if rate > 0]
    return statistics.median(known) if known else 0.0


def must_restart(
    report: AttemptReport,
    belief: LengthBelief,
    bound: StalenessBound,
    cadence: VersionCadence,
    usual_rate: float,
    now_s: float,
) -> bool:
    """Whether an attempt is stale, or will hardly end before it is while a new one might."""
    oldest = report.oldest_version
    if oldest is None or report.is_committing:
        return False
    if not is_fresh(oldest, bound, cadence.publications, now_s):
        return True
    newest = newest_version(cadence.publications)
    if newest is None or newest <= oldest or usual_rate <= 0:
        return False
    stale_at_s = cadence.stale_at_s(oldest, bound, now_s)
    fresh_until_s = cadence.stale_at_s(newest, bound, now_s)
    if stale_at_s == NEVER_S or fresh_until_s <= stale_at_s:
        return False
    rate = report.tokens_per_s or usual_rate
    reachable = report.tokens + rate * (stale_at_s - now_s)
    chance = belief.probability_within(reachable, report.tokens)
    fresh = belief.probability_within(usual_rate * (fresh_until_s - now_s), report.tokens)
    return chance < RESTART_BELOW and fresh > chance + RESTART_GAIN


def remaining_s(report: AttemptReport, belief: LengthBelief, rate: float) -> float:
    """Expected seconds to the attempt's end at a rate; 0 when it is being committed."""
    if report.is_committing or rate <= 0:
        return 0.0
    return (belief.expected_tokens(report.tokens) - report.tokens) / rate


def must_move(report: AttemptReport, belief: LengthBelief, usual_rate: float) -> bool:
    """Whether the attempt would end much sooner on another engine."""
    if report.is_committing or report.tokens_per_s <= 0 or usual_rate <= 0:
        return False
    if report.tokens_per_s >= SLOW_RATE_SHARE * usual_rate:
        return False
    here_s = remaining_s(report, belief, report.tokens_per_s)
    there_s = remaining_s(report, belief, usual_rate)
    return here_s > SHORTEST_REMAINING_S and here_s > MOVE_GAIN * there_s


def is_silent(report: AttemptReport, usual_rate: float) -> bool:
    """Whether the attempt has had no token for much longer than a token takes."""
    if report.is_committing:
        return False
    patience_s = SHORTEST_SILENCE_S
    if usual_rate > 0:
        patience_s = max(patience_s, SILENT_PERIODS / usual_rate)
    return report.silent_s > patience_s


def expected_end_s(
    attempts: Sequence[tuple[AttemptReport, LengthBelief]],
    waiting: Sequence[WaitingSlot],
    usual_rate: float,
) -> float | None:
    """Seconds until a step's last sample: its longest attempt, or all work over its places."""
    if not attempts and not waiting:
        return 0.0
    if usual_rate <= 0:
        return None
    running_s = [remaining_s(report, belief, usual_rate) for report, belief in attempts]
    waiting_s = [entry.belief.expected_tokens(entry.at_least) / usual_rate for entry in waiting]
    places = max(1, len(attempts))
    spread_s = (sum(running_s) + sum(waiting_s)) / places
    return max([spread_s, *running_s, *waiting_s])
