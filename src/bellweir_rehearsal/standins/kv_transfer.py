"""Export and import of a prompt's KV cache between engine stand-ins."""

import threading

import msgspec

from bellweir.clients.interface import ErrorKind
from bellweir_rehearsal.standins.base import RefusalError
from bellweir_rehearsal.standins.engine_options import KV_BYTES_PER_TOKEN
from bellweir_rehearsal.standins.engine_weights import Held
from bellweir_rehearsal.standins.prefix_cache import TOKENS_PER_BLOCK, PrefixCache, block_hashes
from bellweir_rehearsal.standins.weight_store import SharedBandwidth


class KvExportCall(msgspec.Struct, frozen=True):
    """Asks for the cached keys and values of a prompt."""

    prompt: str


class KvCacheCopy(msgspec.Struct, frozen=True):
    """Cached blocks of a prompt; good only for the weights that computed them."""

    model: str
    weight_version: int | None
    block_hashes: tuple[int, ...]


class KvImportAnswer(msgspec.Struct, frozen=True):
    """What an import has stored."""

    tokens: int


class KvTransfer:
    """Exports and imports blocks of one engine's prefix cache."""

    def __init__(
        self, cache: PrefixCache, bandwidth: SharedBandwidth, stopping: threading.Event
    ) -> None:
        self._cache = cache
        self._bandwidth = bandwidth
        self._stopping = stopping

    def export(self, call: KvExportCall, held: Held) -> KvCacheCopy:
        """Return the blocks of the prompt that are cached here."""
        hashes = block_hashes(call.prompt)
        cached = self._cache.match(hashes) // TOKENS_PER_BLOCK
        return KvCacheCopy(held.model, held.weight_version, hashes[:cached])

    def take_in(self, copy: KvCacheCopy, held: Held) -> KvImportAnswer:
        """Store blocks once their bytes have passed; refused for other weights."""
        if (copy.model, copy.weight_version) != (held.model, held.weight_version):
            raise RefusalError(ErrorKind.NOT_RUN, "computed with other weights")
        tokens = len(copy.block_hashes) * TOKENS_PER_BLOCK
        for _ in self._bandwidth.transfer(tokens * KV_BYTES_PER_TOKEN, self._stopping):
            pass
        self._cache.store(copy.block_hashes)
        return KvImportAnswer(tokens)
