"""State machine of the object API: writes with faults, held against a dictionary."""

import tempfile
from dataclasses import dataclass
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from bellweir.clients.interface import MUTATION_ANNOTATION, ErrorKind
from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin, ObjectWrite

KIND = "Policy"
NAMES = st.sampled_from(["a", "b", "c"])
EXPECTATIONS = st.sampled_from(["current", "create", "stale", "any"])
FAULTS = st.sampled_from(
    [None, None, FaultKind.ANSWER_LOST, FaultKind.ANSWER_CUT, FaultKind.DOWN, FaultKind.REFUSE]
)
WITHOUT_EFFECT = {FaultKind.DOWN, FaultKind.REFUSE}
LOSES_ANSWER = {FaultKind.ANSWER_LOST, FaultKind.ANSWER_CUT, FaultKind.DOWN}


@dataclass
class Stored:
    version: int
    mutation_id: str


class StoreMachine(RuleBasedStateMachine):
    """Every outcome must agree with what a dictionary says has happened."""

    @initialize()
    def begin(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "store.jsonl"
        self.objects = {}
        self.changes = []  # (revision, name, deleted)
        self.compacted_to = 0
        self.seen = 0
        self.mutations = 0
        self.open()

    def open(self):
        self.standin = ObjectApiStandin(ObjectApiOptions(data_path=self.path))
        self.standin.start()
        settings = PlatformSettings(object_api=self.standin.address)
        self.clients = HttpPlatformClients(settings)
        self.store = self.clients.object_store()

    def close(self):
        self.clients.close()
        self.standin.stop()

    def teardown(self):
        if hasattr(self, "store"):
            self.close()
            self.folder.cleanup()

    def expected_version(self, name, expectation):
        current = self.objects[name].version if name in self.objects else 0
        return {"current": current, "create": 0, "stale": current + 1, "any": None}[expectation]

    def matches(self, name, expected):
        current = self.objects[name].version if name in self.objects else 0
        return expected is None or expected == current

    def inject(self, fault, method):
        if fault is not None:
            self.standin.inject(FaultOrder(fault, duration_s=60.0, count=1, method=method))

    @rule(name=NAMES, expectation=EXPECTATIONS, fault=FAULTS)
    def put(self, name, expectation, fault):
        self.mutations += 1
        mutation_id = f"mutation-{self.mutations}"
        expected = self.expected_version(name, expectation)
        self.inject(fault, "PUT")
        document = {"kind": KIND, "metadata": {"name": name}}
        result = self.store.put(document, expected, mutation_id)
        self.standin.clear_faults()
        effect = fault not in WITHOUT_EFFECT and self.matches(name, expected)
        if effect:
            self.changed(name, deleted=False)
            self.objects[name] = Stored(len(self.changes), mutation_id)
        self.check_outcome(result, fault, effect)
        if isinstance(result, Success):
            assert result.unwrap().version == len(self.changes)
        else:
            self.check_read_back(name, mutation_id, effect)

    @rule(name=NAMES, expectation=st.sampled_from(["current", "stale"]), fault=FAULTS)
    def delete(self, name, expectation, fault):
        expected = self.expected_version(name, expectation)
        self.inject(fault, "DELETE")
        result = self.store.delete(KIND, name, expected)
        self.standin.clear_faults()
        present = name in self.objects
        effect = fault not in WITHOUT_EFFECT and present and self.matches(name, expected)
        if effect:
            self.changed(name, deleted=True)
            del self.objects[name]
        absent = not present and fault is None
        if absent:
            assert result.failure().kind is ErrorKind.NOT_FOUND
        elif present:
            self.check_outcome(result, fault, effect)

    def changed(self, name, *, deleted):
        self.changes.append((len(self.changes) + 1, name, deleted))

    def check_outcome(self, result, fault, effect):
        if fault in LOSES_ANSWER:
            assert result.failure().kind is ErrorKind.UNKNOWN, result
        elif fault is FaultKind.REFUSE:
            assert result.failure().kind is ErrorKind.OVERLOADED, result
        elif effect:
            assert isinstance(result, Success), result
        else:
            assert result.failure().kind is ErrorKind.CONFLICT, result

    def check_read_back(self, name, mutation_id, effect):
        found = self.store.get(KIND, name)
        took_effect = isinstance(found, Success) and (
            found.unwrap().document["metadata"]["annotations"][MUTATION_ANNOTATION] == mutation_id
        )
        assert took_effect == effect

    @rule()
    def watch(self):
        results = list(self.store.watch(self.seen, 0.0))
        if self.seen < self.compacted_to:
            assert results[-1].failure().kind is ErrorKind.COMPACTED
            self.seen = self.store.list_objects().unwrap().revision
            return
        changes = [result.unwrap() for result in results]
        observed = [(change.revision, change.stored.name, change.deleted) for change in changes]
        assert observed == self.changes[self.seen :]
        self.seen = len(self.changes)

    @rule()
    def compact(self):
        self.standin.inject(FaultOrder(FaultKind.COMPACT))
        self.compacted_to = len(self.changes)

    @rule()
    def restart(self):
        self.check_log()
        self.close()
        self.open()
        self.compacted_to = 0
        self.logged_before = len(self.changes)

    def check_log(self):
        first = getattr(self, "logged_before", 0)
        logged = self.standin.log.records(ObjectWrite)
        assert [record.version for record in logged] == list(
            range(first + 1, len(self.changes) + 1)
        )

    @invariant()
    def list_agrees(self):
        if not hasattr(self, "store"):
            return
        listed = self.store.list_objects().unwrap()
        assert listed.revision == len(self.changes)
        assert {found.name: found.version for found in listed.objects} == {
            name: stored.version for name, stored in self.objects.items()
        }
