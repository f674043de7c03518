"""Network faults for rehearsals: delay, loss and cuts between nodes of one machine.

A settings file may name a JSON file of rules; the transport and the membership's datagrams ask
here before they send. The file is read again when it changes, so a rehearsal can split regions
and heal them while nodes run. Without a file every question costs one comparison with None.
"""

import random
import threading
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.wire.log_events import NETWORK_FAULTS_ACTIVE, NETWORK_FAULTS_UNREADABLE

CHECK_PERIOD_S = 0.2
"""Time between looks at the file for a change."""
RETRANSMISSION_DELAY_S = 0.2
"""What a lost packet costs a stream: the usual least retransmission time-out of Linux."""


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which nodes an end of a rule means; fields left out match every node."""

    node: str | None = None
    address: str | None = None
    zone: str | None = None
    region: str | None = None


class FaultRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rule between two ends."""

    source: Endpoint = Endpoint()
    target: Endpoint = Endpoint()
    both_ways: bool = True
    cut: bool = False
    """Nothing passes."""
    delay_ms: float = 0.0
    """One-way delay."""
    jitter_ms: float = 0.0
    """Added uniformly between 0 and this."""
    loss: float = 0.0
    """Share of packets lost, 0 to 1."""


class FaultFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file's content; the first rule that matches counts."""

    rules: tuple[FaultRule, ...] = ()


@dataclass(frozen=True)
class Place:
    """Where a node is, as far as it is known."""

    node: str
    address: str
    zone: str
    region: str


class NetworkFaults:
    """The faults between this node and its peers."""

    def __init__(self, file: Path | None, local: Place) -> None:
        self._file = file
        self._local = local
        self._lock = threading.Lock()
        self._places: dict[str, Place] = {}
        self._rules: tuple[FaultRule, ...] = ()
        self._modified_ns = 0
        self._next_check_s = 0.0
        self._random = random.Random()

    def learn(self, place: Place) -> None:
        """Remember where the node at an address is; called by the membership."""
        if self._file is not None:
            self._places[place.address] = place

    def towards(self, address: str) -> FaultRule | None:
        """The rule for what this node sends to `host:port`; None when nothing is disturbed."""
        if self._file is None:
            return None
        self._read_again_if_changed(self._file)
        if not self._rules:
            return None
        peer = self._places.get(address) or Place("", address, "", "")
        return next((rule for rule in self._rules if _matches(rule, self._local, peer)), None)

    def drops(self, rule: FaultRule) -> bool:
        """Whether a datagram under this rule is lost."""
        return rule.cut or self._random.random() < rule.loss

    def datagram_delay_s(self, rule: FaultRule) -> float:
        """How long a datagram under this rule takes."""
        return (rule.delay_ms + rule.jitter_ms * self._random.random()) / 1000

    def stream_delay_s(self, rule: FaultRule) -> float:
        """How long a frame under this rule takes; a lost packet is sent again by TCP."""
        delay_s = self.datagram_delay_s(rule)
        if self._random.random() < rule.loss:
            delay_s += RETRANSMISSION_DELAY_S
        return delay_s

    def _read_again_if_changed(self, file: Path) -> None:
        now_s = elapsed_s()
        if now_s < self._next_check_s:
            return
        with self._lock:
            self._next_check_s = now_s + CHECK_PERIOD_S
            try:
                modified_ns = file.stat().st_mtime_ns if file.exists() else 0
                if modified_ns == self._modified_ns:
                    return
                content = file.read_bytes() if modified_ns else b"{}"
                rules = msgspec.json.decode(content, type=FaultFile).rules
            except (OSError, msgspec.MsgspecError) as failure:
                emit(NETWORK_FAULTS_UNREADABLE, file=str(file), error=str(failure))
                return
            self._modified_ns = modified_ns
            self._rules = rules
        emit(NETWORK_FAULTS_ACTIVE, file=str(file), rules=len(rules))


def _matches(rule: FaultRule, sender: Place, receiver: Place) -> bool:
    if _is_at(rule.source, sender) and _is_at(rule.target, receiver):
        return True
    return rule.both_ways and _is_at(rule.source, receiver) and _is_at(rule.target, sender)


def _is_at(endpoint: Endpoint, place: Place) -> bool:
    wanted = (endpoint.node, endpoint.address, endpoint.zone, endpoint.region)
    actual = (place.node, place.address, place.zone, place.region)
    return all(want is None or want == have for want, have in zip(wanted, actual, strict=True))
