"""Odd entries beside valid ones: read from lists and watches, relayed to peers and used."""

import json
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then
from features.steps.hosted_entries_steps import (
    INVALID_NAME,
    VALID_NAMES,
    event_text,
    events_body,
    known,
    list_body,
    store_answering,
    stored,
    text_of,
    valid_texts,
)
from features.steps.hosted_views_steps import entry
from features.support.hosted_gateway import GatewayUnderTest
from hypothesis import given, settings
from returns.result import Failure

from bellweir.clients.interface import ErrorKind
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.hosted.crashes.worker_ends import ProbeResult, probe
from bellweir.hosted.eligibility.cold_workers import ColdWorkers
from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.entries import EntryValidator, invalid_reason
from bellweir.hosted.interface import Listing, RecordKind, StoredRecord
from bellweir.hosted.validating_store import ValidatingStore
from bellweir.hosted.views.follower import WATCH_DELIVERY_TIMEOUT_S, KindFollower
from bellweir.hosted.views.kind_state import KindState
from bellweir.hosted.views.peer_copy import ViewsAnswer
from bellweir.hosted.views.relay import ViewsNews
from bellweir.hosted.views.workers import WorkersView
from bellweir.kernel.clock import elapsed_s
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, decode_struct, encode_struct
from bellweir_rehearsal.hosted.worker import WorkerStandIn

MARK = "odd value"
LIST_REVISION = 20
PLACES = (
    *[("spec", field) for field in ("service", "address", "zone", "slots", "state")],
    *[("spec", field) for field in ("version", "coldLeftMs", "seq", "born", "stage", "models")],
    ("spec", "unknown"),
    ("spec",),
    ("status",),
    ("status", "unknown"),
    ("metadata",),
    ("metadata", "name"),
    ("metadata", "revision"),
    ("metadata", "finalizers"),
    ("unknown",),
)
NUMBERS = (
    *["9" * digits for digits in (16, 19, 20, 30, 100, 308, 400, 4_300, 5_000, 100_000)],
    *["-" + "9" * digits for digits in (19, 20, 400, 5_000)],
    *[str(2**bits + more) for bits in (31, 63, 64) for more in (-1, 0)],
    *["1e400", "-1e400", "1e5000000", "1.7976931348623157e308", "1e300", "1e18", "1e-400"],
    *["-0", "-0.0", "-1", "0", "0.5", "NaN", "Infinity", "-Infinity", "01", "1e", "0x10"],
)
DEPTHS = (10, 1_000, 10_000, 50_000, 500_000)
"""The last fills the megabyte that the platform's store takes for an entry."""
HOWS = ("list", "watch", "again", "deletion")
"""How a follower reads an odd entry; `again` by a list, then by a watch."""

ODD_ADDRESSES = (
    *[f"127.0.0.1:{port}" for port in ("0", "-1", "65536", "99999", "9" * 20, "x", "", "+80")],
    *["127.0.0.1:" + "0" * 5 + "1" + "9" * digits for digits in (4, 5, 20, 5_000)],
    *["127.0.0.1: 80", "127.0.0.1:8 0", "127.0.0.1:8_0", "127.0.0.1:\u0661", "127.0.0.1:\u00b2"],
    *["127.0.0.1:80\r\nX: y", "127.0.0.1\r\nX: y:80", "127.0.0.1\x00:80", "127.0.0.1\t:80"],
    *[":80", "80", "", "a..b:80", ".a:80", "x" * 64 + ":80", "x" * 10_000 + ":80"],
    *["\u00fc" * 70 + ":80", "\u06f1:80", "a@127.0.0.1:80", "http://127.0.0.1:80", "a/b:80"],
    *["a?b:80", "a#b:80", "a\\b:80", "[::1:80", "::1]:80", "[]:80", "[[::1]]:80", "a\u00a0:80"],
)
SOUND_ADDRESSES = ("127.0.0.1:1", "10.1.0.38:65535", "h:80", "a-b.c_d.example:80", "[::1]:80")
CALL_TIMEOUT_S = 0.3


def nested_text(depth, *, is_object):
    opening, closing = ('{"a":', "}") if is_object else ("[", "]")
    return opening * depth + "1" + closing * depth


