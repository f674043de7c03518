"""Client of the weight store; wire format in docs/PLATFORM.md."""

from urllib.parse import quote

from returns.result import Result

from bellweir.clients.answers import decode_answer
from bellweir.clients.interface import PlatformError, WeightManifest, WeightStore
from bellweir.clients.pool import ConnectionPool, HttpCall


class HttpWeightStore(WeightStore):
    """Reads manifests; engines themselves fetch the weights."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s
        self.address = pool.address

    def read_manifest(self, model: str, version: int) -> Result[WeightManifest, PlatformError]:
        """Read what the store holds of a version; `NOT_FOUND` when it holds none."""
        path = f"/manifests/{quote(model, safe='')}/{version}"
        answer = self._pool.call_repeatable(HttpCall("GET", path, self._timeout_s))
        return answer.bind(lambda found: decode_answer(found, WeightManifest))
