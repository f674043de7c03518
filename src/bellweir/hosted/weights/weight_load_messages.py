"""Messages that tell the coordinator of batch jobs which workers are loading weights.

A worker refuses requests for a model whose weights it loads; a lost message costs one refused
request.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

from bellweir.hosted.incarnation import Incarnation
from bellweir.wire.interface import Message, Sender, Transport


class LoadNews(Message, frozen=True):
    """A worker is about to load weights, or has finished."""

    since_level: ClassVar[int] = 2

    instance: str
    born_ms: int
    model: str
    for_s: float
    """Expected remaining seconds from the arrival of the message; 0 if the load has ended."""

    @property
    def worker(self) -> Incarnation:
        """The worker that loads."""
        return Incarnation(self.instance, self.born_ms)


class WeightLoadListener(ABC):
    """Receives updates on which workers load weights."""

    @abstractmethod
    def on_weight_load_update(self, worker: Incarnation, model: str, for_s: float) -> None:
        """The worker loads weights of `model` for about `for_s` seconds; 0 if it has finished."""


class WeightLoadAnnouncer:
    """Announces weight loads to the coordinator; used by the lease holder."""

    def __init__(
        self,
        transport: Transport,
        coordinator_address: Callable[[], str | None],
        own_listener: WeightLoadListener | None = None,
    ) -> None:
        """`coordinator_address` returns None while no remote coordinator is known.

        `own_listener` is called directly, since this node may be the coordinator.
        """
        self._transport = transport
        self._coordinator_address = coordinator_address
        self._own_listener = own_listener

    def announce(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Announce a load that takes `for_s` seconds or, with 0, has ended."""
        if self._own_listener is not None:
            self._own_listener.on_weight_load_update(worker, model, for_s)
        address = self._coordinator_address()
        if address is not None:
            announced = LoadNews(worker.instance, worker.born_ms, model, for_s)
            self._transport.send(address, announced)


def register_weight_load_listener(transport: Transport, listener: WeightLoadListener) -> None:
    """Pass the messages of other nodes to `listener`."""

    def handle(_sender: Sender, announced: LoadNews) -> None:
        listener.on_weight_load_update(announced.worker, announced.model, announced.for_s)

    transport.register(LoadNews, handle)