ODD_TEXTS = st.sampled_from(NUMBERS) | st.builds(
    nested_text, st.integers(1, 60) | st.sampled_from((399, 401, 900)), is_object=st.booleans()
)


def odd_entry(place, text):
    """The text of a worker's entry with a JSON text in one place."""
    plain = stored(INVALID_NAME, 4, entry(INVALID_NAME))
    inner = plain
    for key in place[:-1]:
        if not isinstance(inner.get(key), dict):
            inner[key] = {}
        inner = inner[key]
    inner[place[-1]] = MARK
    return text_of(plain).replace(json.dumps(MARK).encode(), text.encode())


def followed(odd, how):
    """Follow a store with an odd entry by a list or a watch; return the follower and its view."""
    if how == "list":
        bodies = [list_body([*valid_texts(), odd], at=LIST_REVISION)]
    elif how == "again":
        events = [event_text(each) for each in (odd, *valid_texts())]
        bodies = [list_body([odd], at=5), events_body(events, at=LIST_REVISION)]
        bodies.append(list_body([*valid_texts(), odd], at=LIST_REVISION))
    else:
        former = text_of(stored(INVALID_NAME, 4, entry(INVALID_NAME)))
        event = event_text(odd, b"true" if how == "deletion" else b"false")
        events = [event, *[event_text(each) for each in valid_texts()]]
        again = list_body([*valid_texts(), former], at=LIST_REVISION)
        bodies = [list_body([former], at=5), events_body(events, at=LIST_REVISION), again]
    view, cold = WorkersView(), ColdWorkers(EvacuatedZones())

    def on_list(listing):
        view.apply_listing(listing)
        cold.apply_listing(listing)

    def on_change(change):
        view.apply_change(change)
        cold.apply_change(change)

    validator = EntryValidator()
    store = ValidatingStore(store_answering(*bodies), validator)
    follower = KindFollower(store, RecordKind.WORKERS, on_list, on_change, entries=validator)
    stopping = SimpleNamespace(wait=lambda _s: False, is_set=lambda: False)
    for number in range(len(bodies)):
        if number < 2 or follower._revision is None:
            assert follower._step(stopping) is None, "the list or watch was not read"
    return follower, view


def over_the_wire(message):
    """A message as a peer decodes it from the frame that it is sent in."""
    codec = MessageCodec()
    frame = decode_struct(encode_struct(OneWay(0, codec.to_plain(message))), OneWay)
    return codec.from_plain(frame.body)


def check_others_reach_peers(odd, how):
    follower, view = followed(odd, how)
    assert set(VALID_NAMES) <= known(view)
    for base in (None, 5):
        peer = WorkersView()
        state = KindState(RecordKind.WORKERS, peer.apply_listing, peer.apply_change)
        if base is not None:
            former = StoredRecord(RecordKind.WORKERS, INVALID_NAME, 4, entry(INVALID_NAME))
            state.apply_listing(Listing(base, (former,)), 0.0)
        news = ViewsNews((follower.state.update_since(base, 1.0),))
        for update in over_the_wire(news).kinds:
            assert state.apply_update(update, 1.0)
        assert known(peer) >= set(VALID_NAMES)
        assert base is not None or known(peer) == known(view)
    copied = over_the_wire(ViewsAnswer(None, view.specs())).workers
    checks = EntryValidator()
    usable = {
        name
        for name, spec in copied.items()
        if checks.is_usable(StoredRecord(RecordKind.WORKERS, name, 0, spec))
    }
    assert usable == known(view)


@then("with any odd value in any place of one worker's entry, the others reach each peer")
def then_odd_values(context):
    @settings(max_examples=400)
    @given(
        place=st.sampled_from(PLACES),
        text=ODD_TEXTS,
        how=st.sampled_from(HOWS),
    )
    def holds(place, text, how):
        check_others_reach_peers(odd_entry(place, text), how)

    holds()


@then("with any depth in any place of one worker's entry, the others reach each peer")
def then_odd_depths(context):
    places = (("spec", "unknown"), ("status",), ("metadata", "finalizers"), ("unknown",))
    for number, depth in enumerate(DEPTHS):
        for is_object in (False, True):
            odd = odd_entry(places[number % len(places)], nested_text(depth, is_object=is_object))
            for how in HOWS if depth < max(DEPTHS) else ("list",):
                check_others_reach_peers(odd, how)


