"""Nodes that consist of a transport only."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.settings.models import NodeIdentity, Settings, TrustSettings
from bellweir.wire.interface import Message, Sender
from bellweir.wire.service import TransportService


class Question(Message, frozen=True):
    number: int


class QuestionAnswer(Message, frozen=True):
    number: int


@dataclass
class WireNode:
    """A started transport that answers `Question`."""

    kernel: Kernel
    transport: TransportService
    address: str
    senders: list[Sender] = field(default_factory=list)
    stopped: bool = False

    def accepted_connections(self) -> list[int]:
        """Identities of the connections that peers hold to this node."""
        return sorted(id(connection) for connection in self.transport._accepted)

    def answer(self, sender: Sender, message: Question) -> QuestionAnswer:
        self.senders.append(sender)
        return QuestionAnswer(message.number)

    def stop(self) -> None:
        if self.stopped:
            return
        self.stopped = True
        self.transport.stop()
        self.kernel.listeners.close()
        self.kernel.executors.stop()


def start_wire_node(name: str, keys: tuple[Path, ...], cleanup: ExitStack) -> WireNode:
    """Start a node; it is stopped at the end of the scenario."""
    kernel = Kernel(bind_listeners("127.0.0.1", 0, 0))
    settings = Settings(node=NodeIdentity(name=name), trust=TrustSettings(cluster_key_files=keys))
    node = WireNode(kernel, TransportService(kernel, settings), kernel.listeners.peer_address)
    node.transport.register(Question, node.answer)
    node.transport.start()
    cleanup.callback(node.stop)
    return node
