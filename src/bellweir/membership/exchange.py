"""Comparison of member lists between two nodes, over the transport.

Gossip may miss a member; comparing hashes of the lists closes such gaps. While two lists are
equal an exchange costs 16 hashes, whatever the number of members.
"""

import random
from collections.abc import Callable
from typing import Annotated

import msgspec
from returns.pipeline import is_successful

from bellweir.events.log import emit
from bellweir.membership.log_events import EXCHANGE_FAILED
from bellweir.membership.node import MembershipNode
from bellweir.membership.records import MemberRecord
from bellweir.membership.table import DIGEST_BUCKETS
from bellweir.wire.interface import Message, Sender, Transport

EXCHANGE_TIMEOUT_S = 5.0
EARLY_S = 10.0
EARLY_PERIOD_S = 1.0
MAXIMUM_EXCHANGED = 16_384

Now = Callable[[], float]

Digests = Annotated[
    tuple[int, ...], msgspec.Meta(min_length=DIGEST_BUCKETS, max_length=DIGEST_BUCKETS)
]
Buckets = Annotated[tuple[int, ...], msgspec.Meta(max_length=DIGEST_BUCKETS)]
Records = Annotated[tuple[MemberRecord, ...], msgspec.Meta(max_length=MAXIMUM_EXCHANGED)]


class MemberDigests(Message, frozen=True):
    """Hashes of the sender's buckets; answered by `MemberDifferences`."""

    digests: Digests


class MemberDifferences(Message, frozen=True):
    """The buckets that differ and the answering node's records in them."""

    buckets: Buckets
    records: Records


class MemberRecords(Message, frozen=True):
    """One-way: the asking node's records in the buckets that differed."""

    records: Records


def exchange_pause_s(period_s: float, age_s: float) -> float:
    """Return the time until a node's next exchange, with jitter so that none march in step.

    A node that has just started (`age_s` ago) compares more often: what it missed while it knew
    few members would otherwise show only after a whole period.
    """
    if age_s < EARLY_S:
        period_s = min(period_s, EARLY_PERIOD_S)
    return period_s * random.uniform(0.5, 1.5)


def register_handlers(transport: Transport, node: MembershipNode, now: Now) -> None:
    """Answer exchanges on behalf of a node."""

    def on_digests(_sender: Sender, message: MemberDigests) -> MemberDifferences:
        buckets, records = node.differing(message.digests)
        return MemberDifferences(tuple(buckets), tuple(records))

    def on_records(_sender: Sender, message: MemberRecords) -> None:
        node.merge_exchanged(message.records, now())

    transport.register(MemberDigests, on_digests)
    transport.register(MemberRecords, on_records)


def exchange_with(address: str, transport: Transport, node: MembershipNode, now: Now) -> bool:
    """Compare lists with the node at `host:port`; both hold the union afterwards."""
    outcome = transport.request(address, MemberDigests(node.digests()), EXCHANGE_TIMEOUT_S)
    if not is_successful(outcome):
        emit(EXCHANGE_FAILED, peer=address, reason=outcome.failure().detail)
        return False
    answer = outcome.unwrap()
    if not isinstance(answer, MemberDifferences):
        emit(EXCHANGE_FAILED, peer=address, reason=f"answered by {type(answer).__name__}")
        return False
    if answer.buckets:
        records = node.records_in(answer.buckets)
        node.merge_exchanged(answer.records, now())
        transport.send(address, MemberRecords(tuple(records)))
    return True
