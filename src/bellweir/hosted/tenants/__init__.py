"""Tenants: API keys of requests, admission and priority."""
