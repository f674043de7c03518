"""An object store in memory whose faults a test chooses."""

import copy

from returns.result import Failure, Success

from bellweir.platform.interface import (
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
        self.lose_answers = 0
        """Number of coming writes whose answer is lost after they took effect."""
        self.lose_requests = 0
        """Number of coming writes that are lost before they take effect."""
        self.delay_requests = 0
        """Number of coming writes whose answer is lost and that arrive later, with `land`."""
        self.underway = []
        self.before_write = []
        """Calls made right before coming writes: what another operator does in between."""

    @property
    def revision(self):
        return len(self.history) - 1

    def _failure(self, kind, detail=""):
        return Failure(PlatformError(kind, detail or kind.value))

    def _shown(self):
        return max(0, self.revision - self.lag)

    def list_objects(self):
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        shown = self._shown()
        return Success(ObjectList(shown, tuple(self.history[shown].values())))

    def watch(self, from_revision, timeout_s):
        if self.down:
            yield self._failure(ErrorKind.NOT_RUN)
            return
        if from_revision < self.compacted_to:
            yield self._failure(ErrorKind.COMPACTED)
            return
        for change in list(self.changes):
            if from_revision < change.revision <= self._shown():
                yield Success(change)

    def get(self, kind, name):
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        found = self.history[-1].get((kind, name))
        return self._failure(ErrorKind.NOT_FOUND) if found is None else Success(found)

    def put(self, document, expected_version, mutation_id):
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        if self._lost(lambda: self._put(document, expected_version)):
            return self._failure(ErrorKind.UNKNOWN)
        return self._put(document, expected_version)

    def _put(self, document, expected_version):
        key = (document["kind"], document["metadata"]["name"])
        found = self.history[-1].get(key)
        if (found.version if found else 0) != expected_version:
            return self._failure(ErrorKind.CONFLICT)
        stored = StoredObject(*key, self.revision + 1, copy.deepcopy(dict(document)))
        self._commit(ObjectChange(stored.version, stored, False), {**self.history[-1], key: stored})
        return self._answer(Success(stored))

    def delete(self, kind, name, expected_version):
        if self.down:
            return self._failure(ErrorKind.NOT_RUN)
        if self._lost(lambda: self._delete(kind, name, expected_version)):
            return self._failure(ErrorKind.UNKNOWN)
        return self._delete(kind, name, expected_version)

    def _delete(self, kind, name, expected_version):
        found = self.history[-1].get((kind, name))
        if found is None:
            return self._failure(ErrorKind.NOT_FOUND)
        if found.version != expected_version:
            return self._failure(ErrorKind.CONFLICT)
        rest = {key: value for key, value in self.history[-1].items() if key != (kind, name)}
        self._commit(ObjectChange(self.revision + 1, found, True), rest)
        return self._answer(Success(self.revision))

    def _lost(self, write):
        if self.before_write:
            self.before_write.pop()()
        if self.delay_requests:
            self.delay_requests -= 1
            self.underway.append(write)
            return True
        if self.lose_requests:
            self.lose_requests -= 1
            return True
        return False

    def land(self):
        """Let the oldest delayed write arrive."""
        if self.underway:
            self.underway.pop(0)()

    def _commit(self, change, state):
        self.changes.append(change)
        self.history.append(state)

    def _answer(self, answer):
        if self.lose_answers:
            self.lose_answers -= 1
            return self._failure(ErrorKind.UNKNOWN)
        return answer

    def compact(self):
        self.compacted_to = self.revision
        self.changes.clear()
