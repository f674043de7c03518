"""Turns typed messages into builtin values and back, by their tags."""

import threading
from typing import Any

import msgspec

from bellweir.wire.frames import FrameError
from bellweir.wire.interface import Message

TAG_FIELD = "type"


class UnknownMessageError(FrameError):
    """A message of a type that this node does not know."""


class MessageCodec:
    """Finds message types by tag; the tag is the class name, unique over the whole program."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._types: dict[str, type[Message]] = {}

    def to_plain(self, message: Message) -> Any:
        """The message as builtin values."""
        return msgspec.to_builtins(message, builtin_types=(bytes,), str_keys=True)

    def from_plain(self, plain: Any) -> Message:
        """The message that the builtin values stand for.

        Raises `UnknownMessageError` for an unknown tag, `FrameError` for fields that do not fit.
        """
        if not isinstance(plain, dict):
            raise FrameError("a message is a map")
        message_type = self.type_of(plain.get(TAG_FIELD))
        try:
            return msgspec.convert(plain, message_type, builtin_types=(bytes,), str_keys=True)
        except (msgspec.ValidationError, RecursionError) as failure:
            raise FrameError(f"not a {message_type.__name__}: {failure}") from failure

    def type_of(self, tag: object) -> type[Message]:
        """The message type of a tag. Raises `UnknownMessageError`."""
        if not isinstance(tag, str):
            raise UnknownMessageError("a message without a tag")
        with self._lock:
            if tag not in self._types:
                self._types = _known_types(Message)
            found = self._types.get(tag)
        if found is None:
            raise UnknownMessageError(f"unknown message {tag[:64]!r}")
        return found


def _known_types(base: type[Message]) -> dict[str, type[Message]]:
    known: dict[str, type[Message]] = {}
    for message_type in base.__subclasses__():
        known |= _known_types(message_type)
        known[message_type.__name__] = message_type
    return known
