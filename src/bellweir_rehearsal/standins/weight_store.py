"""Stand-in for the rate-limited weight store.

It sends no real weights: a fetch answers with a small manifest once the bytes it stands for
would have passed through the store's bandwidth, which all fetches share.
"""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from bellweir.clients.interface import ErrorKind, WeightManifest
from bellweir_rehearsal.standins.base import (
    LINES_TYPE,
    RefusalError,
    Request,
    Response,
    Standin,
    StandinOptions,
    StreamBody,
    json_response,
    line,
)
from bellweir_rehearsal.standins.runlog import Record

PROGRESS_PERIOD_S = 0.2


@dataclass(frozen=True)
class PublishedVersion:
    """A version in the store."""

    model: str
    version: int
    size_bytes: int = 16_000_000_000
    """16 GB: eight thousand million parameters of two bytes."""


@dataclass(frozen=True)
class WeightStoreOptions(StandinOptions):
    """Options of the weight store."""

    name: str = "weight-store"
    bytes_per_s: float = 5e9
    """Bandwidth that all fetches share, in bytes a second of model time."""
    time_scale: float = 1.0
    """Seconds of model time in one second of wall time."""
    maximum_fetches: int = 4
    """Fetches served at once; more are refused."""
    versions: tuple[PublishedVersion, ...] = ()


class WeightsPublished(Record, frozen=True, kw_only=True):
    """A version was put into the store."""

    model: str
    version: int


class WeightsFetched(Record, frozen=True, kw_only=True):
    """A fetch ended."""

    model: str
    version: int
    whole: bool


class FetchLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a fetch: progress, and the manifest at its end."""

    fetched_bytes: int = 0
    manifest: WeightManifest | None = None


class SharedBandwidth:
    """Divides a bandwidth over the transfers in hand."""

    def __init__(self, bytes_per_wall_s: float) -> None:
        self._bytes_per_wall_s = bytes_per_wall_s
        self._lock = threading.Lock()
        self._transfers = 0

    def transfer(self, size_bytes: int, stopping: threading.Event) -> Iterator[int]:
        """Yield the bytes moved so far until all are, at an equal share of the bandwidth."""
        with self._lock:
            self._transfers += 1
        try:
            moved = 0.0
            last_s = time.monotonic()
            while moved < size_bytes and not stopping.is_set():
                yield int(moved)
                rate = self._bytes_per_wall_s / max(1, self._transfers)
                stopping.wait(min(PROGRESS_PERIOD_S, (size_bytes - moved) / rate))
                now_s = time.monotonic()
                moved += (now_s - last_s) * rate
                last_s = now_s
        finally:
            with self._lock:
                self._transfers -= 1


class WeightStoreStandin(Standin):
    """The store: trainers `PUT`, engines `GET /weights/{model}/{version}`."""

    def __init__(self, options: WeightStoreOptions) -> None:
        super().__init__(options)
        self._bandwidth = SharedBandwidth(options.bytes_per_s * options.time_scale)
        self._fetches = threading.BoundedSemaphore(options.maximum_fetches)
        self._lock = threading.Lock()
        self._manifests: dict[tuple[str, int], WeightManifest] = {}
        for published in options.versions:
            self.publish(published)

    def publish(self, published: PublishedVersion) -> WeightManifest:
        """Put a version into the store."""
        checksum = checksum_of(published.model, published.version)
        manifest = WeightManifest(
            published.model, published.version, published.size_bytes, checksum
        )
        with self._lock:
            self._manifests[published.model, published.version] = manifest
        self.log.append(
            WeightsPublished(standin=self.name, model=published.model, version=published.version)
        )
        return manifest

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        match request.method, request.path.strip("/").split("/"):
            case "GET", ["manifests", model, version]:
                return json_response(self._find(model, version))
            case "GET", ["weights", model, version]:
                return self._fetch(self._find(model, version))
            case "PUT", ["weights", _, _]:
                published = msgspec.json.decode(request.body.read(), type=PublishedVersion)
                return json_response(self.publish(published))
        raise RefusalError(ErrorKind.INVALID, f"no {request.method} {request.path}")

    def _find(self, model: str, version: str) -> WeightManifest:
        with self._lock:
            found = self._manifests.get((model, int(version)))
        if found is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"no version {version} of {model}")
        return found

    def _fetch(self, manifest: WeightManifest) -> Response:
        if not self._fetches.acquire(blocking=False):
            raise RefusalError(ErrorKind.OVERLOADED, "too many fetches", 0.5)
        transfer = WeightTransfer(manifest, self._bandwidth, self.stopping)
        return Response(
            200,
            StreamBody(transfer.lines(), lambda: self._fetch_ended(transfer)),
            (LINES_TYPE,),
        )

    def _fetch_ended(self, transfer: "WeightTransfer") -> None:
        self._fetches.release()
        manifest = transfer.manifest
        self.log.append(
            WeightsFetched(
                standin=self.name,
                model=manifest.model,
                version=manifest.version,
                whole=transfer.whole,
            )
        )


class WeightTransfer:
    """One transfer of a version out of a store or an engine."""

    def __init__(
        self, manifest: WeightManifest, bandwidth: SharedBandwidth, stopping: threading.Event
    ) -> None:
        self.manifest = manifest
        self.whole = False
        self._bandwidth = bandwidth
        self._stopping = stopping

    def lines(self) -> Iterator[bytes]:
        """Yield lines of progress, and the manifest once all bytes have passed."""
        for moved in self._bandwidth.transfer(self.manifest.size_bytes, self._stopping):
            yield line(FetchLine(moved))
        if not self._stopping.is_set():
            self.whole = True
            yield line(FetchLine(self.manifest.size_bytes, self.manifest))


def checksum_of(model: str, version: int) -> str:
    """Return the checksum that a version's weights have."""
    return xxhash.xxh64_hexdigest(f"{model}\0{version}".encode())
