"""Log events of training steps (BW1000 to BW1099)."""

from bellweir.events.event import Event, Level

STEP_DECLARED = Event(
    1000, "step_declared", Level.INFO, ("step", "policy", "slots"), "A trainer declared a step."
)
STEP_CANCELLED = Event(1001, "step_cancelled", Level.INFO, ("step",), "A trainer cancelled a step.")
ATTEMPT_FAILED = Event(
    1002,
    "sample_attempt_failed",
    Level.WARNING,
    ("step", "slot", "attempt", "error"),
    "An attempt at a sample ended without one; the slot waits for another attempt.",
)
COMMIT_REFUSED = Event(
    1003,
    "sample_commit_refused",
    Level.INFO,
    ("step", "slot", "attempt", "outcome"),
    "The ledger did not take a finished sample: another attempt was first, or it is too old.",
)
SCORER_FAILED = Event(
    1004,
    "scorer_failed",
    Level.WARNING,
    ("step", "slot", "scorer", "error"),
    "A scorer did not answer; the sample is kept and scored again later.",
)
ROUND_FAILED = Event(
    1005,
    "coordination_round_failed",
    Level.ERROR,
    ("error",),
    "A round over this node's steps raised; the next round goes on.",
)
