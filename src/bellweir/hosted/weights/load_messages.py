"""Tells the node that runs batch jobs which workers load weights.

A worker refuses the runs of a model whose weights it loads. Whoever orders a load knows of it; a
coordinator that is not told learns it by a refusal for each worker and load, and each of those
costs a text its place in the queue and the time until it is sent again.

The holder of the roll-outs' lease tells of a load just before it sends the order, and again when
the worker has the version or the order was not taken: two messages for each order, to one node. A
message that is lost costs what it cost without: a refusal. One that is late counts from its
arrival, so that no clock of another node matters.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

from bellweir.hosted.incarnation import Incarnation
from bellweir.wire.interface import Message, Sender, Transport


class LoadNews(Message, frozen=True):
    """A worker is about to load weights, or does so no longer."""

    since_level: ClassVar[int] = 2

    instance: str
    born_ms: int
    model: str
    for_s: float
    """Seconds that the load is expected to take from now on; 0: it has ended."""

    @property
    def worker(self) -> Incarnation:
        """The worker that loads."""
        return Incarnation(self.instance, self.born_ms)


class LoadListener(ABC):
    """Hears which workers load weights."""

    @abstractmethod
    def on_load_update(self, worker: Incarnation, model: str, for_s: float) -> None:
        """A worker refuses a model's new runs for about `for_s` from now on; 0: no longer."""


class LoadTeller:
    """The part of the lease's holder."""

    def __init__(
        self,
        transport: Transport,
        coordinator_address: Callable[[], str | None],
        own_listener: LoadListener | None = None,
    ) -> None:
        """`coordinator_address` is None while nobody is known to run jobs.

        `own_listener` hears everything directly: the node may coordinate itself.
        """
        self._transport = transport
        self._coordinator_address = coordinator_address
        self._own_listener = own_listener

    def tell(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Tell of a load that begins or, with 0, has ended."""
        if self._own_listener is not None:
            self._own_listener.on_load_update(worker, model, for_s)
        address = self._coordinator_address()
        if address is not None:
            told = LoadNews(worker.instance, worker.born_ms, model, for_s)
            self._transport.send(address, told)


def register_load_listener(transport: Transport, listener: LoadListener) -> None:
    """Hand what other nodes tell to a listener."""

    def handle(_sender: Sender, told: LoadNews) -> None:
        listener.on_load_update(told.worker, told.model, told.for_s)

    transport.register(LoadNews, handle)
