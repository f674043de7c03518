"""The workers that may get a request, as they are known at each of its attempts."""

from collections.abc import Callable, Sequence

from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

MAX_AGE_S = 0.01
"""Age from which the workers are looked up again; the first attempt mostly follows at once."""


class Candidates:
    """The usable workers of a request's services, in the order in which to try these.

    A retry, a resumed stream or a request that was queued comes later than its first look-up:
    workers have drained, failed or come meanwhile.

    >>> clock = iter([0.0, 0.005, 60.0, 60.0])
    >>> found = Candidates(["llm"], lambda service: [], lambda: next(clock))
    >>> found.groups(), found.groups()
    ([[]], [[]])
    """

    __slots__ = ("_found", "_found_s", "_now_s", "_services", "_usable")

    def __init__(
        self,
        services: Sequence[str],
        usable: Callable[[str], list[Worker]],
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`usable` returns the workers of a service that may get the request now."""
        self._services = list(services)
        self._usable = usable
        self._now_s = now_s
        self._look_up()

    def groups(self) -> list[list[Worker]]:
        """Return the workers of each service."""
        if self._now_s() - self._found_s > MAX_AGE_S:
            self._look_up()
        return self._found

    def all(self) -> list[Worker]:
        """Return the workers of all services."""
        return [worker for group in self.groups() for worker in group]

    def _look_up(self) -> None:
        self._found_s = self._now_s()
        self._found = [self._usable(service) for service in self._services]
