"""Which back ends a request may go to now."""

from collections.abc import Callable, Collection, Iterable

from bellweir.routing.backend import Backend


def candidates(
    backends: Iterable[Backend],
    tried: Collection[str],
    now_s: float,
    admits: Callable[[Backend], bool] = lambda _: True,
) -> list[Backend]:
    """Ready back ends that were not tried and that `admits` accepts, by their circuits.

    When every circuit is open the one that has been open longest is tried: a refusal would be
    worse than an attempt, and the retry budget bounds the attempts.
    """
    ready = [
        backend
        for backend in backends
        if backend.ready and backend.name not in tried and admits(backend)
    ]
    permitted = [backend for backend in ready if backend.permits(now_s)]
    if permitted or not ready:
        return permitted
    return [min(ready, key=lambda backend: backend.circuit_opened_s)]
