"""Tenants: whose key a request carries, and what follows from it."""
