"""Records waiting to be spread on datagrams, the least often sent first."""

import math
from dataclasses import dataclass

from bellweir.membership.records import MemberRecord
from bellweir.wire.frames import encode_struct

TRANSMISSION_FACTOR = 3.0
"""Each record goes out this many times log10(members + 1), as in the SWIM paper."""
LEAST_TRANSMISSIONS = 4
"""Added, so that a node that knows few members yet still reaches the others."""
MAXIMUM_QUEUED = 4096


@dataclass
class _Broadcast:
    encoded: bytes
    transmissions: int = 0


class Broadcasts:
    """At most one record of each member waits: a newer one replaces it."""

    def __init__(self) -> None:
        self._waiting: dict[str, _Broadcast] = {}

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, record: MemberRecord) -> None:
        """Spread a record."""
        if len(self._waiting) < MAXIMUM_QUEUED or record.node in self._waiting:
            self._waiting[record.node] = _Broadcast(encode_struct(record))

    def take(self, budget_bytes: int, members: int) -> list[bytes]:
        """Return encoded records that fit in a datagram's remaining bytes."""
        if not self._waiting:
            return []
        limit = math.ceil(TRANSMISSION_FACTOR * math.log10(members + 1)) + LEAST_TRANSMISSIONS
        taken: list[bytes] = []
        least_sent_first = sorted(self._waiting.items(), key=lambda item: item[1].transmissions)
        for node, broadcast in least_sent_first:
            needed = len(broadcast.encoded) + 3
            if needed > budget_bytes:
                break
            budget_bytes -= needed
            taken.append(broadcast.encoded)
            broadcast.transmissions += 1
            if broadcast.transmissions >= limit:
                del self._waiting[node]
        return taken
