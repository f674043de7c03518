"""The resource service: reads from the configuration in force, compare-and-set writes."""

import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, ClassVar

from returns.result import Failure, Result, Success

from bellweir.configuration.history import (
    ConfigurationHistory,
    DocumentChange,
    DocumentInForce,
    HistoryCompactedError,
)
from bellweir.configuration.interface import Configuration
from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.platform.interface import ErrorKind, ObjectStore, PlatformClients, StoredObject
from bellweir.resources.documents import merge_patch, public_document
from bellweir.resources.interface import (
    ResourceChange,
    ResourceDocument,
    ResourceError,
    ResourceErrorKind,
    Resources,
)
from bellweir.resources.log_events import RESOURCE_DELETED, RESOURCE_WRITTEN
from bellweir.resources.models import KINDS, AnyResource
from bellweir.resources.preparation import Prepared, prepare
from bellweir.resources.references import reference_findings, users_of
from bellweir.resources.status import merged_status
from bellweir.resources.validation import invalid, parse
from bellweir.resources.writer import CompareAndSetWriter, conflict
from bellweir.settings.models import Settings

PATCH_ATTEMPTS = 6
"""Attempts at a patch or a status report that meets other writers."""
IN_FORCE_WAIT_S = 1.0
"""A write answers once it is in force on this node, or after this time, in seconds."""
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
        self._store: ObjectStore | None = None

    def start(self) -> None:
        """Look up the platform's store and the configuration."""
        registry = self._kernel.registry
        platform = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        self._configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        self._history = registry.find(names.CONFIGURATION, ConfigurationHistory)  # type: ignore[type-abstract]
        if self._settings.platform.object_api is not None:
            self._store = platform.object_store()

    def stop(self) -> None:
        """Nothing runs in the background."""

    # --- reads ---------------------------------------------------------------------------------

    def list_resources(
        self, kind: str
    ) -> Result[tuple[int, tuple[ResourceDocument, ...]], ResourceError]:
        """All resources of a kind in force."""
        if kind not in KINDS:
            return Failure(_no_kind(kind))
        if not self._in_force().is_ready():
            return Failure(_not_ready())
        revision, documents = self._documents().documents(kind)
        return Success((revision, tuple(_served(document) for document in documents)))

    def get(self, kind: str, name: str) -> Result[ResourceDocument, ResourceError]:
        """One resource in force."""
        if kind not in KINDS:
            return Failure(_no_kind(kind))
        if not self._in_force().is_ready():
            return Failure(_not_ready())
        document = self._documents().document(kind, name)
        return Failure(_not_found(kind, name)) if document is None else Success(_served(document))

    def watch(
        self, kind: str, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ResourceChange, ResourceError]]:
        """Changes of a kind after a revision as they come into force on this node."""
        if kind not in KINDS:
            yield Failure(_no_kind(kind))
            return
        deadline_s = time.monotonic() + timeout_s
        seen = from_revision
        while time.monotonic() < deadline_s:
            try:
                revision, changes = self._documents().changes_after(seen)
            except HistoryCompactedError as failure:
                yield Failure(ResourceError(ResourceErrorKind.COMPACTED, str(failure)))
                return
            for change in changes:
                if change.kind == kind:
                    yield Success(_served_change(change))
            seen = max(seen, revision)
            remaining_s = max(0.0, deadline_s - time.monotonic())
            self._documents().wait_for(seen + 1, min(WATCH_STEP_S, remaining_s))
            if self._kernel.executors.stopping.is_set():
                return

    # --- writes --------------------------------------------------------------------------------

    def create(
        self, document: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Create a resource."""
        return parse(document).bind(
            lambda resource: self._create(document, resource, dry_run=dry_run)
        )

    def replace(
        self, document: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Replace the version named in `metadata.resourceVersion`."""
        return parse(document).bind(
            lambda resource: self._replace(document, resource, dry_run=dry_run)
        )

    def patch(
        self, kind: str, name: str, merge: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result[ResourceDocument, ResourceError]:
        """Apply a merge patch; repeated on a newer version unless the patch names one."""
        if kind not in KINDS:
            return Failure(_no_kind(kind))
        named = merge.get("metadata", {}).get("resourceVersion") if _has_metadata(merge) else None

        def attempt(base: StoredObject) -> Result[ResourceDocument, ResourceError]:
            patched = merge_patch(base.document, merge)
            patched = merge_patch(patched, {"kind": kind, "metadata": {"name": name}})
            version = base.version if named is None else named
            patched["metadata"]["resourceVersion"] = version
            return self.replace(patched, dry_run=dry_run)

        return self._repeat(kind, name, attempt, once=named is not None)

    def delete(
        self, kind: str, name: str, version: int | None, *, dry_run: bool = False
    ) -> Result[int, ResourceError]:
        """Delete a resource that nothing in force names."""
        if kind not in KINDS:
            return Failure(_no_kind(kind))
        users = users_of(kind, name, self._in_force().current())
        if users:
            detail = f"{kind} {name} is in use by {len(users)} resource(s)"
            return Failure(ResourceError(ResourceErrorKind.IN_USE, detail, users))
        return self._base(kind, name).bind(
            lambda base: self._delete(base, version, dry_run=dry_run)
        )

    def report_status(
        self, kind: str, name: str, status: Mapping[str, Any]
    ) -> Result[ResourceDocument, ResourceError]:
        """Merge into a resource's status; nothing is written when that changes nothing."""

        def attempt(base: StoredObject) -> Result[ResourceDocument, ResourceError]:
            merged = merged_status(
                base.document.get("status", {}), status, self._kernel.clock.wall_s()
            )
            if merged == base.document.get("status", {}):
                return Success(_stored(base))
            written = {**base.document, "status": merged}
            return parse(_without_version(written)).bind(lambda _: self._put(written, base))

        return self._repeat(kind, name, attempt, once=False)

    # --- steps of a write ------------------------------------------------------------------------

    def _create(
        self, document: Mapping[str, Any], resource: AnyResource, *, dry_run: bool
    ) -> Result[ResourceDocument, ResourceError]:
        """Create where a first read finds nothing.

        The read also makes the refusal certain while the store is down: nothing was sent yet.
        """
        match self._base(resource.kind, resource.metadata.name):
            case Success(base):
                return Failure(conflict(base, document, None))
            case Failure(error) if error.kind is not ResourceErrorKind.NOT_FOUND:
                return Failure(error)
        return self._write(document, resource, None, dry_run=dry_run)

    def _replace(
        self, document: Mapping[str, Any], resource: AnyResource, *, dry_run: bool
    ) -> Result[ResourceDocument, ResourceError]:
        return self._base(resource.kind, resource.metadata.name).bind(
            lambda base: self._write(document, resource, base, dry_run=dry_run)
        )

    def _write(
        self,
        document: Mapping[str, Any],
        resource: AnyResource,
        base: StoredObject | None,
        *,
        dry_run: bool,
    ) -> Result[ResourceDocument, ResourceError]:
        findings = reference_findings(resource, self._in_force().current())
        if findings:
            return Failure(invalid(findings))
        match prepare(document, resource, base):
            case Failure(error):
                return Failure(error)
            case Success(prepared):
                return self._commit(prepared, base, dry_run=dry_run)
        raise AssertionError("a result is a success or a failure")

    def _commit(
        self, prepared: Prepared, base: StoredObject | None, *, dry_run: bool
    ) -> Result[ResourceDocument, ResourceError]:
        if base is not None and not prepared.changed:
            return Success(_stored(base))
        if dry_run:
            version = 0 if base is None else base.version
            document = public_document(prepared.document, version)
            return Success(ResourceDocument(prepared.kind, prepared.name, version, document))
        written = self._put(prepared.document, base)
        match written:
            case Success(served):
                emit(
                    RESOURCE_WRITTEN,
                    kind=served.kind,
                    name=served.name,
                    version=served.version,
                    generation=prepared.generation,
                    mutation="create" if base is None else "replace",
                )
        return written

    def _put(
        self, document: Mapping[str, Any], base: StoredObject | None
    ) -> Result[ResourceDocument, ResourceError]:
        if self._store is None:
            return Failure(_no_store())
        written = CompareAndSetWriter(self._store).put(document, base)
        match written:
            case Success(stored):
                self._in_force().wait_for(stored.version, IN_FORCE_WAIT_S)
        return written.map(_stored)

    def _delete(
        self, base: StoredObject, version: int | None, *, dry_run: bool
    ) -> Result[int, ResourceError]:
        if version is not None and version != base.version:
            detail = f"{base.kind} {base.name} is at version {base.version}, not {version}"
            return Failure(ResourceError(ResourceErrorKind.CONFLICT, detail))
        if self._store is None:
            return Failure(_no_store())
        if dry_run:
            return Success(base.version)
        deleted = CompareAndSetWriter(self._store).delete(base)
        match deleted:
            case Success(revision):
                emit(RESOURCE_DELETED, kind=base.kind, name=base.name, revision=revision)
                self._in_force().wait_for(revision, IN_FORCE_WAIT_S)
        return deleted

    def _base(self, kind: str, name: str) -> Result[StoredObject, ResourceError]:
        """The stored object as of now, read from the store itself."""
        if self._store is None:
            return Failure(_no_store())
        match self._store.get(kind, name):
            case Success(stored):
                return Success(stored)
            case Failure(failure) if failure.kind is ErrorKind.NOT_FOUND:
                return Failure(_not_found(kind, name))
            case Failure(failure):
                # A lost answer to a read loses nothing: no write has been sent yet.
                return Failure(ResourceError(ResourceErrorKind.UNAVAILABLE, failure.detail))
        raise AssertionError("a result is a success or a failure")

    def _repeat(
        self,
        kind: str,
        name: str,
        attempt: Callable[[StoredObject], Result[ResourceDocument, ResourceError]],
        *,
        once: bool,
    ) -> Result[ResourceDocument, ResourceError]:
        """Read, change and write, again from a newer version on a conflict."""
        for _ in range(1 if once else PATCH_ATTEMPTS):
            outcome = self._base(kind, name).bind(attempt)
            match outcome:
                case Failure(error) if error.kind is ResourceErrorKind.CONFLICT:
                    continue
                case _:
                    return outcome
        return outcome

    def _in_force(self) -> Configuration:
        if self._configuration is None:
            raise RuntimeError("the resource service has not started")
        return self._configuration

    def _documents(self) -> ConfigurationHistory:
        if self._history is None:
            raise RuntimeError("the resource service has not started")
        return self._history


def _has_metadata(merge: Mapping[str, Any]) -> bool:
    return isinstance(merge.get("metadata"), Mapping)


def _without_version(document: Mapping[str, Any]) -> dict[str, Any]:
    metadata = dict(document.get("metadata", {}))
    metadata.pop("resourceVersion", None)
    return {**document, "metadata": metadata}


def _served(document: DocumentInForce) -> ResourceDocument:
    public = public_document(document.document, document.version)
    return ResourceDocument(document.kind, document.name, document.version, public)


def _stored(stored: StoredObject) -> ResourceDocument:
    public = public_document(stored.document, stored.version)
    return ResourceDocument(stored.kind, stored.name, stored.version, public)


def _served_change(change: DocumentChange) -> ResourceChange:
    if change.document is not None:
        return ResourceChange(change.revision, _served(change.document), deleted=False)
    metadata = {"name": change.name, "resourceVersion": change.revision}
    document = {"kind": change.kind, "metadata": metadata}
    gone = ResourceDocument(change.kind, change.name, change.revision, document)
    return ResourceChange(change.revision, gone, deleted=True)


def _not_found(kind: str, name: str) -> ResourceError:
    return ResourceError(ResourceErrorKind.NOT_FOUND, f"there is no {kind} {name}")


def _no_kind(kind: str) -> ResourceError:
    return ResourceError(
        ResourceErrorKind.NOT_FOUND, f"there is no kind {kind}; kinds: {', '.join(KINDS)}"
    )


def _not_ready() -> ResourceError:
    return ResourceError(
        ResourceErrorKind.UNAVAILABLE, "no configuration has reached this node yet"
    )


def _no_store() -> ResourceError:
    return ResourceError(
        ResourceErrorKind.UNAVAILABLE, "the settings name no object API (platform.object_api)"
    )
