"""Deployments that ship with the kit, as TOML files."""
