"""Properties of the estimates that decide a step's order and restarts."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from bellweir.samples.cadence import NEVER_S, cadence_of
from bellweir.samples.estimates import LengthBelief, LengthEstimator
from bellweir.samples.messages import Publication
from bellweir.samples.rate import RATE_WINDOW_S, RateMeter
from bellweir.samples.staleness import StalenessBound, is_fresh
from bellweir.samples.tail import WaitingSlot, in_starting_order

INTEGRAL_STEPS = 4_000


def _density(x: float, mu: float, sigma: float) -> float:
    z = (math.log(x) - mu) / sigma
    return math.exp(-z * z / 2) / (x * sigma * math.sqrt(2 * math.pi))


def _tail_moments(mu: float, sigma: float, above: float) -> tuple[float, float]:
    """Probability above a length and its first moment, by the midpoint rule in log space."""
    low, high = math.log(max(above, 1e-9)), mu + 9 * sigma
    low = max(low, mu - 9 * sigma)
    width = (high - low) / INTEGRAL_STEPS
    mass = moment = 0.0
    for step in range(INTEGRAL_STEPS):
        x = math.exp(low + (step + 0.5) * width)
        weight = _density(x, mu, sigma) * x * width
        mass += weight
        moment += weight * x
    return mass, moment


@settings(max_examples=40)
@given(mu=st.floats(2, 7), sigma=st.floats(0.2, 1.2), ahead=st.floats(-1.5, 2.5))
def check_expected_lengths(mu: float, sigma: float, ahead: float) -> None:
    at_least = max(1, round(math.exp(mu + ahead * sigma)))
    belief = LengthBelief(mu, sigma, 10**9)
    mass, moment = _tail_moments(mu, sigma, at_least)
    assert math.isclose(belief.expected_tokens(at_least), moment / mass, rel_tol=0.02)
    further = at_least * 1.5
    beyond, _ = _tail_moments(mu, sigma, further)
    chance = belief.probability_within(further, at_least)
    assert math.isclose(chance, 1 - beyond / mass, abs_tol=0.02)


@settings(max_examples=60)
@given(
    medians=st.lists(st.sampled_from([50, 400, 3_000]), min_size=4, max_size=8),
    lengths=st.randoms(use_true_random=False),
)
def check_starting_order(medians: list[int], lengths) -> None:
    """With each prompt's lengths close together, the order is that of the prompts' lengths."""
    estimator = LengthEstimator()
    for number, median in enumerate(medians):
        for _ in range(6):
            estimator.observe(f"prompt {number}", round(median * lengths.uniform(0.9, 1.1)))
    waiting = [
        WaitingSlot(number, number, 0, estimator.believe(f"prompt {number}", 10_000), 0)
        for number in range(len(medians))
    ]
    started = [medians[entry.slot] for entry in in_starting_order(waiting)]
    assert started == sorted(medians, reverse=True)


@settings(max_examples=60)
@given(
    gap_s=st.floats(1, 300),
    count=st.integers(3, 9),
    bound=st.integers(0, 3),
    age=st.integers(0, 2),
)
def check_cadence(gap_s: float, count: int, bound: int, age: int) -> None:
    """With regular publications the foreseen time is when the sample does become stale."""
    times = [1_000.0 + gap_s * number for number in range(count + 6)]
    publications = tuple(Publication(n + 1, at) for n, at in enumerate(times))
    known = publications[:count]
    now_s = times[count - 1] + gap_s / 3
    version = count - age
    limit = StalenessBound(versions=bound)
    foreseen_s = cadence_of(known).stale_at_s(version, limit, now_s)
    assert foreseen_s < NEVER_S
    if age > bound:
        assert foreseen_s == now_s
        return
    later = tuple(p for p in publications if p.seen_at_s <= foreseen_s + 1e-6)
    before = tuple(p for p in publications if p.seen_at_s < foreseen_s - 1e-6)
    assert not is_fresh(version, limit, later, foreseen_s)
    assert is_fresh(version, limit, before, foreseen_s)


@settings(max_examples=60)
@given(rate=st.floats(5, 500), pause_s=st.floats(0, 300), before=st.integers(1, 40))
def check_rate_forgets_pauses(rate: float, pause_s: float, before: int) -> None:
    """Two windows after a pause the rate is what it is now, however long the pause was."""
    meter = RateMeter()
    now_s, tokens = 10.0, 0
    for _ in range(before):
        now_s += 0.25
        tokens += 1
        meter.note(tokens, now_s)
    now_s += pause_s
    steps = round(2 * RATE_WINDOW_S / 0.25) + 2
    for number in range(steps):
        meter.note(tokens + round(rate * 0.25 * number), now_s + 0.25 * number)
    assert math.isclose(meter.tokens_per_s, rate, rel_tol=0.05, abs_tol=0.5)
    meter.reset()
    assert meter.tokens_per_s == 0.0