def has_port(address):
    port = address.rpartition(":")[2]
    return port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65_536


@then("each odd address is rejected, and a call or probe of it fails like one that reaches nobody")
def then_addresses(context):
    for address in SOUND_ADDRESSES:
        record = StoredRecord("servers", "d", 1, {**entry("d"), "address": address})
        assert invalid_reason(record) is None, address
    for address in ODD_ADDRESSES:
        shown = ascii(address[:40])
        record = StoredRecord("servers", "d", 1, {**entry("d"), "address": address})
        assert invalid_reason(record), shown
        node = {"peerAddress": address, "zone": "a"}
        assert invalid_reason(StoredRecord("bellweir-nodes", "d", 1, node)), shown
        if has_port(address) and address[0] not in "127":
            continue  # A name of this form would be looked up.
        made = ConnectionPool(address).call(HttpCall("GET", "/", CALL_TIMEOUT_S))
        assert isinstance(made, Failure), shown
        assert made.failure().kind is ErrorKind.NOT_RUN, shown
        assert probe(address) is ProbeResult.SILENT, shown


@given_step("a gateway whose store lists odd entries beside a sound worker")
def given_gateway(context):
    worker = WorkerStandIn("i-sound")
    context.cleanup.callback(worker.close)
    context.gateway = GatewayUnderTest([worker])
    context.cleanup.callback(context.gateway.close)
    odd = [{**entry("d"), "address": address} for address in ODD_ADDRESSES if address[:3] == "127"]
    texts = [text_of(stored(f"odd-{at}", 4, spec)) for at, spec in enumerate(odd)]
    for field in ("slots", "born", "coldLeftMs", "unknown"):
        for digits in (20, 400, 5_000):
            odd_name = f'"odd-{field}-{digits}"'.encode()
            text = odd_entry(("spec", field), "9" * digits)
            texts.append(text.replace(b'"name": "d"', b'"name": ' + odd_name))
    texts.append(odd_entry(("status",), nested_text(300, is_object=True)))
    sound = json.loads(json.dumps(worker.entry("app")))
    texts.insert(len(texts) // 2, text_of(stored("i-sound", 4, sound)))
    store = ValidatingStore(store_answering(list_body(texts)), EntryValidator())
    context.gateway.workers.apply_listing(store.list_kind("servers").unwrap())


@then("each request is served by the sound worker")
def then_served(context):
    for path in ("/idempotent/x", "/single/x") * 10:
        answer = context.gateway.send(path)
        assert answer.status == 200, (path, answer)


@then("an odd status takes away nothing but itself")
def then_odd_status(context):
    texts = ("9" * 20, nested_text(25, is_object=False), nested_text(300, is_object=True))
    for text in texts:
        odd = odd_entry(("status",), text)
        for how in ("list", "watch", "again"):
            follower, view = followed(odd, how)
            assert INVALID_NAME in known(view), how
            shown = {each.name: each for each in follower.state.update_since(None, 1.0).records}
            assert shown[INVALID_NAME].status is None, how
            check_others_reach_peers(odd, how)
        retirement = stored("node-1", 4, {"durationS": 10})
        retirement["status"] = json.loads(text)
        validator = EntryValidator()
        store = ValidatingStore(store_answering(list_body([text_of(retirement)])), validator)
        for _ in range(2):
            found = store.list_kind("retirements").unwrap()
            assert [(each.name, each.status) for each in found.records] == [("node-1", None)]
        assert validator.counts() == {"retirements": 1}


@then("a listed revision beyond that of the list interrupts no watch")
def then_odd_revision(context):
    for revision in (LIST_REVISION + 1, 2**63 - 1, 2**64, 10**30):
        odd = text_of(stored(INVALID_NAME, revision, entry(INVALID_NAME)))
        follower, view = followed(odd, "list")
        follower._watching_since_s = elapsed_s() - 2 * WATCH_DELIVERY_TIMEOUT_S
        interrupted = []
        follower._store._inner.interrupt_watches = interrupted.append
        follower.check()
        assert not interrupted, revision
        assert set(VALID_NAMES) <= known(view)
