"""Messages by which a node shows that it reads a connection."""

from typing import ClassVar

from bellweir.wire.frames import Refusal, Request, encode_struct, with_length
from bellweir.wire.interface import Message
from bellweir.wire.send_queue import QueuedFrame

UNAWAITED_NUMBER = 0
"""Number of requests that nobody waits for; those that are waited for count from 1."""
LEVEL_WITH_SIGNS = 4
"""Builds of this level answer `SignOfLife`, and show life unasked while long frames arrive."""


class SignOfLife(Message, frozen=True):
    """Asks for an answer of the same type, given by the task that reads the connection."""

    since_level: ClassVar[int] = LEVEL_WITH_SIGNS


def question(plain: object, timeout_s: float) -> QueuedFrame:
    """Return the request for a sign of life. `plain`: the message as builtin values."""
    frame = Request(UNAWAITED_NUMBER, 0, timeout_s, plain)
    return QueuedFrame(with_length(encode_struct(frame)), level=LEVEL_WITH_SIGNS)


def unasked() -> QueuedFrame:
    """Return a sign that is no answer: a refusal of a request that nobody waits for."""
    return QueuedFrame(with_length(encode_struct(Refusal(UNAWAITED_NUMBER, False, "reading"))))
