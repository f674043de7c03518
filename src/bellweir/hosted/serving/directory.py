"""Service discovery for clients: addresses of nearby gateways that are alive and not draining."""

from collections.abc import Callable

from bellweir.hosted.eligibility.homes import AllowedRegions, allows
from bellweir.http_server.http import Request, Response, json_response
from bellweir.membership.interface import Member, Membership, MemberState

PATH = "/endpoints"
TTL_S = 1.0
"""Cache lifetime sent to clients; some cache up to three times as long."""
MAX_ADDRESSES = 64
MIN_ZONE_GATEWAYS = 2
"""With fewer gateways in the client's zone, all gateways of its region are returned."""


class Directory:
    """Answers `GET /endpoints?name=HOST&region=REGION&zone=ZONE`."""

    def __init__(
        self,
        membership: Membership,
        is_serving: Callable[[], bool],
        max_ttl_s: float = TTL_S,
        allowed_regions_of: Callable[[str], AllowedRegions] = lambda _host: None,
    ) -> None:
        """`allowed_regions_of` returns the regions in which a host's requests may be served."""
        self._allowed_regions_of = allowed_regions_of
        self._membership = membership
        self._ttl_s = min(TTL_S, max_ttl_s)
        self._is_serving = is_serving

    def answer(self, request: Request) -> Response:
        """Return the gateway addresses for the client's region and zone."""
        if request.path != PATH or request.method not in ("GET", "HEAD"):
            return json_response(404, {"error": "not_found"})
        chosen = choose_gateways(
            self._live(),
            request.query("region") or "",
            request.query("zone") or "",
            self._allowed_regions_of(request.query("name") or ""),
        )
        if not chosen:
            return json_response(503, {"error": "no_gateway"}, [("Retry-After", "0.5")])
        return json_response(200, {"addresses": chosen[:MAX_ADDRESSES], "ttlS": self._ttl_s})

    def _live(self) -> list[Member]:
        own = self._membership.self_member()
        return [
            member
            for member in self._membership.members()
            if member.gateway_address
            and member.state is MemberState.ALIVE
            and (member.node != own.node or self._is_serving())
        ]


def choose_gateways(
    live: list[Member], region: str, zone: str, allowed: AllowedRegions = None
) -> list[str]:
    """Return the gateways of the client's zone, of its region if too few, or else of others.

    Others are those of the regions in which the requests may be served, or all without any.
    """
    near = [member.gateway_address for member in live if member.zone == zone]
    if len(near) >= MIN_ZONE_GATEWAYS:
        return near
    regional = [member.gateway_address for member in live if member.region == region]
    if regional:
        return regional
    homes = [member.gateway_address for member in live if allows(allowed, member.region)]
    return homes or [member.gateway_address for member in live]
