"""State machine: racing operators, lost answers and late requests, against a simple oracle.

Every write carries a tag of its own in the spec. The oracle is the store's history: a success
has taken effect exactly once, a refusal never, an unknown outcome at most once.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from bellweir.resources.interface import ResourceErrorKind
from support.memory_store import MemoryStore
from support.resource_node import ResourceNode

NAMES = st.just("north")
ACTIONS = st.integers(0, 4)
HAPPENINGS = st.integers(0, 4) | st.sampled_from(["land", "store down"])
BETWEEN = st.lists(st.lists(HAPPENINGS, max_size=3), max_size=5)
FATES = st.lists(st.sampled_from(["taken", "answer lost", "request lost", "late"]), max_size=4)


class OperatorsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.node = ResourceNode(self.store)
        self.resources = self.node.resources
        self.tags = 0
        self.outcomes = {}
        self.seen_versions = {}
        self.replaced = {}
        """Name and version that a replacement with a tag was meant for."""

    def _document(self, name, version=None):
        self.tags += 1
        metadata = {"name": name}
        if version is not None:
            metadata["resourceVersion"] = version
        return {"kind": "Policy", "metadata": metadata, "spec": {"model": f"tag-{self.tags}"}}

    def _record(self, document, outcome):
        self.outcomes[document["spec"]["model"]] = outcome
        if isinstance(outcome, Success):
            served = outcome.unwrap()
            self.seen_versions[served.name] = served.version

    def _create(self, name):
        document = self._document(name)
        self._record(document, self.resources.create(document))

    def _replace(self, name):
        version = self.seen_versions.get(name)
        if version is not None:
            document = self._document(name, version)
            self.replaced[document["spec"]["model"]] = (name, version)
            self._record(document, self.resources.replace(document))

    def _patch(self, name):
        document = self._document(name)
        outcome = self.resources.patch("Policy", name, {"spec": document["spec"]})
        self._record(document, outcome)

    def _status(self, name):
        self.tags += 1
        condition = {"type": "Ready", "status": True, "message": str(self.tags)}
        self.resources.report_status("Policy", name, {"conditions": [condition]})

    def _delete(self, name):
        self.resources.delete("Policy", name, self.seen_versions.get(name))

    def _operator(self, what, name):
        actions = [self._create, self._replace, self._patch, self._status, self._delete]
        actions[what](name)

    @rule(what=ACTIONS, name=NAMES)
    def operator_acts(self, what, name):
        self._operator(what, name)

    @rule(what=ACTIONS, name=NAMES, between=BETWEEN, fates=FATES)
    def operators_race(self, what, name, between, fates):
        """Things happen between the calls that one operator's write makes to the store."""
        self.store.fates = fates
        self.store.interruptions = [lambda some=some: self._happen(some, name) for some in between]
        self._operator(what, name)
        self.store.interruptions = []
        self.store.fates = []
        self.store.down = False

    def _happen(self, happenings, name):
        for happening in happenings:
            if happening == "land":
                self.store.land()
            elif happening == "store down":
                self.store.down = True
            else:
                self._operator(happening, name)

    @initialize()
    def create_first(self):
        self._create("north")

    @rule()
    def land(self):
        self.store.land()

    @rule(lagging=st.booleans())
    def configuration_lags(self, lagging):
        self.node.configuration.lagging = lagging
        self.node.configuration.follow()

    def _effects(self, tag):
        """How often a write with this tag took effect: versions whose predecessor lacked it."""
        count = 0
        for before, after in zip(self.store.history, self.store.history[1:], strict=False):
            for key, stored in after.items():
                old = before.get(key)
                had = old is not None and old.document["spec"]["model"] == tag
                count += stored.document["spec"]["model"] == tag and not had
        return count

    @invariant()
    def outcomes_are_true(self):
        for tag, outcome in self.outcomes.items():
            effects = self._effects(tag)
            if isinstance(outcome, Success):
                assert effects == 1, f"{tag} succeeded and took effect {effects} times"
            elif outcome.failure().kind is ResourceErrorKind.UNKNOWN:
                assert effects <= 1, f"{tag} is unknown and took effect {effects} times"
            else:
                assert effects == 0, f"{tag} got {outcome.failure()} and took effect"

    @invariant()
    def no_update_is_lost(self):
        """A replacement overwrote just what its operator had seen, status aside."""
        for tag, (name, version) in self.replaced.items():
            key = ("Policy", name)
            for before, after in zip(self.store.history, self.store.history[1:], strict=False):
                new, old = after.get(key), before.get(key)
                taken = new is not None and new.document["spec"]["model"] == tag
                if taken and (old is None or old.document["spec"]["model"] != tag):
                    seen = self.store.history[version][key].document
                    assert old.document["spec"] == seen["spec"], f"{tag} overwrote another's"
                    generations = [each["metadata"]["generation"] for each in (old.document, seen)]
                    assert generations[0] == generations[1], f"{tag} overwrote another's"

    @invariant()
    def generations_count_specs(self):
        for before, after in zip(self.store.history, self.store.history[1:], strict=False):
            for key in before.keys() & after.keys():
                old, new = before[key].document, after[key].document
                step = new["metadata"]["generation"] - old["metadata"]["generation"]
                assert step == (old["spec"] != new["spec"]), (old, new)

    def teardown(self):
        while self.store.underway:
            self.store.land()
        self.outcomes_are_true()
        self.node.close()
