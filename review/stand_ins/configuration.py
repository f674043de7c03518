"""The operator's configuration of a case: one route and its service."""

LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 33_554_432,
    "headerTimeoutMs": 5_000,
    "idleTimeoutMs": 20_000,
}


def configuration(
    service: dict[str, object], host: str, prefix: str, kind: str, **route: object
) -> dict[str, object]:
    """Return a configuration; `route` holds further fields of the route, or other values."""
    fields = {
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service["name"],
        "timeoutMs": 10_000,
        "targetMs": 400,
        "maxAttempts": 3,
        "priority": 1,
        **route,
    }
    entry = {"healthPath": "/health", "maxConns": 150, **service}
    return {"version": 1, "routes": [fields], "services": [entry], "limits": LIMITS}
