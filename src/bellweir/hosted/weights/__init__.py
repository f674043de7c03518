"""Rollout of weight versions to workers, ordered by a lease holder under a fencing token."""
