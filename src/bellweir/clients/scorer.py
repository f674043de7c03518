"""Client of a scoring service; wire format in docs/PLATFORM.md."""

import msgspec
from returns.result import Result

from bellweir.clients.answers import decode_answer
from bellweir.clients.interface import PlatformError, ScoreCall, Scorer
from bellweir.clients.pool import ConnectionPool, HttpCall


class ScoreAnswer(msgspec.Struct, frozen=True):
    """Answer of a scorer."""

    score: float


class HttpScorer(Scorer):
    """Scores over a pool of connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def score(self, call: ScoreCall, timeout_s: float) -> Result[float, PlatformError]:
        """Score one sample; repeated once when the connection was lost, since that is harmless."""
        headers = {"Content-Type": "application/json"}
        body = msgspec.json.encode(call)
        answer = self._pool.call_repeatable(HttpCall("POST", "/score", timeout_s, headers, body))
        decoded = answer.bind(lambda found: decode_answer(found, ScoreAnswer))
        return decoded.map(lambda scored: scored.score)
