"""A caller: sends requests to the node beside it, goes elsewhere when that is gone, records all."""

import time
import uuid

from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpClient, NotConnectedError
from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.callers.wishes import ApplicationWish, CompletionWish, Wish
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import CallEnded, CallOutcome

ANSWER_MARGIN_S = 5.0
"""A caller waits this much longer than its deadline before it gives up on an answer."""
REPEATS_OF_ONCE = 4
"""Calls that a caller makes for one request not to be repeated, all with the same key."""
REPEAT_PAUSE_S = 0.25
NOT_RUN = "not_run"
ASK_ELSEWHERE = frozenset({"draining", "not_ready"})
"""Reasons of refusals that another node would not give: this one is stopping or starting."""


class Caller:
    """One caller beside one node; safe from several threads."""

    def __init__(
        self,
        name: str,
        node: str,
        zone: str,
        directory: NodeDirectory,
        journal: Journal,
        client: HttpClient,
        in_flight: InFlight,
        one_way_delay_s: float = 0.0,
    ) -> None:
        self.name = name
        self._node = node
        self._zone = zone
        self._directory = directory
        self._journal = journal
        self._client = client
        self._in_flight = in_flight
        self._one_way_delay_s = one_way_delay_s

    def complete(self, wish: CompletionWish) -> CallEnded | None:
        """Ask for a completion at the first node that can be reached; None when none can."""
        for address in self._directory.in_order_from(self._node, self._zone):
            ended = self._call(address, wish)
            if not _goes_elsewhere(ended):
                return ended
        return None

    def request(self, wish: ApplicationWish) -> CallEnded | None:
        """Make an application request; one with a key is repeated while its outcome is open.

        Repeats go to one node after the other, so that every node meets keys that it has not
        seen. Returns the last call, None when no node could be reached.
        """
        last: CallEnded | None = None
        calls = REPEATS_OF_ONCE if wish.idempotency_key else 1
        for number in range(calls):
            nodes = self._directory.in_order_from(self._node, self._zone)
            rotated = nodes[number % len(nodes) :] + nodes[: number % len(nodes)] if nodes else ()
            for address in rotated:
                ended = self._call(address, wish)
                if not _goes_elsewhere(ended):
                    last = ended
                    break
            if last is not None and last.outcome is CallOutcome.ANSWERED:
                break
            if number + 1 < calls:
                time.sleep(REPEAT_PAUSE_S)
        return last

    def _call(self, address: NodeAddress, wish: Wish) -> CallEnded:
        """Make one call, under an id of its own, and record both of its ends."""
        call_id = f"call-{uuid.uuid4().hex}"
        self._journal.write(wish.record(call_id, self.name, address.node))
        time.sleep(self._one_way_delay_s)
        ended = self._send(address, wish, call_id)
        self._journal.write(ended)
        return ended

    def _send(self, address: NodeAddress, wish: Wish, call_id: str) -> CallEnded:
        call = wish.http_call()
        headers = {
            "X-Request-Id": call_id,
            "X-Bellweir-Class": wish.request_class,
            "X-Bellweir-Deadline-Ms": str(wish.deadline_ms),
        }
        try:
            with self._in_flight.call(address.node):
                answer = self._client.send(
                    address.gateway_address,
                    call.method,
                    call.path,
                    headers=headers | call.headers,
                    body=call.body,
                    timeout_s=wish.deadline_ms / 1000 + ANSWER_MARGIN_S,
                )
        except NotConnectedError as failure:
            return CallEnded(time.time(), call_id, CallOutcome.NOT_CONNECTED, detail=str(failure))
        except CutError as failure:
            return CallEnded(
                time.time(),
                call_id,
                CallOutcome.CUT,
                status=failure.status,
                detail=str(failure),
                connection_reused=failure.reused,
                timed_out=failure.timed_out,
            )
        time.sleep(self._one_way_delay_s)
        return wish.read(call_id, answer)


def _goes_elsewhere(ended: CallEnded) -> bool:
    """Whether a caller asks the next node at once: nothing was sent, or it has not been run."""
    if ended.outcome is CallOutcome.NOT_CONNECTED:
        return True
    return ended.run_state == NOT_RUN and ended.reason in ASK_ELSEWHERE
