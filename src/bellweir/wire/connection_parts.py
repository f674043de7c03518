"""What the connections of one node share."""

import threading
from dataclasses import dataclass, field

from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.executors import Executors
from bellweir.wire.codec import MessageCodec
from bellweir.wire.faults import NetworkFaults
from bellweir.wire.handshake import LocalNode
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.link_silence import SilenceBounds
from bellweir.wire.send_queue import QueuedFrame
from bellweir.wire.traffic import TrafficCounter


@dataclass(frozen=True)
class ConnectionParts:
    """Identity, keys, codec, counters and faults of the node that owns the connections."""

    local: LocalNode
    keys: ClusterKeys
    executors: Executors
    faults: NetworkFaults
    silence: SilenceBounds
    codec: MessageCodec = field(default_factory=MessageCodec)
    traffic: TrafficCounter = field(default_factory=TrafficCounter)
    closing: threading.Event = field(default_factory=threading.Event)
    """Set when the transport stops."""

    def hold_for_faults(self, peer: str, frame: QueuedFrame) -> bool:
        """Apply rehearsal faults before writing: wait out the delay; False when cut off."""
        rule = self.faults.towards(peer)
        if rule is None:
            return True
        if rule.cut:
            return False
        # Counted from when the frame was queued, so that frames in a row overlap their delays.
        due_s = frame.queued_s + self.faults.stream_delay_s(rule)
        self.closing.wait(max(0.0, due_s - elapsed_s()))
        return True
