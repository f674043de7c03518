"""Probes and relays that wait for an acknowledgement."""

import itertools
from dataclasses import dataclass

MAXIMUM_RELAYS = 256
RELAY_KEPT_S = 2.0


@dataclass
class Probe:
    """One member being probed."""

    number: int
    target: str
    incarnation: int
    indirect_s: float
    """When helpers are asked."""
    ends_s: float
    """When the target becomes a suspect."""
    asked_helpers: bool = False


@dataclass(frozen=True)
class Relay:
    """An acknowledgement to be passed on to the member that asked for it."""

    asker_address: str
    asker_number: int
    ends_s: float


class ProbeBook:
    """Probes of this node and those it makes for others, by number."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}

    def next_number(self) -> int:
        """Return a number for a datagram that awaits an acknowledgement."""
        return next(self._numbers)

    def add_relay(self, relay: Relay) -> int | None:
        """Remember whom to pass an acknowledgement on to; None when too many wait."""
        if len(self.relays) >= MAXIMUM_RELAYS:
            return None
        number = self.next_number()
        self.relays[number] = relay
        return number

    def due_for_helpers(self, now_s: float) -> list[Probe]:
        """Return probes whose direct ping got no answer in time, each once."""
        due = [
            probe
            for probe in self.probes.values()
            if not probe.asked_helpers and probe.indirect_s <= now_s
        ]
        for probe in due:
            probe.asked_helpers = True
        return due

    def take_failed(self, now_s: float) -> list[Probe]:
        """Remove and return probes that got no answer at all."""
        failed = [probe for probe in self.probes.values() if probe.ends_s <= now_s]
        for probe in failed:
            del self.probes[probe.number]
        return failed

    def forget_relays(self, now_s: float) -> None:
        """Drop relays whose acknowledgement never came."""
        for number in [n for n, relay in self.relays.items() if relay.ends_s <= now_s]:
            del self.relays[number]

    def next_deadline_s(self) -> float:
        """Return when the next probe needs attention; infinity without probes."""
        return min(
            (
                probe.ends_s if probe.asked_helpers else probe.indirect_s
                for probe in self.probes.values()
            ),
            default=float("inf"),
        )
