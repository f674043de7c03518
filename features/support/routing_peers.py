"""In-memory transport and worker ownership for routing nodes."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bellweir.kernel import names
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member, MemberState, Ownership
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, encode_struct, with_length
from bellweir.wire.interface import Sender, Transport

CODEC = MessageCodec()


@dataclass
class FakeBus:
    """Delivers encoded one-way messages synchronously, and can drop them."""

    handlers: dict = field(default_factory=dict)
    drops: Callable[[str, str], bool] = lambda *_: False
    """Whether to drop a message from one address to another."""
    messages: int = 0
    sent_bytes: int = 0

    def send(self, source: str, target: str, message) -> bool:
        plain = CODEC.to_plain(message)
        self.messages += 1
        self.sent_bytes += len(with_length(encode_struct(OneWay(0, plain))))
        handlers = self.handlers.get(target, {})
        if type(message) in handlers and not self.drops(source, target):
            handlers[type(message)](Sender(source, source), CODEC.from_plain(plain))
        return True


class FakeTransport(Service, Transport):
    name = names.TRANSPORT

    def __init__(self, address: str, bus: FakeBus) -> None:
        self._address = address
        self._bus = bus
        self._handlers = bus.handlers.setdefault(address, {})

    def start(self):
        pass

    def stop(self):
        self._handlers.clear()

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    def request(self, address, message, timeout_s):
        raise NotImplementedError

    def send(self, address, message):
        return self._bus.send(self._address, address, message)


class FakeOwnership(Service, Ownership):
    name = names.OWNERSHIP

    def __init__(self, node: str, owners: dict) -> None:
        self._node = node
        self._owners = owners

    def start(self):
        pass

    def stop(self):
        pass

    def owner_of(self, worker):
        node = self._owners.get(worker)
        name = self._node if node is None else f"node-{node}"
        address = f"peer-{name.rpartition('-')[2]}"
        return Member(name, address, "", "zone-1", "default", False, MemberState.ALIVE, 0)

    def owns(self, worker):
        return self.owner_of(worker).node == self._node
