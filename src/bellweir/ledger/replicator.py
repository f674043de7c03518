"""Brings followers what they lack: entries, heartbeats and snapshots, for the shards led here.

A node's tasks call `send` for one peer at a time. Each call is a round: an answer to it proves
that the follower still took its sender for the leader when the round began, which is what reads
are confirmed by.
"""

import threading
from collections.abc import Callable, Sequence

from bellweir.kernel.clock import Clock
from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.messages import (
    AppendAnswer,
    AppendRequest,
    ShardAppend,
    ShardAppended,
    SnapshotAnswer,
)
from bellweir.ledger.replica import Replica
from bellweir.ledger.snapshots import OutgoingSnapshot
from bellweir.wire.interface import Transport

MAXIMUM_BATCH_BYTES = 1 << 20
"""Payload of all shards in one append message; shards left out go with the next one."""


class Replicator:
    """Sends for the replicas that lead on one node. Calls for different peers may overlap."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        request_timeout_s: float,
        replica_of: Callable[[int], Replica | None],
        forget: Callable[[Replica, int], None],
    ) -> None:
        """`replica_of` finds the replica of a shard here; `forget` drops an outdated one."""
        self._transport = transport
        self._clock = clock
        self._request_timeout_s = request_timeout_s
        self._replica_of = replica_of
        self._forget = forget
        self._lock = threading.Lock()
        self._round = 0
        self._outgoing: dict[tuple[int, ReplicaId], OutgoingSnapshot] = {}

    def newest_round(self) -> int:
        """Return the number of the newest round that was begun."""
        return self._round

    def send(self, address: str, led: Sequence[tuple[Replica, ReplicaId]]) -> bool:
        """Send the followers at one address what they lack; False when they did not answer.

        `led` holds replicas that lead here, each with its follower at that address.
        """
        answered = True
        for target in dict.fromkeys(target for _, target in led):
            followed = [replica for replica, one in led if one == target]
            answered = self._send_appends(address, target, followed) and answered
        for replica, target in led:
            if answered and replica.needs_snapshot(target):
                answered = self._send_snapshot_part(address, replica, target)
            else:
                self._outgoing.pop((replica.shard, target), None)
        return answered

    def _send_appends(self, address: str, target: ReplicaId, led: list[Replica]) -> bool:
        parts: list[ShardAppend] = []
        size_bytes = 0
        for replica in led:
            part = replica.make_append(target)
            if part is not None and size_bytes <= MAXIMUM_BATCH_BYTES:
                parts.append(part)
                size_bytes += sum(len(entry.payload) for entry in part.entries)
        if not parts:
            return True
        sent_round = self._next_round()
        sent = AppendRequest(led[0].own, target, tuple(parts))
        answer = self._transport.request(address, sent, self._request_timeout_s)
        message = answer.value_or(None)
        answered = message.parts if isinstance(message, AppendAnswer) else ()
        heard = {part.shard for part in answered}
        for replica in led:
            if replica.shard not in heard and any(part.shard == replica.shard for part in parts):
                replica.note_silence(target)
        if not isinstance(message, AppendAnswer):
            return False
        for taken in answered:
            self._take_answer(taken, message.replica, sent_round)
        return True

    def _take_answer(self, answered: ShardAppended, follower: ReplicaId, sent_round: int) -> None:
        replica = self._replica_of(answered.shard)
        if replica is None:
            return
        if answered.generation > replica.generation:
            self._forget(replica, answered.generation)
        else:
            replica.handle_appended(answered, follower, sent_round, self._clock.monotonic_s())

    def _send_snapshot_part(self, address: str, replica: Replica, target: ReplicaId) -> bool:
        key = (replica.shard, target)
        if key not in self._outgoing:
            self._outgoing[key] = OutgoingSnapshot(replica.snapshot())
        outgoing = self._outgoing[key]
        part = outgoing.part(replica.shard, replica.generation, replica.term, replica.own, target)
        answer = self._transport.request(address, part, self._request_timeout_s)
        message = answer.value_or(None)
        if not isinstance(message, SnapshotAnswer):
            return False
        installed = message.accepted and message.next_offset == part.total_bytes
        now_s = self._clock.monotonic_s()
        if message.term > 0:
            replica.snapshot_answered(target, part.index, message.term, now_s, installed=installed)
        outgoing.offset = message.next_offset
        if installed or not message.accepted:
            self._outgoing.pop(key, None)
        return True

    def _next_round(self) -> int:
        with self._lock:
            self._round += 1
            return self._round
