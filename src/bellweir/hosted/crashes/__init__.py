"""Quarantine of requests that crash the workers that run them."""
