"""Whether the weight store holds a version, asked once for each version."""

import threading

from returns.result import Success

from bellweir.clients.interface import ErrorKind, PlatformClients
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.weights.log_events import VERSION_MISSING

RECHECK_S = 5.0


class StoreCheck:
    """Keeps engines from giving up what they serve for a version that does not exist."""

    def __init__(self, platform: PlatformClients, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock
        self._lock = threading.Lock()
        self._missing_until_s: dict[tuple[str, int], float] = {}
        self._present: set[tuple[str, int]] = set()

    @property
    def address(self) -> str | None:
        """`host:port` of the store as orders name it; None without a store."""
        try:
            return self._platform.weight_store().address
        except (LookupError, ValueError, RuntimeError):
            return None

    def has(self, model: str, version: int) -> bool:
        """False only when the store has said that it does not hold the version.

        A store that can't be reached does not stop a rollout: engines may have the version from
        each other.
        """
        key = (model, version)
        now_s = self._clock.monotonic_s()
        with self._lock:
            if key in self._present:
                return True
            if now_s < self._missing_until_s.get(key, 0.0):
                return False
        return self._ask(key, now_s)

    def _ask(self, key: tuple[str, int], now_s: float) -> bool:
        model, version = key
        try:
            answer = self._platform.weight_store().read_manifest(model, version)
        except (LookupError, ValueError, RuntimeError):
            return True
        with self._lock:
            if isinstance(answer, Success):
                self._present.add(key)
                return True
            if answer.failure().kind is not ErrorKind.NOT_FOUND:
                return True
            self._missing_until_s[key] = now_s + RECHECK_S
        emit(VERSION_MISSING, model=model, version=version, error=answer.failure().detail)
        return False
