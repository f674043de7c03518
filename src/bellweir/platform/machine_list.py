"""Client of the platform's machine list; wire format in docs/PLATFORM.md."""

from returns.result import Result

from bellweir.platform.answers import decode_answer
from bellweir.platform.interface import MachineList, MachineSnapshot, PlatformError
from bellweir.platform.pool import ConnectionPool, HttpCall


class HttpMachineList(MachineList):
    """Reads the list over a pool of connections."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    def read(self) -> Result[MachineSnapshot, PlatformError]:
        """Read the whole list; repeated once when the connection was lost."""
        answer = self._pool.call_repeatable(HttpCall("GET", "/machines", self._timeout_s))
        return answer.bind(lambda found: decode_answer(found, MachineSnapshot))
