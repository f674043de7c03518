"""Tells clients which gateways to use: near ones that are alive and not leaving."""

from collections.abc import Callable

from bellweir.http_server.http import Request, Response, json_response
from bellweir.membership.interface import Member, Membership, MemberState

PATH = "/endpoints"
TTL_S = 1.0
"""Time for which clients keep an answer; some keep it three times as long."""
MAXIMUM_ADDRESSES = 64
ENOUGH_NEAR = 2
"""Gateways of the client's own zone below which those of other zones are named, too."""


class Directory:
    """Answers `GET /endpoints?name=HOST&region=REGION&zone=ZONE`."""

    def __init__(
        self,
        membership: Membership,
        is_serving: Callable[[], bool],
        longest_ttl_s: float = TTL_S,
    ) -> None:
        self._membership = membership
        self._ttl_s = min(TTL_S, longest_ttl_s)
        self._is_serving = is_serving

    def answer(self, request: Request) -> Response:
        """The addresses for the client's place."""
        if request.path != PATH or request.method not in ("GET", "HEAD"):
            return json_response(404, {"error": "not_found"})
        chosen = choose_gateways(
            self._live(), request.query("region") or "", request.query("zone") or ""
        )
        if not chosen:
            return json_response(503, {"error": "no_gateway"}, [("Retry-After", "0.5")])
        return json_response(200, {"addresses": chosen[:MAXIMUM_ADDRESSES], "ttlS": self._ttl_s})

    def _live(self) -> list[Member]:
        own = self._membership.self_member()
        return [
            member
            for member in self._membership.members()
            if member.gateway_address
            and member.state is MemberState.ALIVE
            and (member.node != own.node or self._is_serving())
        ]


def choose_gateways(live: list[Member], region: str, zone: str) -> list[str]:
    """Addresses of the gateways for a client's zone, the nearest wide enough choice."""
    near = [member.gateway_address for member in live if member.zone == zone]
    if len(near) >= ENOUGH_NEAR:
        return near
    regional = [member.gateway_address for member in live if member.region == region]
    if regional:
        return regional
    return [member.gateway_address for member in live]
