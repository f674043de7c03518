"""The resource service: reads from the configuration in force, compare-and-set writes."""

import threading
from collections.abc import Iterator, Mapping
from concurrent.futures import Future, wait
from typing import Any, ClassVar

from returns.result import Failure, Result, Success

from bellweir.clients.interface import PlatformClients
from bellweir.configuration.history import (
    ConfigurationHistory,
    DocumentChange,
    DocumentInForce,
    HistoryCompactedError,
)
from bellweir.configuration.interface import Configuration, RevisionCensus
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.resources.documents import public_document
from bellweir.resources.errors import no_kind, no_store, not_found, not_ready
from bellweir.resources.in_force import InForceReporter
from bellweir.resources.interface import (
    ResourceChange,
    ResourceDocument,
    ResourceError,
    ResourceErrorKind,
    Resources,
)
from bellweir.resources.models import KINDS
from bellweir.resources.retention import VersionRetention
from bellweir.resources.writes import ResourceWrites
from bellweir.settings.models import Settings

DUTIES_PERIOD_S = 0.25
"""Time between two looks at what is due for the cluster, in seconds."""
STOP_TIMEOUT_S = 8.0
WATCH_STEP_S = 0.5
"""Longest sleep of a watch before it looks whether its time is over, in seconds."""


class ResourcesService(Service, Resources):
    """Service `resources`."""

    name: ClassVar[str] = names.RESOURCES
    dependencies: ClassVar[tuple[str, ...]] = (names.PLATFORM, names.CONFIGURATION)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._configuration: Configuration | None = None
        self._history: ConfigurationHistory | None = None
        self._writes: ResourceWrites | None = None
        self._stopping = threading.Event()
        self._tasks: list[Future[None]] = []

    def start(self) -> None:
        """Look up the platform's store and the configuration."""
        registry = self._kernel.registry
        platform = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        self._configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        self._history = registry.find(names.CONFIGURATION, ConfigurationHistory)  # type: ignore[type-abstract]
        if self._settings.platform.object_api is None:
            return
        self._writes = ResourceWrites(
            platform.object_store(), self._configuration, self._kernel.clock
        )
        census = registry.find(names.CONFIGURATION, RevisionCensus)  # type: ignore[type-abstract]
        clock = self._kernel.clock
        reporter = InForceReporter(self._settings.node.name, census, self._history, self, clock)
        retention = VersionRetention(census, self._configuration, self, clock)
        task = self._kernel.executors.run_task(
            "resource-duties", lambda _: self._do_duties(reporter, retention)
        )
        self._tasks.append(task)

    def stop(self) -> None:
        """End the duties for the cluster."""
        self._stopping.set()
        wait(self._tasks, timeout=STOP_TIMEOUT_S)

    def _do_duties(self, reporter: InForceReporter, retention: VersionRetention) -> None:
        """What one node does for the cluster; each looks by itself whether it is this one."""
        while not self._stopping.is_set():
            reporter.look()
            retention.look()
            self._kernel.clock.wait(self._stopping, DUTIES_PERIOD_S)

    # --- reads ---------------------------------------------------------------------------------

    def list_resources(
        self, kind: str
    ) -> Result[tuple[int, tuple[ResourceDocument, ...]], ResourceError]:
        """All resources of a kind in force."""
        if kind not in KINDS:
            return Failure(no_kind(kind))
        if not self._in_force().is_ready():
            return Failure(not_ready())
        revision, documents = self._documents().documents(kind)
        return Success((revision, tuple(_served(document) for document in documents)))

    def get(self, kind: str, name: str) -> Result[ResourceDocument, ResourceError]:
        """One resource in force."""
        if kind not in KINDS:
            return Failure(no_kind(kind))
        if not self._in_force().is_ready():
            return Failure(not_ready())
        document = self._documents().document(kind, name)
        return Failure(not_found(kind, name)) if document is None else Success(_served(document))

    def watch(
        self, kind: str, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ResourceChange, ResourceError]]:
        """Changes of a kind after a revision as they come into force on this node."""
        if kind not in KINDS:
            yield Failure(no_kind(kind))
            return
        deadline_s = elapsed_s() + timeout_s
        seen = from_revision
        while elapsed_s() < deadline_s:
            try:
                revision, changes = self._documents().changes_after(seen)
            except HistoryCompactedError as failure:
                yield Failure(ResourceError(ResourceErrorKind.COMPACTED, str(failure)))
                return
            for change in changes:
                if change.kind == kind:
                    yield Success(_served_change(change))
            seen = max(seen, revision)
            remaining_s = max(0.0, deadline_s - elapsed_s())
            self._documents().wait_for(seen + 1, min(WATCH_STEP_S, remaining_s))
            if self._stopping.is_set():
                return

    # --- writes --------------------------------------------------------------------------------

    def create(
        self, document: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Create a resource."""
        return self._writer().bind(lambda writes: writes.create(document, dry_run=dry_run))

    def replace(
        self, document: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Replace the version named in `metadata.resourceVersion`."""
        return self._writer().bind(lambda writes: writes.replace(document, dry_run=dry_run))

    def patch(
        self, kind: str, name: str, merge: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Apply a merge patch; repeated on a newer version unless the patch names one."""
        return self._writer().bind(lambda writes: writes.patch(kind, name, merge, dry_run=dry_run))

    def delete(
        self, kind: str, name: str, version: int | None, *, dry_run: bool = False
    ) -> Result[int, ResourceError]:
        """Delete a resource that nothing names."""
        return self._writer().bind(
            lambda writes: writes.delete(kind, name, version, dry_run=dry_run)
        )

    def report_status(
        self, kind: str, name: str, status: Mapping[str, Any], *, version: int | None = None
    ) -> Result[ResourceDocument, ResourceError]:
        """Merge into a resource's status; nothing is written when that changes nothing."""
        return self._writer().bind(
            lambda writes: writes.report_status(kind, name, status, version=version)
        )

    def _writer(self) -> Result[ResourceWrites, ResourceError]:
        return Failure(no_store()) if self._writes is None else Success(self._writes)

    def _in_force(self) -> Configuration:
        if self._configuration is None:
            raise RuntimeError("the resource service has not started")
        return self._configuration

    def _documents(self) -> ConfigurationHistory:
        if self._history is None:
            raise RuntimeError("the resource service has not started")
        return self._history


def _served(document: DocumentInForce) -> ResourceDocument:
    public = public_document(document.document, document.version)
    return ResourceDocument(document.kind, document.name, document.version, public)


def _served_change(change: DocumentChange) -> ResourceChange:
    if change.document is not None:
        return ResourceChange(change.revision, _served(change.document), deleted=False)
    metadata = {"name": change.name, "resourceVersion": change.revision}
    document = {"kind": change.kind, "metadata": metadata}
    gone = ResourceDocument(change.kind, change.name, change.revision, document)
    return ResourceChange(change.revision, gone, deleted=True)
