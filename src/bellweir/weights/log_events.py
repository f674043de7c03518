"""Log events of weight rollouts (BW1100 to BW1199)."""

from bellweir.events.event import Event, Level

ORDER_SENT = Event(
    1100,
    "weight_order_sent",
    Level.INFO,
    ("worker", "model", "version", "fence", "sources"),
    "An engine was ordered to hold another version, adapters or role.",
)
ORDER_FENCED = Event(
    1101,
    "weight_order_fenced",
    Level.INFO,
    ("worker", "version", "fence"),
    "An engine refused an order because it has accepted a newer one.",
)
ORDER_FAILED = Event(
    1102,
    "weight_order_failed",
    Level.WARNING,
    ("worker", "version", "error"),
    "An order had no answer or was refused; it is sent again after a pause.",
)
SWAP_FAILED = Event(
    1103,
    "weight_swap_failed",
    Level.WARNING,
    ("worker", "version", "error", "failures"),
    "An engine reports a swap that failed partway; it serves nothing until one succeeds.",
)
VERSION_MISSING = Event(
    1104,
    "weight_version_missing",
    Level.WARNING,
    ("model", "version", "error"),
    "The weight store does not hold a version that a policy names; engines keep what they have.",
)
ROUND_FAILED = Event(
    1105,
    "weight_round_failed",
    Level.ERROR,
    ("error",),
    "A round over this node's workers raised; the next round goes on.",
)
