"""Checked settings of a node: models for each concern, loading and findings."""
