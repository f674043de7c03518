"""The kernel of one node: what every service gets at its construction."""

from dataclasses import dataclass, field

from bellweir.kernel.clock import Clock, SystemClock
from bellweir.kernel.ending import Ending
from bellweir.kernel.executors import Executors
from bellweir.kernel.listeners import Listeners
from bellweir.kernel.registry import Registry


@dataclass(frozen=True)
class Kernel:
    """Listeners, registry, executors and clock shared by the services of one node.

    Services are constructed as `SomeService(kernel, settings)`.
    """

    listeners: Listeners
    registry: Registry = field(default_factory=Registry)
    executors: Executors = field(default_factory=Executors)
    clock: Clock = field(default_factory=SystemClock)
    ending: Ending = field(default_factory=Ending)
