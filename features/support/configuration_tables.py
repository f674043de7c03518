"""Histories of a table, as the oracle of its properties."""

from hypothesis import strategies as st

from bellweir.configuration.messages import Change, TablePosition
from bellweir.configuration.table import ReplicatedTable, fingerprint

ENTRIES = st.sampled_from(["a", "b", "c"])
HISTORIES = st.lists(st.tuples(ENTRIES, st.none() | st.binary(max_size=2)), max_size=8)


def states_of(history):
    """The entries at each revision, from 0."""
    states = [{}]
    for revision, (name, document) in enumerate(history, start=1):
        state = dict(states[-1])
        state.pop(name, None)
        if document is not None:
            state[name] = Change("Kind", name, revision, document)
        states.append(state)
    return states


def position_of(states, revision):
    checksum = 0
    for change in states[revision].values():
        checksum ^= fingerprint(change)
    return TablePosition(revision, checksum)


def changes_between(history, after, upto):
    numbered = enumerate(history, start=1)
    return [
        Change("Kind", name, revision, document)
        for revision, (name, document) in numbered
        if after < revision <= upto
    ]


def loaded_table():
    table = ReplicatedTable()
    table.adopt(0, [])
    return table


def entries_of(table):
    return {name: change for (_, name), change in table.entries.items()}
