"""Makes objects of a later version of the platform readable: what is unknown is passed over."""

from typing import Any

from bellweir.hosted.records import RouteKind

KNOWN_KINDS = frozenset(kind.value for kind in RouteKind)
CAUTIOUS_KIND = RouteKind.NON_IDEMPOTENT.value
"""Stands for a kind that nobody here knows: such a request runs at most once."""


def remove_nulls(plain: Any) -> Any:
    """Plain values without the keys whose value is null: their defaults count."""
    if isinstance(plain, dict):
        return {key: remove_nulls(value) for key, value in plain.items() if value is not None}
    if isinstance(plain, list):
        return [remove_nulls(each) for each in plain]
    return plain


def normalize_configuration(spec: Any) -> Any:
    """A configuration whose routes all have a kind that is known here."""
    plain = remove_nulls(spec)
    routes = plain.get("routes") if isinstance(plain, dict) else None
    if not isinstance(routes, list):
        return plain
    return {**plain, "routes": [_with_known_kind(route) for route in routes]}


def _with_known_kind(route: Any) -> Any:
    if not isinstance(route, dict):
        return route
    kind = route.get("kind")
    if not isinstance(kind, str) or kind in KNOWN_KINDS:
        return route
    return {**route, "kind": CAUTIOUS_KIND}
