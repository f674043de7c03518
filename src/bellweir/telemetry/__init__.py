"""Metrics, liveness and readiness."""
