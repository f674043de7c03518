"""Engines, a store and calls for the steps of the stand-in engine."""

import itertools
from dataclasses import replace

from returns.result import Success

from bellweir.clients.interface import EngineOrder, EngineRole, GenerationCall
from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.engine import EngineStandin
from bellweir_rehearsal.standins.engine_options import EngineOptions

TIME_SCALE = 20.0
"""Model time runs this much faster than wall time."""
PROMPT = "a prompt that is not long "


class StandinEngines:
    """Running engines by name, and the clients to speak to them."""

    def __init__(self, cleanup):
        self._cleanup = cleanup
        self._numbers = itertools.count()
        self.clients = HttpPlatformClients(PlatformSettings())
        self.standins = {}
        cleanup.callback(self.clients.close)

    def start(self, name, version=1, **options):
        chosen = EngineOptions(
            name=name, initial_version=version, time_scale=TIME_SCALE, event_lag_s=0.0
        )
        self.run(EngineStandin(replace(chosen, **options)))

    def run(self, standin):
        standin.start()
        self._cleanup.callback(standin.stop)
        self.standins[standin.name] = standin

    def client(self, name):
        return self.clients.engine(self.standins[name].address)

    def call(self, max_tokens, **changes):
        number = next(self._numbers)
        first = GenerationCall(
            f"attempt-{number}", f"request-{number}", PROMPT, (), max_tokens, 0, "model", None, None
        )
        return replace(first, **changes)

    def held_version(self, name):
        return self.client(name).read_state(5.0).unwrap().weight_version


def order(version, fence, sources):
    return EngineOrder((fence, version), "model", version, (), EngineRole.MIXED, tuple(sources))


def read_stream(stream):
    """Return the chunks of a stream and the failure that ended it, if any."""
    chunks = []
    for result in stream:
        if not isinstance(result, Success):
            return chunks, result.failure()
        chunks.append(result.unwrap())
    return chunks, None


def tokens_of(chunks):
    return tuple(token for chunk in chunks for token in chunk.tokens)
