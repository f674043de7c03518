"""Typed messages between nodes and the transport that carries them.

A message is a frozen `msgspec.Struct` subclass of `Message`, defined in the package that uses
it and registered with its handler. On the wire it is a cbor2 map with the message's tag.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar, TypeVar

import msgspec
from returns.result import Result

FIRST_LEVEL = 1
"""Level of the builds that tell none: they know the messages without a level of their own."""
LEVEL = 4
"""Level of this build. A build knows the messages of its own level and of those before it; raise
this by one for the first message that is added after a release."""


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of every message between nodes; the class name is its tag on the wire.

    A message that builds in service may not know says since which level it is there. The transport
    writes it only on connections whose other end has told that level or a later one.

    >>> class Rumour(Message, frozen=True):
    ...     since_level = 2
    ...     word: str
    >>> Rumour("hm").since_level
    2
    """

    since_level: ClassVar[int] = FIRST_LEVEL

    @property
    def level(self) -> int:
        """Level that a build must have to be sent this message."""
        return self.since_level


AnyMessage = TypeVar("AnyMessage", bound=Message)


@dataclass(frozen=True)
class Sender:
    """The authenticated node at the other end of a connection."""

    node: str
    address: str
    """`host:port` where that node accepts peers."""
    level: int = FIRST_LEVEL
    """Level of its build's messages."""


class WireErrorKind(Enum):
    """Why a request to a peer has no answer."""

    NOT_SENT = "not_sent"
    """No connection, or no byte written: the peer has not seen it."""
    NO_ANSWER = "no_answer"
    """Sent, but the connection broke, the time ran out or the handler raised: the peer may have
    handled it."""
    REFUSED = "refused"
    """The peer has no handler or is overloaded, and its refusal proves that nothing ran; or its
    build does not know the message, which was not sent then."""


@dataclass(frozen=True)
class WireError:
    """A request to a peer that has no answer."""

    kind: WireErrorKind
    detail: str


Handler = Callable[[Sender, Any], Message | None]


class Transport(ABC):
    """Sends messages to peers and hands received ones to their handlers. Service `transport`.

    The transport accepts peers on the node's peer port from its start; a message whose service
    has not registered its handler yet is refused.
    """

    @abstractmethod
    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        """Handle messages of one type on the `PEER` executor, off the connection's thread.

        The handler's returned message answers a request; None answers nothing and is only
        right for one-way messages. A handler that must block long (long polls, replication)
        passes work on to an executor of its own.
        """

    @abstractmethod
    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        """Send a request to the node at `host:port` and wait for its answer."""

    @abstractmethod
    def send(self, address: str, message: Message) -> bool:
        """Queue a one-way message; best effort. False when the peer's queue is full."""

    def peer_level(self, address: str) -> int | None:
        """Level of the build at `host:port`; None while no connection to it has told.

        By default all nodes are of this build.
        """
        return LEVEL

    def knows(self, address: str, message_type: type[Message]) -> bool | None:
        """Whether the node at `host:port` knows a type of message.

        None while no connection to it has told: then it may be sent all the same, since the
        transport leaves out what the other end turns out not to know.
        """
        if message_type.since_level == FIRST_LEVEL:
            return True
        level = self.peer_level(address)
        return None if level is None else message_type.since_level <= level
