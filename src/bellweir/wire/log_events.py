"""Log events of the transport between nodes (BW0200 to BW0299)."""

from bellweir.events.event import Event, Level

STRANGER_REFUSED = Event(
    200,
    "stranger_refused",
    Level.WARNING,
    ("remote", "reason"),
    "A connection was closed before it proved to be a node of this cluster.",
)
PEER_CONNECTION_LOST = Event(
    201,
    "peer_connection_lost",
    Level.INFO,
    ("peer", "reason"),
    "An established connection to or from a peer ended other than by being idle.",
)
PEER_FRAME_REFUSED = Event(
    202,
    "peer_frame_refused",
    Level.WARNING,
    ("peer", "reason"),
    "An authenticated peer sent a frame that breaks the protocol; its connection was closed.",
)
PEER_REFUSED_US = Event(
    203,
    "peer_handshake_failed",
    Level.WARNING,
    ("peer", "reason"),
    "A connection to a peer failed at the handshake; compare the cluster keys of both nodes.",
)
HANDLER_FAILED = Event(
    204,
    "peer_handler_failed",
    Level.ERROR,
    ("peer", "message", "error"),
    "The handler of a peer's message raised; the peer was answered with a refusal.",
)
NETWORK_FAULTS_ACTIVE = Event(
    205,
    "network_faults_active",
    Level.WARNING,
    ("file", "rules"),
    "The file of rehearsal network faults was read; its rules now act on this node's traffic.",
)
NETWORK_FAULTS_UNREADABLE = Event(
    206,
    "network_faults_unreadable",
    Level.ERROR,
    ("file", "error"),
    "The file of rehearsal network faults could not be read; the rules from before stay.",
)
PEER_OF_OLDER_BUILD = Event(
    208,
    "peer_of_older_build",
    Level.INFO,
    ("peer", "level", "needed"),
    "A peer's build knows messages up to a level; later ones are not sent on that connection.",
)
PEER_CONNECTION_DOUBTFUL = Event(
    209,
    "peer_connection_doubtful",
    Level.INFO,
    ("peer", "quiet_s"),
    "A peer gave no sign of life on a connection; a second connection to it is tried.",
)
PEER_CONNECTION_REPLACED = Event(
    210,
    "peer_connection_replaced",
    Level.WARNING,
    ("peer", "quiet_s", "lost_requests"),
    "A connection was silent while the peer accepted a second one, which took its place; what "
    "waited for answers on it has none.",
)
PEER_CONNECTION_KEPT = Event(
    211,
    "peer_connection_kept",
    Level.INFO,
    ("peer",),
    "A doubtful connection spoke again; the second one is not needed.",
)
PEER_SECOND_CONNECTION_FAILED = Event(
    212,
    "peer_second_connection_failed",
    Level.INFO,
    ("peer", "reason", "pause_s"),
    "The second connection beside a doubtful one could not be made; the first one stays and "
    "another is tried after the pause.",
)
CLUSTER_KEY_UNREADABLE = Event(
    207,
    "cluster_key_unreadable",
    Level.ERROR,
    ("file", "error"),
    "A cluster key file could not be read again; the keys from before stay.",
)
