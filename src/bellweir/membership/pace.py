"""Pace and bounds of the membership protocol."""

GOSSIP_PERIOD_S = 0.2
"""Time between datagrams that only carry records, while any wait."""
GOSSIP_FANOUT = 3
LEAVING_FANOUT = 8
"""Members told at once of a planned stop, and at the stop."""
DEAD_PROBE_PERIODS = 2
"""A dead member is pinged once in this many probe periods."""
SEED_PERIODS = 5
"""Seeds that are no live members are pinged once in this many probe periods."""
JOIN_FANOUT = 3
"""Seeds pinged in each period by a node that knows no live member."""
STALL_PERIODS = 1.0
"""A task that wakes this many probe periods late discards its probes in flight."""
LATE_PERIODS = 0.2
"""A task that lately woke this many probe periods late does not speed up its probes."""
LAG_FACTOR = 2.0
"""Others get this many times the lateness seen of the node's own task to answer."""
MAXIMUM_PATIENCE_PERIODS = 2.0
LAG_DECAY = 0.8
"""What is left after each period of the lateness remembered."""
PROBES_AFTER_FAILURE = 2
MAXIMUM_PROBES = 16
"""Probes in flight, reached only while a zone or region is being lost."""
REFUSED_LOG_PERIOD_S = 10.0
HEADER_BYTES = 160
"""Room kept in a datagram for its proof, names and addresses."""
MAXIMUM_SEEDS = 64
