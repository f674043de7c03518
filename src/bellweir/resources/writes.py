"""Writes of resources: checked against the configuration in force, then by compare-and-set."""

from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ErrorKind, ObjectStore, StoredObject
from bellweir.configuration.interface import Configuration
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.resources.deletion import Deletion
from bellweir.resources.documents import as_system_write, merge_patch, public_document
from bellweir.resources.errors import no_kind, not_found, not_ready
from bellweir.resources.interface import ResourceDocument, ResourceError, ResourceErrorKind
from bellweir.resources.log_events import RESOURCE_DELETED, RESOURCE_WRITTEN
from bellweir.resources.models import KINDS, AnyResource
from bellweir.resources.preparation import Prepared, is_current, prepare
from bellweir.resources.references import in_use, reference_findings, refers, users_of
from bellweir.resources.status import merged_status
from bellweir.resources.validation import invalid, parse
from bellweir.resources.writer import CompareAndSetWriter, conflict

PATCH_ATTEMPTS = 6
"""Attempts at a patch or a status report that meets other writers."""
IN_FORCE_WAIT_S = 1.0
"""A write answers once it is in force on this node, or after this time, in seconds."""
REFERENCE_WAIT_S = 5.0
"""The same for a write that names other resources, which are checked once more then."""

Written = Result[ResourceDocument, ResourceError]


