"""Plays the same bursts of load under each way to order, refuse and call back; prints a table.

`PYTHONPATH=src:. .venv/bin/python experiments/room.py [SEEDS]`
"""

import random
import sys
from collections import Counter

from features.support.alternative_policies import AppointmentRetryAfter, DeficitRoundRobin
from features.support.room_replay import Replay, burst

from bellweir.hosted.queueing.interface import RetryAfterPolicy
from bellweir.hosted.queueing.retry_after import RateBasedRetryAfter
from bellweir.hosted.queueing.start_time_fair import StartTimeFairQueueing
from bellweir.hosted.room.observed import FRESH_TARGET_SHARE
from bellweir.hosted.room.policy import ExpectedLatencyPolicy

USUAL_S = 0.0375
LARGE = {"large": 0.8} | {f"small-{number}": 0.02 for number in range(10)}
LOADS = {
    "burst, half slow": (6, [USUAL_S, USUAL_S, 8 * USUAL_S, 8 * USUAL_S], {}),
    "burst beyond all": (60, [USUAL_S, USUAL_S, 8 * USUAL_S, 8 * USUAL_S], {}),
    "one large tenant": (60, [USUAL_S, USUAL_S, USUAL_S, USUAL_S], LARGE),
    "two priorities": (60, [USUAL_S, USUAL_S, USUAL_S, USUAL_S], {"urgent": 0.5, "large": 0.5}),
}
STATES = ("in_time", "in_time_after_refusal", "late", "refused", "lost")


class Fixed(RetryAfterPolicy):
    """The same time for everybody."""

    def retry_after_s(self, service, estimate, remaining_s, remaining_share, now_s):
        """A fifth of a second."""
        return 0.2


def ways(seed):
    """Name, judge, order, return times and reserve of each way."""
    decides, waits = ExpectedLatencyPolicy(), ExpectedLatencyPolicy(sheds=False)
    starts = ExpectedLatencyPolicy(waits=False, refuses=False, sheds=False)
    drawn = random.Random(seed)
    yield "start at once, fixed", starts, StartTimeFairQueueing, Fixed, False
    yield (
        "start at once, rates",
        starts,
        StartTimeFairQueueing,
        lambda: RateBasedRetryAfter(drawn.random),
        False,
    )
    yield "start at once, queue", starts, StartTimeFairQueueing, AppointmentRetryAfter, False
    yield (
        "wait, SFQ, rates",
        waits,
        StartTimeFairQueueing,
        lambda: RateBasedRetryAfter(drawn.random),
        False,
    )
    yield (
        "SFQ, rates",
        decides,
        StartTimeFairQueueing,
        lambda: RateBasedRetryAfter(drawn.random),
        False,
    )
    yield "SFQ, queue", decides, StartTimeFairQueueing, AppointmentRetryAfter, False
    yield "DRR, rates", decides, DeficitRoundRobin, lambda: RateBasedRetryAfter(drawn.random), False
    yield "SFQ, fixed", decides, StartTimeFairQueueing, Fixed, False
    yield (
        "SFQ, rates, reserve",
        decides,
        StartTimeFairQueueing,
        lambda: RateBasedRetryAfter(drawn.random),
        True,
    )
    yield (
        "DRR, rates, reserve",
        decides,
        DeficitRoundRobin,
        lambda: RateBasedRetryAfter(drawn.random),
        True,
    )


def main():
    """Play all loads and print one line for each way."""
    seeds = range(1, int(sys.argv[1]) + 1 if len(sys.argv) > 1 else 6)
    for load, (rate, times_s, tenants) in LOADS.items():
        totals, offered = {}, Counter()
        for seed in seeds:
            arrivals = burst(seed, rate, tenants=tenants, urgent=("urgent",))
            for name, policy, discipline, make, reserve in ways(seed):
                kept = [make() for _ in range(4)]
                replay = Replay(policy, discipline, kept.__getitem__, times_s, reserve=reserve)
                totals[name] = totals.get(name, Counter()) + replay.run(arrivals)
                offered[name] += replay.attempts
        print(f"\n{load}: {rate} a second, 14 times as many for 10 s")
        for name, found in totals.items():
            print(f"{name:22}", _line(found), f"offers {offered[name]}")
            if tenants:
                small = Counter({key: n for key, n in found.items() if key[0] != "large"})
                print(f"{'  of the others':22}", _line(small))


def ages(seeds):
    """One large tenant, by how often gateways hear of each other and the age that counts."""
    rate, times_s, tenants = LOADS["one large tenant"]
    for report_interval_s, gateways in ((0.1, 4), (0.1, 12), (0.5, 4), (0.5, 12)):
        for share in (None, 0.25, FRESH_TARGET_SHARE, 1.0, float("inf")):
            total = Counter()
            for seed in seeds:
                drawn = random.Random(seed)
                kept = [RateBasedRetryAfter(drawn.random) for _ in range(gateways)]
                decides = share is not None
                policy = ExpectedLatencyPolicy(waits=decides, refuses=decides, sheds=decides)
                how = {
                    "gateways": gateways,
                    "report_interval_s": report_interval_s,
                    "fresh_share": share or 0.0,
                }
                replay = Replay(policy, StartTimeFairQueueing, kept.__getitem__, times_s, **how)
                total += replay.run(burst(seed, rate, tenants=tenants))
            print(f"{gateways} gateways, {report_interval_s} s, share {share}:", _line(total))


def _line(found):
    total = sum(found.values())
    counts = Counter()
    for (_, state), number in found.items():
        counts[state] += number
    return " ".join(f"{state} {counts[state] / total:.3f}" for state in STATES)


if __name__ == "__main__":
    main()
    ages((1, 2))
