"""An object store in memory whose faults a test chooses."""

import copy

from returns.result import Failure, Success

from bellweir.clients.interface import (
    ErrorKind,
    ObjectChange,
    ObjectList,
    ObjectStore,
    PlatformError,
    StoredObject,
)


class MemoryStore(ObjectStore):
    """Versions and compare-and-set; reads may lag, answers may be lost."""

    def __init__(self):
        self.history = [{}]
        """State of the store at each revision."""
        self.changes = []
        self.compacted_to = 0
        self.lag = 0
        """Revisions by which lists and watches lag."""
        self.down = False
        self.fates = []
        """What becomes of the coming writes, last one first: `taken`, `answer lost`,
        `request lost`, or `late`: the answer is lost and the write arrives with `land`."""
        self.underway = []
        self.interruptions = []
        """Calls made before the coming calls, last one first: what happens in between."""

    @property
    def revision(self):
        return len(self.history) - 1

    def _failure(self, kind, detail=""):
        return Failure(PlatformError(kind, detail or kind.value))

    def _shown(self):
        return max(0, self.revision - self.lag)

    def _interrupted(self):
        if self.interruptions:
            self.interruptions.pop()()

    def list_objects(self):
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        shown = self._shown()
        listing = ObjectList(shown, tuple(self.history[shown].values()))
        self._interrupted()
        return Success(listing)

    def watch(self, from_revision, timeout_s):
        if self.down:
            yield self._failure(ErrorKind.NOT_RUN)
            return
        if from_revision < self.compacted_to:
            yield self._failure(ErrorKind.COMPACTED)
            return
        for change in list(self.changes):
            if from_revision < change.revision <= self._shown():
                self._interrupted()
                yield Success(change)

    def get(self, kind, name):
        self._interrupted()
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        found = self.history[-1].get((kind, name))
        return self._failure(ErrorKind.NOT_FOUND) if found is None else Success(found)

    def put(self, document, expected_version, mutation_id):
        return self._write(lambda: self._put(document, expected_version))

    def delete(self, kind, name, expected_version):
        return self._write(lambda: self._delete(kind, name, expected_version))

    def _write(self, write):
        self._interrupted()
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        fate = self.fates.pop() if self.fates else "taken"
        if fate == "late":
            self.underway.append(write)
        answer = write() if fate in ("taken", "answer lost") else None
        return answer if fate == "taken" else self._failure(ErrorKind.UNKNOWN)

    def land(self):
        """Let the oldest late write arrive."""
        if self.underway:
            self.underway.pop(0)()

    def overwrite(self, document):
        """Write over whatever version there is, without interruption."""
        found = self.history[-1].get((document["kind"], document["metadata"]["name"]))
        self._put(document, found.version if found else 0).unwrap()

    def _put(self, document, expected_version):
        key = (document["kind"], document["metadata"]["name"])
        found = self.history[-1].get(key)
        if (found.version if found else 0) != expected_version:
            return self._failure(ErrorKind.CONFLICT)
        stored = StoredObject(*key, self.revision + 1, copy.deepcopy(dict(document)))
        self._commit(ObjectChange(stored.version, stored, False), {**self.history[-1], key: stored})
        return Success(stored)

    def _delete(self, kind, name, expected_version):
        found = self.history[-1].get((kind, name))
        if found is None:
            return self._failure(ErrorKind.NOT_FOUND)
        if found.version != expected_version:
            return self._failure(ErrorKind.CONFLICT)
        rest = {key: value for key, value in self.history[-1].items() if key != (kind, name)}
        self._commit(ObjectChange(self.revision + 1, found, True), rest)
        return Success(self.revision)

    def _commit(self, change, state):
        self.changes.append(change)
        self.history.append(state)

    def compact(self):
        self.compacted_to = self.revision
        self.changes.clear()
