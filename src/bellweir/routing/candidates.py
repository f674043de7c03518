"""Selection of the back ends that may receive a request."""

from collections.abc import Callable, Collection, Iterable

from bellweir.routing.backend import Backend


def candidates(
    backends: Iterable[Backend],
    tried: Collection[str],
    now_s: float,
    admits: Callable[[Backend], bool] = lambda _: True,
) -> list[Backend]:
    """Return ready, untried back ends that `admits` accepts and whose circuits permit a request.

    If all their circuits are open, the one open for longest is returned, as an attempt is better
    than a refusal; the retry budget bounds the attempts.
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
