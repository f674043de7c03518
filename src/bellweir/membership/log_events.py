"""Log events of membership and ownership (BW0600 to BW0699)."""

from bellweir.events.event import Event, Level

MEMBER_JOINED = Event(
    600, "member_joined", Level.INFO, ("member", "zone", "incarnation"), "A member is alive."
)
MEMBER_SUSPECTED = Event(
    601,
    "member_suspected",
    Level.INFO,
    ("member", "zone", "incarnation"),
    "A member answered neither direct nor indirect probes; it has some seconds to refute.",
)
MEMBER_DEAD = Event(
    602,
    "member_dead",
    Level.WARNING,
    ("member", "zone", "incarnation"),
    "A member stopped, or was suspected and did not refute in time.",
)
MEMBER_LEAVING = Event(
    603, "member_leaving", Level.INFO, ("member", "zone", "incarnation"), "A planned stop began."
)
SUSPICION_REFUTED = Event(
    604,
    "suspicion_refuted",
    Level.INFO,
    ("claimed", "incarnation"),
    "Others held this node for suspect or dead; it answered with a newer incarnation.",
)
NAME_CONFLICT = Event(
    605,
    "node_name_conflict",
    Level.ERROR,
    ("address",),
    "Another live process uses this node's name; give each node a name of its own.",
)
DATAGRAM_REFUSED = Event(
    606,
    "datagram_refused",
    Level.WARNING,
    ("remote", "reason", "refused_total"),
    "A datagram was malformed or proved no cluster key; logged at most once in ten seconds.",
)
LOOP_STALLED = Event(
    607,
    "membership_stalled",
    Level.WARNING,
    ("stalled_s",),
    "This process stood still; probes in flight are discarded so that no member is blamed.",
)
LISTENER_FAILED = Event(
    608, "membership_listener_failed", Level.ERROR, ("error",), "A listener of changes raised."
)
EXCHANGE_FAILED = Event(
    609,
    "state_exchange_failed",
    Level.DEBUG,
    ("peer", "reason"),
    "A comparison of member lists with a peer got no answer; another peer is tried next time.",
)
