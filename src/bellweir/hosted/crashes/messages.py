"""Messages by which nodes tell each other of requests that crash workers."""

import msgspec

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.wire.interface import Message

NEVER_MS = -1


class EndRecord(msgspec.Struct, frozen=True, array_like=True):
    """One worker's end while it ran a request."""

    instance: str
    born_ms: int
    age_ms: int
    """Age when the message was sent; the way is not counted."""


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of one request. Encoded by position."""

    fingerprint: Fingerprint
    service: str
    ends: tuple[EndRecord, ...]
    acquitted_age_ms: int = NEVER_MS
    """Age of the newest run that the worker survived; `NEVER_MS` without one."""


class CrashNews(Message, frozen=True):
    """Records that changed at the sender, or some of all that it holds."""

    since_level = 3
    records: tuple[CrashRecord, ...]


class CrashQuestion(Message, frozen=True):
    """Asks for all records; sent by a node that may have missed some."""

    since_level = 3


class CrashAnswer(Message, frozen=True):
    """All records of the answering node."""

    since_level = 3
    records: tuple[CrashRecord, ...]
