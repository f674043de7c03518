"""Datagrams between members: a 32-byte proof of the cluster key, then one cbor2 item.

Replaying an old datagram gains nothing: its records lose against newer incarnations, and an
acknowledgement is taken only while its number is awaited.
"""

import msgspec

from bellweir.membership.records import MemberRecord
from bellweir.wire.frames import FrameError, decode_struct, encode_struct
from bellweir.wire.keys import PROOF_BYTES, ClusterKeys

MAXIMUM_DATAGRAM_BYTES = 1400
"""Fits one packet on the usual 1500-byte links."""
MAXIMUM_RECORDS = 64
MAXIMUM_RECORD_BYTES = 1024
_PURPOSE = b"datagram"
_OPEN_PROOF = bytes(PROOF_BYTES)


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Base of datagrams; `records` are encoded `MemberRecord`s that ride along."""

    number: int
    sender: str
    records: list[bytes]


class Ping(Datagram, frozen=True, array_like=True, tag="ping"):
    """Asks the target for an `Ack` of the same number; an empty target means whoever hears."""

    target: str


class Ack(Datagram, frozen=True, array_like=True, tag="ack"):
    """Answers a ping; a helper that relays it leaves the answering member as the sender."""


class PingRequest(Datagram, frozen=True, array_like=True, tag="ping_request"):
    """Asks a helper to ping the target and to relay its acknowledgement."""

    target: str
    target_address: str


class Gossip(Datagram, frozen=True, array_like=True, tag="gossip"):
    """Carries records only."""


AnyDatagram = Ping | Ack | PingRequest | Gossip


def encode_datagram(datagram: AnyDatagram, keys: ClusterKeys) -> bytes:
    """Encode and sign."""
    body = encode_struct(datagram)
    return (keys.sign(_PURPOSE, body) or _OPEN_PROOF) + body


def decode_datagram(data: bytes, keys: ClusterKeys) -> AnyDatagram:
    """Check the proof, then decode. Raises `FrameError`."""
    if len(data) <= PROOF_BYTES or len(data) > MAXIMUM_DATAGRAM_BYTES:
        raise FrameError(f"a datagram of {len(data)} bytes")
    proof, body = data[:PROOF_BYTES], data[PROOF_BYTES:]
    if not keys.verify(proof, _PURPOSE, body):
        raise FrameError("no proof of a cluster key known here")
    datagram: AnyDatagram = decode_struct(body, AnyDatagram)  # type: ignore[arg-type]
    if len(datagram.records) > MAXIMUM_RECORDS:
        raise FrameError(f"{len(datagram.records)} records")
    return datagram


def decode_record(encoded: bytes) -> MemberRecord:
    """Decode a record that rode along. Raises `FrameError`."""
    if len(encoded) > MAXIMUM_RECORD_BYTES:
        raise FrameError(f"a record of {len(encoded)} bytes")
    return decode_struct(encoded, MemberRecord)
