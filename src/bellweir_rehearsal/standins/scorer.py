"""Stand-in for a service that scores samples."""

import threading
from dataclasses import dataclass

import msgspec
import xxhash

from bellweir.clients.interface import ErrorKind, ScoreCall
from bellweir.clients.scorer import ScoreAnswer
from bellweir_rehearsal.standins.base import (
    RefusalError,
    Request,
    Response,
    Standin,
    StandinOptions,
    json_response,
)
from bellweir_rehearsal.standins.runlog import Record

SCORE_STEPS = 1000


@dataclass(frozen=True)
class ScorerOptions(StandinOptions):
    """Options of a scorer."""

    name: str = "scorer"
    service_time_s: float = 0.0
    """Wall time that one score takes."""
    concurrency: int = 16
    """Scores computed at once; more are refused as overloaded."""


class SampleScored(Record, frozen=True, kw_only=True):
    """A sample was scored."""

    sample_id: str
    score: float


def score_of(prompt: str, text: str) -> float:
    """Return the score between 0 and 1 that every scorer gives."""
    digest = xxhash.xxh64_intdigest(f"{prompt}\0{text}".encode())
    return (digest % SCORE_STEPS) / SCORE_STEPS


class ScorerStandin(Standin):
    """Scores samples by a hash of prompt and text."""

    def __init__(self, options: ScorerOptions) -> None:
        super().__init__(options)
        self._service_time_s = options.service_time_s
        self._slots = threading.BoundedSemaphore(options.concurrency)

    def has_free_slot(self) -> bool:
        """Whether one more sample could be scored now."""
        free = self._slots.acquire(blocking=False)
        if free:
            self._slots.release()
        return free

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        if (request.method, request.path) != ("POST", "/score"):
            raise RefusalError(ErrorKind.INVALID, f"no {request.method} {request.path}")
        call = msgspec.json.decode(request.body.read(), type=ScoreCall)
        if not self._slots.acquire(blocking=False):
            raise RefusalError(ErrorKind.OVERLOADED, "all scoring slots are busy", 0.1)
        try:
            self.stopping.wait(self._service_time_s)
            return self._score(call)
        finally:
            self._slots.release()

    def _score(self, call: ScoreCall) -> Response:
        score = score_of(call.prompt, call.text)
        self.log.append(SampleScored(standin=self.name, sample_id=call.sample_id, score=score))
        return json_response(ScoreAnswer(score))
