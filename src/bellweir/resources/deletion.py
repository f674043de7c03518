"""Deletion of what others may name: marked first, checked again, then deleted.

The store changes one object at a time, so a check for users and the deletion are two steps.
The mark makes them safe: with the mark in force on this node, every write that names the
resource and came before the mark is in force here too and is seen; every one that comes later
sees the mark (`writes`). A mark left behind by a deletion that ended halfway expires by itself.
"""

from returns.result import Failure, Result

from bellweir.clients.interface import StoredObject
from bellweir.configuration.interface import Configuration
from bellweir.kernel.clock import Clock
from bellweir.resources.documents import DELETING_ANNOTATION, as_system_write
from bellweir.resources.interface import ResourceError, ResourceErrorKind
from bellweir.resources.references import in_use, users_of
from bellweir.resources.writer import CompareAndSetWriter

MARK_LASTS_S = 60.0
"""How long a mark holds writers off; far longer than a deletion may take, in seconds."""
MARK_IN_FORCE_WAIT_S = 5.0
LONGEST_DELETION_S = 20.0
"""A deletion that was held up for longer after its mark gives up, in seconds."""
NAMED_KINDS = ("Policy", "WeightVersion")
"""Kinds that other resources name."""


class Deletion:
    """One deletion."""

    def __init__(
        self, writer: CompareAndSetWriter, configuration: Configuration, clock: Clock
    ) -> None:
        self._writer = writer
        self._configuration = configuration
        self._clock = clock

    def run(self, base: StoredObject) -> Result[int, ResourceError]:
        """Delete the version `base`, or say why not; the success is a store revision."""
        if base.kind not in NAMED_KINDS:
            return self._writer.delete(base)
        started_s = self._clock.monotonic_s()
        return self._mark(base).bind(lambda marked: self._delete_marked(base, marked, started_s))

    def _mark(self, base: StoredObject) -> Result[StoredObject, ResourceError]:
        metadata = dict(base.document["metadata"])
        until_s = f"{self._clock.wall_s() + MARK_LASTS_S:.0f}"
        metadata["annotations"] = {**metadata.get("annotations", {}), DELETING_ANNOTATION: until_s}
        marked = as_system_write({**base.document, "metadata": metadata}, base)
        return self._writer.put(marked, base)

    def _delete_marked(
        self, base: StoredObject, marked: StoredObject, started_s: float
    ) -> Result[int, ResourceError]:
        refusal = self._refusal(marked, started_s)
        if refusal is None:
            return self._writer.delete(marked)
        # Best effort: an unfinished mark expires.
        self._writer.put(as_system_write(base.document, marked), marked)
        return Failure(refusal)

    def _refusal(self, marked: StoredObject, started_s: float) -> ResourceError | None:
        if not self._configuration.wait_for(marked.version, MARK_IN_FORCE_WAIT_S):
            detail = "the deletion's mark is not in force on this node in time; nothing is deleted"
            return ResourceError(ResourceErrorKind.UNAVAILABLE, detail)
        users = users_of(marked.kind, marked.name, self._configuration.current())
        if users:
            return in_use(marked.kind, marked.name, users)
        if self._clock.monotonic_s() - started_s > LONGEST_DELETION_S:
            detail = "the deletion was held up for too long; nothing is deleted"
            return ResourceError(ResourceErrorKind.UNAVAILABLE, detail)
        return None
