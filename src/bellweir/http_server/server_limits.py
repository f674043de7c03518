"""Limits of the HTTP server."""

import resource
from dataclasses import dataclass, field

MAXIMUM_CONNECTIONS = 2048


def connections_allowed() -> int:
    """Half the file numbers that the process may use, since back ends and peers need theirs.

    Without a number left, accepting would fail again at each turn of the loop.
    """
    numbers, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if numbers == resource.RLIM_INFINITY:
        return MAXIMUM_CONNECTIONS
    return min(MAXIMUM_CONNECTIONS, numbers // 2)


@dataclass(frozen=True)
class ServerLimits:
    """What connections may cost. Times are whole seconds, since waitress takes those."""

    threads: int
    """Request threads; each streaming answer holds one."""
    maximum_body_bytes: int
    connections: int = field(default_factory=connections_allowed)
    """Open connections; beyond them idle ones are closed and new ones wait in the system."""
    idle_timeout_s: int = 60
    """A connection without a request is closed after this time."""
    header_timeout_s: int = 10
    """From a request's first byte to the end of its headers."""
    body_grace_s: int = 30
    """Time that a body may take, besides the time its bytes earn."""
    body_bytes_per_s: int = 8 * 1024
    """Slowest average at which a body may come after the grace."""
    write_stall_s: int = 60
    """A caller that takes no byte of its answer for this time is disconnected."""
    crowded_idle_s: int = 2
    """Idle time after which connections are closed while the limit is reached."""
    linger_s: int = 30
    """Time for which input is still read and dropped after the last answer of a connection."""
    linger_idle_s: int = 5
    """The same while no input comes."""
    maximum_header_bytes: int = 64 * 1024
    body_memory_bytes: int = 512 * 1024
    """Longer request bodies wait in a temporary file."""
    output_memory_bytes: int = 1024 * 1024
    """A request thread waits when its caller is this many bytes behind."""
    receive_bytes: int = 64 * 1024
    maintenance_period_s: int = 1
