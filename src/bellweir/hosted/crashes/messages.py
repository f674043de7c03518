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
    beside: int = 0
    """Workers of the service that ended at the same moment without running the request."""


class TrialRecord(msgspec.Struct, frozen=True, array_like=True):
    """One run that was granted to a suspended request."""

    instance: str
    born_ms: int
    age_ms: int
    """Age when the message was sent; the way is not counted."""
    is_withdrawn: bool = False
    """Whether the worker did not run it."""


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of one request. Encoded by position."""

    fingerprint: Fingerprint
    service: str
    ends: tuple[EndRecord, ...]
    acquitted_age_ms: int = NEVER_MS
    """Age of the newest run that the worker survived; `NEVER_MS` without one."""
    trials: tuple[TrialRecord, ...] = ()


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
    is_informed: bool = True
    """Whether it has heard since its start what others know."""


class TrialRequest(Message, frozen=True):
    """Asks the node that grants trials of a service for a trial of a suspended request."""

    since_level = 4
    fingerprint: Fingerprint
    service: str
    instance: str
    """The worker that is to run it."""
    born_ms: int
    records: tuple[CrashRecord, ...] = ()
    """What the asking node knows of the request."""


class TrialAnswer(Message, frozen=True):
    """Whether a trial was granted."""

    since_level = 4
    wait_ms: int
    """0: granted; otherwise the milliseconds after which to ask again."""