class ResourceWrites:
    """The writing half of the resource service."""

    def __init__(self, store: ObjectStore, configuration: Configuration, clock: Clock) -> None:
        self._store = store
        self._writer = CompareAndSetWriter(store)
        self._configuration = configuration
        self._clock = clock

    def create(self, document: Mapping[str, Any], *, dry_run: bool) -> Written:
        """Create a resource; a conflict when it exists."""
        return parse(document).bind(
            lambda resource: self._create(document, resource, dry_run=dry_run)
        )

    def replace(self, document: Mapping[str, Any], *, dry_run: bool) -> Written:
        """Replace the version named in `metadata.resourceVersion`."""
        return parse(document).bind(
            lambda resource: self._base(resource.kind, resource.metadata.name).bind(
                lambda base: self._write(document, resource, base, dry_run=dry_run)
            )
        )

    def patch(self, kind: str, name: str, merge: Mapping[str, Any], *, dry_run: bool) -> Written:
        """Apply a merge patch; repeated on a newer version unless the patch names one."""
        if kind not in KINDS:
            return Failure(no_kind(kind))
        metadata = merge.get("metadata")
        named = metadata.get("resourceVersion") if isinstance(metadata, Mapping) else None

        def attempt(base: StoredObject) -> Written:
            patched = merge_patch(base.document, merge)
            patched = merge_patch(patched, {"kind": kind, "metadata": {"name": name}})
            patched["metadata"]["resourceVersion"] = base.version if named is None else named
            return parse(patched).bind(
                lambda resource: self._write(patched, resource, base, dry_run=dry_run)
            )

        return self._repeat(kind, name, attempt, once=named is not None)

    def delete(
        self, kind: str, name: str, version: int | None, *, dry_run: bool
    ) -> Result[int, ResourceError]:
        """Delete a resource that nothing names."""
        if kind not in KINDS:
            return Failure(no_kind(kind))
        if not self._configuration.is_ready():
            return Failure(not_ready())
        users = users_of(kind, name, self._configuration.current())
        if users:
            return Failure(in_use(kind, name, users))
        deleted: Result[int, ResourceError] = Failure(not_found(kind, name))
        for _ in range(1 if version is not None else PATCH_ATTEMPTS):
            deleted = self._base(kind, name).bind(
                lambda base: self._delete(base, version, dry_run=dry_run)
            )
            match deleted:
                case Failure(error) if error.kind is ResourceErrorKind.CONFLICT:
                    # Without a named version, a report of status in between is no obstacle.
                    continue
            break
        return deleted

    def report_status(
        self, kind: str, name: str, status: Mapping[str, Any], *, version: int | None
    ) -> Written:
        """Merge into a resource's status; nothing is written when that changes nothing."""

        def attempt(base: StoredObject) -> Written:
            if version is not None and base.version != version:
                return Failure(conflict(base, base.document, version))
            before = base.document.get("status", {})
            merged = merged_status(before, status, self._clock.wall_s())
            if merged == before:
                return Success(_served(base))
            written = as_system_write({**base.document, "status": merged}, base)
            return parse(written).bind(lambda _: self._put(written, base, IN_FORCE_WAIT_S))

        return self._repeat(kind, name, attempt, once=version is not None)

    # --- steps ---------------------------------------------------------------------------------

    def _create(
        self, document: Mapping[str, Any], resource: AnyResource, *, dry_run: bool
    ) -> Written:
        """Create where a first read finds nothing.

        The read also makes the refusal certain while the store is down: nothing was sent yet.
        """
        match self._base(resource.kind, resource.metadata.name):
            case Success(base):
                return Failure(conflict(base, document, None))
            case Failure(error) if error.kind is not ResourceErrorKind.NOT_FOUND:
                return Failure(error)
        return self._write(document, resource, None, dry_run=dry_run)

    def _write(
        self,
        document: Mapping[str, Any],
        resource: AnyResource,
        base: StoredObject | None,
        *,
        dry_run: bool,
    ) -> Written:
        if not self._configuration.is_ready():
            return Failure(not_ready())
        findings = self._missing(resource)
        if findings:
            return Failure(invalid(findings))
        match prepare(document, resource, base):
            case Failure(error):
                return Failure(error)
            case Success(prepared):
                return self._commit(prepared, resource, base, dry_run=dry_run)
        raise AssertionError("a result is a success or a failure")

    def _commit(
        self,
        prepared: Prepared,
        resource: AnyResource,
        base: StoredObject | None,
        *,
        dry_run: bool,
    ) -> Written:
        if base is not None and not prepared.changed:
            return Success(_served(base))
        if dry_run:
            version = 0 if base is None else base.version
            document = public_document(prepared.document, version)
            return Success(ResourceDocument(prepared.kind, prepared.name, version, document))
        if not refers(resource):
            written = self._put(prepared.document, base, IN_FORCE_WAIT_S)
        else:
            written = self._put(prepared.document, base, REFERENCE_WAIT_S).bind(
                lambda served: self._check_again(served, prepared, resource, base)
            )
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

    def _check_again(
        self,
        served: ResourceDocument,
        prepared: Prepared,
        resource: AnyResource,
        base: StoredObject | None,
    ) -> Written:
        """Take a write back that names what was being deleted when it came into force.

        The first check and the write are two steps, and a deletion may have begun in between.
        Whoever deletes marks the resource first and looks for users once the mark is in force;
        the write that comes later than the mark sees it here. See docs/design/resources.md.
        """
        findings = self._missing(resource)
        if not findings:
            return Success(served)
        written = StoredObject(served.kind, served.name, served.version, prepared.document)
        taken_back = self._take_back(written, prepared, base)
        if isinstance(taken_back, Failure):
            detail = "what it names is being deleted, and it could not be taken back"
            return Failure(ResourceError(ResourceErrorKind.UNKNOWN, detail, findings))
        return Failure(invalid(findings))

    def _take_back(
        self, written: StoredObject, prepared: Prepared, base: StoredObject | None
    ) -> Result[Any, ResourceError]:
        if base is None:
            return self._writer.delete(written)
        metadata = {**base.document["metadata"], "generation": prepared.generation + 1}
        return self._writer.put({**base.document, "metadata": metadata}, written)

    def _missing(self, resource: AnyResource) -> tuple[Any, ...]:
        snapshot = self._configuration.current()
        return reference_findings(resource, snapshot, self._clock.wall_s())

    def _put(
        self, document: Mapping[str, Any], base: StoredObject | None, wait_s: float
    ) -> Written:
        written = self._writer.put(document, base)
        match written:
            case Success(stored):
                self._configuration.wait_for(stored.version, wait_s)
        return written.map(_served)

    def _delete(
        self, base: StoredObject, version: int | None, *, dry_run: bool
    ) -> Result[int, ResourceError]:
        if version is not None and not is_current(version, base):
            detail = f"{base.kind} {base.name} is at version {base.version}, not {version}"
            return Failure(ResourceError(ResourceErrorKind.CONFLICT, detail))
        if dry_run:
            return Success(base.version)
        deleted = Deletion(self._writer, self._configuration, self._clock).run(base)
        match deleted:
            case Success(revision):
                emit(RESOURCE_DELETED, kind=base.kind, name=base.name, revision=revision)
                self._configuration.wait_for(revision, IN_FORCE_WAIT_S)
        return deleted

    def _base(self, kind: str, name: str) -> Result[StoredObject, ResourceError]:
        """The stored object as of now, read from the store itself."""
        match self._store.get(kind, name):
            case Success(stored):
                return Success(stored)
            case Failure(failure) if failure.kind is ErrorKind.NOT_FOUND:
                return Failure(not_found(kind, name))
            case Failure(failure):
                # A lost answer to a read loses nothing: no write has been sent yet.
                return Failure(ResourceError(ResourceErrorKind.UNAVAILABLE, failure.detail))
        raise AssertionError("a result is a success or a failure")

    def _repeat(
        self, kind: str, name: str, attempt: Callable[[StoredObject], Written], *, once: bool
    ) -> Written:
        """Read, change and write, again from a newer version on a conflict."""
        for _ in range(1 if once else PATCH_ATTEMPTS):
            outcome = self._base(kind, name).bind(attempt)
            match outcome:
                case Failure(error) if error.kind is ResourceErrorKind.CONFLICT:
                    continue
                case _:
                    return outcome
        return outcome


def _served(stored: StoredObject) -> ResourceDocument:
    public = public_document(stored.document, stored.version)
    return ResourceDocument(stored.kind, stored.name, stored.version, public)
