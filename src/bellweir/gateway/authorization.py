"""Decides who a request comes from and whether it may use an interface."""

from collections.abc import Mapping

from bellweir.gateway import applications_api, openai_api, resources_api, status_api, steps_api
from bellweir.gateway.problems import Problem
from bellweir.gateway.request_headers import TOKEN
from bellweir.gateway.tokens import Bearer, Role, Tokens
from bellweir.http_server.http import Caller, Request

BEARER_PREFIX = "bearer "
OPEN_PATHS = frozenset({"/healthz", "/readyz"})
"""Answered to anyone: load balancers bring no token."""

_READ_METHODS = frozenset({"GET", "HEAD"})
_ROLES: Mapping[str, frozenset[Role]] = {
    openai_api.INTERFACE: frozenset({Role.CALLER}),
    applications_api.INTERFACE: frozenset({Role.CALLER}),
    steps_api.INTERFACE: frozenset({Role.TRAINER}),
    resources_api.INTERFACE: frozenset({Role.OPERATOR}),
    status_api.INTERFACE: frozenset({Role.OPERATOR}),
}
_READ_ROLES: Mapping[str, frozenset[Role]] = {
    resources_api.INTERFACE: frozenset({Role.OPERATOR, Role.OPERATOR_READ}),
    status_api.INTERFACE: frozenset({Role.OPERATOR, Role.OPERATOR_READ}),
}


class Authorization:
    """Checks requests against the tokens, or lets all pass where there is no file of tokens."""

    def __init__(self, tokens: Tokens | None) -> None:
        self._tokens = tokens

    def check(self, request: Request, interface: str) -> Problem | None:
        """Set the request's caller; a problem when it may not use the interface."""
        if self._tokens is None or request.path in OPEN_PATHS:
            return None
        allowed = _allowed_roles(request, interface)
        token = _token_of(request)
        bearer = None if token is None else self._tokens.bearer_of(token)
        if bearer is not None:
            request.caller = Caller(bearer.name)
            request.consumed_authorization = request.header(TOKEN) is None
        held = self._tokens.anonymous | (bearer.roles if bearer else frozenset())
        if held & allowed:
            return None
        return _refusal(token, bearer)


def _allowed_roles(request: Request, interface: str) -> frozenset[Role]:
    if request.method in _READ_METHODS and interface in _READ_ROLES:
        return _READ_ROLES[interface]
    return _ROLES[interface]


def _token_of(request: Request) -> str | None:
    own = request.header(TOKEN)
    if own is not None:
        return own
    authorization = request.header("Authorization") or ""
    if authorization.lower().startswith(BEARER_PREFIX):
        return authorization[len(BEARER_PREFIX) :].strip()
    return None


def _refusal(token: str | None, bearer: Bearer | None) -> Problem:
    if bearer is not None:
        return Problem(403, "forbidden", "the token's roles do not permit this call")
    why = "a bearer token is needed" if token is None else "the bearer token is not known"
    return Problem(401, "unauthorized", why)
