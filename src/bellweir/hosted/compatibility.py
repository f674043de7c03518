"""Forward compatibility: reads configurations written by later versions of the platform."""

from typing import Any

from bellweir.hosted.records import RouteKind

KNOWN_ROUTE_KINDS = frozenset(kind.value for kind in RouteKind)
FALLBACK_ROUTE_KIND = RouteKind.NON_IDEMPOTENT.value
"""Replaces unknown kinds: their requests must run at most once, the safest semantics."""


def remove_nulls(plain: Any) -> Any:
    """Remove null members, so that their defaults apply."""
    if isinstance(plain, dict):
        return {key: remove_nulls(value) for key, value in plain.items() if value is not None}
    if isinstance(plain, list):
        return [remove_nulls(each) for each in plain]
    return plain


def normalize_configuration(spec: Any) -> Any:
    """Remove nulls and replace unknown route kinds by `FALLBACK_ROUTE_KIND`."""
    plain = remove_nulls(spec)
    routes = plain.get("routes") if isinstance(plain, dict) else None
    if not isinstance(routes, list):
        return plain
    return {**plain, "routes": [_replace_unknown_kind(route) for route in routes]}


def _replace_unknown_kind(route: Any) -> Any:
    if not isinstance(route, dict):
        return route
    kind = route.get("kind")
    if not isinstance(kind, str) or kind in KNOWN_ROUTE_KINDS:
        return route
    return {**route, "kind": FALLBACK_ROUTE_KIND}
